package idempotency

import "time"

// watchLimit is the maximum number of claims that an instance remembers.
const watchLimit = 4096

// observation is the time at which an instance first saw a claim unanswered at a revision.
type observation struct {
	revision  int64
	firstSeen time.Duration
}

// claimWatch records since when an instance has seen claims unanswered and unchanged, on the instance's own
// clock. It does no I/O and reads no clock.
type claimWatch struct {
	settleAfter time.Duration
	seen        map[string]observation
}

func newClaimWatch(after time.Duration) *claimWatch {
	return &claimWatch{settleAfter: after, seen: map[string]observation{}}
}

// overdue records that the claim is unanswered at the revision. It reports whether the claim has been
// unanswered at this revision for at least settleAfter.
func (w *claimWatch) overdue(key string, revision int64, now time.Duration) bool {
	first, known := w.seen[key]
	if known && first.revision == revision {
		return now-first.firstSeen >= w.settleAfter
	}
	if !known && len(w.seen) >= watchLimit {
		w.evict(now)
	}
	w.seen[key] = observation{revision: revision, firstSeen: now}
	return false
}

// forget removes a claim that is settled.
func (w *claimWatch) forget(key string) {
	delete(w.seen, key)
}

// evict makes room for a new claim. It removes the claims first seen more than twice settleAfter ago. If this
// is not enough, it removes any others.
func (w *claimWatch) evict(now time.Duration) {
	for key, s := range w.seen {
		if now-s.firstSeen > 2*w.settleAfter {
			delete(w.seen, key)
		}
	}
	for key := range w.seen {
		if len(w.seen) < watchLimit {
			return
		}
		delete(w.seen, key)
	}
}
