// Package retry decides whether and when a failed attempt is tried again. A
// budget bounds retries to a share of recent successes, so that a failing
// fleet is not drowned by its own retries; waits are exponential with full
// jitter. It is pure: time is passed in as a monotonic duration, and
// randomness as a seeded source.
package retry

import "time"

// Rules of a budget.
type Rules struct {
	// Share is how many retries each success pays for, such as 0.1.
	Share float64
	// Floor is how many retries a second are allowed without any success.
	Floor float64
	// Max bounds what can be saved up, in retries.
	Max float64
}

// Budget counts the retries that may still be made. It is not safe for
// concurrent use.
type Budget struct {
	rules   Rules
	balance float64
	at      time.Duration
}

// NewBudget returns a budget that starts with one second of the floor.
func NewBudget(rules Rules, now time.Duration) *Budget {
	return &Budget{rules: rules, balance: min(rules.Floor, rules.Max), at: now}
}

// SetRules changes the rules; what is saved up beyond them is lost.
func (b *Budget) SetRules(rules Rules) {
	b.rules = rules
	b.balance = min(b.balance, rules.Max)
}

// Succeeded pays a share of a retry in, and returns what of it is more than can be
// saved up.
func (b *Budget) Succeeded(now time.Duration) (spilled float64) {
	return b.Add(b.rules.Share, now)
}

// Add pays an amount in, and returns what of it is more than can be saved up.
func (b *Budget) Add(amount float64, now time.Duration) (spilled float64) {
	b.refill(now)
	paid := min(amount, max(0, b.rules.Max-b.balance))
	b.balance += paid
	return amount - paid
}

// Take spends one retry; false means that none is left, and nothing is spent.
func (b *Budget) Take(now time.Duration) bool {
	b.refill(now)
	if b.balance < 1 {
		return false
	}
	b.balance--
	return true
}

// ForceTake spends one retry whatever is left, for an answer that has begun. The
// debt is bounded, and keeps other retries back until it is paid.
func (b *Budget) ForceTake(now time.Duration) {
	b.refill(now)
	b.balance = max(-b.rules.Max, b.balance-1)
}

func (b *Budget) refill(now time.Duration) {
	if now <= b.at {
		return
	}
	b.balance = min(b.rules.Max, b.balance+b.rules.Floor*(now-b.at).Seconds())
	b.at = now
}
