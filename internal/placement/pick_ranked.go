package placement

import (
	"math/rand/v2"

	"sassafrasfield/internal/rendezvous"
)

// RankedPicker picks the highest score. Ties go to the candidate that ranks first for the prompt's shared
// part by rendezvous hashing, so that all instances choose the same one.
type RankedPicker struct{}

// Pick implements Picker.
func (RankedPicker) Pick(req *Request, scored []Scored, _ *rand.Rand) Candidate {
	key := req.Prompt.SharedKey()
	best := scored[0]
	for _, s := range scored[1:] {
		if s.Score > best.Score || s.Score == best.Score && rendezvous.Compare(key, s.Candidate.ID, best.Candidate.ID) < 0 {
			best = s
		}
	}
	return best.Candidate
}
