package quarantine

import "time"

// recent is a set of the contents that were served recently. It has two generations: when the newer one is
// full or old enough, it replaces the older one.
type recent struct {
	// ttl is how long a content is kept at least, unless a generation exceeds its capacity.
	ttl        time.Duration
	capacity   int
	newer      map[Content]bool
	older      map[Content]bool
	newerSince time.Duration
}

func newRecent(ttl time.Duration, capacity int) recent {
	return recent{ttl: ttl, capacity: capacity, newer: map[Content]bool{}, older: map[Content]bool{}}
}

func (r *recent) add(c Content, now time.Duration) {
	r.expire(now)
	if len(r.newer) >= r.capacity {
		r.rotate(now)
	}
	r.newer[c] = true
}

func (r *recent) has(c Content, now time.Duration) bool {
	r.expire(now)
	return r.newer[c] || r.older[c]
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
	r.older, r.newer, r.newerSince = r.newer, map[Content]bool{}, now
}
