// Package failpoint lets a test stop or kill a process at a named point of its
// code. It does nothing unless the environment variable SF_FAILPOINTS is set, as
// in "control.order.before_send=stop,once.claimed=kill@2". The process sends
// itself SIGSTOP or SIGKILL when it reaches the point for the first time, or for
// the time whose number follows the @.
package failpoint

import (
	"os"
	"runtime"
	"strconv"
	"strings"
	"sync"
	"syscall"

	"golang.org/x/sys/unix"
)

// Variable is the environment variable that enables failpoints.
const Variable = "SF_FAILPOINTS"

// point is one enabled failpoint.
type point struct {
	signal syscall.Signal
	// hitsLeft is the number of hits until the signal is sent, the one that sends it included.
	hitsLeft int
}

var (
	once   sync.Once
	mu     sync.Mutex // protects points
	points map[string]*point
)

// Hit marks a failpoint in the code. It returns at once unless the failpoint is
// enabled.
func Hit(name string) {
	once.Do(load)
	if len(points) == 0 {
		return
	}
	mu.Lock()
	p, ok := points[name]
	if !ok {
		mu.Unlock()
		return
	}
	p.hitsLeft--
	due := p.hitsLeft == 0
	mu.Unlock()
	if due {
		deliver(p.signal)
	}
}

// deliver sends a signal to the calling thread. A signal to the process could be
// delivered to another thread, and this thread would run past the failpoint until
// the stop takes effect on it.
func deliver(signal syscall.Signal) {
	runtime.LockOSThread()
	defer runtime.UnlockOSThread()
	_ = unix.Tgkill(os.Getpid(), unix.Gettid(), signal) // a process may signal itself
}

func load() {
	points = parse(os.Getenv(Variable))
}

// parse parses the value of Variable. It skips items that it cannot parse.
func parse(text string) map[string]*point {
	parsed := map[string]*point{}
	for _, item := range strings.Split(text, ",") {
		name, action, ok := strings.Cut(item, "=")
		if !ok {
			continue
		}
		action, number, _ := strings.Cut(action, "@")
		hits, err := strconv.Atoi(number)
		if err != nil {
			hits = 1
		}
		switch action {
		case "stop":
			parsed[name] = &point{signal: syscall.SIGSTOP, hitsLeft: hits}
		case "kill":
			parsed[name] = &point{signal: syscall.SIGKILL, hitsLeft: hits}
		}
	}
	return parsed
}
