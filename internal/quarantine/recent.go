package quarantine

import "time"

// recent remembers when subjects were last served. It has two generations: when the newer one is full or old enough, it
// replaces the older one.
type recent struct {
	// ttl is how long a subject is kept at least, unless a generation exceeds its capacity.
	ttl        time.Duration
	capacity   int
	newer      map[Subject]time.Duration
	older      map[Subject]time.Duration
	newerSince time.Duration
}

func newRecent(ttl time.Duration, capacity int) recent {
	return recent{ttl: ttl, capacity: capacity, newer: map[Subject]time.Duration{}, older: map[Subject]time.Duration{}}
}

// add records that a subject was served at a time.
func (r *recent) add(s Subject, at, now time.Duration) {
	r.expire(now)
	if last, ok := r.last(s, now); ok && last > at {
		at = last
	}
	if len(r.newer) >= r.capacity {
		r.rotate(now)
	}
	r.newer[s] = at
}

// has reports whether a subject was served recently.
func (r *recent) has(s Subject, now time.Duration) bool {
	_, ok := r.last(s, now)
	return ok
}

// last returns when a subject was last served.
func (r *recent) last(s Subject, now time.Duration) (time.Duration, bool) {
	r.expire(now)
	if at, ok := r.newer[s]; ok {
		return at, true
	}
	at, ok := r.older[s]
	return at, ok
}

// expire drops the generations that are too old.
func (r *recent) expire(now time.Duration) {
	if now-r.newerSince <= r.ttl {
		return
	}
	bothExpired := now-r.newerSince > 2*r.ttl
	r.rotate(now)
	if bothExpired {
		clear(r.older)
	}
}

// rotate drops the older generation and starts a new one.
func (r *recent) rotate(now time.Duration) {
	r.older, r.newer, r.newerSince = r.newer, map[Subject]time.Duration{}, now
}
