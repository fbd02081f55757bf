// Package reach determines whether an instance has lost its network path to the upstreams of a service, while
// other instances may still have theirs. The instance then has others serve its requests.
//
// Inputs are the results of sends to upstreams, and of probes. An upstream that fails is told apart from a lost
// path by the other upstreams of its service: if most of those that were contacted since the failures began
// fail too, the path is lost. Only probes show that a lost path is back, because no request should depend on it.
//
// The package does no I/O. Times are passed in, on the instance's monotonic clock. Caller: relay.
package reach

import (
	"time"
)

// Settings configures a Path.
type Settings struct {
	// Window is how long the result of a send counts.
	Window time.Duration
	// MinFailures is the number of different upstreams that must have failed, or all if there are fewer.
	MinFailures int
	// FailuresPerAnswer is how many upstreams must have failed for each one that answered since the failures began.
	// More must have failed than that.
	FailuresPerAnswer int
	// Probes is the number of the last probes that decide whether the path is back: at least half of them must
	// have succeeded, the newest included.
	Probes int
}

// DefaultSettings returns the defaults.
func DefaultSettings() Settings {
	return Settings{Window: 3 * time.Second, MinFailures: 2, FailuresPerAnswer: 2, Probes: 4}
}

// failure is the newest failed send to an upstream.
type failure struct {
	began, at time.Duration
}

// Path is the path to the upstreams of one service. It is not safe for concurrent use.
type Path struct {
	settings Settings
	// failures holds the newest failure of each upstream that has not answered since, answers when each
	// upstream last answered.
	failures map[string]failure
	answers  map[string]time.Duration
	lost     bool
	// since is when the path was lost or came back.
	since time.Duration
	// probes holds the newest results of probes since the path was lost.
	probes []bool
}

// New returns a path without any observations.
func New(s Settings) *Path {
	return &Path{settings: s, failures: map[string]failure{}, answers: map[string]time.Duration{}}
}

// Lost reports whether the path is lost.
func (p *Path) Lost() bool { return p.lost }

// Since returns when the path was lost or came back.
func (p *Path) Since() time.Duration { return p.since }

// Evidence returns the numbers of upstreams that recently failed, and that answered since the first of these
// failures began.
func (p *Path) Evidence() (failed, answered int) {
	if len(p.failures) == 0 {
		return 0, len(p.answers)
	}
	first := p.firstFailure()
	for _, at := range p.answers {
		if at > first {
			answered++
		}
	}
	return len(p.failures), answered
}

// firstFailure returns when the oldest send that failed began.
func (p *Path) firstFailure() time.Duration {
	first := time.Duration(-1)
	for _, f := range p.failures {
		if first < 0 || f.began < first {
			first = f.began
		}
	}
	return first
}

// RecordFailure records that a send, which began at the given time, could not connect to an upstream. The
// service has the given number of upstreams. It reports whether the path is lost by that.
func (p *Path) RecordFailure(upstream string, upstreams int, began, now time.Duration) bool {
	if p.lost || p.answers[upstream] > began {
		return false
	}
	p.expire(now)
	p.failures[upstream] = failure{began: began, at: now}
	failed, answered := p.Evidence()
	if failed < min(p.settings.MinFailures, max(1, upstreams)) || failed <= p.settings.FailuresPerAnswer*answered {
		return false
	}
	p.lost, p.since, p.probes = true, now, nil
	return true
}

// RecordAnswer records that an upstream responded.
func (p *Path) RecordAnswer(upstream string, now time.Duration) {
	if p.lost {
		return
	}
	p.answers[upstream] = now
	delete(p.failures, upstream)
}

// RecordProbe records the result of a probe of one of the given number of upstreams. It reports whether the path
// is back by that.
func (p *Path) RecordProbe(reached bool, upstreams int, now time.Duration) bool {
	if !p.lost {
		return false
	}
	p.probes = append(p.probes, reached)
	p.probes = p.probes[max(0, len(p.probes)-p.settings.Probes):]
	if !reached || 2*countTrue(p.probes) < min(p.settings.Probes, max(1, upstreams)) {
		return false
	}
	p.restore(now)
	return true
}

// Forget ends the loss of a path that leads nowhere, because the service has no upstream any more.
func (p *Path) Forget(now time.Duration) { p.restore(now) }

func (p *Path) restore(now time.Duration) {
	clear(p.failures)
	clear(p.answers)
	p.lost, p.since, p.probes = false, now, nil
}

// expire drops the results that no longer count.
func (p *Path) expire(now time.Duration) {
	for upstream, f := range p.failures {
		if now-f.at > p.settings.Window {
			delete(p.failures, upstream)
		}
	}
	for upstream, at := range p.answers {
		if now-at > p.settings.Window {
			delete(p.answers, upstream)
		}
	}
}

func countTrue(list []bool) int {
	n := 0
	for _, is := range list {
		if is {
			n++
		}
	}
	return n
}
