// Package wallclock provides a time of day that does not jump when the system clock is set. It
// reads the system clock once, when the process starts, and advances with the boot clock from then
// on. So a step of the system clock does not affect anything that this process counts by time. The
// system clock must be right when the process starts, within the time that remains before counts are
// treated as complete.
//
// Callers: relay (usage windows), instance.
package wallclock

import (
	"time"

	"sassafrasfield/internal/bootclock"
)

// Clock is a time of day that advances with the boot clock. It is safe for concurrent use.
type Clock struct {
	start time.Time
	boot  time.Duration
}

// New returns a clock that starts at the system's time of day.
func New() Clock { return startingAt(time.Now(), bootclock.Now()) }

func startingAt(start time.Time, boot time.Duration) Clock {
	return Clock{start: start.Round(0), boot: boot} // strips the monotonic reading, which stops during suspend
}

// Now returns the time of day.
func (c Clock) Now() time.Time { return c.atBootTime(bootclock.Now()) }

func (c Clock) atBootTime(boot time.Duration) time.Time { return c.start.Add(boot - c.boot) }
