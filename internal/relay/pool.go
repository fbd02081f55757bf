package relay

import (
	"context"
	"sync"
	"time"

	"github.com/rcrowley/go-metrics"

	"sassafrasfield/internal/retry"
)

// retryPool has the further sends that the instances of a zone share: part of the slack, and
// what their requests paid for beyond what each can save up. The zone's hub keeps it,
// one bucket a service; it starts empty when an instance becomes the hub, as the one
// before may have spent the window's.
//
// It buys further sends where the failures are: of 124 in 195 instances with two
// requests that fail at once, none may send the second one again with its own part
// alone, and 87 with the pools (TestFailuresAtAFewInstancesFindThePool).
type retryPool struct {
	granted, denied metrics.Counter

	mu      sync.Mutex // protects all below
	rules   retry.Rules
	open    bool
	buckets map[uint32]*retry.Budget
	// paid is what each source has told that it paid in, by service.
	paid map[payment]float64
}

// payment is what an instance pays in for a service.
type payment struct {
	source  string
	service uint32
}

func newRetryPool() *retryPool {
	return &retryPool{granted: counter("pool_granted"), denied: counter("pool_denied")}
}

// set opens the pool with its rules, or closes it.
func (p *retryPool) set(open bool, rules retry.Rules) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !open || !p.open {
		p.buckets, p.paid = map[uint32]*retry.Budget{}, map[payment]float64{}
	}
	p.open = open
	if rules == p.rules {
		return
	}
	p.rules = rules
	for _, b := range p.buckets {
		b.SetRules(rules)
	}
}

// bucket returns a service's. The lock is held.
func (p *retryPool) bucket(service uint32, now time.Duration) *retry.Budget {
	b, ok := p.buckets[service]
	if !ok {
		b = retry.NewBudget(p.rules, now)
		p.buckets[service] = b
	}
	return b
}

// deposit takes what a source paid in since its start, by service.
func (p *retryPool) deposit(source string, spilled map[uint32]float64, now time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.open {
		return
	}
	for service, total := range spilled {
		from := payment{source: source, service: service}
		before, known := p.paid[from]
		p.paid[from] = total
		if known && total > before { // else it is new here, or has started again
			p.bucket(service, now).Add(total-before, now)
		}
	}
}

// grant gives one send to a service away; false means that none is left, or that the
// pool is not kept here.
func (p *retryPool) grant(service uint32, now time.Duration) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.open && p.bucket(service, now).Take(now) {
		p.granted.Inc(1)
		return true
	}
	p.denied.Inc(1)
	return false
}

// SetPool has this instance keep the pool of so many of all instances, itself among
// them, or keep none when members is 0.
func (r *Relay) SetPool(s BudgetSettings, members, instances int) {
	r.pool.set(members > 0, s.poolRules(members, instances))
}

// GrantRetry gives a send to a service away, which is named by its hash.
func (r *Relay) GrantRetry(service uint32) bool { return r.pool.grant(service, r.now()) }

// SetPoolRequester sets how a send is asked for at the instance that keeps the pool.
func (r *Relay) SetPoolRequester(ask func(ctx context.Context, service uint32) bool) {
	r.requestRetry.Store(&ask)
}

// requestFromPool asks for a send to a service.
func (r *Relay) requestFromPool(ctx context.Context, service uint32) bool {
	ask := r.requestRetry.Load()
	return ask != nil && (*ask)(ctx, service)
}
