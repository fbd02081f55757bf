package relay

import (
	"math/rand/v2"
	"sync"
	"time"

	"sassafrasfield/internal/retry"
)

// BudgetSettings bound the sends beyond the first of each request, for each
// service, over all instances.
type BudgetSettings struct {
	// Share of further sends that each request pays for.
	Share float64
	// Slack is how many further sends are allowed besides in each window.
	Slack  float64
	Window time.Duration
}

// Parts of the bounds that are used. The window is counted over all instances
// together, and it slides; what an instance saved up and what it earns in one
// window must both fit.
const (
	shareUsed = 0.9
	savedUsed = 0.55
	floorUsed = 0.35
)

// rules are one instance's part of the bounds, when so many share them.
func (s BudgetSettings) rules(instances int) retry.Rules {
	slack := s.Slack / float64(max(1, instances))
	return retry.Rules{
		Share: shareUsed * s.Share,
		Floor: floorUsed * slack / max(1, s.Window.Seconds()),
		Max:   max(1, savedUsed*slack),
	}
}

// budgets has one retry budget a service.
type budgets struct {
	wait retry.Backoff

	mu        sync.Mutex // protects all below
	settings  BudgetSettings
	instances int
	all       map[string]*retry.Budget
	rng       *rand.Rand
}

func newBudgets(s BudgetSettings) *budgets {
	return &budgets{
		settings: s, instances: 1, all: map[string]*retry.Budget{},
		rng:  rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
		wait: retry.Backoff{Base: 2 * time.Millisecond, Max: 20 * time.Millisecond}, // other upstreams are asked, so short
	}
}

// set takes other settings, or another number of instances that share them.
func (b *budgets) set(s BudgetSettings, instances int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if s == b.settings && instances == b.instances {
		return
	}
	b.settings, b.instances = s, instances
	for _, budget := range b.all {
		budget.SetRules(s.rules(instances))
	}
}

// of returns a service's budget. The lock is held.
func (b *budgets) of(service string, now time.Duration) *retry.Budget {
	budget, ok := b.all[service]
	if !ok {
		budget = retry.NewFullBudget(b.settings.rules(b.instances), now)
		b.all[service] = budget
	}
	return budget
}

// requested pays a request's share in.
func (b *budgets) requested(service string, now time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.of(service, now).Succeeded(now)
}

// take spends one further send. An answer that has begun is gone on with
// whatever is left.
func (b *budgets) take(service string, begun bool, now time.Duration) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if begun {
		b.of(service, now).Force(now)
		return true
	}
	return b.of(service, now).Take(now)
}

// pause is the wait before the nth further send.
func (b *budgets) pause(n int) time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.wait.Delay(n, b.rng)
}

// jittered spreads a time that is told to callers.
func (b *budgets) jittered(d time.Duration) time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	return d + time.Duration(b.rng.Float64()*float64(d)/2)
}
