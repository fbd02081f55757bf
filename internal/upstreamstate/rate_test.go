package upstreamstate

import (
	"testing"
	"time"
)

func TestRateFollowsInput(t *testing.T) {
	var r rate
	now := time.Duration(0)
	const step = rateTimeConstant / 40
	for range 400 { // utilization 0.3
		now += step
		r.add(0.3*step.Seconds(), now)
	}
	if got := r.valueAt(now); got < 0.29 || got > 0.31 {
		t.Errorf("rate %g, want 0.3", got)
	}
	if got := r.valueAt(now + 5*rateTimeConstant); got > 0.01 {
		t.Errorf("rate %g long after the last addition", got)
	}
}
