package stream

// Steps is what the differences between the ids of successive events of a run show of how engines number them. The zero value shows
// nothing.
type Steps struct {
	// min and max are the smallest and the largest difference; 0 before the first one.
	min, max int64
}

func (s Steps) known() bool { return s.max > 0 }

// only returns the difference if all are the same.
func (s Steps) only() (step int64, ok bool) { return s.max, s.known() && s.min == s.max }

// add adds a difference; 0 adds nothing.
func (s *Steps) add(step int64) { *s = s.merge(Steps{min: step, max: step}) }

// merge returns what either shows.
func (s Steps) merge(other Steps) Steps {
	switch {
	case !s.known():
		return other
	case !other.known():
		return s
	default:
		return Steps{min: min(s.min, other.min), max: max(s.max, other.max)}
	}
}

// allow reports whether two events whose ids differ by a step may follow each other. Nothing is between two numbers that differ by 1.
func (s Steps) allow(step int64) bool {
	return step == 1 || s.min <= step && step <= s.max
}
