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

// keptWindows is how many windows are counted: those whose usage report may still be pending, the
// current one, and the previous one, whose counts are still arriving.
const keptWindows = usagereport.MaxUnsent + 2

// Totals are republished for instances that lost a report or have just started.
const (
	// republishEvery is the time between two republications. Counts are treated as complete some
	// seconds after a window's end.
	republishEvery = time.Second
	// republishedWindows is how many windows are republished: the current one, the previous
	// one, whose counts are still arriving, and one more. Republishing all ten that are kept would
	// fill the reports and delay the newest totals: 369 of 941 requests of a window were missed
	// that way.
	republishedWindows = 3
)

// usageCounter counts the requests that began to run. It counts none if length is 0.
type usageCounter struct {
	length time.Duration
	clock  wallclock.Clock

	mu            sync.Mutex // protects the fields below
	tally         *usage.Tally
	republishedAt time.Time
}

func newUsageCounter(length time.Duration) *usageCounter {
	return &usageCounter{length: length, clock: wallclock.New(), tally: usage.NewTally()}
}

// countStarted counts a request that began to run the given time ago.
func (u *usageCounter) countStarted(organisation string, ago time.Duration) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.tally.CountRequest(usage.WindowAt(u.clock.Now().Add(-ago), u.length), organisation)
}

// dueTotals returns the totals that are due in one kind of report.
func (u *usageCounter) dueTotals(due func(*usage.Tally) []usage.Count) []usage.Count {
	if u.length <= 0 {
		return nil
	}
	u.mu.Lock()
	defer u.mu.Unlock()
	if now := u.clock.Now(); now.Sub(u.republishedAt) >= republishEvery {
		u.republishedAt = now
		u.tally.DropBefore(usage.WindowAt(now, u.length) - keptWindows)
		u.tally.Republish(usage.WindowAt(now, u.length) - republishedWindows + 1)
	}
	return due(u.tally)
}

// apply merges the totals of a report.
func (u *usageCounter) apply(source string, report upstreamstate.Report) {
	if u.length <= 0 || len(report.Usage) == 0 {
		return
	}
	u.mu.Lock()
	defer u.mu.Unlock()
	if strings.HasPrefix(source, upstreamstate.InstanceSourcePrefix) {
		u.tally.MergeInstance(usage.Source{Name: source, Boot: report.Boot}, report.Usage)
		return
	}
	u.tally.MergeZone(source, report.Usage)
}

// countUsage counts a request, once, that an upstream began to run at a time on the relay's clock.
func (r *Relay) countUsage(x *exchange, at time.Duration) {
	organisation := x.identity.Name()
	if x.counted || organisation == "" || r.usage.length <= 0 {
		return
	}
	x.counted = true
	r.usage.countStarted(organisation, r.now()-at)
}

// Usage returns the requests of a window at all instances, as far as they are known here.
func (r *Relay) Usage(window usage.Window) usage.Counts {
	r.usage.mu.Lock()
	defer r.usage.mu.Unlock()
	return r.usage.tally.Total(window)
}

// TimeOfDay returns the time by which requests are counted.
func (r *Relay) TimeOfDay() time.Time { return r.usage.clock.Now() }
