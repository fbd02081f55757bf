package relay

import (
	"strings"
	"sync"
	"time"

	"sassafrasfield/internal/upstreamstate"
	"sassafrasfield/internal/usage"
	"sassafrasfield/internal/usagereport"
	"sassafrasfield/internal/wallclock"
)

// keptWindows is how many windows are counted: those that a report may wait with, and the
// two that go on or settle.
const keptWindows = usagereport.Kept + 2

// What is told again, for those who lost a report or have just started.
const (
	// republishEvery is the time between two such tellings. Counts are taken for
	// complete some seconds after a window's end.
	republishEvery = time.Second
	// republishedWindows is how many windows are told again: the one that goes on, the one that
	// settles, and one more. All ten that are kept would fill the reports, so that the
	// newest totals wait: 369 of 941 requests of a window were missed so.
	republishedWindows = 3
)

// usageCounter counts the requests that began to run. Without a window's length it counts
// none.
type usageCounter struct {
	length time.Duration
	clock  wallclock.Clock

	mu            sync.Mutex // protects all below
	tally         *usage.Tally
	republishedAt time.Time
}

func newUsageCounter(length time.Duration) *usageCounter {
	return &usageCounter{length: length, clock: wallclock.New(), tally: usage.NewTally()}
}

// countStarted counts a request that countStarted to run a time ago.
func (u *usageCounter) countStarted(organisation string, ago time.Duration) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.tally.Began(usage.WindowAt(u.clock.Now().Add(-ago), u.length), organisation)
}

// dueTotals returns the totals that are due in a report, by one of the tally's ways.
func (u *usageCounter) dueTotals(due func(*usage.Tally) []usage.Count) []usage.Count {
	if u.length <= 0 {
		return nil
	}
	u.mu.Lock()
	defer u.mu.Unlock()
	if now := u.clock.Now(); now.Sub(u.republishedAt) >= republishEvery {
		u.republishedAt = now
		u.tally.Forget(usage.WindowAt(now, u.length) - keptWindows)
		u.tally.TellAgain(usage.WindowAt(now, u.length) - republishedWindows + 1)
	}
	return due(u.tally)
}

// apply takes the totals of a report.
func (u *usageCounter) apply(source string, report upstreamstate.Report) {
	if u.length <= 0 || len(report.Usage) == 0 {
		return
	}
	u.mu.Lock()
	defer u.mu.Unlock()
	if strings.HasPrefix(source, upstreamstate.BesidePrefix) {
		u.tally.Hear(usage.Source{Name: source, Boot: report.Boot}, report.Usage)
		return
	}
	u.tally.HearZone(source, report.Usage)
}

// countUsage counts a request, once, that an upstream began to run at a time on the relay's
// clock.
func (r *Relay) countUsage(x *exchange, at time.Duration) {
	organisation := x.identity.Name()
	if x.counted || organisation == "" || r.usage.length <= 0 {
		return
	}
	x.counted = true
	r.usage.countStarted(organisation, r.now()-at)
}

// Usage returns what is known here of a window's requests at all instances.
func (r *Relay) Usage(window usage.Window) usage.Counts {
	r.usage.mu.Lock()
	defer r.usage.mu.Unlock()
	return r.usage.tally.Total(window)
}

// TimeOfDay is the time by which requests are counted.
func (r *Relay) TimeOfDay() time.Time { return r.usage.clock.Now() }
