package upstreamstate

import (
	"math"
	"time"
)

// rateTimeConstant is the time over which what was placed fades from a rate: shorter than
// the bursts of three seconds that the split of the roles and the order of prompts
// have to follow.
const rateTimeConstant = time.Second

// rate is an amount placed in a time, smoothed; in engines' time, 1 is as much as
// one engine can do.
type rate struct {
	value float64 // a second
	at    time.Duration
}

// add counts an amount that is placed now.
func (r *rate) add(amount float64, now time.Duration) {
	r.set(r.valueAt(now)+amount/rateTimeConstant.Seconds(), now)
}

// set sets the rate a second.
func (r *rate) set(value float64, now time.Duration) { r.value, r.at = value, now }

// valueAt returns the rate a second.
func (r *rate) valueAt(now time.Duration) float64 { return decayed(r.value, now-r.at) }

// decayed is what is left of a rate after a time in which nothing was placed.
func decayed(value float64, since time.Duration) float64 {
	if value == 0 || since <= 0 {
		return value
	}
	return value * math.Exp(-since.Seconds()/rateTimeConstant.Seconds())
}
