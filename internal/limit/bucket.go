package limit

import "time"

// bucket is a token bucket; a token is one request.
type bucket struct {
	tokens float64
	rate   float64 // tokens a second
	burst  float64 // the most tokens it holds
	at     time.Duration
}

// set changes the rate and size from now on. Tokens over the new size are
// lost, so that a change of share never adds any.
func (b *bucket) set(rate, burst float64, now time.Duration) {
	b.refill(now)
	b.rate, b.burst = rate, burst
	b.tokens = min(b.tokens, burst)
}

func (b *bucket) refill(now time.Duration) {
	if now <= b.at {
		return
	}
	b.tokens = min(b.burst, b.tokens+b.rate*(now-b.at).Seconds())
	b.at = now
}

// take spends one token; false means that there is none.
func (b *bucket) take(now time.Duration) bool {
	b.refill(now)
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// force spends one token and may leave a debt, as large as the bucket; false
// means that the debt is that large already.
func (b *bucket) force(now time.Duration) bool {
	b.refill(now)
	if b.tokens-1 < -b.burst {
		return false
	}
	b.tokens--
	return true
}

// until returns the time until the bucket holds n tokens, at most longest.
func (b *bucket) until(n float64) time.Duration {
	missing := n - b.tokens
	if missing <= 0 {
		return 0
	}
	if b.rate*longest.Seconds() <= missing {
		return longest
	}
	return time.Duration(missing / b.rate * float64(time.Second))
}
