package estimate

// Bounds of an engine's slowness.
const (
	// slownessFrom is the number of observations from which an engine is told apart
	// from the others.
	slownessFrom = 3
	// slowFrom is the slowness below which an engine counts as one of the others:
	// what it had cached makes as much of a difference.
	slowFrom = 1.6
	// slownessAtMost bounds one observation, so that a single one that hung does
	// not keep an engine idle for long.
	slownessAtMost = 8
)

// noteSlowness takes note of how much longer than predicted an engine took.
func (m *Model) noteSlowness(engine string, ratio float64) {
	s, ok := m.slowness[engine]
	if !ok {
		s = &mean{}
		m.slowness[engine] = s
	}
	s.add(min(ratio, slownessAtMost))
}

// Slowness is how much longer an engine takes than those of its service: 1 for most.
func (m *Model) Slowness(engine string) float64 {
	s, ok := m.slowness[engine]
	if !ok || s.n < slownessFrom || s.value < slowFrom {
		return 1
	}
	return s.value
}

// Forget drops what is known of an engine that is gone.
func (m *Model) Forget(engine string) { delete(m.slowness, engine) }
