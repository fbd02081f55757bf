package wallclock

import (
	"testing"
	"time"
)

// TestOnlyTheSteadyClockCounts: what the machine's time of day does later is not asked for.
func TestOnlyTheSteadyClockCounts(t *testing.T) {
	start := time.Now()
	c := at(start, time.Hour)
	if got := c.after(time.Hour + 3*time.Second); got.Sub(start.Round(0)) != 3*time.Second {
		t.Errorf("%s after the start", got.Sub(start.Round(0)))
	}
	if d := time.Until(New().Now()); d > time.Second || d < -time.Second {
		t.Errorf("%s off at the start", d)
	}
}
