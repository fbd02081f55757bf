package upstreamstate

import (
	"time"

	"sassafrasfield/internal/placement"
)

// PrefillChoices returns up to limit prefill engines of the zone of the best one that may process a prompt, the
// best first. It considers no engine of the zone without, unless that is empty. It charges the request to none.
func (s *State) PrefillChoices(r PlacementRequest, limit int, without string, now time.Duration) []placement.PrefillChoice {
	s.mu.Lock()
	defer s.mu.Unlock()
	req := s.request(r, now)
	return s.engineScheduler.PrefillChoices(req, s.candidates(r, req), limit, without)
}

// PlacePrefill charges a prompt to one of the engines that PrefillChoices returned.
func (s *State) PlacePrefill(r PlacementRequest, prefill placement.Prefill, now time.Duration) placement.QueueOrder {
	s.mu.Lock()
	defer s.mu.Unlock()
	req := s.request(r, now)
	order := req.Costs.QueueOrder(req, prefill, s.rng.Float64())
	if _, ok := s.nodes[prefill.Engine.ID]; !ok {
		return order
	}
	s.place(prefill.Engine.ID, r.ID, now)
	s.placePrompt(prefill, order, now)
	s.nodes[prefill.Engine.ID].work.inflow.add(float64(req.Prompt.Tokens-prefill.Engine.Aggregate.CachedTokens), now)
	s.recordPrompt(prefill.Engine.ID, req.Prompt, now)
	return order
}
