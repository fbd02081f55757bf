// Package bootclock reads a monotonic clock that keeps running while the machine
// is suspended, unlike the clock that time.Since uses.
package bootclock

import (
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sys/unix"
)

// Now returns the time since the machine booted. Values of different machines
// are not comparable.
func Now() time.Duration {
	var at unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &at); err != nil {
		panic(errors.Wrap(err, "bootclock")) // Linux has had this clock since 2.6.39
	}
	return time.Duration(at.Nano())
}
