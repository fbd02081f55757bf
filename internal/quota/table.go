package quota

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// Source is where a word comes from.
type Source int

const (
	// Own: this instance got the answer.
	Own Source = iota
	// SameZone: an instance of the same zone did.
	SameZone
	// OtherZone: an instance of another zone did.
	OtherZone
)

// String names the scope in logs.
func (s Source) String() string {
	return [...]string{"own", "zone", "other zones"}[s]
}

// Times of a Book.
const (
	// crossing is how much newer a word for more must be than the one for less. Answers on
	// different connections overtake one another by less.
	crossing = 500 * time.Millisecond
	// endsAfter is for how long answers must name no limit until it has ended.
	endsAfter = 2 * time.Second
	// retellEvery is the time after which a word is told again: reports may be lost, and an
	// instance that has just started knows nothing.
	retellEvery = 500 * time.Millisecond
	// endToldFor is for how long the end of a limit is told.
	endToldFor = 10 * time.Second
	// unlistedFor is for how long the limit of an upstream is kept that is not listed.
	unlistedFor = time.Minute
	// leastChange is the part of a rate by which a change of it is told at once, and shown.
	leastChange = 0.01
)

// tellAtMost bounds the words of a report; those that waited longest come first.
const tellAtMost = 64

// entry is what one upstream announced.
type entry struct {
	rate    float64
	leaving bool
	scope   Source
	// at is when the newest answer came that said so.
	at time.Duration
	// told is when it was last told, by whom it is told to.
	told [receivers]time.Duration
}

// Receivers of words.
const (
	toZone = iota
	toOtherZones
	receivers
)

// never is a time before all others.
const never = time.Duration(math.MinInt64 / 2)

// Change of what is known of an upstream's announcements.
type Change struct {
	Upstream      uint32
	OldRate, Rate float64
	// StartsDraining: it was not known before that the upstream leaves.
	StartsDraining bool
	Source         Source
	// Age of the answer that said so.
	Age time.Duration
}

// Table has the announcements that are known. It is not safe for concurrent use.
type Table struct {
	entries map[uint32]*entry
}

// NewTable returns an empty book.
func NewTable() *Table { return &Table{entries: map[uint32]*entry{}} }

// Rate returns the rate that an upstream is kept to; Unlimited for most.
func (b *Table) Rate(upstream uint32) float64 {
	if e, ok := b.entries[upstream]; ok {
		return e.rate
	}
	return Unlimited
}

// Limited tells whether an upstream limits its requests.
func (b *Table) Limited(upstream uint32) bool { return !math.IsInf(b.Rate(upstream), 1) }

// Draining tells whether an upstream has said that it leaves.
func (b *Table) Draining(upstream uint32) bool {
	e, known := b.entries[upstream]
	return known && e.leaving
}

// Any tells whether any upstream announces anything, or did so lately.
func (b *Table) Any() bool { return len(b.entries) > 0 }

// Lookup returns what is known of an upstream's announcements, and whether the upstream told this
// instance itself; known is false for one that never announced anything.
func (b *Table) Lookup(upstream uint32, now time.Duration) (w UpstreamLimit, firstHand, known bool) {
	e, known := b.entries[upstream]
	if !known {
		return UpstreamLimit{Upstream: upstream, Rate: Unlimited}, false, false
	}
	return e.word(upstream, now), e.scope == Own, true
}

// word is what is told of an entry.
func (e *entry) word(upstream uint32, now time.Duration) UpstreamLimit {
	return UpstreamLimit{Upstream: upstream, Rate: e.rate, Draining: e.leaving, Age: now - e.at}
}

// All returns what is known of all upstreams that announce anything, or did so lately.
func (b *Table) All(now time.Duration) []UpstreamLimit {
	var words []UpstreamLimit
	for upstream, e := range b.entries {
		words = append(words, e.word(upstream, now))
	}
	return words
}

// Forget drops what is known of an upstream.
func (b *Table) Forget(upstream uint32) { delete(b.entries, upstream) }

// ApplyAnnouncement takes what an answer to this instance says, and returns what it changes.
func (b *Table) ApplyAnnouncement(upstream uint32, a Announcement, now time.Duration) (Change, bool) {
	return b.take(UpstreamLimit{Upstream: upstream, Rate: a.rate(), Draining: a.Draining}, Own, now)
}

// ApplyReport takes another instance's word, and returns what it changes.
func (b *Table) ApplyReport(w UpstreamLimit, scope Source, now time.Duration) (Change, bool) {
	if math.IsNaN(w.Rate) || w.Rate <= 0 {
		return Change{}, false
	}
	return b.take(w, scope, now)
}

// take takes a word, and returns what it changes.
func (b *Table) take(w UpstreamLimit, scope Source, now time.Duration) (Change, bool) {
	e, known := b.entries[w.Upstream]
	if !known {
		if !w.Limited() && !w.Draining {
			return Change{}, false
		}
		e = &entry{rate: Unlimited, at: never}
		b.entries[w.Upstream] = e
	}
	change := Change{Upstream: w.Upstream, OldRate: e.rate, Rate: e.rate, Source: scope, Age: w.Age}
	if w.Draining && !e.leaving {
		e.leaving, e.scope, change.StartsDraining = true, scope, true
		e.at = max(e.at, now-w.Age)
	}
	if e.takeRate(w, scope, now) {
		change.Rate = w.Rate
	}
	if !change.shown() {
		return Change{}, false
	}
	e.told = [receivers]time.Duration{never, never}
	return change, true
}

// takeRate has a word's rate take the place of the one before if it is newer, and tells whether
// it did. Of rates that may have crossed the lower one stands.
func (e *entry) takeRate(w UpstreamLimit, scope Source, now time.Duration) bool {
	at := now - w.Age
	if at <= e.at-crossing || w.Rate > e.rate && at <= e.at+patience(w.Rate) {
		return false
	}
	if math.IsInf(w.Rate, 1) && e.rate == w.Rate {
		return false // its time counts from the end of the limit
	}
	if e.rate != w.Rate || at > e.at+crossing {
		e.scope = scope
	}
	e.rate, e.at = w.Rate, max(e.at, at)
	return true
}

// shown tells whether anything changed but the last digits of the rate.
func (c Change) shown() bool {
	if c.StartsDraining {
		return true
	}
	if math.IsInf(c.OldRate, 1) || math.IsInf(c.Rate, 1) {
		return c.OldRate != c.Rate
	}
	return math.Abs(c.OldRate-c.Rate) > leastChange*c.OldRate
}

// patience is how much newer a word for a higher rate must be.
func patience(rate float64) time.Duration {
	if math.IsInf(rate, 1) {
		return endsAfter
	}
	return crossing
}

// DueOwn are the words that are due to the zone of what this instance was told itself,
// ZoneWords those due to other zones of what its zone was told, and BeyondWords those due
// to the zone of what others were told.
func (b *Table) DueOwn(now time.Duration) []UpstreamLimit {
	return b.due(now, toZone, func(s Source) bool { return s == Own })
}

// DueZone: see OwnWords.
func (b *Table) DueZone(now time.Duration) []UpstreamLimit {
	return b.due(now, toOtherZones, func(s Source) bool { return s != OtherZone })
}

// DueOtherZones: see OwnWords.
func (b *Table) DueOtherZones(now time.Duration) []UpstreamLimit {
	return b.due(now, toZone, func(s Source) bool { return s == OtherZone })
}

func (b *Table) due(now time.Duration, to int, tells func(Source) bool) []UpstreamLimit {
	var words []UpstreamLimit
	for upstream, e := range b.entries {
		if tells(e.scope) && now-e.told[to] >= retellEvery {
			words = append(words, e.word(upstream, now))
		}
	}
	slices.SortFunc(words, func(a, c UpstreamLimit) int {
		return cmp.Compare(b.entries[a.Upstream].told[to], b.entries[c.Upstream].told[to])
	})
	words = words[:min(len(words), tellAtMost)]
	for _, w := range words {
		b.entries[w.Upstream].told[to] = now
	}
	return words
}

// Expire drops the ends of limits that were told for long enough, and the announcements of
// upstreams that have not been listed for long.
func (b *Table) Expire(listed func(upstream uint32) bool, now time.Duration) {
	for upstream, e := range b.entries {
		age := now - e.at
		ended := math.IsInf(e.rate, 1) && !e.leaving
		if ended && age > endToldFor || age > unlistedFor && !listed(upstream) {
			delete(b.entries, upstream)
		}
	}
}
