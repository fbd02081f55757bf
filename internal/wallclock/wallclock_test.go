package wallclock

import (
	"testing"
	"time"
)

// TestNowFollowsTheBootClockOnly checks that a clock advances with the boot clock and does not read the
// system clock again.
func TestNowFollowsTheBootClockOnly(t *testing.T) {
	start := time.Now()
	c := startingAt(start, time.Hour)
	if got := c.atBootTime(time.Hour + 3*time.Second); got.Sub(start.Round(0)) != 3*time.Second {
		t.Errorf("%s after the start", got.Sub(start.Round(0)))
	}
	if d := time.Until(New().Now()); d > time.Second || d < -time.Second {
		t.Errorf("%s off at the start", d)
	}
}
