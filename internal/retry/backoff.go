package retry

import (
	"math/rand/v2"
	"time"
)

// Backoff sets the delays between the attempts at one request.
type Backoff struct {
	// Base bounds the delay before the first retry.
	Base time.Duration
	// Max bounds each delay.
	Max time.Duration
}

// Delay returns the delay before a retry; the first retry has number 1. The delay
// is random between 0 and a bound that doubles with each retry (full jitter).
func (b Backoff) Delay(retry int, rng *rand.Rand) time.Duration {
	bound := b.Base
	for i := 1; i < retry && bound < b.Max; i++ {
		bound *= 2
	}
	bound = min(bound, b.Max)
	if bound <= 0 {
		return 0
	}
	return time.Duration(rng.Int64N(int64(bound) + 1))
}

// Jittered adds random jitter to a retry delay that is sent to callers. The jitter
// lies between 0 and half of the delay, or 1 s if that is longer. It keeps callers
// that were refused together from retrying together, although Retry-After has a
// resolution of whole seconds.
func Jittered(d time.Duration, rng *rand.Rand) time.Duration {
	spread := max(d/2, time.Second)
	return max(d, 0) + time.Duration(rng.Int64N(int64(spread)+1))
}
