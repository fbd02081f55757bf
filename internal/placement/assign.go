package placement

import (
	"math/rand/v2"

	"sassafrasfield/internal/config"
)

// Assign picks the engine that begins a request, and says which part of it
// that engine is to do: the whole on a mixed engine or, when the request may
// be split, the prompt on a prefill engine, if the weaker engine of the best
// pair of prefill and decode scores higher than the best mixed one. Where the
// configuration has neither, any engine takes the whole.
func (s *Scheduler) Assign(req *Request, candidates []Candidate, rng *rand.Rand) (first Candidate, work Phase, ok bool) {
	if req.Phase != PhaseFull {
		first, ok = s.Schedule(req, candidates, rng)
		return first, req.Phase, ok
	}
	whole, hasWhole := s.Schedule(req, candidates, rng)
	if req.Split {
		prefill, score, hasPair := s.pair(req, candidates, rng)
		if hasPair && (!hasWhole || score > s.score(req, whole)) {
			return prefill, PhasePrefill, true
		}
	}
	if hasWhole {
		return whole, PhaseFull, true
	}
	any := *req
	any.Phase = PhaseAnyRole
	first, ok = s.Schedule(&any, candidates, rng)
	return first, PhaseAnyRole, ok
}

// pair returns the best prefill engine, if a decode engine can go on after it,
// and the lower of the two scores.
func (s *Scheduler) pair(req *Request, candidates []Candidate, rng *rand.Rand) (prefill Candidate, score float64, ok bool) {
	first, next := *req, *req
	first.Phase = PhasePrefill
	next.Phase, next.Prompt.Tokens, next.Prefix = PhaseDecode, 0, nil
	prefill, ok = s.Schedule(&first, ofRole(candidates, config.RolePrefill), rng)
	if !ok {
		return prefill, 0, false
	}
	decode, ok := s.Schedule(&next, ofRole(candidates, config.RoleDecode), rng)
	if !ok {
		return prefill, 0, false
	}
	return prefill, min(s.score(&first, prefill), s.score(&next, decode)), true
}

func ofRole(candidates []Candidate, role config.Role) []Candidate {
	var kept []Candidate
	for _, c := range candidates {
		if c.role() == role {
			kept = append(kept, c)
		}
	}
	return kept
}
