package gossip

import "time"

// DrainingSet is the set of upstreams that the platform announced as draining, in
// the instance list or through peers. It does no I/O, and is not safe for
// concurrent use.
type DrainingSet struct {
	// listLag is the maximum age of the instance list: a list that no longer has
	// an upstream as draining revokes an announcement only if the list was
	// requested at least that long after the announcement.
	listLag time.Duration
	// lastListAt is when the newest received list was requested.
	lastListAt time.Duration
	// announcedAt is when each upstream was last announced as draining.
	announcedAt map[string]time.Duration
}

// NewDrainingSet returns an empty set.
func NewDrainingSet(listLag time.Duration) *DrainingSet {
	return &DrainingSet{listLag: listLag, announcedAt: map[string]time.Duration{}}
}

// MergeList merges an instance list that was requested at the given time. The IDs
// are those of the upstreams that are draining according to the list.
func (s *DrainingSet) MergeList(at time.Duration, ids []string) {
	s.lastListAt = at
	for id, announcedAt := range s.announcedAt {
		if s.isOutdated(announcedAt) {
			delete(s.announcedAt, id)
		}
	}
	for _, id := range ids {
		s.Merge(id, at)
	}
}

// Merge merges an announcement of the platform that a peer passed on. It was made
// at the given time or later.
func (s *DrainingSet) Merge(id string, at time.Duration) {
	if s.isOutdated(at) {
		return
	}
	if announcedAt, ok := s.announcedAt[id]; !ok || at > announcedAt {
		s.announcedAt[id] = at
	}
}

// isOutdated reports whether the last list is newer than an announcement of that
// time, so that only the list counts.
func (s *DrainingSet) isOutdated(announcedAt time.Duration) bool {
	return s.lastListAt >= announcedAt+s.listLag
}

// Ages returns the time since the platform's last announcement for each draining
// upstream.
func (s *DrainingSet) Ages(now time.Duration) map[string]time.Duration {
	ages := make(map[string]time.Duration, len(s.announcedAt))
	for id, announcedAt := range s.announcedAt {
		ages[id] = now - announcedAt
	}
	return ages
}
