package lease

import (
	"time"

	"sassafrasfield/internal/rendezvous"
)

// RankSettings determine how closely each instance watches the leases.
type RankSettings struct {
	// Watchers is how many of the highest-ranked instances for a pool watch its
	// lease.
	Watchers int
	// ReadEvery is the time between reads of the first choice and of the next two
	// ranks. It doubles with each further rank.
	ReadEvery time.Duration
	// RankDelay is how much longer each rank waits before a takeover than the
	// rank before it.
	RankDelay time.Duration
}

// lastFullRateRank is the last rank that reads at the full rate.
const lastFullRateRank = 2

// Rank returns the rank of an instance among the live ones for a pool; 0 is the
// first choice. It uses rendezvous hashing, so pools spread evenly, and an
// instance that joins or leaves moves only the pools for which it ranks first.
// An instance that the list lacks is ranked as an additional one; it may be new.
func Rank(pool, self string, live []string) int {
	rank := 0
	for _, id := range live {
		if rendezvous.Compare(pool, id, self) < 0 {
			rank++
		}
	}
	return rank
}

// WatchPolicy returns how closely the instance with a rank watches the lease.
func (r RankSettings) WatchPolicy(rank int) WatchPolicy {
	if rank >= r.Watchers {
		return WatchPolicy{}
	}
	doublings := max(0, rank-lastFullRateRank)
	return WatchPolicy{
		Watch:         true,
		ReadEvery:     r.ReadEvery << doublings,
		TakeoverDelay: time.Duration(rank) * r.RankDelay,
	}
}
