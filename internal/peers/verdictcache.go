package peers

import (
	"maps"
	"sync"
	"time"

	"sassafrasfield/internal/fanout"
)

// grantRequestKey identifies a request to the coordinator.
type grantRequestKey struct {
	from fanout.ID
	id   uint64
}

// cachedVerdict is a verdict and when it was given.
type cachedVerdict[Verdict any] struct {
	verdict Verdict
	at      time.Duration
}

// verdictCache holds the recent verdicts of one kind, so that a request that arrives twice is decided once.
type verdictCache[Verdict any] struct {
	mu      sync.Mutex // protects all below
	entries map[grantRequestKey]cachedVerdict[Verdict]
	// sweepAt is when to remove the verdicts that are too old to be requested again.
	sweepAt time.Duration
}

func newVerdictCache[Verdict any]() *verdictCache[Verdict] {
	return &verdictCache[Verdict]{entries: map[grantRequestKey]cachedVerdict[Verdict]{}}
}

// verdict returns the verdict on a request, and calls decide unless the request was decided
// recently.
func (v *verdictCache[Verdict]) verdict(key grantRequestKey, now time.Duration, decide func() Verdict) Verdict {
	v.mu.Lock()
	defer v.mu.Unlock()
	if now >= v.sweepAt {
		v.sweepAt = now + grantRequestTimeout
		maps.DeleteFunc(v.entries, func(_ grantRequestKey, g cachedVerdict[Verdict]) bool { return now-g.at > grantRequestTimeout })
	}
	if g, ok := v.entries[key]; ok {
		return g.verdict
	}
	verdict := decide()
	v.entries[key] = cachedVerdict[Verdict]{verdict, now}
	return verdict
}
