package placement

import (
	"math/rand/v2"

	"sassafrasfield/internal/config"
)

// Assign picks the engine that starts a request and returns the phase that this engine runs. A mixed engine
// runs the full request. If the request may be split, a prefill engine runs the prompt when the lower score
// of the best pair of prefill and decode engines is above the score of the best mixed engine. If neither
// exists, an engine of any role runs the full request.
func (s *Scheduler) Assign(req *Request, candidates []Candidate, rng *rand.Rand) (first Candidate, phase Phase, ok bool) {
	if req.Phase != PhaseFull {
		first, ok = s.Schedule(req, candidates, rng)
		return first, req.Phase, ok
	}
	full, hasFull := s.Schedule(req, candidates, rng)
	if req.Split {
		prefill, score, hasPair := s.pair(req, candidates, rng)
		if hasPair && (!hasFull || score > s.score(req, full)) {
			return prefill, PhasePrefill, true
		}
	}
	if hasFull {
		return full, PhaseFull, true
	}
	anyRole := *req
	anyRole.Phase = PhaseAnyRole
	first, ok = s.Schedule(&anyRole, candidates, rng)
	return first, PhaseAnyRole, ok
}

// pair returns the best prefill engine and the lower of the scores of the best prefill and decode engines;
// ok is false when either is missing.
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
