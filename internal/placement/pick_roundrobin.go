package placement

import "math/rand/v2"

// RoundRobinPicker cycles through the candidates and ignores their scores. It is the baseline that the other
// policies are compared with. It is not safe for concurrent use.
type RoundRobinPicker struct {
	next uint64
}

// Pick implements Picker.
func (p *RoundRobinPicker) Pick(_ *Request, scored []Scored, rng *rand.Rand) Candidate {
	if p.next == 0 {
		p.next = rng.Uint64N(1 << 32) // instances start at different candidates
	}
	p.next++
	return scored[p.next%uint64(len(scored))].Candidate
}
