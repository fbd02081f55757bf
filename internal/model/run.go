package model

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"sassafrasfield/internal/config"
	"sassafrasfield/internal/estimate"
	"sassafrasfield/internal/load"
	"sassafrasfield/internal/placement"
	"sassafrasfield/internal/routes"
	"sassafrasfield/internal/upstreamstate"
)

// service is the name of the one service.
const service = "llm"

// request is one caller's request.
type request struct {
	id      string
	class   *Class
	prompt  placement.Prompt
	answer  float64 // tokens
	arrived time.Duration
	at      *instance
	// start and turn are where and when its prompt is processed.
	start placement.Prefill
	turn  placement.QueueOrder
	// sent is when the prompt was sent, then when the answer was asked for.
	sent       time.Duration
	engine     *engine
	cachedHere int // tokens that the decode engine was believed to have
	paused     bool
	first      time.Duration
	over       bool
}

// instance is one instance with its picture.
type instance struct {
	name, zone string
	picture    *upstreamstate.State
}

// run is a pattern under a policy on its way.
type run struct {
	pattern   Pattern
	policy    Policy
	rng       *rand.Rand
	sizes     *sizes
	now       time.Duration
	engines   []*engine
	byID      map[string]*engine
	instances []*instance
	open      []*request
	made      int
	keeper    keeper
	underway  []delivery
	result    *Result
}

// Run plays a pattern under a policy.
func Run(p Pattern, policy Policy, seed uint64) *Result {
	r := newRun(p, policy, seed)
	for ; r.now < p.Length+drainFor; r.now += tick {
		r.lose()
		r.report()
		r.keep()
		if r.now < p.Length {
			r.arrive()
		}
		r.leave()
		for _, e := range r.engines {
			r.settle(e)
		}
	}
	r.result.ended(r.open)
	return r.result
}

// drainFor is for how long answers may still come after the load.
const drainFor = 4 * time.Second

func newRun(p Pattern, policy Policy, seed uint64) *run {
	rng := rand.New(rand.NewPCG(seed, seed))
	r := &run{
		pattern: p, policy: policy, rng: rng, sizes: newSizes(p.Class, rng), byID: map[string]*engine{},
		result: newResult(p, policy),
	}
	target := policy.target()
	prefill := target.PrefillCount(p.Fleet.Engines)
	for i := range p.Fleet.Engines {
		role := config.RoleDecode
		if i*prefill/p.Fleet.Engines < (i+1)*prefill/p.Fleet.Engines { // spread over the zones
			role = config.RolePrefill
		}
		e := newEngine(fmt.Sprintf("e%03d", i), zone(i, p.Fleet.Zones), role, p.Fleet.Engine)
		r.engines, r.byID[e.id] = append(r.engines, e), e
	}
	for i := range p.Fleet.Instances {
		r.instances = append(r.instances, r.newInstance(i))
	}
	r.keeper = keeper{target: target}
	return r
}

func zone(i, zones int) string { return fmt.Sprintf("z%d", i%max(1, zones)) }

func (r *run) newInstance(i int) *instance {
	spec := r.pattern.Fleet.Engine
	in := &instance{name: fmt.Sprintf("i%02d", i), zone: zone(i, r.pattern.Fleet.Zones)}
	in.picture = upstreamstate.New(upstreamstate.Settings{
		Zone: in.zone, Placement: r.policy.settings(), Prior: r.policy.prior(spec),
		Outliers: load.DefaultOutlierRules(), Seed: uint64(i) + 1,
	})
	in.picture.SetRoutes(routes.NewTable(1, nil, []routes.Service{{Name: service, Engine: &routes.EngineLimits{
		Slots: spec.Slots, KVTokens: spec.MemoryTokens, TransferTime: spec.TransferTime, EventTokens: spec.EventTokens,
		RoleSwitch: spec.RoleChange,
	}}}, routes.Limits{}), 0)
	for _, e := range r.engines {
		in.picture.UpdateUpstream(e.upstream())
	}
	return in
}

func (e *engine) upstream() upstreamstate.Upstream {
	return upstreamstate.Upstream{ID: e.id, Service: service, Zone: e.zone, Role: e.role, Slots: e.spec.Slots}
}

// arrive has this tick's requests come.
func (r *run) arrive() {
	for i := range r.pattern.Class {
		c := &r.pattern.Class[i]
		for range poisson(r.rng, c.rateAt(r.now)*tick.Seconds()) {
			r.made++
			id := fmt.Sprintf("r%d", r.made)
			req := &request{
				id: id, class: c, prompt: r.sizes.prompt(i, *c, id, r.now), answer: float64(r.sizes.tokens(c.Answer, c.Spread)),
				arrived: r.now, at: r.instances[r.rng.IntN(len(r.instances))],
			}
			r.open = append(r.open, req)
			r.place(req)
		}
	}
}

func (req *request) ask(now time.Duration) upstreamstate.PlacementRequest {
	waited := now - req.arrived
	return upstreamstate.PlacementRequest{
		ID: req.id, Service: service, Prompt: req.prompt,
		Objective: req.class.Objective - waited, RemainingWait: req.class.WaitBudget - waited,
	}
}

// place sends a request to the engine that is to process its prompt.
func (r *run) place(req *request) {
	start, turn, ok := req.at.picture.PickPrefill(req.ask(r.now), r.now)
	if !ok {
		return // it waits until its caller leaves
	}
	req.start, req.turn, req.sent, req.engine = start, turn, r.now, r.byID[start.Engine.ID]
	w := &work{req: req, yields: turn == placement.QueueDeferred, source: r.byID[start.Source.ID], tokens: req.answer}
	if !req.engine.takes(r.now) {
		r.refused(req)
		return
	}
	req.engine.prompts = append(req.engine.prompts, w)
}

// refused tries another engine, as this one does not take the request.
func (r *run) refused(req *request) {
	r.free(req)
	req.at.picture.RecordCall(req.engine.id, load.CallUnreachable, r.now)
	req.engine = nil
	r.result.Refused++
	r.place(req)
}

// free takes a request off its engine in its instance's picture.
func (r *run) free(req *request) {
	if req.engine == nil {
		return
	}
	if req.start.Engine.ID == req.engine.id {
		req.at.picture.PromptDone(req.engine.id, req.start.BusyTime, req.turn)
	}
	req.at.picture.RequestDone(req.engine.id, req.id, r.now)
}

// settle lets an engine work for a tick and takes note of what came of it.
func (r *run) settle(e *engine) {
	prompted, started, ended := e.advance(r.now)
	for _, w := range prompted {
		r.result.PrefilledTokens += w.fresh
		if e.role == config.RolePrefill {
			r.handOver(e, w)
			continue
		}
		w.req.at.picture.PromptDone(e.id, w.req.start.BusyTime, w.req.turn)
	}
	for _, w := range started {
		if w.req.first == 0 {
			w.req.first = r.now
			if w.req.start.Engine.ID != e.id {
				w.req.at.picture.RecordHandOver(service, w.req.prompt.Tokens-w.req.cachedHere, r.now-w.req.sent)
			}
		}
	}
	for _, w := range ended {
		r.end(e, w)
	}
}

// handOver has a decode engine go on after the prompt.
func (r *run) handOver(e *engine, w *work) {
	req := w.req
	req.at.picture.RecordCall(e.id, load.CallSucceeded, r.now)
	if req.start.Source.ID == "" && req.start.UncachedTokens <= req.prompt.Tokens-req.prompt.SharedTokens() {
		req.at.picture.RecordPrefill(service, estimate.Prefill{
			Uncached: req.start.UncachedTokens, Cached: req.prompt.Tokens - req.start.UncachedTokens,
			PredictedWait: req.start.Engine.Aggregate.Backlog, Elapsed: r.now - req.sent + e.spec.Overhead,
		})
	}
	r.free(req)
	chosen, ok := req.at.picture.PickDecode(req.ask(r.now), e.zone, r.now)
	if !ok {
		return
	}
	to := r.byID[chosen.ID]
	fetched := max(0, req.prompt.Tokens-to.cache.has(req.prompt))
	r.result.TransferredTokens += fetched
	req.engine, req.cachedHere, req.sent = to, chosen.Aggregate.CachedTokens, r.now+e.spec.Overhead
	if to.role != config.RoleDecode || to.gone {
		req.at.picture.RequestDone(to.id, req.id, r.now)
		return
	}
	transfer := time.Duration(float64(fetched) * e.spec.TransferTime)
	to.waiting = append(to.waiting, &work{req: req, tokens: req.answer, readyAt: req.sent + transfer})
}

// end takes note of a request that is answered.
func (r *run) end(e *engine, w *work) {
	req := w.req
	req.at.picture.RecordCall(e.id, load.CallSucceeded, r.now)
	events := 1 + int(req.answer)/e.spec.EventTokens
	req.at.picture.RecordStream(service, e.id, events, estimate.Stream{Elapsed: r.now - req.first, SlotTime: r.now - req.sent}, r.now)
	req.at.picture.RequestDone(e.id, req.id, r.now)
	req.over = true
	r.result.answered(req)
}

// leave takes off the requests whose callers have left, or that are answered.
func (r *run) leave() {
	r.open = slices.DeleteFunc(r.open, func(req *request) bool {
		if req.over {
			return true
		}
		if req.first > 0 || r.now-req.arrived < req.class.WaitBudget {
			return false
		}
		r.free(req)
		if req.engine != nil {
			req.engine.drop(req)
		}
		r.result.left(req)
		return true
	})
}

// lose takes engines away and brings them back.
func (r *run) lose() {
	for _, l := range r.pattern.Outages {
		for i := range l.Engines {
			e := r.engines[i*len(r.engines)/l.Engines]
			switch {
			case r.now >= l.At && r.now < l.At+tick:
				r.crash(e)
			case r.now >= l.At+l.Duration && r.now < l.At+l.Duration+tick:
				r.comeBack(e)
			}
		}
	}
}

// crash ends an engine with all that is on it; its callers leave in time.
func (r *run) crash(e *engine) {
	for _, in := range r.instances {
		in.picture.RemoveUpstream(e.id)
	}
	fresh := newEngine(e.id, e.zone, config.RoleDecode, e.spec)
	fresh.gone = true
	*e = *fresh
}

func (r *run) comeBack(e *engine) {
	e.gone = false
	for _, in := range r.instances {
		in.picture.UpdateUpstream(e.upstream())
	}
}
