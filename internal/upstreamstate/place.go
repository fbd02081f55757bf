package upstreamstate

import (
	"slices"
	"time"

	"sassafrasfield/internal/load"
	"sassafrasfield/internal/placement"
)

// PlacementRequest is a request for which an upstream is to be chosen.
type PlacementRequest struct {
	// ID identifies the request, Service is its destination.
	ID, Service string
	// Prompt is the zero value for a request to a plain service.
	Prompt placement.Prompt
	// Version is the software version that the request requires; empty for any.
	Version string
	// AvoidedVersions are the software versions of which the request takes no upstream.
	AvoidedVersions []string
	// Excluded are the upstreams that already failed the request.
	Excluded map[string]bool
	// Objective is the time left until the answer would miss its latency objective, RemainingWait
	// the time left until the caller stops waiting.
	Objective, RemainingWait time.Duration
	// Priority; 0 is the most urgent.
	Priority int
	// Direct is set if one engine is to process the prompt and generate.
	Direct bool
	// Soonest is set if the engine that is ready soonest is to be chosen, although another copy of the prompt's shared
	// part may result.
	Soonest bool
}

// request converts a placement request to the form that package placement uses. The lock is held.
func (s *State) request(r PlacementRequest, now time.Duration) *placement.Request {
	costs := s.costs(r.Service)
	if r.Soonest {
		costs.MemoryPrice = 0
	}
	return &placement.Request{
		Zone: s.settings.Zone, Prompt: r.Prompt, SoftwareVersion: r.Version, AvoidedVersions: r.AvoidedVersions, Excluded: r.Excluded, Now: now,
		Objective: r.Objective, RemainingWait: r.RemainingWait, Costs: costs,
		CheckLimits: s.limits.any(), Direct: r.Direct,
	}
}

// choose calls pick with the candidates for a request: with a sample of the upstreams of a large service first,
// and with all of them if pick finds none among these, or only a crowded one. The lock is held.
func choose[T any](s *State, r PlacementRequest, req *placement.Request, pick func([]placement.Candidate) (T, placement.Candidate, bool)) (T, bool) {
	all := s.byService[r.Service]
	if len(all) > maxAllCandidates {
		cached := s.cached(req)
		if chosen, candidate, ok := pick(s.candidatesAmong(sample(all, req, cached), cached, r, req)); ok && !crowded(candidate, req) {
			return chosen, true
		}
	}
	chosen, _, ok := pick(s.candidates(r, req))
	return chosen, ok
}

// candidates returns the upstreams of the request's service in the form that package placement uses.
// The result is valid until the next choice. The lock is held.
func (s *State) candidates(r PlacementRequest, req *placement.Request) []placement.Candidate {
	return s.candidatesAmong(s.byService[r.Service], s.cached(req), r, req)
}

// candidatesAmong is candidates for some of the upstreams. cached has the tokens of the prompt that each has
// cached.
func (s *State) candidatesAmong(nodes []*node, cached map[uint32]int, r PlacementRequest, req *placement.Request) []placement.Candidate {
	s.peers.expire(req.Now)
	list := slices.Grow(s.candidateBuf[:0], len(nodes))
	for _, n := range nodes {
		list = append(list, placement.Candidate{
			ID: n.ID, Zone: n.Zone, Draining: n.Draining, SoftwareVersion: n.Version, Engine: n.engine,
			Load: n.load, Suspect: s.suspect(n, req.Now), Aggregate: n.aggregateLoad(req.Now),
		})
		if req.CheckLimits {
			candidate := &list[len(list)-1]
			candidate.Limited, candidate.Exhausted = s.limits.announcements.Limited(n.hash), req.Now < s.limits.availableAt(n.hash, r.Priority)
		}
		if len(cached) > 0 {
			list[len(list)-1].Aggregate.CachedTokens = cached[n.hash]
		}
	}
	s.candidateBuf = list
	return list
}

// reportedLoadValidFor is how long a load that an upstream reported is used. At the request rates
// of today's sites, an instance gets an answer from each engine about once in this time.
const reportedLoadValidFor = 500 * time.Millisecond

// aggregateLoad returns the load of an upstream as placement uses it. The number of requests is
// that of all instances, or what the upstream recently reported if that is more.
func (n *node) aggregateLoad(now time.Duration) placement.AggregateLoad {
	all := n.totalLoad(now)
	aggregate := placement.AggregateLoad{Backlog: all.Backlog, DeferredBacklog: all.DeferredBacklog, Utilization: all.Utilization, Requests: all.Requests, Inflow: all.Inflow, Speed: n.speedAt(now)}
	if n.Role == "" {
		aggregate.Slowness, aggregate.Slots = n.work.slowness.Factor(now), n.work.reported.Slots
	}
	if n.work.reported.Known && now-n.work.reportedAt < reportedLoadValidFor {
		aggregate.Requests = max(aggregate.Requests, n.work.reported.Running+n.work.reported.Waiting)
	}
	return aggregate
}

// PickServiceUpstream chooses an upstream of a plain service and charges the request to it.
func (s *State) PickServiceUpstream(r PlacementRequest, now time.Duration) (Upstream, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	req := s.request(r, now)
	chosen, ok := s.serviceScheduler.Schedule(req, s.candidates(r, req), s.rng)
	if !ok {
		return Upstream{}, false
	}
	s.place(chosen.ID, r.ID, now)
	return s.upstream(chosen.ID), true
}

// PickPrefill chooses the engine that processes a prompt and the priority of the prompt in the
// engine's queue, and charges the request to that engine.
func (s *State) PickPrefill(r PlacementRequest, now time.Duration) (placement.Prefill, placement.QueueOrder, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	req := s.request(r, now)
	prefill, ok := s.pickPrefill(r, req)
	if !ok {
		return prefill, placement.QueueNormal, false
	}
	return prefill, s.chargePrefill(r, req, prefill), true
}

// pickPrefill chooses the engine that processes a prompt. The lock is held.
func (s *State) pickPrefill(r PlacementRequest, req *placement.Request) (placement.Prefill, bool) {
	return choose(s, r, req, func(candidates []placement.Candidate) (placement.Prefill, placement.Candidate, bool) {
		prefill, ok := s.engineScheduler.PickPrefill(req, candidates, s.rng)
		return prefill, prefill.Engine, ok
	})
}

// chargePrefill charges a prompt to the engine that was chosen for it, and returns its priority in the
// engine's queue. The lock is held.
func (s *State) chargePrefill(r PlacementRequest, req *placement.Request, prefill placement.Prefill) placement.QueueOrder {
	order := placement.QueueNormal
	if !prefill.Direct() {
		order = req.Costs.QueueOrder(req, prefill, s.rng.Float64())
	}
	s.place(prefill.Engine.ID, r.ID, req.Now)
	s.placePrompt(prefill, order, req.Now)
	s.nodes[prefill.Engine.ID].work.inflow.add(float64(req.Prompt.Tokens-prefill.Engine.Aggregate.CachedTokens), req.Now)
	s.recordPrompt(prefill.Engine.ID, req.Prompt, req.Now)
	return order
}

// PickDecode chooses the engine that generates from a KV cache in the given zone, and charges the
// request to it.
func (s *State) PickDecode(r PlacementRequest, kvZone string, now time.Duration) (placement.Candidate, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	req := s.request(r, now)
	req.KVZone = kvZone
	chosen, ok := choose(s, r, req, func(candidates []placement.Candidate) (placement.Candidate, placement.Candidate, bool) {
		chosen, ok := s.engineScheduler.PickDecode(req, candidates, s.rng)
		return chosen, chosen, ok
	})
	if !ok {
		return chosen, false
	}
	s.place(chosen.ID, r.ID, now)
	s.nodes[chosen.ID].work.inflow.add(float64(r.Prompt.Tokens-chosen.Aggregate.CachedTokens), now)
	s.recordPrompt(chosen.ID, req.Prompt, now)
	return chosen, true
}

// CanGenerate reports whether an engine is left that may generate for a request, whatever its load is.
func (s *State) CanGenerate(r PlacementRequest, now time.Duration) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	req := s.request(r, now)
	return s.engineScheduler.CanGenerate(req, s.candidates(r, req))
}

// DecodeEnginesLimited reports whether all engines that may generate for a request limit their
// requests. In that case one of them must have capacity before the prompt is processed.
func (s *State) DecodeEnginesLimited(r PlacementRequest, now time.Duration) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.limits.announcements.Any() {
		return false
	}
	req := s.request(r, now)
	return s.engineScheduler.AllLimited(req, s.candidates(r, req))
}

// PickBackup chooses the engine to which a running generation is copied; the zero value if there is
// none.
func (s *State) PickBackup(r PlacementRequest, running placement.Candidate, now time.Duration) Upstream {
	s.mu.Lock()
	defer s.mu.Unlock()
	req := s.request(r, now)
	chosen, ok := choose(s, r, req, func(candidates []placement.Candidate) (placement.Candidate, placement.Candidate, bool) {
		chosen, ok := s.engineScheduler.PickBackup(req, running, candidates, s.rng)
		return chosen, chosen, ok
	})
	if !ok {
		return Upstream{}
	}
	return s.upstream(chosen.ID)
}

// PlaceOn charges a request to the engine on which it already runs.
func (s *State) PlaceOn(id, request string, now time.Duration) Upstream {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, ok := s.nodes[id]; ok {
		s.place(id, request, now)
	}
	return s.upstream(id)
}

// place charges a request to an upstream. The lock is held.
func (s *State) place(id, request string, now time.Duration) {
	n := s.nodes[id]
	s.use(n)
	s.loads.Place(id, load.Placement{ID: request, At: now})
	s.changed(n)
}

// placePrompt charges a prompt to the engine that processes it. The lock is held.
func (s *State) placePrompt(prefill placement.Prefill, order placement.QueueOrder, now time.Duration) {
	w := s.nodes[prefill.Engine.ID].work
	w.backlog += prefill.BusyTime
	if order == placement.QueueDeferred {
		w.deferredBacklog += prefill.BusyTime
	}
	w.utilization.add(prefill.BusyTime.Seconds(), now)
}
