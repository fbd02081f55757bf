package peers

import (
	"time"

	"sassafrasfield/internal/fanout"
)

// How many instances follow the store.
const (
	// readers is how many of the zones' hubs should: the loss of two still leaves
	// one, and each call to the store is paid for.
	readers = 3
	// readersNeeded is how many others must tell that they do, before an
	// instance that should not leaves the store alone.
	readersNeeded = 2
	// settleTime is the time from an instance's start in which it leaves the store's
	// feed to others, though it has not heard of any: reports need about half of it.
	settleTime = time.Second
	// readerTurnInterval is how much longer each next one in rank waits before it tries to
	// follow the store because too few others do, and readersTries how many steps it
	// tries. So when the store fails for all, a few of each zone ask it at a time and
	// not all of a large fleet, and when it turns some away, others have their turn.
	readerTurnInterval  = 400 * time.Millisecond
	readerTurnIntervals = 2
)

// ReaderExpiry is how long the others take to hear that an instance has no answers
// from the store any more: until its last word that it has counts no longer.
const ReaderExpiry = statusTimeout + 100*time.Millisecond

// ShouldReadStore tells whether this instance should follow the store itself: the
// instances that rank first do. While too few others are heard to do so, the next ones
// try by turns, and who succeeds goes on.
func (e *Exchange) ShouldReadStore() bool {
	reads := e.rows.Reading()
	e.mu.Lock()
	defer e.mu.Unlock()
	now := e.now()
	if now < settleTime {
		return false
	}
	rank := e.readerRank(now)
	if rank < readers {
		return true
	}
	if e.otherReaders(now) >= readersNeeded {
		e.tooFewReadersSince = 0
		return false
	}
	if e.tooFewReadersSince == 0 {
		e.tooFewReadersSince = now
	}
	return reads || e.hasReaderTurn(rank, now)
}

// hasReaderTurn tells whether it is the turn of an instance of a rank to try to follow the
// store. The lock is held.
func (e *Exchange) hasReaderTurn(rank int, now time.Duration) bool {
	steps := readers + e.roster.KnownCount() + readerTurnIntervals
	at := int((now-e.tooFewReadersSince)/readerTurnInterval) % steps
	mine := rank - readers + 1
	return at >= mine && at < mine+readerTurnIntervals
}

// readerRank ranks the instances as readers: the zones' hubs first, then the others by
// their rank in each zone. The lock is held.
func (e *Exchange) readerRank(now time.Duration) int {
	if !e.isHub(now) {
		return readers + e.roster.Rank(now)
	}
	rank := 0
	for _, z := range e.zones {
		if now-z.at <= hubTimeout && z.hub.ID() > e.id {
			rank++
		}
	}
	return rank
}

// otherReaders counts the instances that told lately that they follow the store, and
// the zones that did. The lock is held.
func (e *Exchange) otherReaders(now time.Duration) int {
	heard, beyond := 0, 0
	for _, k := range e.byID {
		if k.Zone == e.self.Zone && k.reading && now-k.readingAt <= statusTimeout {
			heard++
		}
	}
	for _, z := range e.zones {
		if z.reading && now-z.at <= statusTimeout {
			beyond++
		}
	}
	if now-e.lastBatch.at <= statusTimeout {
		beyond = max(beyond, e.lastBatch.readers)
	}
	return heard + beyond
}

// HasOtherReaders tells whether another instance follows the store now, and it
// answers.
func (e *Exchange) HasOtherReaders() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.otherReaders(e.now()) > 0
}

// zoneHasReader tells whether any instance of this zone follows the store. The lock is
// held.
func (e *Exchange) zoneHasReader(now time.Duration, self bool) bool {
	if self {
		return true
	}
	for _, k := range e.byID {
		if k.Zone == e.self.Zone && k.reading && now-k.readingAt <= statusTimeout {
			return true
		}
	}
	return false
}

// recordReport notes an instance's word on itself. The lock is held.
func (e *Exchange) recordReport(o fanout.InstanceReport, now time.Duration) {
	e.roster.MarkAlive(o.Source, now)
	if k, ok := e.byID[o.Source]; ok {
		k.lastSeen, k.reading, k.readingAt = now, o.Reading, now
	}
}
