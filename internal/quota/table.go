package quota

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// Source is where an announcement was received.
type Source int

const (
	// Own: this instance received the upstream's answer.
	Own Source = iota
	// SameZone: another instance of this zone received it.
	SameZone
	// OtherZone: an instance of another zone received it.
	OtherZone
)

// String returns the name of the source in logs.
func (s Source) String() string {
	return [...]string{"own", "zone", "other zones"}[s]
}

// Intervals and thresholds of a Table.
const (
	// reorderWindow is how much newer an announcement of a higher rate must be than that of a lower rate to
	// replace it. Answers on different connections overtake one another by less.
	reorderWindow = 500 * time.Millisecond
	// removalDelay is how long answers must name no limit before the limit counts as lifted.
	removalDelay = 2 * time.Second
	// republishInterval is the time after which an announcement is published again: reports may be lost,
	// and an instance that has just started knows no announcements.
	republishInterval = 500 * time.Millisecond
	// A changed announcement is published earlyRepeats times at earlyInterval first: it crosses three
	// hops, any of which may lose it, and others must act on it within two seconds.
	earlyInterval = 150 * time.Millisecond
	earlyRepeats  = 5
	// publishRemovalFor is how long the removal of a limit is published.
	publishRemovalFor = 10 * time.Second
	// keepUnlisted is how long the announcements of an upstream that is not listed are kept.
	keepUnlisted = time.Minute
	// minRateChange is the relative change of a rate above which it is published at once and returned as a
	// Change.
	minRateChange = 0.01
)

// maxReported is the maximum number of upstreams in a report; those published longest ago come first.
const maxReported = 64

// entry is the state that one upstream announced.
type entry struct {
	rate     float64
	draining bool
	source   Source
	// receivedAt is when the newest answer with this state came.
	receivedAt time.Duration
	// publishedAt is when the entry was last published, by audience.
	publishedAt [audiences]time.Duration
	// published counts the publications since the last change, by audience.
	published [audiences]int
}

// publishDue reports whether the entry is due to be published to an audience.
func (e *entry) publishDue(audience int, now time.Duration) bool {
	interval := republishInterval
	if e.published[audience] < earlyRepeats {
		interval = earlyInterval
	}
	return now-e.publishedAt[audience] >= interval
}

// Audiences of published announcements; audiences is their number.
const (
	toZone = iota
	toOtherZones
	audiences
)

// never is a time before all others.
const never = time.Duration(math.MinInt64 / 2)

// Change is a change of an upstream's known limit or drain state.
type Change struct {
	Upstream      uint32
	OldRate, Rate float64
	// StartsDraining is true if the upstream was not known to be shutting down before.
	StartsDraining bool
	Source         Source
	// Age of the answer with the announcement.
	Age time.Duration
}

// Table holds the announcements of upstreams that an instance knows. It is not safe for concurrent use.
type Table struct {
	entries map[uint32]*entry
}

// NewTable returns an empty table.
func NewTable() *Table { return &Table{entries: map[uint32]*entry{}} }

// Rate returns the rate that an upstream is limited to, or Unlimited.
func (t *Table) Rate(upstream uint32) float64 {
	if e, ok := t.entries[upstream]; ok {
		return e.rate
	}
	return Unlimited
}

// Limited reports whether an upstream limits its requests.
func (t *Table) Limited(upstream uint32) bool { return !math.IsInf(t.Rate(upstream), 1) }

// Draining reports whether an upstream has announced that it is shutting down.
func (t *Table) Draining(upstream uint32) bool {
	e, known := t.entries[upstream]
	return known && e.draining
}

// Any reports whether the table has any entry: an upstream with an announcement, or one whose limit was
// lifted recently.
func (t *Table) Any() bool { return len(t.entries) > 0 }

// Lookup returns the limit of an upstream. firstHand is true if this instance received it from the upstream
// itself; known is false for an upstream that has no entry.
func (t *Table) Lookup(upstream uint32, now time.Duration) (l UpstreamLimit, firstHand, known bool) {
	e, known := t.entries[upstream]
	if !known {
		return UpstreamLimit{Upstream: upstream, Rate: Unlimited}, false, false
	}
	return e.limit(upstream, now), e.source == Own, true
}

// limit returns the entry in the form in which it is reported.
func (e *entry) limit(upstream uint32, now time.Duration) UpstreamLimit {
	return UpstreamLimit{Upstream: upstream, Rate: e.rate, Draining: e.draining, Age: now - e.receivedAt}
}

// All returns the limits of all upstreams in the table, with those lifted recently.
func (t *Table) All(now time.Duration) []UpstreamLimit {
	var limits []UpstreamLimit
	for upstream, e := range t.entries {
		limits = append(limits, e.limit(upstream, now))
	}
	return limits
}

// Remove deletes the entry of an upstream.
func (t *Table) Remove(upstream uint32) { delete(t.entries, upstream) }

// ApplyAnnouncement applies an announcement in an answer to this instance. It returns the change, and whether
// there is one.
func (t *Table) ApplyAnnouncement(upstream uint32, a Announcement, now time.Duration) (Change, bool) {
	return t.apply(UpstreamLimit{Upstream: upstream, Rate: a.rate(), Draining: a.Draining}, Own, now)
}

// ApplyReport applies a limit that another instance reported, unless its rate is invalid. It returns the
// change, and whether there is one.
func (t *Table) ApplyReport(l UpstreamLimit, source Source, now time.Duration) (Change, bool) {
	if math.IsNaN(l.Rate) || l.Rate <= 0 {
		return Change{}, false
	}
	return t.apply(l, source, now)
}

// apply applies a limit from any source. It returns the change, and whether there is one.
func (t *Table) apply(l UpstreamLimit, source Source, now time.Duration) (Change, bool) {
	e, known := t.entries[l.Upstream]
	if !known {
		if !l.Limited() && !l.Draining {
			return Change{}, false
		}
		e = &entry{rate: Unlimited, receivedAt: never}
		t.entries[l.Upstream] = e
	}
	change := Change{Upstream: l.Upstream, OldRate: e.rate, Rate: e.rate, Source: source, Age: l.Age}
	if l.Draining && !e.draining {
		e.draining, e.source, change.StartsDraining = true, source, true
		e.receivedAt = max(e.receivedAt, now-l.Age)
	}
	if e.applyRate(l, source, now) {
		change.Rate = l.Rate
	}
	if !change.significant() {
		return Change{}, false
	}
	e.publishedAt, e.published = [audiences]time.Duration{never, never}, [audiences]int{}
	return change, true
}

// applyRate replaces the entry's rate if the limit is newer, and reports whether it did. Of two rates whose
// order is uncertain, the lower one is kept.
func (e *entry) applyRate(l UpstreamLimit, source Source, now time.Duration) bool {
	at := now - l.Age
	if at <= e.receivedAt-reorderWindow || l.Rate > e.rate && at <= e.receivedAt+increaseDelay(l.Rate) {
		return false
	}
	if math.IsInf(l.Rate, 1) && e.rate == l.Rate {
		return false // the removal is published for a time that counts from when the limit was lifted
	}
	if e.rate != l.Rate || at > e.receivedAt+reorderWindow {
		e.source = source
	}
	e.rate, e.receivedAt = l.Rate, max(e.receivedAt, at)
	return true
}

// significant reports whether the upstream starts draining, or its rate changes by more than minRateChange.
func (c Change) significant() bool {
	if c.StartsDraining {
		return true
	}
	if math.IsInf(c.OldRate, 1) || math.IsInf(c.Rate, 1) {
		return c.OldRate != c.Rate
	}
	return math.Abs(c.OldRate-c.Rate) > minRateChange*c.OldRate
}

// increaseDelay returns how much newer than the current announcement one of this higher rate must be.
func increaseDelay(rate float64) time.Duration {
	if math.IsInf(rate, 1) {
		return removalDelay
	}
	return reorderWindow
}

// DueOwn returns the announcements received by this instance that are due to be published to its zone.
func (t *Table) DueOwn(now time.Duration) []UpstreamLimit {
	return t.due(now, toZone, func(s Source) bool { return s == Own })
}

// DueZone returns the announcements received in this zone that are due to be published to other zones.
func (t *Table) DueZone(now time.Duration) []UpstreamLimit {
	return t.due(now, toOtherZones, func(s Source) bool { return s != OtherZone })
}

// DueOtherZones returns the announcements received in other zones that are due to be published to this zone.
func (t *Table) DueOtherZones(now time.Duration) []UpstreamLimit {
	return t.due(now, toZone, func(s Source) bool { return s == OtherZone })
}

func (t *Table) due(now time.Duration, audience int, includes func(Source) bool) []UpstreamLimit {
	var limits []UpstreamLimit
	for upstream, e := range t.entries {
		if includes(e.source) && e.publishDue(audience, now) {
			limits = append(limits, e.limit(upstream, now))
		}
	}
	slices.SortFunc(limits, func(a, b UpstreamLimit) int {
		return cmp.Compare(t.entries[a.Upstream].publishedAt[audience], t.entries[b.Upstream].publishedAt[audience])
	})
	limits = limits[:min(len(limits), maxReported)]
	for _, l := range limits {
		e := t.entries[l.Upstream]
		e.publishedAt[audience] = now
		e.published[audience]++
	}
	return limits
}

// Expire deletes the removals of limits that were published long enough, and the announcements of upstreams
// that are not listed once they are older than keepUnlisted.
func (t *Table) Expire(listed func(upstream uint32) bool, now time.Duration) {
	for upstream, e := range t.entries {
		age := now - e.receivedAt
		lifted := math.IsInf(e.rate, 1) && !e.draining
		if lifted && age > publishRemovalFor || age > keepUnlisted && !listed(upstream) {
			delete(t.entries, upstream)
		}
	}
}
