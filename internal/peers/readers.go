package peers

import (
	"time"

	"sassafrasfield/internal/fanout"
)

// Constants that decide how many instances follow the store. An instance that does is called a
// reader.
const (
	// readers is how many of the zones' hubs should follow the store: the loss of two still
	// leaves one, and each call to the store costs money.
	readers = 3
	// readersNeeded is how many others must report that they follow the store for an instance
	// that ranks lower not to follow it.
	readersNeeded = 2
	// settleTime is the time after its start in which an instance assumes that others follow the
	// store, although it has not received their reports yet. Reports need about half of it.
	settleTime = time.Second
	// readerTurnInterval is how much later each next instance in rank tries to follow the store
	// while too few others do. readerTurnIntervals is the number of intervals for which it tries.
	// So when the store fails for all, only a few instances of each zone call it at a time, and
	// not all of a large fleet. When the store rejects some instances, others get to try.
	readerTurnInterval  = 400 * time.Millisecond
	readerTurnIntervals = 2
)

// ReaderExpiry is how long it takes at most until the other instances stop counting an instance
// as a reader after the store has stopped answering it: its last report that it follows the store
// has then expired.
const ReaderExpiry = statusTimeout + 100*time.Millisecond

// ShouldReadStore reports whether this instance should follow the store itself. The instances
// that rank first should. While too few others report that they do, the next ones in rank try in
// turn, and those that succeed continue.
func (e *Exchange) ShouldReadStore() bool {
	reading := e.rows.Reading()
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
	return reading || e.hasReaderTurn(rank, now)
}

// hasReaderTurn reports whether an instance of a rank is to try to follow the store now. The lock
// is held.
func (e *Exchange) hasReaderTurn(rank int, now time.Duration) bool {
	steps := readers + e.roster.KnownCount() + readerTurnIntervals
	step := int((now-e.tooFewReadersSince)/readerTurnInterval) % steps
	first := rank - readers + 1
	return step >= first && step < first+readerTurnIntervals
}

// readerRank returns the rank of this instance as a reader: the zones' hubs come first, then the
// other instances by their rank in their zone. The lock is held.
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

// otherReaders counts the other instances of this zone that reported recently that they follow
// the store, and the other zones that have such an instance. The lock is held.
func (e *Exchange) otherReaders(now time.Duration) int {
	sameZone, otherZones := 0, 0
	for _, peer := range e.byID {
		if peer.Zone == e.self.Zone && peer.reading && now-peer.readingAt <= statusTimeout {
			sameZone++
		}
	}
	for _, z := range e.zones {
		if z.reading && now-z.at <= statusTimeout {
			otherZones++
		}
	}
	if now-e.lastBatch.at <= statusTimeout {
		otherZones = max(otherZones, e.lastBatch.readers)
	}
	return sameZone + otherZones
}

// HasOtherReaders reports whether another instance follows the store now and the store answers
// it.
func (e *Exchange) HasOtherReaders() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.otherReaders(e.now()) > 0
}

// zoneHasReader reports whether any instance of this zone follows the store; self is whether this
// instance does. The lock is held.
func (e *Exchange) zoneHasReader(now time.Duration, self bool) bool {
	if self {
		return true
	}
	for _, peer := range e.byID {
		if peer.Zone == e.self.Zone && peer.reading && now-peer.readingAt <= statusTimeout {
			return true
		}
	}
	return false
}

// recordReport records the status in an instance's report on itself. The lock is held.
func (e *Exchange) recordReport(o fanout.InstanceReport, now time.Duration) {
	e.roster.MarkAlive(o.Source, now)
	if peer, ok := e.byID[o.Source]; ok {
		peer.lastSeen, peer.reading, peer.readingAt = now, o.Reading, now
		peer.unreached = o.Report.Unreached
	}
}
