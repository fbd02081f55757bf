package upstreamstate

import (
	"maps"
	"math"
	"slices"
	"time"

	"sassafrasfield/internal/quota"
)

// limits are the announcements of the upstreams, with the upstreams whose limit is exhausted and
// those that requested a backoff.
type limits struct {
	announcements *quota.Table
	exhausted     exhaustedTable
	backoffs      backoffTable
	// changes are the changes not logged yet.
	changes []quota.Change
}

// availableAt returns when an upstream accepts a request of a priority again. The result is not
// after the current time if it accepts one now.
func (l limits) availableAt(hash uint32, priority int) time.Duration {
	return max(l.exhausted.until(hash, priority), l.backoffs[hash])
}

// any reports whether any upstream may be refusing requests.
func (l limits) any() bool { return l.announcements.Any() || len(l.backoffs) > 0 }

func newLimits() limits {
	return limits{announcements: quota.NewTable(), exhausted: exhaustedTable{}, backoffs: backoffTable{}}
}

// exhaustedTable maps upstreams and priorities to the time until which the limit is exhausted for
// requests of that priority and for less urgent ones. The times come from the replies to requests
// for a grant.
type exhaustedTable map[uint32]map[int]time.Duration

// set records the reply to a request of a priority.
func (t exhaustedTable) set(hash uint32, priority int, until time.Duration) {
	if t[hash] == nil {
		t[hash] = map[int]time.Duration{}
	}
	t[hash][priority] = until
}

// until returns when an upstream has capacity for a request of a priority again. The result is not
// after the current time if it has capacity now.
func (t exhaustedTable) until(hash uint32, priority int) time.Duration {
	latest := time.Duration(0)
	for exhaustedPriority, until := range t[hash] {
		if exhaustedPriority <= priority {
			latest = max(latest, until)
		}
	}
	return latest
}

// expire removes the entries whose time has passed.
func (t exhaustedTable) expire(now time.Duration) {
	for hash, byPriority := range t {
		maps.DeleteFunc(byPriority, func(_ int, until time.Duration) bool { return now >= until })
		if len(byPriority) == 0 {
			delete(t, hash)
		}
	}
}

// ApplyAnnouncement applies an announcement from an upstream's answer to this instance. It is ignored if it
// comes from an earlier incarnation of the upstream.
func (s *State) ApplyAnnouncement(from Upstream, a quota.Announcement, now time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	hash := from.Incarnation()
	if n, ok := s.nodes[from.ID]; ok && n.hash != hash {
		return
	}
	change, changed := s.limits.announcements.ApplyAnnouncement(hash, a, now)
	s.noteLimitChange(change, changed)
	if changed {
		s.settings.OnChange()
	}
}

// applyLimits applies the announcements that others received from upstreams. The lock is held.
func (s *State) applyLimits(announced []quota.UpstreamLimit, sameZone bool, now time.Duration) {
	source := quota.OtherZone
	if sameZone {
		source = quota.SameZone
	}
	for _, l := range announced {
		change, changed := s.limits.announcements.ApplyReport(l, source, now)
		s.noteLimitChange(change, changed)
	}
}

// Limits returns the known announcements of all upstreams.
func (s *State) Limits(now time.Duration) []quota.UpstreamLimit {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.limits.announcements.All(now)
}

// ApplyLimits applies the announcements known to an instance of this zone or of another one.
func (s *State) ApplyLimits(announced []quota.UpstreamLimit, sameZone bool, now time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.applyLimits(announced, sameZone, now)
}

// ApplyLimit applies the announcement that an instance sent with its request for a grant.
func (s *State) ApplyLimit(l quota.UpstreamLimit, now time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.applyLimits([]quota.UpstreamLimit{l}, true, now)
}

// noteLimitChange keeps a change to be logged. When the rate changed, the times at which the old
// limit would have had capacity again are dropped. The lock is held.
func (s *State) noteLimitChange(c quota.Change, changed bool) {
	if !changed {
		return
	}
	if c.Rate != c.OldRate {
		delete(s.limits.exhausted, c.Upstream)
	}
	if n, ok := s.byHash[c.Upstream]; ok && c.StartsDraining {
		n.Draining = true
	}
	s.limits.changes = append(s.limits.changes, c)
}

// LimitChanges returns the changes of announcements since the last call.
func (s *State) LimitChanges() []quota.Change {
	s.mu.Lock()
	defer s.mu.Unlock()
	changes := s.limits.changes
	s.limits.changes = nil
	return changes
}

// Limit returns the announced limit of an upstream, whether this instance received it from the
// upstream itself, and whether any announcement is known.
func (s *State) Limit(hash uint32, now time.Duration) (l quota.UpstreamLimit, firstHand, known bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.limits.announcements.Lookup(hash, now)
}

// MarkExhausted records that the limit of an upstream is exhausted until a time, for requests of a
// priority and for less urgent ones.
func (s *State) MarkExhausted(hash uint32, priority int, until time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.limits.exhausted.set(hash, priority, until)
}

// IsExhausted reports whether the limit of an upstream is exhausted for a request of a priority.
func (s *State) IsExhausted(hash uint32, priority int, now time.Duration) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return now < s.limits.exhausted.until(hash, priority)
}

// IsDraining reports whether this incarnation of an upstream is known to be draining.
func (s *State) IsDraining(u Upstream) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	n, ok := s.byHash[u.Incarnation()]
	return ok && n.Draining
}

// AllDraining reports whether a service has upstreams and all of them are draining.
func (s *State) AllDraining(service string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	list := s.byService[service]
	return len(list) > 0 && !slices.ContainsFunc(list, func(n *node) bool { return !n.Draining })
}

// AvailableIn returns when the first of the upstreams that accept no request now, due to their
// limit or a backoff, accepts one again. Found is false when there are none; backingOff means that
// the wait is due to a backoff.
func (s *State) AvailableIn(r PlacementRequest, now time.Duration) (in time.Duration, backingOff, found bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	in = time.Duration(math.MaxInt64)
	for _, n := range s.byService[r.Service] {
		until := s.limits.availableAt(n.hash, r.Priority)
		if n.Draining || until <= now || until-now >= in {
			continue
		}
		in, backingOff, found = until-now, until == s.limits.backoffs[n.hash], true
	}
	return in, backingOff, found
}

// expireLimits removes expired entries. The lock is held.
func (s *State) expireLimits(now time.Duration) {
	s.limits.exhausted.expire(now)
	s.limits.announcements.Expire(func(hash uint32) bool { return s.byHash[hash] != nil }, now)
}

// UpstreamID returns the id of the upstream with the given incarnation hash; empty when it is not
// listed.
func (s *State) UpstreamID(hash uint32) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	if n, ok := s.byHash[hash]; ok {
		return n.ID
	}
	return ""
}
