package upstreamstate

import (
	"time"

	"sassafrasfield/internal/placement"
	"sassafrasfield/internal/reservation"
)

// maxPrefillOptions bounds the engines that one reservation request names, so that it fits into 200 bytes.
const maxPrefillOptions = 16

// PrefillOptions are the prefill engines of one zone among which a reservation chooses.
type PrefillOptions struct {
	Zone    string
	options []placement.PrefillOption
	engines []uint32
}

// Candidates returns the engines as a reservation request names them.
func (o PrefillOptions) Candidates() []reservation.Candidate {
	list := make([]reservation.Candidate, len(o.options))
	for i, option := range o.options {
		list[i] = reservation.Candidate{Engine: o.engines[i], Busy: option.BusyTime, Extra: option.Extra}
	}
	return list
}

// PrefillOptions returns the prefill engines that may process a prompt, in the zone of the engine that PickPrefill
// would choose. It returns false if no reservation applies: no engine is left, an engine that also generates
// is to process the prompt, or there is only one engine.
func (s *State) PrefillOptions(r PlacementRequest, now time.Duration) (PrefillOptions, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	req := s.request(r, now)
	prefill, ok := s.pickPrefill(r, req)
	if !ok || prefill.Direct() {
		return PrefillOptions{}, false
	}
	o := PrefillOptions{Zone: prefill.Engine.Zone}
	o.options = s.engineScheduler.PrefillOptions(req, s.optionCandidates(r, req), prefill, maxPrefillOptions)
	for _, option := range o.options {
		o.engines = append(o.engines, s.nodes[option.Engine.ID].hash)
	}
	return o, len(o.options) > 1
}

// optionCandidates returns the candidates for a reservation: a sample of the upstreams of a large service, as for other
// choices. The lock is held.
func (s *State) optionCandidates(r PlacementRequest, req *placement.Request) []placement.Candidate {
	all, cached := s.byService[r.Service], s.cached(req)
	if len(all) > maxAllCandidates {
		all = sample(all, req, cached)
	}
	return s.candidatesAmong(all, cached, r, req)
}

// PlaceReserved charges a prompt to the engine that was reserved for it, and returns the placement and the priority
// in the engine's queue. It returns false if the engine was removed meanwhile.
func (s *State) PlaceReserved(r PlacementRequest, o PrefillOptions, granted reservation.Grant, now time.Duration) (placement.Prefill, placement.QueueOrder, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for i, option := range o.options {
		n, ok := s.nodes[option.Engine.ID]
		if o.engines[i] != granted.Engine || !ok || n.hash != granted.Engine || n.Draining {
			continue
		}
		prefill := option.Prefill
		prefill.Engine.Aggregate.Backlog = granted.Wait
		prefill.BusyTime = time.Duration(float64(granted.Busy) * granted.Speed)
		prefill.Engine.Aggregate.DeferredBacklog = min(prefill.Engine.Aggregate.DeferredBacklog, granted.Wait)
		return prefill, s.chargePrefill(r, s.request(r, now), prefill), true
	}
	return placement.Prefill{}, placement.QueueNormal, false
}
