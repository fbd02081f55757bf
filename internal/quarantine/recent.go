package quarantine

import "time"

// recent remembers the contents that were served lately, in two generations: the older
// one is dropped when the newer one is full or old enough.
type recent struct {
	// lasts is for how long a content is remembered, at least, while there is room for
	// most in each generation.
	lasts      time.Duration
	most       int
	newer      map[Content]bool
	older      map[Content]bool
	newerSince time.Duration
}

func newRecent(lasts time.Duration, most int) recent {
	return recent{lasts: lasts, most: most, newer: map[Content]bool{}, older: map[Content]bool{}}
}

func (r *recent) add(c Content, now time.Duration) {
	r.age(now)
	if len(r.newer) >= r.most {
		r.turn(now)
	}
	r.newer[c] = true
}

func (r *recent) has(c Content, now time.Duration) bool {
	r.age(now)
	return r.newer[c] || r.older[c]
}

// age drops what is too old.
func (r *recent) age(now time.Duration) {
	if now-r.newerSince <= r.lasts {
		return
	}
	tooOld := now-r.newerSince > 2*r.lasts
	r.turn(now)
	if tooOld {
		clear(r.older)
	}
}

func (r *recent) turn(now time.Duration) {
	r.older, r.newer, r.newerSince = r.newer, map[Content]bool{}, now
}
