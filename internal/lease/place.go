package lease

import (
	"time"

	"sassafrasfield/internal/rendezvous"
)

// RankSettings settle how closely the instances watch the leases.
type RankSettings struct {
	// Watchers is how many of the instances that rank highest for a pool watch
	// its lease at all.
	Watchers int
	// ReadEvery is the time between reads of the first choice and the two
	// after it; each next one takes twice as long as the one before.
	ReadEvery time.Duration
	// RankDelay is how much longer each rank waits than the one before it, before
	// it takes a lease over.
	RankDelay time.Duration
}

// frequent is how many ranks after the first read at the full rate.
const frequent = 2

// Rank returns the place of an instance among the live ones for a pool: 0 is
// the first choice. It is rendezvous hashing: pools spread evenly, and an
// instance that comes or goes moves only the pools it ranks first for. An
// instance that the list lacks is counted as one more; it may be new.
func Rank(pool, self string, live []string) int {
	rank := 0
	for _, id := range live {
		if rendezvous.Compare(pool, id, self) < 0 {
			rank++
		}
	}
	return rank
}

// WatchPolicy returns how closely the instance of a rank watches.
func (r RankSettings) WatchPolicy(rank int) WatchPolicy {
	if rank >= r.Watchers {
		return WatchPolicy{}
	}
	doublings := max(0, rank-frequent)
	return WatchPolicy{
		Watch:         true,
		ReadEvery:     r.ReadEvery << doublings,
		TakeoverDelay: time.Duration(rank) * r.RankDelay,
	}
}
