package relay

import (
	"context"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/pkg/errors"

	"sassafrasfield/internal/attempt"
	"sassafrasfield/internal/config"
	"sassafrasfield/internal/estimate"
	"sassafrasfield/internal/load"
	"sassafrasfield/internal/placement"
	"sassafrasfield/internal/upstreamstate"
)

// generation is the answer of a model on its way to the caller. It implements
// attempt.Call.
type generation struct {
	*exchange
	relay  *Relay
	w      http.ResponseWriter
	prompt placement.Prompt
	// direct: the engine that generates processes the prompt too; start says
	// which one, unless it is to be chosen anew.
	direct bool
	start  placement.Prefill
	// kv is the processed prompt that no engine has fetched yet.
	kv KV
	// headerSent: the caller has the answer's header.
	headerSent bool
	// lastEvent is the id of the last event that the caller has.
	lastEvent string
	// reserved is the engine with a limit that has room for the answer; empty for none.
	reserved string
	// backup is the engine that the run is copied to as it goes.
	backup upstreamstate.Upstream
}

// generate brings a generation to the caller, from as many engines as that
// takes and as the route allows.
func (r *Relay) generate(ctx context.Context, x *exchange, w http.ResponseWriter) error {
	g := &generation{exchange: x, relay: r, w: w, lastEvent: x.req.LastEvent}
	if x.req.Prompt != nil {
		g.prompt = *x.req.Prompt
	}
	defer r.freeKV(g)
	result, _ := x.attempts.Run(ctx, x.budget, r.now, g)
	if result.Status == attempt.Done {
		return result.Err
	}
	return g.endError(r.finalError(ctx, x))
}

// endError is how an answer ends that no engine finished: one that has begun can't
// be refused any more, it can only break off.
func (g *generation) endError(err error) error {
	var refusal *Refusal
	if g.headerSent && errors.As(err, &refusal) {
		return errors.WithMessagef(ErrAnswerAborted, "%s: %s", refusal.Reason, lastFailure(g.exchange))
	}
	return err
}

// Started implements attempt.Call.
func (g *generation) Started() bool { return g.headerSent }

// Try implements attempt.Call. One attempt has the prompt processed, unless a KV
// cache is left of the one before, and the answer generated.
func (g *generation) Try(ctx context.Context) attempt.Result {
	if err := g.relay.checkSend(g.exchange); err != nil {
		return attempt.Result{Status: attempt.NoUpstream, Err: err}
	}
	if g.headerSent {
		g.relay.meters.resumed.Inc(1)
	}
	if id := g.attempts.Backup(); id != "" {
		return g.resumeAtCopy(ctx, id)
	}
	if g.kv.Handle == "" {
		if result := g.prepare(ctx); result.Status != attempt.Done {
			return result
		}
	}
	if g.direct {
		return g.relay.run(ctx, g, g.start)
	}
	engine, ok := g.relay.pickDecode(g)
	if !ok {
		return attempt.Result{Status: attempt.NoUpstream, Err: errors.WithMessage(ErrNotSent, "no engine to generate")}
	}
	return g.relay.run(ctx, g, placement.Prefill{Engine: engine})
}

// pickDecode chooses the engine that generates from the processed prompt, and charges the
// request to it: the one that has room for it reserved, if there is one.
func (r *Relay) pickDecode(g *generation) (placement.Candidate, bool) {
	engine := r.upstreams.Upstream(g.reserved)
	if engine.Role == config.RoleDecode && !engine.Draining && !g.attempts.Excluded()[engine.ID] {
		r.upstreams.PlaceOn(engine.ID, g.req.ID, r.now())
		return placement.Candidate{ID: engine.ID, Zone: engine.Zone}, true
	}
	g.reserved = ""
	return r.upstreams.PickDecode(g.placementRequest(r.now()), g.kv.Engine.Zone, r.now())
}

// resumeAtCopy has the engine with the copy of the run that was lost go on with it.
func (g *generation) resumeAtCopy(ctx context.Context, id string) attempt.Result {
	r := g.relay
	engine := r.upstreams.PlaceOn(id, g.req.ID, r.now())
	if engine.ID == "" {
		return attempt.Result{Status: attempt.NoUpstream, Err: errors.WithMessage(ErrNotSent, "the engine with the copy is gone")}
	}
	r.meters.copied.Inc(1)
	g.kv, g.backup = KV{Engine: engine, Handle: g.req.ID}, upstreamstate.Upstream{}
	defer func() { g.kv = KV{} }() // the engine drops a copy that was not used
	return r.run(ctx, g, placement.Prefill{Engine: placement.Candidate{ID: id}})
}

// prepare chooses where the generation begins. Unless one engine is to do all
// of it, it has the prompt processed. Over means that this is done.
func (g *generation) prepare(ctx context.Context) attempt.Result {
	r := g.relay
	start, turn, ok := r.upstreams.PickStart(g.placementRequest(r.now()), r.now())
	if !ok {
		return attempt.Result{Status: attempt.NoUpstream, Err: errors.WithMessage(ErrNotSent, "no engine for the prompt")}
	}
	g.ahead, g.predicted, g.turn = start.Engine.Aggregate.Backlog, start.BusyTime, turn
	if g.direct = start.Direct(); g.direct {
		r.meters.direct.Inc(1)
		g.start = start
		return attempt.Result{Status: attempt.Done}
	}
	if !r.reserve(ctx, g) {
		r.upstreams.PromptDone(start.Engine.ID, start.BusyTime, turn)
		r.upstreams.End(start.Engine.ID, g.req.ID, r.now())
		return attempt.Result{Status: attempt.NoUpstream, Err: errors.WithMessage(ErrLimited, "no room for the answer")}
	}
	kv, err := r.prefill(ctx, g, start)
	if err != nil {
		r.recordFailure(ctx, g.exchange, start.Engine.ID, err)
		return attempt.Result{Status: attempt.NotReady, Upstream: start.Engine.ID, Unsent: errors.Is(err, ErrNotSent), Declined: errors.Is(err, ErrDeclined), Err: err}
	}
	g.kv = kv
	return attempt.Result{Status: attempt.Done}
}

func (r *Relay) prefill(ctx context.Context, g *generation, start placement.Prefill) (KV, error) {
	engine, work := r.upstreams.Upstream(start.Engine.ID), start.BusyTime
	defer r.upstreams.PromptDone(engine.ID, work, g.turn)
	defer func() { r.upstreams.End(engine.ID, g.req.ID, r.now()) }()
	g.exchange.prefill = engine.ID
	g.attempts.Prepared()
	started := r.now()
	ahead := start.Engine.Aggregate.Backlog
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	go r.cancelWhenSilent(ctx, engine.ID, ahead+work+r.settings.PrefillIdleTimeout, cancel)
	send := g.newSend(engine, started)
	send.Deferred, send.FetchFrom = g.turn == placement.QueueDeferred, r.upstreams.Upstream(start.Source.ID).Address
	kv, said, err := r.sender.Prefill(ctx, g.req, send)
	if err != nil {
		return KV{}, err
	}
	r.recordAnswer(engine.ID, said)
	r.upstreams.Judge(engine.ID, load.CallSucceeded, r.now())
	r.meters.prefills.Inc(1)
	took := r.now() - started
	observe("prefill", took)
	observe("prefill_predicted", ahead+work)
	if start.Source.ID == "" && start.UncachedTokens <= g.prompt.Tokens-g.prompt.SharedTokens() {
		// what is not believed cached may be there all the same
		r.upstreams.Prefilled(g.service, estimate.Prefill{
			Fresh: start.UncachedTokens, Cached: g.prompt.Tokens - start.UncachedTokens, Ahead: ahead, Took: took,
		})
	}
	r.log.Info("relay: prefilled", "request", g.req.ID, "engine", engine.ID, "tokens", g.prompt.Tokens,
		"shared", g.prompt.SharedTokens(), "cached", start.Engine.Aggregate.CachedTokens, "source", start.Source.ID, "ahead", ahead,
		"turn", g.turn, "yielding", start.Engine.Aggregate.DeferredBacklog, "use", start.Engine.Aggregate.Utilization, "predicted", work, "took", took,
		"running", said.Running, "waiting", said.Waiting)
	return kv, nil
}

// cancelWhenSilent calls stop once an engine has answered nothing at all for a time,
// and returns when the context ends. An engine that answers other requests is
// busy, and to ask another one would only have the prompt's shared part
// processed twice.
func (r *Relay) cancelWhenSilent(ctx context.Context, id string, limit time.Duration, stop func()) {
	since := r.now()
	timer := time.NewTimer(limit)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
		}
		if !r.upstreams.HeardSince(id, since) {
			stop()
			return
		}
		since = r.now()
		timer.Reset(r.settings.PrefillIdleTimeout)
	}
}

// run has an engine generate, and passes its events on.
func (r *Relay) run(ctx context.Context, g *generation, start placement.Prefill) attempt.Result {
	engine := r.upstreams.Upstream(start.Engine.ID)
	defer func() { r.upstreams.End(start.Engine.ID, g.req.ID, r.now()) }()
	prompted := sync.OnceFunc(func() { r.upstreams.PromptDone(start.Engine.ID, start.BusyTime, placement.QueueNormal) })
	defer prompted()
	if err := r.checkSend(g.exchange); err != nil { // its prompt may have taken a while
		return attempt.Result{Status: attempt.NoUpstream, Err: err}
	}
	if err := g.noteSent(engine.ID); err != nil {
		return attempt.Result{Status: attempt.NoUpstream, Err: err}
	}
	running, stop := context.WithCancel(ctx)
	defer stop()
	started := r.now()
	if !g.headerSent && !g.route.Resumable {
		g.backup = r.upstreams.PickBackup(g.placementRequest(started), start.Engine, started)
	}
	send := g.newSend(engine, started)
	send.KV, send.LastEvent, send.Backup, send.Continues = g.kv, g.lastEvent, g.backup, g.headerSent
	send.Granted = g.reserved == engine.ID
	g.reserved = ""
	send.FetchFrom = r.upstreams.Upstream(start.Source.ID).Address
	reply, err := r.sender.Send(running, g.req, send)
	if err != nil {
		return r.handleNoAnswer(ctx, g, engine, err)
	}
	prompted()
	r.countUsage(g.exchange, r.now())
	g.kv = KV{} // the engine has fetched it
	defer reply.Body.Close()
	r.recordAnswer(engine.ID, reply.Load)
	if reply.Status != http.StatusOK {
		return r.handleEngineFailure(ctx, g, engine, reply)
	}
	if !g.direct && !g.headerSent {
		r.upstreams.Began(g.service, g.prompt.Tokens-start.Engine.Aggregate.CachedTokens, r.now()-started)
	}
	r.log.Info("relay: generates", "request", g.req.ID, "engine", engine.ID, "direct", g.direct, "tokens", g.prompt.Tokens,
		"running", reply.Load.Running, "waiting", reply.Load.Waiting, "after", r.now()-started,
		"cached", start.Engine.Aggregate.CachedTokens, "ahead", start.Engine.Aggregate.Backlog, "requests", start.Engine.Aggregate.Requests, "last_event", g.lastEvent)
	return r.forwardStream(ctx, stop, g, engine, reply, started)
}

// handleEngineFailure deals with an engine's own failure: another one is asked where
// the route allows it, and else the caller gets the engine's word.
func (r *Relay) handleEngineFailure(ctx context.Context, g *generation, engine upstreamstate.Upstream, reply *Reply) attempt.Result {
	again := g.attempts.MayRunElsewhere() && ctx.Err() == nil
	if g.headerSent || again {
		err := errors.WithMessagef(ErrNoValidAnswer, "the engine answered %d", reply.Status)
		r.recordFailure(ctx, g.exchange, engine.ID, err)
		return failedAttempt(engine.ID, err)
	}
	first, err := io.ReadAll(io.LimitReader(reply.Body, maxBufferedBytes))
	if err != nil {
		return failedAttempt(engine.ID, errors.WithMessage(ErrNoValidAnswer, err.Error()))
	}
	return attempt.Result{Status: attempt.Done, Err: deliver(g.w, g.exchange, bufferedAnswer{reply: reply, head: first, complete: true})}
}

// handleNoAnswer notes an engine that did not begin an answer. When it could not
// have the KV cache, the prompt is processed anew.
func (r *Relay) handleNoAnswer(ctx context.Context, g *generation, engine upstreamstate.Upstream, err error) attempt.Result {
	if g.kv.Handle != "" && errors.Is(err, ErrRefused) {
		g.kv = KV{}
	}
	r.recordFailure(ctx, g.exchange, engine.ID, err)
	return failedAttempt(engine.ID, err)
}

// forwardStream gives an engine's events to the caller.
func (r *Relay) forwardStream(ctx context.Context, stop context.CancelFunc, g *generation, engine upstreamstate.Upstream, reply *Reply, started time.Duration) attempt.Result {
	if !g.headerSent {
		g.attempts.Answered()
		writeHeader(g.w, g.exchange, reply)
		g.headerSent = true
		observe("first", r.now()-g.arrived)
	}
	p := eventForwarder{w: g.w, flush: http.NewResponseController(g.w).Flush, lastEvent: g.lastEvent}
	if g.attempts.MayRunElsewhere() {
		p.idleTimeout, p.cancel = r.settings.StreamIdleTimeout, stop
	}
	began, whole := r.now(), g.lastEvent == ""
	err := p.forward(reply.Body)
	g.lastEvent = p.lastEvent
	switch {
	case err == nil:
		r.upstreams.Judge(engine.ID, load.CallSucceeded, r.now())
		observe("stream", r.now()-started)
		if whole {
			r.upstreams.Streamed(g.service, engine.ID, p.events.Count(), estimate.Stream{
				Took: r.now() - began, Slot: r.now() - started,
			}, r.now())
		}
		return attempt.Result{Status: attempt.Done}
	case errors.Is(err, ErrCallerDisconnected) || errors.Is(ctx.Err(), context.Canceled):
		return attempt.Result{Status: attempt.Done, Err: ErrCallerDisconnected}
	}
	if g.backup.ID != "" && g.lastEvent != "" {
		g.attempts.SetBackup(g.backup.ID)
	}
	err = WrapReadError(err)
	r.recordFailure(ctx, g.exchange, engine.ID, err)
	return failedAttempt(engine.ID, err)
}

// freeTimeout bounds the call that drops a KV cache.
const freeTimeout = time.Second

// freeKV drops the KV cache of a request that ended before an engine fetched it.
func (r *Relay) freeKV(g *generation) {
	if g.kv.Handle == "" {
		return
	}
	kv := g.kv
	if r.BackingOff(kv.Engine) {
		r.log.Info("relay: a KV cache is left to lapse, its engine rests", "request", g.req.ID, "engine", kv.Engine.ID)
		return
	}
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), freeTimeout)
		defer cancel()
		if err := r.sender.Free(ctx, kv); err != nil {
			r.log.Info("relay: a KV cache was not dropped; it lapses", "request", g.req.ID, "engine", kv.Engine.ID, "error", err)
		}
	}()
}
