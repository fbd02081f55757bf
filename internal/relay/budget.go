package relay

import (
	"math/rand/v2"
	"sync"
	"time"

	"sassafrasfield/internal/retry"
)

// BudgetSettings bound the sends beyond the first of each request, for each
// service.
type BudgetSettings struct {
	// Share of further sends that each request pays for.
	Share float64
	// Floor is the further sends a second that this instance may make whatever
	// it serves.
	Floor float64
	// Max bounds what is saved up.
	Max float64
}

// budgets has one retry budget a service.
type budgets struct {
	wait retry.Backoff

	mu       sync.Mutex // protects all below
	settings BudgetSettings
	all      map[string]*retry.Budget
	rng      *rand.Rand
}

// set takes other settings; what was saved up under the old ones is lost.
func (b *budgets) set(s BudgetSettings) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if s != b.settings {
		b.settings, b.all = s, map[string]*retry.Budget{}
	}
}

func newBudgets(s BudgetSettings) *budgets {
	return &budgets{
		settings: s, all: map[string]*retry.Budget{},
		rng:  rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
		wait: retry.Backoff{Base: 2 * time.Millisecond, Max: 20 * time.Millisecond}, // other upstreams are asked, so short
	}
}

// of returns a service's budget. The lock is held.
func (b *budgets) of(service string, now time.Duration) *retry.Budget {
	budget, ok := b.all[service]
	if !ok {
		s := b.settings
		budget = retry.NewBudget(retry.Rules{Share: s.Share, Floor: s.Floor, Max: s.Max}, now)
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
