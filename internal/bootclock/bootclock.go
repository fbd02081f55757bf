// Package bootclock is a monotonic clock that goes on while the machine is
// suspended, unlike the one behind time.Since.
package bootclock

import (
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sys/unix"
)

// Now returns the time since the machine's start. It means nothing on another
// machine.
func Now() time.Duration {
	var at unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &at); err != nil {
		panic(errors.Wrap(err, "bootclock")) // Linux has had this clock since 2.6.39
	}
	return time.Duration(at.Nano())
}
