package picture

import (
	"math"
	"time"
)

// rateOver is the time over which what was placed fades from a rate: shorter than
// the bursts of three seconds that the split of the roles and the order of prompts
// have to follow.
const rateOver = time.Second

// rate is an amount placed in a time, smoothed; in engines' time, 1 is as much as
// one engine can do.
type rate struct {
	value float64 // a second
	at    time.Duration
}

// add counts an amount that is placed now.
func (r *rate) add(amount float64, now time.Duration) {
	r.value = r.now(now) + amount/rateOver.Seconds()
	r.at = now
}

// now returns the rate a second.
func (r *rate) now(now time.Duration) float64 {
	return r.value * math.Exp(-(now-r.at).Seconds()/rateOver.Seconds())
}
