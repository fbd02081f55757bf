package placement

import "math/rand/v2"

// TwoChoicesPicker draws two candidates at random and takes the better one.
// The load of the fullest upstream stays low even when the picture is old,
// since no upstream can be everybody's choice.
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
