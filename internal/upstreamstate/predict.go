package upstreamstate

import (
	"time"

	"sassafrasfield/internal/placement"
)

// Prediction is what is expected of a prompt at the engine that PickPrefill would choose.
type Prediction struct {
	Engine string
	// Start is the time until the generation starts, HandOver the part of it after the prompt was processed.
	Start, HandOver time.Duration
}

// PredictPrefill returns what PickPrefill would choose for a request, and charges nothing. It returns false if no engine
// can take the prompt.
func (s *State) PredictPrefill(r PlacementRequest, now time.Duration) (Prediction, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	req := s.request(r, now)
	prefill, ok := choose(s, r, req, func(candidates []placement.Candidate) (placement.Prefill, placement.Candidate, bool) {
		prefill, ok := s.engineScheduler.PickPrefill(req, candidates, s.rng)
		return prefill, prefill.Engine, ok
	})
	if !ok {
		return Prediction{}, false
	}
	return Prediction{Engine: prefill.Engine.ID, Start: req.Costs.TimeToStart(prefill), HandOver: req.Costs.HandOver}, true
}
