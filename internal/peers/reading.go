package peers

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

// How many instances follow the store.
const (
	// readers is how many should: the loss of three still leaves one.
	readers = 4
	// readersNeeded is how many others must tell that they do, before an
	// instance that should not leaves the store alone.
	readersNeeded = 2
)

// NoticedIn is how long the others take to hear that an instance has no answers
// from the store any more: until its last word that it has counts no longer.
const NoticedIn = aliveFor + tick

// ShouldRead tells whether this instance should follow the store itself: the
// instances that rank first do, and whoever does not hear of enough others.
func (e *Exchange) ShouldRead() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	now, before := time.Now(), 0
	own := rankOf(e.self.Name)
	for _, k := range e.peers {
		if k.Zone == e.self.Zone && rankOf(k.Name) > own && now.Sub(k.heardAt) <= aliveFor {
			before++
		}
	}
	return before < e.readersHere() || e.readersHeard(now) < readersNeeded
}

// readersHeard counts the instances that told lately that they follow the store, and
// the zones that did. The lock is held.
func (e *Exchange) readersHeard(now time.Time) int {
	heard := 0
	for _, k := range e.peers {
		if k.reading && now.Sub(k.heardAt) <= aliveFor {
			heard++
		}
	}
	for _, at := range e.zoneReading {
		if now.Sub(at) <= aliveFor {
			heard++
		}
	}
	return heard
}

// OthersRead tells whether another instance follows the store now, and it
// answers.
func (e *Exchange) OthersRead() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.readersHeard(time.Now()) > 0
}

// readersHere is how many instances of this zone should follow the store. The
// lock is held.
func (e *Exchange) readersHere() int {
	zones := map[string]bool{e.self.Zone: true}
	for _, k := range e.peers {
		if k.Zone != "" {
			zones[k.Zone] = true
		}
	}
	return max(1, readers/len(zones))
}

// rankOf orders the instances the same way everywhere.
func rankOf(name string) uint64 { return xxhash.Sum64String(name) }
