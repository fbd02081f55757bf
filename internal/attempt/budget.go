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

// Pool grants retries to budgets that are exhausted themselves.
type Pool interface {
	// Acquire takes one retry from the pool. It returns false when none is left, or
	// when the pool does not reply in time.
	Acquire(ctx context.Context) bool
}

// Budget limits the retries of many requests. A retry is any send of a request
// after its first. Budget is safe for concurrent use.
type Budget struct {
	backoff retry.Backoff
	meters  Meters
	pool    Pool // nil for none

	mu     sync.Mutex // protects the fields below
	budget *retry.Budget
	// overflow is the total of deposits that exceeded the maximum balance.
	overflow float64
	rng      *rand.Rand
}

// Meters count retries.
type Meters struct {
	// Retries counts the retries made after a backoff; Denied counts those that the
	// budget did not allow.
	Retries, Denied metrics.Counter
	// PaidOwn and PaidPool count the retries that were paid for from the own balance and by
	// the pool, Waited the responses that had started and waited for a retry. They are nil
	// if not counted.
	PaidOwn, PaidPool, Waited metrics.Counter
}

// count increments a counter unless it is nil.
func count(c metrics.Counter) {
	if c != nil {
		c.Inc(1)
	}
}

// NewBudget returns a budget whose balance starts at one second of the floor rate.
// When it is exhausted, it takes retries from the pool, unless that is nil.
func NewBudget(rules retry.Rules, backoff retry.Backoff, meters Meters, pool Pool, now time.Duration) *Budget {
	return &Budget{backoff: backoff, meters: meters, pool: pool, budget: retry.NewBudget(rules, now), rng: rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))}
}

// SetRules changes the rules.
func (b *Budget) SetRules(rules retry.Rules) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.budget.SetRules(rules)
}

// Succeeded adds the share of a retry that one success pays for to the balance.
func (b *Budget) Succeeded(now time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.overflow += b.budget.Succeeded(now)
}

// Overflow returns the total of deposits that exceeded the maximum balance, since
// the start.
func (b *Budget) Overflow() float64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.overflow
}

// Spend takes one retry from this budget or, when it is exhausted, from the pool.
//
// A budget without a pool bounds the retries of one process. It always allows those of a
// response that has started, and charges them to later ones. A budget with a pool is part
// of a bound on many processes, and never exceeds its share of it.
func (b *Budget) Spend(ctx context.Context, responseStarted bool, now time.Duration) bool {
	if b.SpendLocal(responseStarted && b.pool == nil, now) {
		return true
	}
	if b.pool == nil || !b.pool.Acquire(ctx) {
		return false
	}
	count(b.meters.PaidPool)
	return true
}

// SpendLocal takes one retry from this budget. With overdraw the retry is always allowed
// and may leave a negative balance.
func (b *Budget) SpendLocal(overdraw bool, now time.Duration) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.budget.Take(now) {
		count(b.meters.PaidOwn)
		return true
	}
	if overdraw {
		b.budget.ForceTake(now)
	}
	return overdraw
}

// Bounds of the wait of a response that has started for a retry.
const (
	// maxWait is less than the two seconds without an event after which callers disconnect.
	maxWait      = 1500 * time.Millisecond
	waitInterval = 75 * time.Millisecond
)

// acquire is Spend, but waits for a retry if the response has started: the caller would
// lose the part that it has. Many responses break off at once when an upstream fails.
func (b *Budget) acquire(ctx context.Context, responseStarted bool, now time.Duration) bool {
	if b.Spend(ctx, responseStarted, now) {
		return true
	}
	if !responseStarted {
		return false
	}
	count(b.meters.Waited)
	start := time.Now()
	for time.Since(start) < maxWait && pause.For(ctx, waitInterval/2+b.jitter(waitInterval)) {
		if b.Spend(ctx, responseStarted, now+time.Since(start)) {
			return true
		}
	}
	return false
}

// jitter returns a random time below a bound.
func (b *Budget) jitter(bound time.Duration) time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	return time.Duration(b.rng.Int64N(int64(bound)))
}

// Jittered adds random jitter to a retry delay that is sent to callers.
func (b *Budget) Jittered(d time.Duration) time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	return retry.Jittered(d, b.rng)
}

func (b *Budget) backoffDelay(retries int) time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.backoff.Delay(retries, b.rng)
}

// Verdict is the decision on one more send.
type Verdict int

const (
	// Proceed: the send may be made.
	Proceed Verdict = iota
	// Exhausted: the rules allow no more sends, or the context has ended.
	Exhausted
	// Denied: the budget allows no retry.
	Denied
)

// Next decides whether one more attempt may be made. Before a retry it pays for one
// send, unless that is paid for already, and waits for the backoff. The first send needs
// no budget.
func (a *Attempts) Next(ctx context.Context, b *Budget, responseStarted bool, now time.Duration) Verdict {
	if ctx.Err() != nil || !a.MaySend() {
		return Exhausted
	}
	if a.sends == 0 {
		return Proceed
	}
	if !a.Pay(ctx, b, responseStarted, now) {
		b.meters.Denied.Inc(1)
		return Denied
	}
	if a.skipBackoff {
		a.skipBackoff = false
		return Proceed
	}
	if !pause.For(ctx, b.backoffDelay(a.sends)) {
		return Exhausted
	}
	b.meters.Retries.Inc(1)
	return Proceed
}

// Pay takes from the budget what the next send needs, unless that is paid for already.
// What is paid for and not sent stays with the request. False means that the budget
// allows no further send.
func (a *Attempts) Pay(ctx context.Context, b *Budget, responseStarted bool, now time.Duration) bool {
	return a.pay(ctx, b, a.ledger.due(a.arrivals()+1), responseStarted, now)
}

// PayForPrefill takes from the budget what a prefill and the run after it need. It neither
// waits nor overdraws the budget, because one upstream can do both instead.
func (a *Attempts) PayForPrefill(ctx context.Context, b *Budget, now time.Duration) bool {
	return a.pay(ctx, b, a.ledger.dueForPrefill(a.arrivals()+1), false, now)
}

// Prepaid records a retry that was taken from the budget with Spend while a send was in
// progress. It pays for a later send.
func (a *Attempts) Prepaid() { a.ledger.paid++ }

// PayForSend is Pay for a send that Sent or Prepared has recorded.
func (a *Attempts) PayForSend(ctx context.Context, b *Budget, responseStarted bool, now time.Duration) bool {
	return a.pay(ctx, b, a.ledger.due(max(a.ledger.arrivals+1, a.announced())), responseStarted, now)
}

func (a *Attempts) pay(ctx context.Context, b *Budget, due int, responseStarted bool, now time.Duration) bool {
	for range due {
		if !b.acquire(ctx, responseStarted, now) {
			return false
		}
		a.ledger.paid++
	}
	return true
}

// arrivals returns the number of sends that reached an upstream. Not every Call records
// them in the ledger.
func (a *Attempts) arrivals() int { return max(a.ledger.arrivals, a.announced()) }

// announced returns the number of sends that Sent and Prepared recorded, without those
// that failed before any byte was sent.
func (a *Attempts) announced() int { return a.sends - a.unsent }
