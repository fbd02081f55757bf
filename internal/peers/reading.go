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
	// settleFor is the time from an instance's start in which it leaves the store's
	// feed to others, though it has not heard of any: reports need about half of it.
	settleFor = time.Second
	// readersStep is how much longer each next one in rank waits before it tries to
	// follow the store because too few others do, and readersTries how many steps it
	// tries. So when the store fails for all, a few of each zone ask it at a time and
	// not all of a large fleet, and when it turns some away, others have their turn.
	readersStep  = 400 * time.Millisecond
	readersTries = 2
)

// ReaderExpiry is how long the others take to hear that an instance has no answers
// from the store any more: until its last word that it has counts no longer.
const ReaderExpiry = aliveFor + 100*time.Millisecond

// ShouldReadStore tells whether this instance should follow the store itself: the
// instances that rank first do. While too few others are heard to do so, the next ones
// try by turns, and who succeeds goes on.
func (e *Exchange) ShouldReadStore() bool {
	reads := e.rows.Reading()
	e.mu.Lock()
	defer e.mu.Unlock()
	now := e.now()
	if now < settleFor {
		return false
	}
	rank := e.readerRank(now)
	if rank < readers {
		return true
	}
	if e.readersHeard(now) >= readersNeeded {
		e.few = 0
		return false
	}
	if e.few == 0 {
		e.few = now
	}
	return reads || e.hasTurn(rank, now)
}

// hasTurn tells whether it is the turn of an instance of a rank to try to follow the
// store. The lock is held.
func (e *Exchange) hasTurn(rank int, now time.Duration) bool {
	steps := readers + e.roster.KnownCount() + readersTries
	at := int((now-e.few)/readersStep) % steps
	mine := rank - readers + 1
	return at >= mine && at < mine+readersTries
}

// readerRank ranks the instances as readers: the zones' hubs first, then the others by
// their rank in each zone. The lock is held.
func (e *Exchange) readerRank(now time.Duration) int {
	if !e.passes(now) {
		return readers + e.roster.Rank(now)
	}
	rank := 0
	for _, z := range e.zones {
		if now-z.at <= hubFor && z.hub.ID() > e.id {
			rank++
		}
	}
	return rank
}

// readersHeard counts the instances that told lately that they follow the store, and
// the zones that did. The lock is held.
func (e *Exchange) readersHeard(now time.Duration) int {
	heard, beyond := 0, 0
	for _, k := range e.byID {
		if k.Zone == e.self.Zone && k.reading && now-k.readAt <= aliveFor {
			heard++
		}
	}
	for _, z := range e.zones {
		if z.reading && now-z.at <= aliveFor {
			beyond++
		}
	}
	if now-e.batch.at <= aliveFor {
		beyond = max(beyond, e.batch.readers)
	}
	return heard + beyond
}

// HasOtherReaders tells whether another instance follows the store now, and it
// answers.
func (e *Exchange) HasOtherReaders() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.readersHeard(e.now()) > 0
}

// zoneReads tells whether any instance of this zone follows the store. The lock is
// held.
func (e *Exchange) zoneReads(now time.Duration, self bool) bool {
	if self {
		return true
	}
	for _, k := range e.byID {
		if k.Zone == e.self.Zone && k.reading && now-k.readAt <= aliveFor {
			return true
		}
	}
	return false
}

// heardOwn notes an instance's word on itself. The lock is held.
func (e *Exchange) heardOwn(o fanout.InstanceReport, now time.Duration) {
	e.roster.MarkAlive(o.Source, now)
	if k, ok := e.byID[o.Source]; ok {
		k.heardAt, k.reading, k.readAt = now, o.Reading, now
	}
}
