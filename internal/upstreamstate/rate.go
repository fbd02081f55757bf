package upstreamstate

import (
	"math"
	"time"
)

// rateTimeConstant is the time constant of the decay of a rate. It is shorter than bursts of three
// seconds, which the split of the roles and the queue order of prompts have to follow.
const rateTimeConstant = time.Second

// rate is a smoothed amount per time. For the utilization of an engine, 1 is what one engine can
// process.
type rate struct {
	value float64 // per second
	at    time.Duration
}

// add adds an amount placed now.
func (r *rate) add(amount float64, now time.Duration) {
	r.set(r.valueAt(now)+amount/rateTimeConstant.Seconds(), now)
}

// set sets the rate per second.
func (r *rate) set(value float64, now time.Duration) { r.value, r.at = value, now }

// valueAt returns the rate per second.
func (r *rate) valueAt(now time.Duration) float64 { return decayed(r.value, now-r.at) }

// decayed returns a rate after a time without additions.
func decayed(value float64, since time.Duration) float64 {
	if value == 0 || since <= 0 {
		return value
	}
	return value * math.Exp(-since.Seconds()/rateTimeConstant.Seconds())
}
