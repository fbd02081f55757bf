// Package retry decides whether a failed attempt is retried, and when. A budget
// limits retries to a share of the recent successes, so that retries do not
// overload a failing fleet further. Delays are exponential with full jitter. The
// package has no side effects: times are passed in as monotonic durations, and
// randomness as a seeded source.
package retry

import "time"

// Rules configure a Budget.
type Rules struct {
	// Share is the number of retries that each success adds to the balance, such
	// as 0.1.
	Share float64
	// Floor is the number of retries per second that are allowed without any
	// success.
	Floor float64
	// Max bounds the balance, in retries.
	Max float64
}

// Budget is a token bucket of retries: its balance is the number of retries that
// may still be made. It is not safe for concurrent use.
type Budget struct {
	rules     Rules
	balance   float64
	updatedAt time.Duration
}

// NewBudget returns a budget whose balance starts at one second of the floor rate.
func NewBudget(rules Rules, now time.Duration) *Budget {
	return &Budget{rules: rules, balance: min(rules.Floor, rules.Max), updatedAt: now}
}

// SetRules changes the rules. It reduces the balance to the new maximum.
func (b *Budget) SetRules(rules Rules) {
	b.rules = rules
	b.balance = min(b.balance, rules.Max)
}

// Succeeded adds the share of one success to the balance. It returns the part that
// exceeds the maximum balance and is not added.
func (b *Budget) Succeeded(now time.Duration) (overflow float64) {
	return b.Add(b.rules.Share, now)
}

// Add adds an amount to the balance. It returns the part that exceeds the maximum
// balance and is not added.
func (b *Budget) Add(amount float64, now time.Duration) (overflow float64) {
	b.refill(now)
	added := min(amount, max(0, b.rules.Max-b.balance))
	b.balance += added
	return amount - added
}

// Take takes one retry from the balance. It returns false, and takes nothing, when
// less than one is left.
func (b *Budget) Take(now time.Duration) bool {
	b.refill(now)
	if b.balance < 1 {
		return false
	}
	b.balance--
	return true
}

// ForceTake takes one retry whatever the balance, for a response that has already
// started. The balance may become negative, down to -Max; other retries are then
// denied until it has recovered.
func (b *Budget) ForceTake(now time.Duration) {
	b.refill(now)
	b.balance = max(-b.rules.Max, b.balance-1)
}

// refill adds the floor rate for the time since the last update.
func (b *Budget) refill(now time.Duration) {
	if now <= b.updatedAt {
		return
	}
	b.balance = min(b.rules.Max, b.balance+b.rules.Floor*(now-b.updatedAt).Seconds())
	b.updatedAt = now
}
