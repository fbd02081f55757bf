// Package fanout decides how the reports of many instances reach all others at a
// cost that does not grow with the square of their number. In each zone the instance
// that ranks first, the hub, receives the reports of all others and relays them in
// batches. It also sends a summary of its zone to the hubs of the other zones. All
// instances compute the same ranks, from the bandwidth of the links and a hash of the
// names, so they need not agree on a hub. The instance that ranks second receives the
// reports too, and relays them when the first one is silent.
//
// Its inputs are the reports and batches that an instance receives and the times at
// which it saw other instances alive; its outputs say what to send to which
// instances. The package does no I/O and reads no clock: callers pass times on the
// instance's monotonic clock. Package peers does the sending and receiving.
package fanout

import (
	"cmp"
	"math/bits"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// ID identifies an instance in reports. The highest ID of a zone ranks first.
type ID uint64

// hashBits is the number of low bits of an ID that hold a hash of the name. The bits above them hold the
// bandwidth class of the link.
const hashBits = 58

// IDOf returns the ID of an instance with a name, whose link carries linkMbps Mbit/s. An instance with
// twice the bandwidth ranks higher whatever the names, because relaying reports needs more
// bandwidth than anything else that an instance does.
func IDOf(name string, linkMbps float64) ID {
	class := bits.Len64(uint64(max(0, linkMbps))) // 0 to 63
	return ID(uint64(min(class, 63))<<hashBits | xxhash.Sum64String(name)>>(64-hashBits))
}

// Times of the roster.
const (
	// aliveFor is how long an instance counts as alive after it was last seen: three
	// reports of an instance without changes may be lost.
	aliveFor = 1700 * time.Millisecond
	// takeoverAfter is the time without a batch from higher-ranking instances after which the next in rank
	// relays reports: three batches may be lost.
	takeoverAfter = 350 * time.Millisecond
	// relayingFor is how long after its last batch a sender of batches gets this
	// instance's reports, whatever its rank.
	relayingFor = 700 * time.Millisecond
	// topReceivers is how many of the instances that rank first get each report.
	topReceivers = 2
)

// Roster holds what an instance knows about the other instances of its zone. It is not
// safe for concurrent use.
type Roster struct {
	self    ID
	members map[ID]*member
	// higherBatchAt is when a batch last came from an instance that ranks before this
	// one. It begins with the roster's start.
	higherBatchAt time.Duration
}

// member is another instance of the zone.
type member struct {
	seenAt time.Duration // when it was last seen alive
	// batchAt is when its last batch came; sentBatch is whether any came.
	batchAt   time.Duration
	sentBatch bool
}

// NewRoster returns a roster without other instances.
func NewRoster(self ID, now time.Duration) *Roster {
	return &Roster{self: self, members: map[ID]*member{}, higherBatchAt: now}
}

func (r *Roster) member(id ID) *member {
	m, ok := r.members[id]
	if !ok {
		m = &member{}
		r.members[id] = m
	}
	return m
}

// MarkAlive records that an instance of the zone was seen alive.
func (r *Roster) MarkAlive(id ID, now time.Duration) {
	if id != r.self {
		r.member(id).seenAt = now
	}
}

// Introduce adds an instance of the zone that another one named. It counts as alive for aliveFor,
// within which a message from it should arrive.
func (r *Roster) Introduce(id ID, now time.Duration) {
	if _, ok := r.members[id]; !ok {
		r.MarkAlive(id, now)
	}
}

// BatchReceived records a batch that an instance of the zone sent.
func (r *Roster) BatchReceived(id ID, now time.Duration) {
	if id == r.self {
		return
	}
	m := r.member(id)
	m.seenAt, m.batchAt, m.sentBatch = now, now, true
	if id > r.self {
		r.higherBatchAt = now
	}
}

// Remove removes an instance.
func (r *Roster) Remove(id ID) { delete(r.members, id) }

// KnownCount returns the number of instances in the roster, including this one.
func (r *Roster) KnownCount() int { return len(r.members) + 1 }

// Alive reports whether an instance was seen within aliveFor.
func (r *Roster) Alive(id ID, now time.Duration) bool {
	m, ok := r.members[id]
	return id == r.self || ok && now-m.seenAt <= aliveFor
}

// Rank returns how many live instances of the zone rank before this one.
func (r *Roster) Rank(now time.Duration) int {
	rank := 0
	for id := range r.members {
		if id > r.self && r.Alive(id, now) {
			rank++
		}
	}
	return rank
}

// IsHub reports whether this instance is to relay reports as the hub. It is if no live instance ranks
// before it, or if those that do have sent no batch for takeoverAfter times their number.
func (r *Roster) IsHub(now time.Duration) bool {
	rank := r.Rank(now)
	if rank == 0 {
		return true
	}
	return now-r.higherBatchAt > time.Duration(rank)*takeoverAfter
}

// Receivers returns the instances that get this one's reports: the live ones that rank first, and
// those that recently sent a batch. It is empty if no other instance is alive.
func (r *Roster) Receivers(now time.Duration) []ID {
	var alive []ID
	for id := range r.members {
		if r.Alive(id, now) {
			alive = append(alive, id)
		}
	}
	slices.SortFunc(alive, func(a, b ID) int { return cmp.Compare(b, a) })
	first := alive[:min(topReceivers, len(alive))]
	for _, id := range alive[len(first):] {
		if m := r.members[id]; m.sentBatch && now-m.batchAt <= relayingFor {
			first = append(first, id)
		}
	}
	return first
}

// Hub returns the highest-ranking instance that recently sent a batch, or 0 if there is none.
func (r *Roster) Hub(now time.Duration) ID {
	var hub ID
	for id, m := range r.members {
		if m.sentBatch && now-m.batchAt <= relayingFor {
			hub = max(hub, id)
		}
	}
	return hub
}

// AliveCount returns the number of live instances of the zone, including this one.
func (r *Roster) AliveCount(now time.Duration) int {
	count := 1
	for id := range r.members {
		if r.Alive(id, now) {
			count++
		}
	}
	return count
}

// ReceivesBatches reports whether batches recently reached this instance.
func (r *Roster) ReceivesBatches(now time.Duration) bool {
	for _, m := range r.members {
		if m.sentBatch && now-m.batchAt <= relayingFor {
			return true
		}
	}
	return false
}
