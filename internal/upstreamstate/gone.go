package upstreamstate

import "time"

const (
	// unreachableFor is for how long the word counts that an upstream could not be reached:
	// a crashed one loses its entry within about four seconds, and is told of anew
	// by whoever tries it.
	unreachableFor = 1500 * time.Millisecond
	// addressReassignedFor is for how long an upstream is left out whose address another one has:
	// its entry may be there still for as long as the platform's store is away, and
	// whoever tries it then tells anew.
	addressReassignedFor = 15 * time.Second
)

// unreachableLimitDivisor is the part of the upstreams beyond which an instance that cannot
// reach them doubts its own network, and tells of none.
const unreachableLimitDivisor = 3

// expiryTable has upstreams by their hashes, each with the end of a word's time.
type expiryTable map[uint32]time.Duration

// active tells whether a word on an upstream counts.
func (t expiryTable) active(hash uint32, now time.Duration) bool { return now < t[hash] }

// unexpired has those whose word still counts, and drops the others.
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

// notices are what the instances told of upstreams, by who told it.
type notices struct {
	// received are those of other instances; own are this one's, sameZone those of its
	// zone with this one's, and otherZones those of other zones.
	received, own, sameZone, otherZones expiryTable
}

func newNotices() notices {
	return notices{received: expiryTable{}, own: expiryTable{}, sameZone: expiryTable{}, otherZones: expiryTable{}}
}

// addOwn takes this instance's own word.
func (w *notices) addOwn(hash uint32, until time.Duration) {
	w.own[hash], w.sameZone[hash] = until, until
}

// addReceived takes another instance's word.
func (w *notices) addReceived(hash uint32, until time.Duration, beside bool) {
	w.received[hash] = until
	if beside {
		w.sameZone[hash] = until
	} else {
		w.otherZones[hash] = until
	}
}

// remove drops the words on an upstream.
func (w *notices) remove(hash uint32) {
	for _, t := range []expiryTable{w.received, w.own, w.sameZone, w.otherZones} {
		delete(t, hash)
	}
}

// UnavailableUpstream is an upstream that takes no requests for a time, whatever was heard from it:
// it carries an order out, or another one has its address.
type UnavailableUpstream struct {
	// Upstream is a hash of its incarnation.
	Upstream uint32
	For      time.Duration
}

// unavailableList is what a table of upstreams that take no requests has to tell.
func unavailableList(t expiryTable, now time.Duration) []UnavailableUpstream {
	var list []UnavailableUpstream
	for _, hash := range t.unexpired(now) {
		list = append(list, UnavailableUpstream{Upstream: hash, For: t[hash] - now})
	}
	return list
}

// unreachableList is what a table of upstreams that could not be reached has to tell;
// nothing when they are too many to be believed. The lock is held.
func (p *State) unreachableList(t expiryTable, now time.Duration) []uint32 {
	list := t.unexpired(now)
	if len(list) > len(p.nodes)/unreachableLimitDivisor {
		return nil
	}
	return list
}

// noteUnreachable records that an upstream could not be reached from here. The lock is
// held.
func (p *State) noteUnreachable(id string, now time.Duration) {
	p.unreachable.addOwn(p.hash(id), now+unreachableFor)
	p.settings.OnChange()
}

// markUnavailable records that an upstream takes no requests for a time. The lock is held.
func (p *State) markUnavailable(id string, until time.Duration) {
	p.unavailable.addOwn(p.hash(id), until)
	p.settings.OnChange()
}

// mergeNotices takes what another instance, or other zones, told of upstreams that do not
// answer or take no requests. The lock is held.
func (p *State) mergeNotices(report Report, beside bool, now time.Duration) {
	for _, hash := range report.Unreachable {
		p.unreachable.addReceived(hash, now+unreachableFor, beside)
	}
	for _, a := range report.Unavailable {
		p.unavailable.addReceived(a.Upstream, now+a.For, beside)
	}
}

// suspect tells whether an upstream should be left out: it takes no requests for a
// time, or another instance could not reach it lately and this one has not heard from
// it since about then. The lock is held.
func (p *State) suspect(n *node, now time.Duration) bool {
	if p.unavailable.own.active(n.hash, now) || p.unavailable.received.active(n.hash, now) {
		return true
	}
	if !p.unreachable.received.active(n.hash, now) {
		return false
	}
	return !n.work.answered || now-n.work.answeredAt > unreachableFor/2
}
