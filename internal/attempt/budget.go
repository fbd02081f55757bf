package attempt

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/rcrowley/go-metrics"

	"sassafrasfield/internal/pause"
	"sassafrasfield/internal/retry"
)

// Budget bounds the further sends of many requests. It is safe for use by
// several goroutines.
type Budget struct {
	backoff retry.Backoff
	meters  Meters

	mu     sync.Mutex // protects all below
	budget *retry.Budget
	rng    *rand.Rand
}

// Meters count what became of further sends.
type Meters struct {
	// Retries were made, Denied were not, for want of budget.
	Retries, Denied metrics.Counter
}

// NewBudget returns a budget that starts with one second of its floor.
func NewBudget(rules retry.Rules, backoff retry.Backoff, meters Meters, now time.Duration) *Budget {
	return &Budget{backoff: backoff, meters: meters, budget: retry.NewBudget(rules, now), rng: rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))}
}

// SetRules changes the rules.
func (b *Budget) SetRules(rules retry.Rules) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.budget.SetRules(rules)
}

// Succeeded pays in.
func (b *Budget) Succeeded(now time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.budget.Succeeded(now)
}

// Take spends one further send. An answer that has begun is gone on with
// whatever is left.
func (b *Budget) Take(begun bool, now time.Duration) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if begun {
		b.budget.Force(now)
		return true
	}
	return b.budget.Take(now)
}

// Jittered spreads a time that is told to callers.
func (b *Budget) Jittered(d time.Duration) time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	return retry.Jittered(d, b.rng)
}

func (b *Budget) delay(n int) time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.backoff.Delay(n, b.rng)
}

// Verdict on one more send.
type Verdict int

const (
	// Go on.
	Go Verdict = iota
	// Spent: the rules or the time allow no more.
	Spent
	// Denied by the budget.
	Denied
)

// Next asks for leave for one more send and waits as long as the budget's
// backoff says. The first send is always allowed.
func (a *Attempts) Next(ctx context.Context, b *Budget, begun bool, now time.Duration) Verdict {
	if ctx.Err() != nil || !a.More() {
		return Spent
	}
	if a.sends == 0 {
		return Go
	}
	if !a.prepaid && !b.Take(begun, now) {
		b.meters.Denied.Inc(1)
		return Denied
	}
	a.prepaid = false
	if !pause.For(ctx, b.delay(a.sends)) {
		return Spent
	}
	b.meters.Retries.Inc(1)
	return Go
}

// Prepay takes the next send from the budget now; false means that there will
// be none.
func (a *Attempts) Prepay(b *Budget, now time.Duration) bool {
	a.prepaid = b.Take(false, now)
	return a.prepaid
}
