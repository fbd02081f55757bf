package retry

import (
	"math/rand/v2"
	"time"
)

// Backoff sets the waits between the attempts of one request.
type Backoff struct {
	// Base bounds the wait before the first retry.
	Base time.Duration
	// Max bounds each wait.
	Max time.Duration
}

// Delay returns the wait before a retry, which counts from 1: a random time up
// to a bound that doubles with each retry (full jitter).
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

// Jittered adds a random part to a time told to callers, up to half of it and
// at least up to a second, so that those refused together do not come back
// together though Retry-After has whole seconds.
func Jittered(d time.Duration, rng *rand.Rand) time.Duration {
	spread := max(d/2, time.Second)
	return max(d, 0) + time.Duration(rng.Int64N(int64(spread)+1))
}
