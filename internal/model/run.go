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

// service is the name of the only service.
const service = "llm"

// request is a request of a caller.
type request struct {
	id        string
	class     *Class
	prompt    placement.Prompt
	answer    float64 // tokens
	arrivedAt time.Duration
	instance  *instance
	// prefill and queueOrder are the engine and the queue order that its prompt was placed with.
	prefill    placement.Prefill
	queueOrder placement.QueueOrder
	// sentAt is the time at which the prompt was sent, later the time at which the generation was requested.
	sentAt        time.Duration
	engine        *engine
	assumedCached int // tokens that the decode engine was assumed to have cached
	refusals      int
	gapExceeded   bool
	firstEvent    time.Duration
	done          bool
	// number identifies the request in ledgers. closed is set once its caller has given up, promptEnded once
	// the hub was told of the end of its prompt.
	number      uint64
	closed      bool
	promptEnded bool
}

// instance is one instance with its view of the upstreams.
type instance struct {
	name, zone string
	state      *upstreamstate.State
	// askAgainAt is when to ask the hub of each zone again after it didn't reply.
	askAgainAt map[string]time.Duration
}

// run is the state of a simulation.
type run struct {
	pattern      Pattern
	policy       Policy
	rng          *rand.Rand
	sampler      *sampler
	now          time.Duration
	engines      []*engine
	byID         map[string]*engine
	instances    []*instance
	openRequests []*request
	created      int
	controller   roleController
	inFlight     []delivery
	result       *Result
	// later are actions at a later time, ledgers the hubs by zone.
	later   []delayed
	ledgers map[string]*hub
	// messageRNG draws the lost messages, speedRNG the speeds of the engines, so that these are the same under
	// all policies.
	messageRNG, speedRNG *rand.Rand
	// processedParts are the shared parts that any engine has processed.
	processedParts map[string]bool
}

// Run simulates a pattern under a policy.
func Run(p Pattern, policy Policy, seed uint64) *Result {
	r := newRun(p, policy, seed)
	for ; r.now < p.Length+drainTime; r.now += tick {
		r.varySpeeds()
		r.runDelayed()
		r.applyOutages()
		r.updateEngines()
		r.exchangeReports()
		r.controlRoles()
		if r.now < p.Length {
			r.addArrivals()
		}
		r.removeClosed()
		for _, e := range r.engines {
			r.advance(e)
		}
	}
	r.result.recordBusy(r.engines, p.Length)
	r.result.recordOpen(r.openRequests)
	return r.result
}

// Streams of the random sources of messages and speeds.
const (
	messageStream = 101
	speedStream   = 102
)

// drainTime is the time after the load in which answers may still complete.
const drainTime = 4 * time.Second

func newRun(p Pattern, policy Policy, seed uint64) *run {
	rng := rand.New(rand.NewPCG(seed, seed))
	r := &run{
		pattern: p, policy: policy, rng: rng, sampler: newSampler(p.Class, rng), byID: map[string]*engine{},
		result: newResult(p, policy), ledgers: map[string]*hub{}, processedParts: map[string]bool{},
		messageRNG: newRNG(seed, messageStream), speedRNG: newRNG(seed, speedStream),
	}
	target := policy.target()
	prefill := target.PrefillCount(p.Fleet.Engines)
	for i := range p.Fleet.Engines {
		role := config.RoleDecode
		if i*prefill/p.Fleet.Engines < (i+1)*prefill/p.Fleet.Engines { // spreads the prefill engines over the zones
			role = config.RolePrefill
		}
		e := newEngine(fmt.Sprintf("e%03d", i), zone(i, p.Fleet.Zones), role, p.Fleet.Engine)
		e.number = uint32(i)
		e.version = fmt.Sprintf("v%d", i%max(1, p.Fleet.Versions))
		r.engines, r.byID[e.id] = append(r.engines, e), e
	}
	for i := range p.Fleet.Instances {
		r.instances = append(r.instances, r.newInstance(i))
	}
	r.controller = roleController{target: target}
	return r
}

func zone(i, zones int) string { return fmt.Sprintf("z%d", i%max(1, zones)) }

func (r *run) newInstance(i int) *instance {
	spec := r.pattern.Fleet.Engine
	in := &instance{name: fmt.Sprintf("i%02d", i), zone: zone(i, r.pattern.Fleet.Zones), askAgainAt: map[string]time.Duration{}}
	settings := r.policy.settings()
	if r.pattern.Fleet.SeparatePrefill {
		settings.DirectBelow = 0
	}
	in.state = upstreamstate.New(upstreamstate.Settings{
		Zone: in.zone, Placement: settings, Prior: r.policy.prior(spec),
		Outliers: load.DefaultOutlierRules(), Seed: uint64(i) + 1,
	})
	in.state.SetRoutes(routes.NewTable(1, nil, []routes.Service{{Name: service, Engine: &routes.EngineLimits{
		Slots: spec.Slots, KVTokens: spec.MemoryTokens, TransferTime: spec.TransferTime, EventTokens: spec.EventTokens,
		RoleSwitch: spec.RoleChange,
	}}}, routes.Limits{}), 0)
	for _, e := range r.engines {
		in.state.UpdateUpstream(e.upstream())
	}
	return in
}

func (e *engine) upstream() upstreamstate.Upstream {
	return upstreamstate.Upstream{ID: e.id, Service: service, Zone: e.zone, Role: e.role, Version: e.version, Slots: e.spec.Slots}
}

// addArrivals creates the requests that arrive in this tick.
func (r *run) addArrivals() {
	for i := range r.pattern.Class {
		c := &r.pattern.Class[i]
		for range poisson(r.rng, c.rateAt(r.now)*tick.Seconds()) {
			r.created++
			id := fmt.Sprintf("r%d", r.created)
			req := &request{
				id: id, class: c, prompt: r.sampler.prompt(i, *c, id, r.now), answer: float64(r.sampler.tokens(c.Answer, c.Spread)),
				arrivedAt: r.now, number: uint64(r.created), instance: r.instances[r.rng.IntN(len(r.instances))],
			}
			r.openRequests = append(r.openRequests, req)
			r.place(req)
		}
	}
}

func (req *request) placementRequest(now time.Duration) upstreamstate.PlacementRequest {
	waited := now - req.arrivedAt
	return upstreamstate.PlacementRequest{
		ID: req.id, Service: service, Prompt: req.prompt,
		Objective: req.class.Objective - waited, RemainingWait: req.class.WaitBudget - waited,
	}
}

// place sends a request to the engine that is chosen for its prompt.
func (r *run) place(req *request) {
	switch r.policy.Choice {
	case ChoiceReserved, ChoiceReservedUsual:
		r.placeReserved(req)
		return
	case ChoiceTwo:
		r.placeTwo(req)
		return
	case ChoiceReports:
	}
	prefill, order, ok := req.instance.state.PickPrefill(req.placementRequest(r.now), r.now)
	if !ok {
		return // it stays unplaced until its caller gives up
	}
	r.send(req, prefill, order)
}

// send sends a prompt to the engine that it was placed on.
func (r *run) send(req *request, prefill placement.Prefill, order placement.QueueOrder) {
	req.prefill, req.queueOrder, req.sentAt, req.engine = prefill, order, r.now, r.byID[prefill.Engine.ID]
	w := &work{req: req, deferred: order == placement.QueueDeferred, source: r.byID[prefill.Source.ID], tokens: req.answer}
	if !req.engine.accepts(r.now) {
		r.retryRefused(req)
		return
	}
	req.engine.prompts = append(req.engine.prompts, w)
}

// maxRefusals bounds the sends of a request that engines refuse, as package attempt does.
const maxRefusals = 12

// retryRefused places a request again after its engine refused it.
func (r *run) retryRefused(req *request) {
	r.release(req)
	r.promptEnded(req, false)
	req.promptEnded = false
	req.instance.state.RecordCall(req.engine.id, load.CallUnreachable, r.now)
	req.engine = nil
	r.result.Refused++
	if req.refusals++; req.refusals < maxRefusals {
		r.place(req)
	}
}

// release removes a request from its engine's load in its instance's state.
func (r *run) release(req *request) {
	if req.engine == nil {
		return
	}
	if req.prefill.Engine.ID == req.engine.id {
		req.instance.state.PromptDone(req.engine.id, req.prefill.BusyTime, req.queueOrder)
	}
	req.instance.state.RequestDone(req.engine.id, req.id, r.now)
}

// advance simulates one tick of an engine and records the results.
func (r *run) advance(e *engine) {
	prefilled, started, finished := e.advance(r.now)
	for _, w := range prefilled {
		r.recordPrompt(w)
		r.promptEnded(w.req, true)
		if e.role == config.RolePrefill {
			r.handOver(e, w)
			continue
		}
		w.req.instance.state.PromptDone(e.id, w.req.prefill.BusyTime, w.req.queueOrder)
	}
	for _, w := range started {
		if w.req.firstEvent == 0 {
			w.req.firstEvent = r.now
			if w.req.prefill.Engine.ID != e.id {
				w.req.instance.state.RecordHandOver(service, w.req.prompt.Tokens-w.req.assumedCached, r.now-w.req.sentAt)
			}
		}
	}
	for _, w := range finished {
		r.finish(e, w)
	}
}

// recordPrompt records a processed prompt. A shared part counts as processed again if any engine had it before.
func (r *run) recordPrompt(w *work) {
	r.result.PrefilledTokens += w.uncached
	r.result.FetchedTokens += w.fetched
	again := w.uncached
	for i, part := range w.req.prompt.Parts {
		if i == len(w.req.prompt.Parts)-1 || !r.processedParts[part.ID] {
			again -= part.Tokens
		}
		r.processedParts[part.ID] = true
	}
	r.result.AgainTokens += max(0, again)
	cold := w.req.engine.promptTime(w.req.prompt.Tokens, 0)
	r.result.recordPromptWait(r.now - w.req.arrivedAt - cold)
}

// handOver passes a request on to a decode engine after its prompt was processed.
func (r *run) handOver(e *engine, w *work) {
	req := w.req
	req.instance.state.RecordCall(e.id, load.CallSucceeded, r.now)
	if req.prefill.Source.ID == "" && req.prefill.UncachedTokens <= req.prompt.Tokens-req.prompt.SharedTokens() {
		req.instance.state.RecordPrefill(service, estimate.Prefill{
			Uncached: req.prefill.UncachedTokens, Cached: req.prompt.Tokens - req.prefill.UncachedTokens,
			PredictedWait: req.prefill.Engine.Aggregate.Backlog, Elapsed: r.now - req.sentAt + e.spec.Overhead,
		})
	}
	r.release(req)
	request := req.placementRequest(r.now)
	if !r.policy.KVAcrossVersions {
		request.Version = e.version
	}
	chosen, ok := req.instance.state.PickDecode(request, e.zone, r.now)
	if !ok {
		return
	}
	to := r.byID[chosen.ID]
	fetched := max(0, req.prompt.Tokens-to.cache.cachedTokens(req.prompt))
	r.result.TransferredTokens += fetched
	req.engine, req.assumedCached, req.sentAt = to, chosen.Aggregate.CachedTokens, r.now+e.spec.Overhead
	if to.role != config.RoleDecode || to.down {
		req.instance.state.RequestDone(to.id, req.id, r.now)
		return
	}
	transfer := time.Duration(float64(fetched) * e.spec.TransferTime)
	to.waiting = append(to.waiting, &work{req: req, tokens: req.answer, readyAt: req.sentAt + transfer})
}

// finish records a request whose answer is complete.
func (r *run) finish(e *engine, w *work) {
	req := w.req
	req.instance.state.RecordCall(e.id, load.CallSucceeded, r.now)
	events := 1 + int(req.answer)/e.spec.EventTokens
	req.instance.state.RecordStream(service, e.id, events, estimate.Stream{Elapsed: r.now - req.firstEvent, SlotTime: r.now - req.sentAt}, r.now)
	req.instance.state.RequestDone(e.id, req.id, r.now)
	req.done = true
	r.result.recordAnswered(req)
}

// removeClosed removes the requests that are answered or whose callers have given up.
func (r *run) removeClosed() {
	r.openRequests = slices.DeleteFunc(r.openRequests, func(req *request) bool {
		if req.done {
			return true
		}
		if req.firstEvent > 0 || r.now-req.arrivedAt < req.class.WaitBudget {
			return false
		}
		req.closed = true
		r.release(req)
		r.promptEnded(req, false)
		if req.engine != nil {
			req.engine.drop(req)
		}
		r.result.recordMissed(req)
		return true
	})
}

// applyOutages crashes engines and restores them as the pattern says.
func (r *run) applyOutages() {
	for _, outage := range r.pattern.Outages {
		for i := range outage.Engines {
			e := r.engines[i*len(r.engines)/outage.Engines]
			switch {
			case r.now >= outage.At && r.now < outage.At+tick:
				r.crash(e)
			case r.now >= outage.At+outage.Duration && r.now < outage.At+outage.Duration+tick:
				r.restore(e)
			}
		}
	}
}

// updateEngines replaces the next engine if the pattern updates them.
func (r *run) updateEngines() {
	u := r.pattern.Update
	if u.Every == 0 || r.now < u.At || (r.now-u.At)%u.Every != 0 {
		return
	}
	if i := int((r.now - u.At) / u.Every); i < len(r.engines) {
		e := r.engines[i]
		role := e.role
		r.crash(e)
		e.role, e.targetRole, e.version = role, role, updatedVersion
		r.restore(e)
	}
}

// updatedVersion is the software version of updated engines.
const updatedVersion = "updated"

// crash removes an engine with all its requests. Their callers give up once their wait budget is exhausted.
func (r *run) crash(e *engine) {
	for _, in := range r.instances {
		in.state.RemoveUpstream(e.id)
	}
	replacement := newEngine(e.id, e.zone, config.RoleDecode, e.spec)
	replacement.down, replacement.version = true, e.version
	*e = *replacement
}

func (r *run) restore(e *engine) {
	e.down = false
	for _, in := range r.instances {
		in.state.UpdateUpstream(e.upstream())
	}
}
