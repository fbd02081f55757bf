// Package selfkill kills this process at a given time with a kernel timer. The
// kernel delivers SIGKILL, so a process that is frozen (SIGSTOP, a cgroup
// freezer) at that time executes no further instruction of its own when it is
// resumed. Checking the time in the program is not enough: the process can be
// frozen between the check and the action that the check allows.
//
// The clock is CLOCK_BOOTTIME, which keeps running while the process is stopped
// and while the machine is suspended. It does not run while a virtual machine is
// paused by its hypervisor.
package selfkill

import (
	"runtime"
	"time"
	"unsafe"

	"github.com/pkg/errors"
	"golang.org/x/sys/unix"
)

// notifySignal is SIGEV_SIGNAL of the kernel's interface: the timer sends a
// signal to the process when it expires.
const notifySignal = 0

// timerAbsolute is TIMER_ABSTIME: the expiry is an absolute time of the clock.
const timerAbsolute = 1

// sigevent is the kernel's struct sigevent on 64-bit machines.
type sigevent struct {
	value  uint64
	signo  int32
	notify int32
	_      [48]byte
}

// itimerspec is the kernel's struct itimerspec.
type itimerspec struct {
	interval unix.Timespec
	value    unix.Timespec
}

// Timer is one kernel timer. It is not safe for concurrent use.
type Timer struct {
	id int32
}

// Arm makes the kernel kill this process when bootclock.Now reaches the given
// time, unless Disarm is called before. A time in the past kills the process at
// once.
func Arm(at time.Duration) (*Timer, error) {
	event := sigevent{signo: int32(unix.SIGKILL), notify: notifySignal}
	t := &Timer{}
	_, _, errno := unix.Syscall(unix.SYS_TIMER_CREATE, unix.CLOCK_BOOTTIME,
		uintptr(unsafe.Pointer(&event)), uintptr(unsafe.Pointer(&t.id)))
	runtime.KeepAlive(&event)
	if errno != 0 {
		return nil, errors.Wrap(errno, "selfkill: create")
	}
	// A zero value would disarm the timer instead of firing it at once.
	spec := itimerspec{value: unix.NsecToTimespec(max(int64(at), 1))}
	_, _, errno = unix.Syscall6(unix.SYS_TIMER_SETTIME, uintptr(t.id), timerAbsolute,
		uintptr(unsafe.Pointer(&spec)), 0, 0, 0)
	if errno != 0 {
		return nil, errors.Wrap(errors.WithMessage(errno, t.disarmResult()), "selfkill: arm")
	}
	return t, nil
}

// Disarm removes the timer, so that it does not kill the process.
func (t *Timer) Disarm() error {
	_, _, errno := unix.Syscall(unix.SYS_TIMER_DELETE, uintptr(t.id), 0, 0)
	if errno != 0 {
		return errors.Wrap(errno, "selfkill: disarm")
	}
	return nil
}

// disarmResult removes a timer that could not be set, and describes the outcome for the
// error message.
func (t *Timer) disarmResult() string {
	if err := t.Disarm(); err != nil {
		return err.Error()
	}
	return "removed again"
}
