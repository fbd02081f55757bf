package placement

import "math/rand/v2"

// TwoChoicesPicker draws two candidates at random and picks the better one. Even when the load data is
// stale, the load of the busiest upstream stays low, because no upstream is chosen by every instance.
type TwoChoicesPicker struct{}

// Pick implements Picker.
func (TwoChoicesPicker) Pick(_ *Request, scored []Scored, rng *rand.Rand) Candidate {
	a := scored[rng.IntN(len(scored))]
	b := scored[rng.IntN(len(scored))]
	if b.Score > a.Score {
		return b.Candidate
	}
	return a.Candidate
}
