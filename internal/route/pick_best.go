package route

import "math/rand/v2"

// BestPicker takes the highest score; ties are broken at random, so that
// entries do not all choose the same engine.
type BestPicker struct{}

// Pick implements Picker.
func (BestPicker) Pick(scored []Scored, rng *rand.Rand) Candidate {
	best := scored[0]
	ties := 1
	for _, s := range scored[1:] {
		switch {
		case s.Score > best.Score:
			best, ties = s, 1
		case s.Score == best.Score:
			ties++
			if rng.IntN(ties) == 0 {
				best = s
			}
		}
	}
	return best.Candidate
}
