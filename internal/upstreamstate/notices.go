package upstreamstate

import "time"

const (
	// unreachableFor is how long a notice that an upstream could not be reached is valid. A crashed
	// upstream loses its entry within about four seconds; until then, each instance that tries it
	// sends a new notice.
	unreachableFor = 1500 * time.Millisecond
	// addressReassignedFor is how long an upstream is marked unavailable after another upstream was
	// found at its address. Its entry may remain for as long as the platform's store is
	// unavailable; each instance that tries it after this time sends a new notice.
	addressReassignedFor = 15 * time.Second
)

// unreachableLimitDivisor bounds the upstreams reported as unreachable to one in this many of all
// upstreams. An instance that cannot reach more than that assumes that its own network is at fault
// and reports none.
const unreachableLimitDivisor = 3

// expiryTable maps hashes of upstreams to the times at which the notices about them expire.
type expiryTable map[uint32]time.Duration

// active reports whether a notice about an upstream is still valid.
func (t expiryTable) active(hash uint32, now time.Duration) bool { return now < t[hash] }

// unexpired returns the upstreams with a valid notice and removes the others.
func (t expiryTable) unexpired(now time.Duration) []uint32 {
	var list []uint32
	for hash, until := range t {
		if now >= until {
			delete(t, hash)
			continue
		}
		list = append(list, hash)
	}
	return list
}

// notices are what the instances reported about upstreams, by the origin of the report.
type notices struct {
	// received are the notices of all other instances, own those of this instance, sameZone those
	// of all instances of this zone including this one, and otherZones those of other zones.
	received, own, sameZone, otherZones expiryTable
}

func newNotices() notices {
	return notices{received: expiryTable{}, own: expiryTable{}, sameZone: expiryTable{}, otherZones: expiryTable{}}
}

// addOwn adds a notice of this instance.
func (n *notices) addOwn(hash uint32, until time.Duration) {
	n.own[hash], n.sameZone[hash] = until, until
}

// addReceived adds a notice of another instance.
func (n *notices) addReceived(hash uint32, until time.Duration, sameZone bool) {
	n.received[hash] = until
	if sameZone {
		n.sameZone[hash] = until
	} else {
		n.otherZones[hash] = until
	}
}

// remove removes all notices about an upstream.
func (n *notices) remove(hash uint32) {
	for _, t := range []expiryTable{n.received, n.own, n.sameZone, n.otherZones} {
		delete(t, hash)
	}
}

// UnavailableUpstream is an upstream that accepts no requests for a time, even if it answers: it is
// carrying out an order, or another upstream has its address.
type UnavailableUpstream struct {
	// Upstream is the hash of the upstream's incarnation.
	Upstream uint32
	For      time.Duration
}

// unavailableList lists the unexpired entries of a table of unavailable upstreams.
func unavailableList(t expiryTable, now time.Duration) []UnavailableUpstream {
	var list []UnavailableUpstream
	for _, hash := range t.unexpired(now) {
		list = append(list, UnavailableUpstream{Upstream: hash, For: t[hash] - now})
	}
	return list
}

// unreachableList lists the unexpired entries of a table of unreachable upstreams. It returns nil
// when there are too many of them to be plausible. The lock is held.
func (s *State) unreachableList(t expiryTable, now time.Duration) []uint32 {
	list := t.unexpired(now)
	if len(list) > len(s.nodes)/unreachableLimitDivisor {
		return nil
	}
	return list
}

// ReportedUnreachable reports whether another instance could not reach an upstream recently. It does not while
// more upstreams of the service are reported than are likely to fail at once: then the senders' own paths may be
// at fault.
func (s *State) ReportedUnreachable(id string, now time.Duration) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	n, ok := s.nodes[id]
	if !ok || !s.unreachable.received.active(n.hash, now) {
		return false
	}
	reported := 0
	for _, other := range s.byService[n.Service] {
		if s.unreachable.received.active(other.hash, now) {
			reported++
		}
	}
	return reported <= max(1, len(s.byService[n.Service])/unreachableLimitDivisor)
}

// noteUnreachable records that this instance could not reach an upstream. The lock is held.
func (s *State) noteUnreachable(id string, now time.Duration) {
	s.unreachable.addOwn(s.hash(id), now+unreachableFor)
	s.settings.OnChange()
}

// markUnavailable records that an upstream accepts no requests until a time. The lock is held.
func (s *State) markUnavailable(id string, until time.Duration) {
	s.unavailable.addOwn(s.hash(id), until)
	s.settings.OnChange()
}

// applyNotices applies the unreachable and unavailable upstreams reported by another instance or by
// other zones. The lock is held.
func (s *State) applyNotices(report Report, sameZone bool, now time.Duration) {
	for _, hash := range report.Unreachable {
		s.unreachable.addReceived(hash, now+unreachableFor, sameZone)
	}
	for _, u := range report.Unavailable {
		s.unavailable.addReceived(u.Upstream, now+u.For, sameZone)
	}
}

// suspect reports whether an upstream should not be chosen. That is the case while it is marked
// unavailable, or if another instance could not reach it recently and this one has received no
// answer from it since about then. The lock is held.
func (s *State) suspect(n *node, now time.Duration) bool {
	if s.unavailable.own.active(n.hash, now) || s.unavailable.received.active(n.hash, now) {
		return true
	}
	if !s.unreachable.received.active(n.hash, now) {
		return false
	}
	return !n.work.answered || now-n.work.answeredAt > unreachableFor/2
}
