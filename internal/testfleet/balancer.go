package testfleet

import (
	"context"
	"net/http"
	"sync"
	"time"
)

// probeEvery is the time between two probes of a Balancer.
const probeEvery = 20 * time.Millisecond

// Balancer picks ready instances for a caller, as the platform's balancer
// does: from probes that take effect after a lag.
type Balancer struct {
	addresses []string
	lag       time.Duration

	mu   sync.Mutex // protects both below
	up   map[string]bool
	turn int
}

// NewBalancer returns a balancer before the addresses of sf-entry. It sends to
// none of them until it runs.
func NewBalancer(lag time.Duration, addresses ...string) *Balancer {
	return &Balancer{addresses: addresses, lag: lag, up: map[string]bool{}}
}

// Run probes until the context ends.
func (b *Balancer) Run(ctx context.Context) {
	for ctx.Err() == nil {
		for _, address := range b.addresses {
			ready := Ready(ctx, address)
			time.AfterFunc(b.lag, func() {
				b.mu.Lock()
				defer b.mu.Unlock()
				b.up[address] = ready
			})
		}
		select {
		case <-ctx.Done():
		case <-time.After(probeEvery):
		}
	}
}

// SendsTo tells whether the balancer sends to the address.
func (b *Balancer) SendsTo(address string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.up[address]
}

// Pick returns the next address in turn that it sends to, or "".
func (b *Balancer) Pick() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	for range b.addresses {
		b.turn++
		address := b.addresses[b.turn%len(b.addresses)]
		if b.up[address] {
			return address
		}
	}
	return ""
}

// Ready tells whether a daemon says that it is ready.
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
