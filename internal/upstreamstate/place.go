package upstreamstate

import (
	"time"

	"sassafrasfield/internal/load"
	"sassafrasfield/internal/placement"
)

// PlacementRequest is a request for which an upstream is to be chosen.
type PlacementRequest struct {
	// ID of the request, Service that it goes to.
	ID, Service string
	// Prompt is the zero value for a request to a plain service.
	Prompt placement.Prompt
	// Excluded upstreams failed the request already.
	Excluded map[string]bool
	// Objective is what is left of the time in which the answer is on time, RemainingWait
	// of the time that the caller waits.
	Objective, RemainingWait time.Duration
	// Priority; 0 is the most urgent.
	Priority int
}

// request is how placement sees what is asked. The lock is held.
func (p *State) request(a PlacementRequest, now time.Duration) *placement.Request {
	return &placement.Request{
		Zone: p.settings.Zone, Prompt: a.Prompt, Excluded: a.Excluded, Now: now,
		Objective: a.Objective, RemainingWait: a.RemainingWait, Costs: p.costs(a.Service),
		CheckLimits: p.limits.any(),
	}
}

// candidates returns the upstreams that a request may go to as placement sees them, until
// the next choice. The lock is held.
func (p *State) candidates(a PlacementRequest, req *placement.Request) []placement.Candidate {
	p.peers.expire(req.Now)
	list, cached := p.candidateBuf[:0], p.cached(req)
	for _, n := range p.byService[a.Service] {
		list = append(list, placement.Candidate{
			ID: n.ID, Zone: n.Zone, Draining: n.Draining, Engine: n.engine,
			Load: n.load, Suspect: p.suspect(n, req.Now), Aggregate: n.aggregateLoad(req.Now),
		})
		if req.CheckLimits {
			one := &list[len(list)-1]
			one.Limited, one.Exhausted = p.limits.announcements.Limited(n.hash), req.Now < p.limits.availableAt(n.hash, a.Priority)
		}
		if len(cached) > 0 {
			list[len(list)-1].Aggregate.CachedTokens = cached[n.hash]
		}
	}
	p.candidateBuf = list
	return list
}

// reportedLoadValidFor is how long an engine's word on its load counts, ever less. At
// the rates of today's sites an instance hears of each engine once in about
// this time.
const reportedLoadValidFor = 500 * time.Millisecond

// aggregateLoad is what all instances together have on an upstream, or what it said of
// itself lately, as placement sees it.
func (n *node) aggregateLoad(now time.Duration) placement.AggregateLoad {
	all := n.totalLoad(now)
	told := placement.AggregateLoad{Backlog: all.Backlog, DeferredBacklog: all.DeferredBacklog, Utilization: all.Utilization, Requests: all.Requests}
	if n.work.reported.Known && now-n.work.reportedAt < reportedLoadValidFor {
		told.Requests = max(told.Requests, n.work.reported.Running+n.work.reported.Waiting)
	}
	return told
}

// PickServiceUpstream chooses an upstream of a plain service and charges the request to it.
func (p *State) PickServiceUpstream(a PlacementRequest, now time.Duration) (Upstream, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	req := p.request(a, now)
	chosen, ok := p.serviceScheduler.Schedule(req, p.candidates(a, req), p.rng)
	if !ok {
		return Upstream{}, false
	}
	p.place(chosen.ID, a.ID, now)
	return p.upstream(chosen.ID), true
}

// PickPrefill chooses where a generation begins and when its prompt is processed
// there, and charges the request to that engine.
func (p *State) PickPrefill(a PlacementRequest, now time.Duration) (placement.Prefill, placement.QueueOrder, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	req := p.request(a, now)
	start, ok := p.engineScheduler.PickPrefill(req, p.candidates(a, req), p.rng)
	if !ok {
		return start, placement.QueueNormal, false
	}
	turn := placement.QueueNormal
	if !start.Direct() {
		turn = req.Costs.QueueOrder(req, start, p.rng.Float64())
	}
	p.place(start.Engine.ID, a.ID, now)
	p.placePrompt(start, turn, now)
	p.nodes[start.Engine.ID].work.inflow.add(float64(req.Prompt.Tokens-start.Engine.Aggregate.CachedTokens), now)
	p.recordPrompt(start.Engine.ID, req.Prompt, now)
	return start, turn, true
}

// PickDecode chooses the engine that generates from a KV cache which lies in a
// zone, and charges the request to it.
func (p *State) PickDecode(a PlacementRequest, kvZone string, now time.Duration) (placement.Candidate, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	req := p.request(a, now)
	req.KVZone = kvZone
	chosen, ok := p.engineScheduler.PickDecode(req, p.candidates(a, req), p.rng)
	if !ok {
		return chosen, false
	}
	p.place(chosen.ID, a.ID, now)
	p.nodes[chosen.ID].work.inflow.add(float64(a.Prompt.Tokens-chosen.Aggregate.CachedTokens), now)
	p.recordPrompt(chosen.ID, req.Prompt, now)
	return chosen, true
}

// DecodeEnginesLimited tells whether all engines that may generate for a request limit what they
// take, so that one of them has to have room before the prompt is processed.
func (p *State) DecodeEnginesLimited(a PlacementRequest, now time.Duration) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.limits.announcements.Any() {
		return false
	}
	req := p.request(a, now)
	return p.engineScheduler.AllLimited(req, p.candidates(a, req))
}

// PickBackup chooses the engine that a run on another one is copied to; the zero
// value when none is.
func (p *State) PickBackup(a PlacementRequest, running placement.Candidate, now time.Duration) Upstream {
	p.mu.Lock()
	defer p.mu.Unlock()
	req := p.request(a, now)
	chosen, ok := p.engineScheduler.PickBackup(req, running, p.candidates(a, req), p.rng)
	if !ok {
		return Upstream{}
	}
	return p.upstream(chosen.ID)
}

// PlaceOn charges a request to the engine that has its run.
func (p *State) PlaceOn(id, request string, now time.Duration) Upstream {
	p.mu.Lock()
	defer p.mu.Unlock()
	if _, ok := p.nodes[id]; ok {
		p.place(id, request, now)
	}
	return p.upstream(id)
}

// place charges a request to an upstream. The lock is held.
func (p *State) place(id, request string, now time.Duration) {
	p.loads.Place(id, load.Placement{ID: request, At: now})
	p.changed(p.nodes[id])
}

// placePrompt charges a prompt to the engine that processes it. The lock is held.
func (p *State) placePrompt(s placement.Prefill, turn placement.QueueOrder, now time.Duration) {
	w := &p.nodes[s.Engine.ID].work
	w.backlog += s.BusyTime
	if turn == placement.QueueDeferred {
		w.deferredBacklog += s.BusyTime
	}
	w.utilization.add(s.BusyTime.Seconds(), now)
}
