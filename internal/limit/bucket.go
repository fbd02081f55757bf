package limit

import "time"

// Bucket is a token bucket; a token is one request. It is not safe for concurrent use.
type Bucket struct {
	tokens float64
	rate   float64 // tokens a second
	burst  float64 // the most tokens it holds
	at     time.Duration
}

// NewBucket returns a bucket without tokens, a rate and a size.
func NewBucket(now time.Duration) *Bucket { return &Bucket{at: now} }

// Set changes the rate and size from now on. Tokens over the new size are
// lost, so that a change of share never adds any.
func (b *Bucket) Set(rate, burst float64, now time.Duration) {
	b.refill(now)
	b.rate, b.burst = rate, burst
	b.tokens = min(b.tokens, burst)
}

func (b *Bucket) refill(now time.Duration) {
	if now <= b.at {
		return
	}
	b.tokens = min(b.burst, b.tokens+b.rate*(now-b.at).Seconds())
	b.at = now
}

// take spends one token; false means that there is none.
func (b *Bucket) take(now time.Duration) bool { return b.TakeReserving(0, now) }

// force spends one token and may leave a debt, as large as the bucket; false
// means that the debt is that large already.
func (b *Bucket) force(now time.Duration) bool { return b.TakeReserving(-b.burst, now) }

// TakeReserving spends one token if so many are left after it; a negative number allows a
// debt. False means that none is spent.
func (b *Bucket) TakeReserving(least float64, now time.Duration) bool {
	b.refill(now)
	if b.tokens-1 < least {
		return false
	}
	b.tokens--
	return true
}

// Until returns the time until the bucket holds n tokens, at most longest.
func (b *Bucket) Until(n float64) time.Duration {
	missing := n - b.tokens
	if missing <= 0 {
		return 0
	}
	if b.rate*longest.Seconds() <= missing {
		return longest
	}
	return time.Duration(missing / b.rate * float64(time.Second))
}
