// Package failpoint lets a process test stop or end a process at a named point
// of its work. It does nothing unless the environment variable SF_FAILPOINTS
// is set, as in "control.order.before_send=stop,once.claimed=kill@2": at the
// point the process sends itself SIGSTOP or SIGKILL, at its first passing or
// at the one numbered after @.
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

// Variable is the environment variable that switches points on.
const Variable = "SF_FAILPOINTS"

// point is one switched-on point.
type point struct {
	signal syscall.Signal
	// left is how many more passings there are until the signal.
	left int
}

var (
	once   sync.Once
	mu     sync.Mutex // protects points
	points map[string]*point
)

// Hit marks a point of the work. It returns at once unless the point is
// switched on.
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
	p.left--
	due := p.left == 0
	mu.Unlock()
	if due {
		deliver(p.signal)
	}
}

// deliver sends a signal to the calling thread. A signal to the process could
// be taken by another thread, and this one would run on past the point until
// the stop reaches it.
func deliver(signal syscall.Signal) {
	runtime.LockOSThread()
	defer runtime.UnlockOSThread()
	_ = unix.Tgkill(os.Getpid(), unix.Gettid(), signal) // a process may signal itself
}

func load() {
	points = parse(os.Getenv(Variable))
}

// parse reads the variable. What it does not understand it leaves out.
func parse(text string) map[string]*point {
	parsed := map[string]*point{}
	for _, item := range strings.Split(text, ",") {
		name, action, ok := strings.Cut(item, "=")
		if !ok {
			continue
		}
		action, number, _ := strings.Cut(action, "@")
		passing, err := strconv.Atoi(number)
		if err != nil {
			passing = 1
		}
		switch action {
		case "stop":
			parsed[name] = &point{signal: syscall.SIGSTOP, left: passing}
		case "kill":
			parsed[name] = &point{signal: syscall.SIGKILL, left: passing}
		}
	}
	return parsed
}
