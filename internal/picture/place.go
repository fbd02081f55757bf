package picture

import (
	"time"

	"sassafrasfield/internal/load"
	"sassafrasfield/internal/route"
)

// Ask is a request for which an upstream is to be chosen.
type Ask struct {
	// ID of the request, Service that it goes to.
	ID, Service string
	// Prompt is the zero value for a request to a plain service.
	Prompt route.Prompt
	// Excluded upstreams failed the request already.
	Excluded map[string]bool
	// Objective is what is left of the time in which the answer is on time, Left
	// of the time that the caller waits.
	Objective, Left time.Duration
}

// request is how placement sees what is asked. The lock is held.
func (p *Picture) request(a Ask, now time.Duration) *route.Request {
	return &route.Request{
		Zone: p.settings.Zone, Prompt: a.Prompt, Excluded: a.Excluded, Now: now,
		Objective: a.Objective, Left: a.Left, Costs: p.costs(a.Service),
	}
}

// candidates returns the upstreams of a service as placement sees them. The
// lock is held.
func (p *Picture) candidates(service string, req *route.Request) []route.Candidate {
	list := make([]route.Candidate, 0, len(p.byService[service]))
	for _, u := range p.byService[service] {
		list = append(list, route.Candidate{
			ID: u.ID, Zone: u.Zone, Leave: u.Draining, Engine: p.engines[u.ID],
			Load: p.loads.Engine(u.ID), Silent: p.toldGone(u.ID, req.Now), Told: p.told(u.ID, req, req.Now),
		})
	}
	return list
}

// reportFades is how long an engine's word on its load counts, ever less. At
// the rates of today's sites an instance hears of each engine once in about
// this time.
const reportFades = 500 * time.Millisecond

// told is what all instances together have on an upstream, or what it said of
// itself lately; for a request also what it has cached of it. The lock is held.
func (p *Picture) told(id string, req *route.Request, now time.Duration) route.Told {
	all := p.all(id, now)
	told := route.Told{Ahead: all.Ahead, Yielding: all.Yielding, Use: all.Use, Requests: all.Requests}
	if w, ok := p.work[id]; ok && w.reported.Known && now-w.reportedAt < reportFades {
		told.Requests = max(told.Requests, w.reported.Running+w.reported.Waiting)
	}
	if req != nil && p.engines[id] != nil {
		told.Cached = p.parts.cached(id, req.Prompt, partLasts(req.Costs.Memory, all.Inflow), now)
	}
	return told
}

// PickCall chooses an upstream of a plain service and charges the request to it.
func (p *Picture) PickCall(a Ask, now time.Duration) (Upstream, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	req := p.request(a, now)
	chosen, ok := p.calls.Schedule(req, p.candidates(a.Service, req), p.rng)
	if !ok {
		return Upstream{}, false
	}
	p.place(chosen.ID, a.ID, now)
	return p.upstreams[chosen.ID], true
}

// PickStart chooses where a generation begins and when its prompt is processed
// there, and charges the request to that engine.
func (p *Picture) PickStart(a Ask, now time.Duration) (route.Start, route.Turn, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	req := p.request(a, now)
	start, ok := p.stages.Begin(req, p.candidates(a.Service, req), p.rng)
	if !ok {
		return start, route.TurnNext, false
	}
	turn := route.TurnNext
	if !start.Direct() {
		turn = req.Costs.Turn(req, start, p.rng.Float64())
	}
	p.place(start.Engine.ID, a.ID, now)
	p.placePrompt(start, turn, now)
	p.workOn(start.Engine.ID).inflow.add(float64(req.Prompt.Tokens-start.Engine.Told.Cached), now)
	p.notePrompt(start.Engine.ID, req.Prompt, now)
	return start, turn, true
}

// PickDecode chooses the engine that generates from a KV cache which lies in a
// zone, and charges the request to it.
func (p *Picture) PickDecode(a Ask, kvZone string, now time.Duration) (route.Candidate, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	req := p.request(a, now)
	req.KVZone = kvZone
	chosen, ok := p.stages.Generate(req, p.candidates(a.Service, req), p.rng)
	if !ok {
		return chosen, false
	}
	p.place(chosen.ID, a.ID, now)
	p.workOn(chosen.ID).inflow.add(float64(a.Prompt.Tokens-chosen.Told.Cached), now)
	p.notePrompt(chosen.ID, req.Prompt, now)
	return chosen, true
}

// PickBackup chooses the engine that a run on another one is copied to; the zero
// value when none is.
func (p *Picture) PickBackup(a Ask, running route.Candidate, now time.Duration) Upstream {
	p.mu.Lock()
	defer p.mu.Unlock()
	req := p.request(a, now)
	chosen, ok := p.stages.Backup(req, running, p.candidates(a.Service, req), p.rng)
	if !ok {
		return Upstream{}
	}
	return p.upstreams[chosen.ID]
}

// PlaceOn charges a request to the engine that has its run.
func (p *Picture) PlaceOn(id, request string, now time.Duration) Upstream {
	p.mu.Lock()
	defer p.mu.Unlock()
	if _, ok := p.upstreams[id]; ok {
		p.place(id, request, now)
	}
	return p.upstreams[id]
}

// place charges a request to an upstream. The lock is held.
func (p *Picture) place(id, request string, now time.Duration) {
	p.loads.Place(id, load.Placement{ID: request, At: now})
}

// placePrompt charges a prompt to the engine that processes it. The lock is held.
func (p *Picture) placePrompt(s route.Start, turn route.Turn, now time.Duration) {
	w := p.workOn(s.Engine.ID)
	w.own += s.Work
	if turn == route.TurnYield {
		w.yielding += s.Work
	}
	w.use.add(s.Work.Seconds(), now)
}
