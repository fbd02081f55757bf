package testfleet

import (
	"context"
	"net/http"
	"sync"
	"time"
)

// probeInterval is the time between two probes of a Balancer.
const probeInterval = 20 * time.Millisecond

// Balancer selects ready instances for a caller. As with the platform's balancer, the result of a
// readiness probe takes effect after a lag.
type Balancer struct {
	addresses []string
	lag       time.Duration

	mu    sync.Mutex // protects the fields below
	ready map[string]bool
	next  int
}

// NewBalancer returns a balancer for addresses of sf-entry. It selects none of them until Run has
// probed them.
func NewBalancer(lag time.Duration, addresses ...string) *Balancer {
	return &Balancer{addresses: addresses, lag: lag, ready: map[string]bool{}}
}

// Run probes all addresses until the context ends.
func (b *Balancer) Run(ctx context.Context) {
	for ctx.Err() == nil {
		for _, address := range b.addresses {
			ready := Ready(ctx, address)
			time.AfterFunc(b.lag, func() {
				b.mu.Lock()
				defer b.mu.Unlock()
				b.ready[address] = ready
			})
		}
		select {
		case <-ctx.Done():
		case <-time.After(probeInterval):
		}
	}
}

// SendsTo reports whether the balancer sends requests to the address.
func (b *Balancer) SendsTo(address string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.ready[address]
}

// Pick returns the next ready address in round-robin order, or "" if none is ready.
func (b *Balancer) Pick() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	for range b.addresses {
		b.next++
		address := b.addresses[b.next%len(b.addresses)]
		if b.ready[address] {
			return address
		}
	}
	return ""
}

// Ready reports whether the daemon at address answers its readiness probe with status 200.
func Ready(ctx context.Context, address string) bool {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/readyz", nil)
	if err != nil {
		return false
	}
	res, err := http.DefaultClient.Do(req)
	if err != nil {
		return false
	}
	defer res.Body.Close()
	return res.StatusCode == http.StatusOK
}
