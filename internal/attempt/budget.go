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

// Pool gives further sends to those whose own part of them is spent.
type Pool interface {
	// Acquire takes one; false means that there is none, or no word in time.
	Acquire(ctx context.Context) bool
}

// Budget bounds the further sends of many requests. It is safe for use by
// several goroutines.
type Budget struct {
	backoff retry.Backoff
	meters  Meters
	pool    Pool // nil for none

	mu     sync.Mutex // protects all below
	budget *retry.Budget
	// spilled is what was paid in beyond what can be saved up here.
	spilled float64
	rng     *rand.Rand
}

// Meters count what became of further sends.
type Meters struct {
	// Retries were made, Denied were not, for want of budget.
	Retries, Denied metrics.Counter
}

// NewBudget returns a budget that starts with one second of its floor, and asks a pool
// once it is spent, unless that is nil.
func NewBudget(rules retry.Rules, backoff retry.Backoff, meters Meters, pool Pool, now time.Duration) *Budget {
	return &Budget{backoff: backoff, meters: meters, pool: pool, budget: retry.NewBudget(rules, now), rng: rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))}
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
	b.spilled += b.budget.Succeeded(now)
}

// Overflow is what was paid in beyond what can be saved up here, since the start.
func (b *Budget) Overflow() float64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.spilled
}

// Spend takes one further send from this budget or from the pool.
func (b *Budget) Spend(ctx context.Context, begun bool, now time.Duration) bool {
	if b.SpendLocal(begun, now) {
		return true
	}
	return b.pool != nil && b.pool.Acquire(ctx)
}

// SpendLocal spends one further send. An answer that has begun is gone on with
// whatever is left.
func (b *Budget) SpendLocal(begun bool, now time.Duration) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if begun {
		b.budget.ForceTake(now)
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
	// Proceed on.
	Proceed Verdict = iota
	// Exhausted: the rules or the time allow no more.
	Exhausted
	// Denied by the budget.
	Denied
)

// Next asks for leave for one more send and waits as long as the budget's
// backoff says. The first send is always allowed.
func (a *Attempts) Next(ctx context.Context, b *Budget, begun bool, now time.Duration) Verdict {
	if ctx.Err() != nil || !a.MaySend() {
		return Exhausted
	}
	if a.sends == 0 {
		return Proceed
	}
	if !a.prepaid && !b.Spend(ctx, begun, now) {
		b.meters.Denied.Inc(1)
		return Denied
	}
	a.prepaid = false
	if a.atOnce {
		a.atOnce = false
		return Proceed
	}
	if !pause.For(ctx, b.delay(a.sends)) {
		return Exhausted
	}
	b.meters.Retries.Inc(1)
	return Proceed
}

// Prepay takes the next send from the budget now; false means that there will
// be none.
func (a *Attempts) Prepay(ctx context.Context, b *Budget, now time.Duration) bool {
	a.prepaid = b.Spend(ctx, false, now)
	return a.prepaid
}
