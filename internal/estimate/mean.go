package estimate

// mean is the plain mean of the first observations, and an exponentially weighted one after that.
// The zero value has no observations.
type mean struct {
	value float64
	n     int
}

// meanWindow is the number of observations after which each new one has the fixed weight
// 1/meanWindow.
const meanWindow = 32

func (m *mean) add(x float64) {
	m.n = min(m.n+1, meanWindow)
	m.value += (x - m.value) / float64(m.n)
}

// or returns the mean, or the given value without observations.
func (m *mean) or(other float64) float64 {
	if m.n == 0 {
		return other
	}
	return m.value
}
