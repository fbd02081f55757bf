package estimate

// mean is a mean that fades: the plain mean of the first observations, then one in
// which each new one has a fixed part. The zero value has seen nothing.
type mean struct {
	value float64
	n     int
}

// meanOver is the number of observations over which a mean fades.
const meanOver = 32

func (m *mean) add(x float64) {
	m.n = min(m.n+1, meanOver)
	m.value += (x - m.value) / float64(m.n)
}

// or returns the mean, or another value when nothing was seen.
func (m *mean) or(other float64) float64 {
	if m.n == 0 {
		return other
	}
	return m.value
}
