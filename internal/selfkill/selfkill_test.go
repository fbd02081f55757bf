package selfkill

import (
	"os"
	"os/exec"
	"syscall"
	"testing"
	"time"

	"sassafrasfield/internal/bootclock"
)

// roleVariable is the environment variable that makes the test binary run as a
// child process with a timer.
const roleVariable = "SF_SELFKILL_ROLE"

// killAfter is the time after its start at which a child's timer expires.
const killAfter = 300 * time.Millisecond

func TestMain(m *testing.M) {
	switch os.Getenv(roleVariable) {
	case "frozen":
		child(true)
	case "running":
		child(false)
	case "disarmed":
		disarmed()
	default:
		os.Exit(m.Run())
	}
}

// child arms a timer, freezes itself if asked to, and writes a line if it is
// still running a minute after the timer's expiry.
func child(freeze bool) {
	at := bootclock.Now() + killAfter
	if _, err := Arm(at); err != nil {
		_, _ = os.Stdout.WriteString(err.Error())
		os.Exit(1)
	}
	if freeze {
		_ = syscall.Kill(os.Getpid(), syscall.SIGSTOP)
	}
	for bootclock.Now() < at+time.Minute {
		time.Sleep(time.Millisecond)
	}
	_, _ = os.Stdout.WriteString("ran on")
}

// disarmed arms and disarms a timer, and exits after the time at which the timer
// would have expired.
func disarmed() {
	at := bootclock.Now() + killAfter
	timer, err := Arm(at)
	if err == nil {
		err = timer.Disarm()
	}
	for bootclock.Now() < at+killAfter {
		time.Sleep(time.Millisecond)
	}
	if err != nil {
		os.Exit(1)
	}
	os.Exit(0)
}

// run starts this test binary in a role and returns its output and its exit
// status.
func run(t *testing.T, role string) (string, syscall.WaitStatus) {
	t.Helper()
	cmd := exec.Command(os.Args[0])
	cmd.Env = append(os.Environ(), roleVariable+"="+role)
	output, _ := cmd.Output() // the caller checks the exit status
	return string(output), cmd.ProcessState.Sys().(syscall.WaitStatus)
}

// TestTimerKillsFrozenAndRunningProcess checks that the timer kills a frozen process
// and a running one. Nothing resumes the frozen process.
func TestTimerKillsFrozenAndRunningProcess(t *testing.T) {
	for _, role := range []string{"frozen", "running"} {
		output, status := run(t, role)
		if !status.Signaled() || status.Signal() != syscall.SIGKILL || output != "" {
			t.Errorf("%s: ended with %v, wrote %q; want SIGKILL and nothing written", role, status, output)
		}
	}
}

func TestDisarmedTimerDoesNothing(t *testing.T) {
	if output, status := run(t, "disarmed"); status.ExitStatus() != 0 {
		t.Errorf("ended with %v, wrote %q; want a clean end", status, output)
	}
}
