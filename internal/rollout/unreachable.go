package rollout

import "time"

// UnreachableTimer measures for how long something was asked and did not answer. Time
// in which nobody asked, because the process was frozen or held no lease, does
// not count: a gap between two questions that is longer than MaxGap starts the
// count again. It is not safe for use by several goroutines.
type UnreachableTimer struct {
	// MaxGap between two questions of one silence.
	MaxGap time.Duration
	misses map[string]miss
}

// miss is a run of questions without an answer.
type miss struct {
	first, last time.Duration
}

// Answered ends the silence of id.
func (s *UnreachableTimer) Answered(id string) {
	delete(s.misses, id)
}

// Missed takes note that id did not answer at now, and returns how long that
// has been so.
func (s *UnreachableTimer) Missed(id string, now time.Duration) time.Duration {
	if s.misses == nil {
		s.misses = map[string]miss{}
	}
	m, ok := s.misses[id]
	if !ok || now-m.last > s.MaxGap {
		m.first = now
	}
	m.last = now
	s.misses[id] = m
	return m.last - m.first
}
