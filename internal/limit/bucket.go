package limit

import "time"

// Bucket is a token bucket. It is not safe for concurrent use.
type Bucket struct {
	tokens     float64
	rate       float64 // tokens a second
	burst      float64 // the capacity in tokens
	refilledAt time.Duration
}

// NewBucket returns an empty bucket; its rate and capacity are 0 until Set is called.
func NewBucket(now time.Duration) *Bucket { return &Bucket{refilledAt: now} }

// Set changes the rate and the capacity from now on. Tokens in excess of the new capacity are dropped, so
// that a change of the share never adds tokens.
func (b *Bucket) Set(rate, burst float64, now time.Duration) {
	b.refill(now)
	b.rate, b.burst = rate, burst
	b.tokens = min(b.tokens, burst)
}

func (b *Bucket) refill(now time.Duration) {
	if now <= b.refilledAt {
		return
	}
	b.tokens = min(b.burst, b.tokens+b.rate*(now-b.refilledAt).Seconds())
	b.refilledAt = now
}

// spend takes n tokens if the balance is not negative, and reports whether it did. It may leave a debt of up to
// n tokens, so that requests with a high cost are not refused more often than others.
func (b *Bucket) spend(n float64, now time.Duration) bool {
	b.refill(now)
	if b.tokens < 0 {
		return false
	}
	b.tokens -= n
	return true
}

// add returns n tokens that were taken and not used.
func (b *Bucket) add(n float64) { b.tokens = min(b.burst, b.tokens+n) }

// take spends one token, and reports whether there was one.
func (b *Bucket) take(now time.Duration) bool { return b.TakeReserving(0, now) }

// takeWithDebt spends one token even if the bucket is empty, up to a debt as large as the capacity. It
// reports whether it spent the token.
func (b *Bucket) takeWithDebt(now time.Duration) bool { return b.TakeReserving(-b.burst, now) }

// TakeReserving spends one token if at least reserve tokens are left after it, and reports whether it did. A
// negative reserve allows a debt.
func (b *Bucket) TakeReserving(reserve float64, now time.Duration) bool {
	b.refill(now)
	if b.tokens-1 < reserve {
		return false
	}
	b.tokens--
	return true
}

// Until returns the time until the bucket holds n tokens, at most maxWait.
func (b *Bucket) Until(n float64) time.Duration {
	missing := n - b.tokens
	if missing <= 0 {
		return 0
	}
	if b.rate*maxWait.Seconds() <= missing {
		return maxWait
	}
	return time.Duration(missing / b.rate * float64(time.Second))
}
