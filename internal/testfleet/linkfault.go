package testfleet

import (
	"fmt"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/Shopify/toxiproxy"
	"github.com/Shopify/toxiproxy/toxics"
	"github.com/pkg/errors"
)

// The faults of a proxy are the states of toxics that are added before its first connection and are never removed. The library
// removes a toxic with a lock held, and waits for its connections meanwhile, which wait for the lock if they end then.

// linkFaultType is the type of the toxic, linkBuffer the number of chunks that may be delayed.
const (
	linkFaultType = "link-fault"
	linkBuffer    = 1024
)

// linkFault is the fault of one direction of a proxy. It is safe for concurrent use.
type linkFault struct {
	mu    sync.Mutex // protects all below
	cut   bool
	delay time.Duration
	// healed is closed and replaced when the fault ends.
	healed chan struct{}
}

// linkFaults has the faults by the name that their toxics have.
var (
	linkFaults    sync.Map
	lastLinkFault atomic.Int64
)

func init() { toxics.Register(linkFaultType, new(linkFaultToxic)) }

// addLinkFault adds a fault to a direction of a proxy that has no connections yet.
func addLinkFault(p *toxiproxy.Proxy, direction Direction) (*linkFault, error) {
	fault := &linkFault{healed: make(chan struct{})}
	name := fmt.Sprintf("%s-%d", linkFaultType, lastLinkFault.Add(1))
	linkFaults.Store(name, fault)
	toxic := fmt.Sprintf(`{"name": %q, "type": %q, "stream": %q, "attributes": {"link": %q}}`, name, linkFaultType, direction, name)
	_, err := p.Toxics.AddToxicJson(strings.NewReader(toxic))
	return fault, errors.Wrap(err, "proxy")
}

// state returns the fault, and the channel that is closed when it ends.
func (f *linkFault) state() (cut bool, delay time.Duration, healed <-chan struct{}) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.cut, f.delay, f.healed
}

func (f *linkFault) setCut() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.cut = true
}

func (f *linkFault) setDelay(d time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.delay = d
}

// heal ends the fault.
func (f *linkFault) heal() {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.cut {
		close(f.healed)
		f.healed = make(chan struct{})
	}
	f.cut, f.delay = false, 0
}

// linkFaultToxic applies a linkFault to the connections of a proxy.
type linkFaultToxic struct {
	Link string `json:"link"`
}

// GetBufferSize implements toxics.BufferedToxic.
func (t *linkFaultToxic) GetBufferSize() int { return linkBuffer }

// Pipe implements toxics.Toxic. A connection that was cut is closed when the cut heals.
func (t *linkFaultToxic) Pipe(stub *toxics.ToxicStub) {
	value, _ := linkFaults.Load(t.Link)
	fault := value.(*linkFault)
	_, _, healed := fault.state()
	for {
		select {
		case <-stub.Interrupt:
			return
		case <-healed:
			stub.Close()
			return
		case chunk := <-stub.Input:
			if chunk == nil {
				stub.Close()
				return
			}
			cut, delay, _ := fault.state()
			if cut {
				continue
			}
			if delay > 0 {
				time.Sleep(delay - time.Since(chunk.Timestamp))
			}
			stub.Output <- chunk
		}
	}
}
