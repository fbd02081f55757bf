package upstreamstate

import (
	"time"

	"sassafrasfield/internal/quota"
)

// UpstreamStatus is what an upstream reports about itself in an answer.
type UpstreamStatus struct {
	// Load is its current load.
	Load Load
	// Announcement is for all instances; nil if it cannot be parsed.
	Announcement *quota.Announcement
	// Backoff is how long this instance should send nothing to the upstream; 0 if the upstream
	// requests none.
	Backoff time.Duration
	// ParseErrors are the errors of values that cannot be parsed and are ignored.
	ParseErrors []error
}

// backoffTable maps upstreams to the times until which this instance sends them nothing.
type backoffTable map[uint32]time.Duration

// extend applies a requested backoff and reports whether it extends the current one. A shorter
// request does not shorten an earlier one.
func (t backoffTable) extend(hash uint32, until time.Duration) bool {
	if until <= t[hash] {
		return false
	}
	t[hash] = until
	return true
}

// BackOff applies an upstream's request that this instance send it nothing for a time, and reports
// whether this extends its backoff. Afterwards the upstream first gets one request at a time, and
// more as they succeed. The request is ignored if it comes from an earlier incarnation of the
// upstream.
func (s *State) BackOff(from Upstream, d, now time.Duration) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	hash := from.Incarnation()
	n, listed := s.nodes[from.ID]
	if listed && n.hash != hash || !s.limits.backoffs.extend(hash, now+d) {
		return false
	}
	if listed {
		s.use(n)
		s.loads.BackOff(n.ID, now+d)
	}
	return true
}

// EndedBackoffs returns the ids of the listed upstreams whose backoff has ended since the last
// call.
func (s *State) EndedBackoffs(now time.Duration) []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	var ended []string
	for hash, until := range s.limits.backoffs {
		if now < until {
			continue
		}
		delete(s.limits.backoffs, hash)
		if n, ok := s.byHash[hash]; ok {
			ended = append(ended, n.ID)
		}
	}
	return ended
}

// BackoffLeft returns the remaining time of an upstream's backoff; 0 if it accepts requests.
func (s *State) BackoffLeft(hash uint32, now time.Duration) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return max(0, s.limits.backoffs[hash]-now)
}
