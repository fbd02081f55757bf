package upstreamstate

import (
	"time"

	"sassafrasfield/internal/quota"
)

// UpstreamStatus is what an upstream says of itself with an answer.
type UpstreamStatus struct {
	// Load is what it has under way.
	Load Load
	// Announcement is for all instances; nil where it cannot be read.
	Announcement *quota.Announcement
	// Backoff is for how long the upstream wants nothing from this instance; 0 for no such
	// wish.
	Backoff time.Duration
	// ParseErrors are the errors of what cannot be read. It says nothing.
	ParseErrors []error
}

// backoffTable is until when upstreams want nothing from this instance.
type backoffTable map[uint32]time.Duration

// extend takes an upstream's wish, and tells whether the rest is longer by it. What it asked for
// before stands.
func (t backoffTable) extend(hash uint32, until time.Duration) bool {
	if until <= t[hash] {
		return false
	}
	t[hash] = until
	return true
}

// BackOff takes it that an upstream wants nothing from this instance for a time, and tells
// whether it is left alone for longer by that. Afterwards it gets one request at first, and ever
// more as they go well. An answer of a start of it that is over says nothing of the one that is
// there now.
func (p *State) BackOff(from Upstream, d, now time.Duration) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	hash := from.Incarnation()
	n, listed := p.nodes[from.ID]
	if listed && n.hash != hash || !p.limits.backoffs.extend(hash, now+d) {
		return false
	}
	if listed {
		p.loads.BackOff(n.ID, now+d)
	}
	return true
}

// EndedBackoffs returns the ids of the listed upstreams whose rest has ended since the last call.
func (p *State) EndedBackoffs(now time.Duration) []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	var over []string
	for hash, until := range p.limits.backoffs {
		if now < until {
			continue
		}
		delete(p.limits.backoffs, hash)
		if n, ok := p.byHash[hash]; ok {
			over = append(over, n.ID)
		}
	}
	return over
}

// BackoffLeft is for how much longer an upstream wants nothing from this instance; 0 for one that
// takes requests.
func (p *State) BackoffLeft(hash uint32, now time.Duration) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	return max(0, p.limits.backoffs[hash]-now)
}
