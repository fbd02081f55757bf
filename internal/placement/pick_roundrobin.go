package placement

import "math/rand/v2"

// RoundRobinPicker takes the candidates in turn, whatever their scores. It is
// the baseline of the comparison. It is not safe for concurrent use.
type RoundRobinPicker struct {
	turn uint64
}

// Pick implements Picker.
func (p *RoundRobinPicker) Pick(_ *Request, scored []Scored, rng *rand.Rand) Candidate {
	if p.turn == 0 {
		p.turn = rng.Uint64N(1 << 32) // entries start at different places
	}
	p.turn++
	return scored[p.turn%uint64(len(scored))].Candidate
}
