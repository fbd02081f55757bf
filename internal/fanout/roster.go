// Package fanout decides how the reports of many instances reach all others at a
// cost that does not grow with their square. In each zone the instance that ranks
// first, its hub, takes the reports of all others and passes them on in batches; it
// tells the hubs of the other zones what its zone has together. All instances rank
// one another alike, by what their links carry and a hash of their names, so no hub is
// agreed on: the second gets the reports too, and passes them on once the first is silent.
//
// The package is pure: times are passed in, on the instance's monotonic clock.
// Callers: peers, which sends and receives, and model, which plays the same
// decisions in virtual time.
package fanout

import (
	"cmp"
	"math/bits"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// ID names an instance in reports; the highest one of a zone ranks first.
type ID uint64

// hashBits are the bits of an ID below those for the link: a hash of the name.
const hashBits = 58

// IDOf is the id of the instance with a name, whose link carries so many Mbit/s. One of
// twice the bandwidth ranks higher whatever the names: passing reports on takes more of a
// link than all else that an instance does.
func IDOf(name string, linkMbps float64) ID {
	class := bits.Len64(uint64(max(0, linkMbps))) // 0 to 63
	return ID(uint64(min(class, 63))<<hashBits | xxhash.Sum64String(name)>>(64-hashBits))
}

// Times of the roster.
const (
	// aliveFor is for how long an instance counts after its last sign: three reports
	// of one with nothing new may be lost.
	aliveFor = 1700 * time.Millisecond
	// silentFor is how long no batch came from those ahead until the next in rank
	// passes reports on: three batches may be lost.
	silentFor = 350 * time.Millisecond
	// listens is for how long after its last batch a sender of batches is told this
	// instance's reports, whatever its rank.
	listens = 700 * time.Millisecond
	// told is how many of the instances that rank first get each report.
	told = 2
)

// Roster is what an instance knows of the others of its zone. It is not safe for
// concurrent use.
type Roster struct {
	self    ID
	members map[ID]*member
	// ahead is when a batch last came from an instance that ranks before this one,
	// or when none was due.
	ahead time.Duration
}

// member is another instance of the zone.
type member struct {
	heardAt time.Duration
	// batchAt is when its last batch came; batched tells that any did.
	batchAt time.Duration
	batched bool
}

// NewRoster returns a roster that knows nobody.
func NewRoster(self ID, now time.Duration) *Roster {
	return &Roster{self: self, members: map[ID]*member{}, ahead: now}
}

func (r *Roster) member(id ID) *member {
	m, ok := r.members[id]
	if !ok {
		m = &member{}
		r.members[id] = m
	}
	return m
}

// MarkAlive notes a sign of an instance of the zone.
func (r *Roster) MarkAlive(id ID, now time.Duration) {
	if id != r.self {
		r.member(id).heardAt = now
	}
}

// Introduce takes note of an instance of the zone that another one named. It counts as
// alive until it should have given a sign itself.
func (r *Roster) Introduce(id ID, now time.Duration) {
	if _, ok := r.members[id]; !ok {
		r.MarkAlive(id, now)
	}
}

// BatchReceived notes a batch that an instance of the zone sent.
func (r *Roster) BatchReceived(id ID, now time.Duration) {
	if id == r.self {
		return
	}
	m := r.member(id)
	m.heardAt, m.batchAt, m.batched = now, now, true
	if id > r.self {
		r.ahead = now
	}
}

// Forget drops an instance.
func (r *Roster) Forget(id ID) { delete(r.members, id) }

// KnownCount counts the instances of the zone that are not forgotten, this one included.
func (r *Roster) KnownCount() int { return len(r.members) + 1 }

// Alive tells whether an instance gave a sign lately.
func (r *Roster) Alive(id ID, now time.Duration) bool {
	m, ok := r.members[id]
	return id == r.self || ok && now-m.heardAt <= aliveFor
}

// Rank is how many live instances of the zone rank before this one.
func (r *Roster) Rank(now time.Duration) int {
	rank := 0
	for id := range r.members {
		if id > r.self && r.Alive(id, now) {
			rank++
		}
	}
	return rank
}

// ShouldRelay tells whether this instance is to pass reports on: nobody ranks before it,
// or those who do have been silent, longer for each of them.
func (r *Roster) ShouldRelay(now time.Duration) bool {
	rank := r.Rank(now)
	if rank == 0 {
		return true
	}
	return now-r.ahead > time.Duration(rank)*silentFor
}

// Receivers are the instances that are told this one's reports: those of the live
// ones that rank first, and whoever sent a batch lately. None known is none.
func (r *Roster) Receivers(now time.Duration) []ID {
	var alive []ID
	for id := range r.members {
		if r.Alive(id, now) {
			alive = append(alive, id)
		}
	}
	slices.SortFunc(alive, func(a, b ID) int { return cmp.Compare(b, a) })
	first := alive[:min(told, len(alive))]
	for _, id := range alive[len(first):] {
		if m := r.members[id]; m.batched && now-m.batchAt <= listens {
			first = append(first, id)
		}
	}
	return first
}

// Hub is the instance that ranks first of those whose batches come; 0 for none.
func (r *Roster) Hub(now time.Duration) ID {
	var hub ID
	for id, m := range r.members {
		if m.batched && now-m.batchAt <= listens {
			hub = max(hub, id)
		}
	}
	return hub
}

// AliveCount counts the live instances of the zone, this one included.
func (r *Roster) AliveCount(now time.Duration) int {
	count := 1
	for id := range r.members {
		if r.Alive(id, now) {
			count++
		}
	}
	return count
}

// ReceivesBatches tells whether batches reach this instance.
func (r *Roster) ReceivesBatches(now time.Duration) bool {
	for _, m := range r.members {
		if m.batched && now-m.batchAt <= listens {
			return true
		}
	}
	return false
}
