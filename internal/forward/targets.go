package forward

import (
	"math/rand/v2"
	"sync"
	"time"

	"sassafrasfield/internal/peers"
)

const (
	// avoidFor is how long an instance gets no forwarded requests after it failed or refused one.
	avoidFor = time.Second
	// congestedAfter is the number of different instances, one after the other, that must not have been
	// reached for this instance's own link to be at fault.
	congestedAfter = 3
)

// targets chooses the instances that requests are forwarded to. An instance of the own zone is preferred, because
// bytes between zones cost money, and among those of one zone the one that serves the fewest requests of this
// instance. It is safe for concurrent use.
type targets struct {
	clock func() time.Duration

	mu sync.Mutex // protects all below
	// inFlight counts the requests that each instance serves for this one.
	inFlight map[string]int
	// avoidedUntil holds until when instances get no requests.
	avoidedUntil map[string]time.Duration
	// unreached are the instances that could not be reached since one was.
	unreached map[string]bool
	// congestedUntil is until when no instance is expected to be reached.
	congestedUntil time.Duration
}

func newTargets(clock func() time.Duration) *targets {
	return &targets{clock: clock, inFlight: map[string]int{}, avoidedUntil: map[string]time.Duration{}, unreached: map[string]bool{}}
}

// available reports whether any of the instances may get a request.
func (t *targets) available(list []peers.Peer) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.clock()
	if now < t.congestedUntil {
		return false
	}
	for _, p := range list {
		if now >= t.avoidedUntil[p.Name] {
			return true
		}
	}
	return false
}

// acquire chooses an instance and counts a request to it; false if there is none. The caller must release it.
func (t *targets) acquire(list []peers.Peer, excluded map[string]bool) (peers.Peer, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.clock()
	if now < t.congestedUntil {
		return peers.Peer{}, false
	}
	var best peers.Peer
	found, ties := false, 0
	for _, p := range list {
		if excluded[p.Name] || now < t.avoidedUntil[p.Name] {
			continue
		}
		switch load := t.inFlight[p.Name]; {
		case !found || load < t.inFlight[best.Name]:
			best, found, ties = p, true, 1
		case load == t.inFlight[best.Name]:
			if ties++; rand.IntN(ties) == 0 {
				best = p
			}
		}
	}
	if found {
		t.inFlight[best.Name]++
	}
	return best, found
}

// release ends a request to an instance.
func (t *targets) release(name string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.inFlight[name]--; t.inFlight[name] <= 0 {
		delete(t.inFlight, name)
	}
}

// avoid has an instance get no requests for a while.
func (t *targets) avoid(name string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.clock()
	for other, until := range t.avoidedUntil {
		if now >= until {
			delete(t.avoidedUntil, other)
		}
	}
	t.avoidedUntil[name] = now + avoidFor
}

// recordReached records whether an instance was reached.
func (t *targets) recordReached(name string, reached bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if reached {
		clear(t.unreached)
		return
	}
	t.unreached[name] = true
	if len(t.unreached) >= congestedAfter {
		clear(t.unreached)
		t.congestedUntil = t.clock() + avoidFor
	}
}
