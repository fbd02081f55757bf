package idempotency

import "time"

// watchLimit bounds the claims that an instance remembers.
const watchLimit = 4096

// sighting is when an instance first saw a claim unanswered.
type sighting struct {
	revision int64
	at       time.Duration
}

// watch tells which unanswered claims an instance has seen unchanged for long,
// on its own clock. It is pure.
type watch struct {
	after time.Duration
	seen  map[string]sighting
}

func newWatch(after time.Duration) *watch {
	return &watch{after: after, seen: map[string]sighting{}}
}

// overdue notes that the claim stands unanswered at the revision, and tells
// whether it did so for the whole time.
func (w *watch) overdue(key string, revision int64, now time.Duration) bool {
	first, known := w.seen[key]
	if known && first.revision == revision {
		return now-first.at >= w.after
	}
	if !known && len(w.seen) >= watchLimit {
		w.trim(now)
	}
	w.seen[key] = sighting{revision: revision, at: now}
	return false
}

// forget drops a claim that is settled or answered.
func (w *watch) forget(key string) {
	delete(w.seen, key)
}

// trim makes room: first the claims that nobody asked for within twice the
// time, else any.
func (w *watch) trim(now time.Duration) {
	for key, s := range w.seen {
		if now-s.at > 2*w.after {
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
