package placement

import "math/rand/v2"

// BestPicker picks the highest score. It breaks ties at random, so that instances do not all choose the same
// upstream.
type BestPicker struct{}

// Pick implements Picker.
func (BestPicker) Pick(req *Request, scored []Scored, rng *rand.Rand) Candidate {
	return NearBestPicker{}.Pick(req, scored, rng)
}
