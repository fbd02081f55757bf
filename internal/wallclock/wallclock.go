// Package wallclock tells the time of day as it was when the process started, and as it has
// gone on since by the clock that nobody sets. So a step of the machine's time of day moves
// nothing that this process counts; what is relied on is that the time was right at its
// start, within the time that is left before counts are taken for complete.
//
// Callers: relay (windows of usage), instance.
package wallclock

import (
	"time"

	"sassafrasfield/internal/bootclock"
)

// Clock is safe for use by several goroutines.
type Clock struct {
	start time.Time
	boot  time.Duration
}

// New returns a clock that starts with the machine's time of day.
func New() Clock { return at(time.Now(), bootclock.Now()) }

func at(start time.Time, boot time.Duration) Clock {
	return Clock{start: start.Round(0), boot: boot} // without the steady reading, which stands while suspended
}

// Now is the time of day.
func (c Clock) Now() time.Time { return c.after(bootclock.Now()) }

func (c Clock) after(boot time.Duration) time.Time { return c.start.Add(boot - c.boot) }
