package placement

import "math/rand/v2"

// BestPicker takes the highest score; ties are broken at random, so that
// entries do not all choose the same upstream.
type BestPicker struct{}

// Pick implements Picker.
func (BestPicker) Pick(req *Request, scored []Scored, rng *rand.Rand) Candidate {
	return NearBestPicker{}.Pick(req, scored, rng)
}
