package upstreamstate

import (
	"time"

	"sassafrasfield/internal/placement"
)

// StartsOnPrefillEngine reports whether PickPrefill would choose a separate prefill engine for a prompt. It charges
// the request to none.
func (s *State) StartsOnPrefillEngine(r PlacementRequest, now time.Duration) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	prefill, ok := s.pickPrefill(r, s.request(r, now))
	return ok && !prefill.Direct()
}

// PrefillChoices returns up to limit prefill engines of the zone of the best one that may process a prompt, the
// best first. It considers no engine of the zone without, unless that is empty. It charges the request to none.
func (s *State) PrefillChoices(r PlacementRequest, limit int, without string, now time.Duration) []placement.PrefillChoice {
	s.mu.Lock()
	defer s.mu.Unlock()
	req := s.request(r, now)
	return s.engineScheduler.PrefillChoices(req, s.choiceCandidates(r, req), limit, without)
}

// choiceCandidates returns the candidates for PrefillChoices: a sample of the upstreams of a large service, as for other
// choices. The lock is held.
func (s *State) choiceCandidates(r PlacementRequest, req *placement.Request) []placement.Candidate {
	all, cached := s.byService[r.Service], s.cached(req)
	if len(all) > maxAllCandidates {
		all = sample(all, req, cached)
	}
	return s.candidatesAmong(all, cached, r, req)
}

// PlacePrefill charges a prompt to one of the engines that PrefillChoices returned. It returns false if the engine
// was removed or began to drain meanwhile.
func (s *State) PlacePrefill(r PlacementRequest, prefill placement.Prefill, now time.Duration) (placement.QueueOrder, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if n, ok := s.nodes[prefill.Engine.ID]; !ok || n.Draining {
		return placement.QueueNormal, false
	}
	return s.chargePrefill(r, s.request(r, now), prefill), true
}

// Backlog returns the predicted time of the prompts that all instances reported to have on an engine.
func (s *State) Backlog(engine uint32, now time.Duration) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	n, ok := s.byHash[engine]
	if !ok {
		return 0
	}
	return n.totalLoad(now).Backlog
}
