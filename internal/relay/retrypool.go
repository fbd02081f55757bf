package relay

import (
	"context"
	"sync"
	"time"

	"github.com/rcrowley/go-metrics"

	"sassafrasfield/internal/retry"
)

// retryPool holds the retries that the instances of a zone share: part of the slack, and what their
// requests earned beyond each instance's maximum balance. The zone's hub keeps the pool, with one
// bucket per service. The pool starts empty when an instance becomes the hub, because the previous
// hub may have exhausted the window's retries.
//
// It makes retries available where the failures are. In a fleet of 195 instances, 124 had two
// requests that failed at once: none of them could retry the second one from its own budget alone,
// and 87 could with the pools (TestPoolServesFailuresAtFewInstances).
type retryPool struct {
	granted, denied metrics.Counter

	mu      sync.Mutex // protects the fields below
	rules   retry.Rules
	open    bool
	buckets map[uint32]*retry.Budget
	// paid holds the total that each source reported as paid in, by service.
	paid map[payment]float64
}

// payment identifies what an instance pays in for a service.
type payment struct {
	source  string
	service uint32
}

func newRetryPool() *retryPool {
	return &retryPool{granted: counter("pool_granted"), denied: counter("pool_denied")}
}

// set opens the pool with the given rules, or closes it. It reports whether that changed anything.
func (p *retryPool) set(open bool, rules retry.Rules) (changed bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	changed = open != p.open || open && rules != p.rules
	if !open || !p.open {
		p.buckets, p.paid = map[uint32]*retry.Budget{}, map[payment]float64{}
	}
	p.open = open
	if rules == p.rules {
		return changed
	}
	p.rules = rules
	for _, b := range p.buckets {
		b.SetRules(rules)
	}
	return changed
}

// bucket returns the bucket of a service. The caller holds the lock.
func (p *retryPool) bucket(service uint32, now time.Duration) *retry.Budget {
	b, ok := p.buckets[service]
	if !ok {
		b = retry.NewBudget(p.rules, now)
		p.buckets[service] = b
	}
	return b
}

// deposit adds what a source has paid in since its start, by service.
func (p *retryPool) deposit(source string, overflow map[uint32]float64, now time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.open {
		return
	}
	for service, total := range overflow {
		from := payment{source: source, service: service}
		before, known := p.paid[from]
		p.paid[from] = total
		if known && total > before { // otherwise the source is new here, or has restarted
			p.bucket(service, now).Add(total-before, now)
		}
	}
}

// grant grants one retry for a service. False means that none is left, or that the pool is not
// kept here.
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

// SetPool has this instance keep the retry pool for a zone with the given number of members, itself
// included. It keeps no pool if members is 0. The ratio of members to all instances determines the
// pool's share of the bounds.
func (r *Relay) SetPool(s BudgetSettings, members, instances int) {
	rules := s.poolRules(members, instances)
	if r.pool.set(members > 0, rules) {
		r.log.Info("relay: retry pool", "open", members > 0, "members", members, "instances", instances,
			"per_second", rules.Floor, "max", rules.Max)
	}
}

// GrantRetry grants one retry for the service with the given hash.
func (r *Relay) GrantRetry(service uint32) bool { return r.pool.grant(service, r.now()) }

// SetPoolRequester sets the function that requests a retry from the instance that keeps the pool.
func (r *Relay) SetPoolRequester(request func(ctx context.Context, service uint32) bool) {
	r.requestRetry.Store(&request)
}

// requestFromPool requests a retry for a service from the zone's pool.
func (r *Relay) requestFromPool(ctx context.Context, service uint32) bool {
	request := r.requestRetry.Load()
	return request != nil && (*request)(ctx, service)
}
