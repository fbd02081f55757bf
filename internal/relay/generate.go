package relay

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/pkg/errors"

	"sassafrasfield/internal/attempt"
	"sassafrasfield/internal/config"
	"sassafrasfield/internal/estimate"
	"sassafrasfield/internal/load"
	"sassafrasfield/internal/placement"
	"sassafrasfield/internal/readlimit"
	"sassafrasfield/internal/stream"
	"sassafrasfield/internal/upstreamstate"
)

// generation is the state of a request whose answer a model generates. It implements attempt.Call.
type generation struct {
	*exchange
	relay  *Relay
	w      http.ResponseWriter
	prompt placement.Prompt
	// direct is set if the engine that generates also processes the prompt. start is the placement
	// on that engine; each attempt chooses a new one.
	direct bool
	start  placement.Prefill
	// kv is the processed prompt that no engine has fetched yet. fetchesRefused counts the runs that
	// were refused with it.
	kv             KV
	fetchesRefused int
	// headerSent is set once the caller has received the answer's header.
	headerSent bool
	// lastEvent is the id of the last event that the caller received. received is the number of events that it received here, and
	// steps are those between their ids.
	lastEvent string
	received  int
	steps     stream.Steps
	// reserved is the rate-limited engine that has capacity reserved for the answer; empty for none.
	reserved string
	// reservation is the work that is reserved for the prompt while it is processed.
	reservation reserved
	// backup is the engine to which the run is copied while it proceeds.
	backup upstreamstate.Upstream
	// current is the run that an engine may work on; nil for none. former is the run before, if its engine may work on it.
	current *engineRun
	former  *endingRun
	// leftAs is what was known of the current run when it was left because its stream was silent.
	leftAs runState
}

// generate delivers a generated answer to the caller, from as many engines as needed and as the
// route allows.
func (r *Relay) generate(ctx context.Context, x *exchange, w http.ResponseWriter) error {
	g := &generation{exchange: x, relay: r, w: w, lastEvent: x.req.LastEvent}
	if x.req.Prompt != nil {
		g.prompt = *x.req.Prompt
	}
	defer r.freeKV(g)
	if !x.route.Resumable {
		return g.serve(ctx)
	}
	ctx, stream := r.holdStream(ctx, x)
	defer func() { r.releaseStream(stream, g.current) }()
	if err := r.takeOver(ctx, x, stream); err != nil {
		return err
	}
	err := g.serve(ctx)
	switch {
	case err == nil || !r.isSuperseded(stream):
		return err
	case g.headerSent:
		return ErrSuperseded
	default:
		return &Refusal{Outcome: Unknown, Reason: "another attempt took the stream up"}
	}
}

// serve makes attempts until the answer is complete or none is left.
func (g *generation) serve(ctx context.Context) error {
	result, _ := g.attempts.Run(ctx, g.budget, g.relay.now, g)
	if result.Status == attempt.Done {
		return result.Err
	}
	return g.endError(g.relay.finalError(ctx, g.exchange))
}

// endError returns the error of an answer that no engine finished. An answer that has begun cannot
// be refused any more, only aborted.
func (g *generation) endError(err error) error {
	var refusal *Refusal
	if g.headerSent && errors.As(err, &refusal) {
		return errors.WithMessagef(ErrAnswerAborted, "%s: %s", refusal.Reason, lastFailure(g.exchange))
	}
	return err
}

// Started implements attempt.Call.
func (g *generation) Started() bool { return g.headerSent }

// Try implements attempt.Call. One attempt has the prompt processed, unless a KV cache is left from
// the previous attempt, and has the answer generated.
func (g *generation) Try(ctx context.Context) attempt.Result {
	if err := g.relay.checkSend(g.exchange); err != nil {
		return attempt.Result{Status: attempt.NoUpstream, Err: err}
	}
	if err := g.relay.checkRepeat(ctx, g.exchange); err != nil {
		return attempt.Result{Status: attempt.NoUpstream, Err: err}
	}
	if g.headerSent {
		g.relay.meters.resumed.Inc(1)
	}
	if g.relay.shouldForward(g.exchange) {
		return g.forwardGeneration(ctx)
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
	if !ok && g.kvIsBound() {
		return g.giveUpKV()
	}
	if !ok {
		return attempt.Result{Status: attempt.NoUpstream, Err: errors.WithMessage(ErrNotSent, "no engine to generate")}
	}
	return g.relay.run(ctx, g, placement.Prefill{Engine: engine})
}

// pickDecode chooses the engine that generates from the processed prompt, and charges the request
// to it. An engine that has capacity reserved for the request is preferred.
func (r *Relay) pickDecode(g *generation) (placement.Candidate, bool) {
	engine := r.upstreams.Upstream(g.reserved)
	request := g.generationRequest(g.kv.Engine)
	if engine.Role == config.RoleDecode && !engine.Draining && !g.attempts.Excluded()[engine.ID] && fitsVersion(request.Version, engine) {
		r.upstreams.PlaceOn(engine.ID, g.req.ID, r.now())
		return placement.Candidate{ID: engine.ID, Zone: engine.Zone}, true
	}
	g.reserved = ""
	return r.upstreams.PickDecode(request, g.kv.Engine.Zone, r.now())
}

// resumeAtCopy has the lost run continued by the engine that has its copy.
func (g *generation) resumeAtCopy(ctx context.Context, id string) attempt.Result {
	r := g.relay
	engine := r.upstreams.PlaceOn(id, g.req.ID, r.now())
	if engine.ID == "" {
		return attempt.Result{Status: attempt.NoUpstream, Err: errors.WithMessage(ErrNotSent, "the engine with the copy was removed")}
	}
	r.meters.copied.Inc(1)
	g.kv, g.backup = KV{Engine: engine, Handle: g.req.ID}, upstreamstate.Upstream{}
	defer func() { g.kv = KV{} }() // the engine itself drops a copy that was not used
	return r.run(ctx, g, placement.Prefill{Engine: placement.Candidate{ID: id}})
}

// prepare chooses where the generation begins. Unless one engine does all of it, prepare has the
// prompt processed. The status Done means that this succeeded.
func (g *generation) prepare(ctx context.Context) attempt.Result {
	r := g.relay
	avoided := r.awaitStoredVersion(ctx, g.exchange)
	request := g.placementRequest(r.now())
	request.AvoidedVersions = avoided
	request.Direct = g.attempts.Ledger().Prefilled() && !r.mayPrefillAgain(ctx, g)
	start, queueOrder, ok := r.placePrompt(ctx, g, request)
	if !ok {
		return attempt.Result{Status: attempt.NoUpstream, Err: errors.WithMessage(ErrNotSent, "no engine for the prompt")}
	}
	g.ahead, g.predicted, g.queueOrder = start.Engine.Aggregate.Backlog, start.BusyTime, queueOrder
	if g.direct = start.Direct(); g.direct {
		r.meters.direct.Inc(1)
		g.start = start
		return attempt.Result{Status: attempt.Done}
	}
	if !r.reserve(ctx, g, r.upstreams.Upstream(start.Engine.ID)) {
		r.endReservation(g, false)
		r.upstreams.PromptDone(start.Engine.ID, start.BusyTime, queueOrder)
		r.upstreams.RequestDone(start.Engine.ID, g.req.ID, r.now())
		return attempt.Result{Status: attempt.NoUpstream, Err: errors.WithMessage(ErrLimited, "no room for the answer")}
	}
	kv, err := r.prefill(ctx, g, start)
	r.endReservation(g, err == nil)
	if err != nil {
		r.recordFailure(ctx, g.exchange, start.Engine.ID, err)
		if errors.Is(err, errHopeless) {
			return attempt.Result{Status: attempt.NoUpstream, Err: err}
		}
		return attempt.Result{
			Status: attempt.NotReady, Upstream: start.Engine.ID, Unsent: errors.Is(err, ErrNotSent), Declined: errors.Is(err, ErrDeclined),
			BudgetDenied: errors.Is(err, ErrBudgetExhausted), Err: err,
		}
	}
	g.kv = kv
	return attempt.Result{Status: attempt.Done}
}

// mayPrefillAgain reports whether the prompt may be processed a second time, which makes two retries:
// the prefill and the run. Otherwise one engine does both, which is slower.
func (r *Relay) mayPrefillAgain(ctx context.Context, g *generation) bool {
	fetchable := g.fetchesRefused < maxFetchesRefused && !r.fetches.mostlyRefused(g.service)
	return fetchable && g.attempts.PayForPrefill(ctx, g.budget, r.now())
}

// prefill has the prompt processed on the chosen engine.
func (r *Relay) prefill(ctx context.Context, g *generation, start placement.Prefill) (KV, error) {
	engine, prefillTime := r.upstreams.Upstream(start.Engine.ID), start.BusyTime
	defer r.upstreams.PromptDone(engine.ID, prefillTime, g.queueOrder)
	defer func() { r.upstreams.RequestDone(engine.ID, g.req.ID, r.now()) }()
	g.exchange.prefill = engine.ID
	g.attempts.Prepared()
	if err := r.checkHopeless(g, start); err != nil {
		return KV{}, err
	}
	started := r.now()
	queueTime := start.Engine.Aggregate.Backlog
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	go r.cancelWhenSilent(ctx, engine.ID, queueTime+prefillTime+r.settings.PrefillIdleTimeout, cancel)
	send := g.newSend(engine, started)
	send.Deferred, send.FetchFrom = g.queueOrder == placement.QueueDeferred, r.upstreams.Upstream(start.Source.ID)
	watch := r.watchPrompt(ctx, g, start, cancel)
	kv, reported, err := r.sender.Prefill(ctx, g.req, send)
	if err = watch.end(err); err != nil {
		return KV{}, err
	}
	r.recordAnswer(engine.ID, reported)
	r.upstreams.RecordCall(engine.ID, load.CallSucceeded, r.now())
	r.meters.prefills.Inc(1)
	elapsed := r.now() - started
	observe("prefill", elapsed)
	observe("prefill_predicted", queueTime+prefillTime)
	if start.Source.ID == "" && start.UncachedTokens <= g.prompt.Tokens-g.prompt.SharedTokens() {
		// shared parts that are not assumed to be cached may still be cached
		r.upstreams.RecordPrefill(g.service, estimate.Prefill{
			Uncached: start.UncachedTokens, Cached: g.prompt.Tokens - start.UncachedTokens, PredictedWait: queueTime, Elapsed: elapsed,
		})
	}
	r.log.Info("relay: prefilled", "request", g.req.ID, "engine", engine.ID, "tokens", g.prompt.Tokens,
		"shared", g.prompt.SharedTokens(), "cached", start.Engine.Aggregate.CachedTokens, "source", start.Source.ID, "ahead", queueTime,
		"turn", g.queueOrder, "yielding", start.Engine.Aggregate.DeferredBacklog, "use", start.Engine.Aggregate.Utilization, "predicted", prefillTime, "took", elapsed,
		"running", reported.Running, "waiting", reported.Waiting, "reserved", g.reservation.prompt != 0, "speed", g.reservation.speed)
	return kv, nil
}

// cancelWhenSilent calls cancel once an engine has not answered any request for the timeout, and
// returns when the context ends. An engine that answers other requests is only busy, and another
// engine would merely process the shared part of the prompt a second time.
func (r *Relay) cancelWhenSilent(ctx context.Context, id string, timeout time.Duration, cancel func()) {
	since := r.now()
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
		}
		if !r.upstreams.AnsweredSince(id, since) {
			cancel()
			return
		}
		since = r.now()
		timer.Reset(r.settings.PrefillIdleTimeout)
	}
}

// run has an engine generate, and forwards its events.
func (r *Relay) run(ctx context.Context, g *generation, start placement.Prefill) attempt.Result {
	engine := r.upstreams.Upstream(start.Engine.ID)
	defer func() { r.upstreams.RequestDone(start.Engine.ID, g.req.ID, r.now()) }()
	promptDone := sync.OnceFunc(func() { r.upstreams.PromptDone(start.Engine.ID, start.BusyTime, placement.QueueNormal) })
	defer promptDone()
	if err := r.checkSend(g.exchange); err != nil { // the prefill may have taken a while
		return attempt.Result{Status: attempt.NoUpstream, Err: err}
	}
	if err := g.awaitFormerRun(ctx); err != nil {
		return attempt.Result{Status: attempt.NoUpstream, Err: err}
	}
	if err := g.noteSent(engine.ID); err != nil {
		return attempt.Result{Status: attempt.NoUpstream, Err: err}
	}
	started := r.now()
	g.current = &engineRun{engine: engine, request: g.req.ID, deadline: started + g.remaining(started)}
	runCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	if !g.headerSent && !g.route.Resumable {
		request := g.placementRequest(started)
		request.Version = engine.Version
		g.backup = r.upstreams.PickBackup(request, start.Engine, started)
	}
	send := g.newSend(engine, started)
	send.KV, send.LastEvent, send.Backup, send.Continues = g.kv, g.lastEvent, g.backup, g.headerSent
	send.Granted = g.reserved == engine.ID
	g.reserved = ""
	send.FetchFrom = r.upstreams.Upstream(start.Source.ID)
	reply, err := r.sender.Send(runCtx, g.req, send)
	if err != nil {
		return r.handleNoAnswer(ctx, g, engine, err)
	}
	promptDone()
	r.countUsage(g.exchange, r.now())
	if g.kv.Handle != "" {
		r.fetches.record(g.service, false)
	}
	g.kv = KV{} // the engine has fetched it
	defer reply.Body.Close()
	r.recordAnswer(engine.ID, reply.Load)
	if reply.Status != http.StatusOK {
		g.current = nil // the engine has ended it
		return r.handleEngineFailure(ctx, g, engine, reply)
	}
	if !g.direct && !g.headerSent {
		r.upstreams.RecordHandOver(g.service, g.prompt.Tokens-start.Engine.Aggregate.CachedTokens, r.now()-started)
	}
	if g.lastEvent != "" {
		r.recordContinuation(g, engine)
	}
	r.log.Info("relay: generates", "request", g.req.ID, "engine", engine.ID, "version", engine.Version, "direct", g.direct, "tokens", g.prompt.Tokens,
		"running", reply.Load.Running, "waiting", reply.Load.Waiting, "after", r.now()-started,
		"cached", start.Engine.Aggregate.CachedTokens, "ahead", start.Engine.Aggregate.Backlog, "requests", start.Engine.Aggregate.Requests, "last_event", g.lastEvent)
	return r.forwardStream(ctx, cancel, g, engine, reply, started)
}

// engineFailure bounds the body of an engine's failure, a short text.
var engineFailure = readlimit.BodyLimits{MaxBytes: 64 << 10, MaxTime: time.Second}

// handleEngineFailure handles a failure status of an engine: another engine is tried where the
// route allows it, otherwise the caller receives the engine's answer.
func (r *Relay) handleEngineFailure(ctx context.Context, g *generation, engine upstreamstate.Upstream, reply *Reply) attempt.Result {
	retry := g.attempts.MayRunElsewhere() && ctx.Err() == nil
	if g.headerSent || retry {
		err := errors.WithMessagef(ErrNoValidAnswer, "the engine answered %d", reply.Status)
		r.recordFailure(ctx, g.exchange, engine.ID, err)
		return failedAttempt(engine.ID, err)
	}
	if err := readFailure(reply, engineFailure); err != nil {
		r.recordFailure(ctx, g.exchange, engine.ID, err)
		return failedAttempt(engine.ID, err)
	}
	answer, err := readHead(g.exchange, reply)
	if err != nil {
		return failedAttempt(engine.ID, errors.WithMessage(ErrNoValidAnswer, err.Error()))
	}
	return attempt.Result{Status: attempt.Done, Err: r.deliver(g.w, g.exchange, answer)}
}

// maxFetchesRefused is the number of refused runs after which a KV cache is given up.
const maxFetchesRefused = 2

// handleNoAnswer records that an engine did not begin an answer. If the engine refused to fetch the
// KV cache, another one may still fetch it, unless most fetches are refused: the engine may be at
// capacity, or its link may be slow.
func (r *Relay) handleNoAnswer(ctx context.Context, g *generation, engine upstreamstate.Upstream, err error) attempt.Result {
	if g.kv.Handle != "" && errors.Is(err, ErrRefused) {
		g.fetchesRefused++
		r.fetches.record(g.service, true)
		if g.fetchesRefused >= maxFetchesRefused || r.fetches.mostlyRefused(g.service) {
			g.kv = KV{}
		}
	}
	g.closeRun(ctx, err)
	r.recordFailure(ctx, g.exchange, engine.ID, err)
	return failedAttempt(engine.ID, err)
}

// closeRun records that the connection of the current run ended with an error of WrapReadError. Unless the engine does not work on it
// any more, the next run waits for the end of this one.
func (g *generation) closeRun(ctx context.Context, err error) {
	if ctx.Err() != nil {
		return // no other run follows at this instance
	}
	run, known := g.current, g.leftAs
	g.current, g.leftAs = nil, ""
	if mayWorkOn(known, err) {
		g.former = g.relay.endRun(*run, leftBecause(known, err))
	}
}

// mayWorkOn reports whether an engine may work on a run whose connection ended with an error of WrapReadError, given what was known
// of the run before. Only the engine, or the end of its process, tells that it does not: a connection that ends, or an engine that is
// not reached, is no sign of it.
func mayWorkOn(known runState, err error) bool {
	return known != runEnded && !ranNothing(err) && !errors.Is(err, errUnprovenEnd)
}

// awaitFormerRun waits until the run before has ended. An error means that no other run may begin.
func (g *generation) awaitFormerRun(ctx context.Context) error {
	if g.former == nil {
		return nil
	}
	former := g.former
	g.former = nil
	return former.await(ctx)
}

// forwardStream forwards an engine's events to the caller.
func (r *Relay) forwardStream(ctx context.Context, cancel context.CancelFunc, g *generation, engine upstreamstate.Upstream, reply *Reply, started time.Duration) attempt.Result {
	g.begin(reply, engine.Version)
	g.generatingSince = r.now()
	forwarder := g.newForwarder(cancel, g.watchSilence(engine, cancel))
	forwarder.onEvents = r.watchAlive(g.exchange)
	streamStarted, fromStart := r.now(), g.lastEvent == ""
	err := g.confirmInTime(forwarder.forward(reply.Body))
	g.recordEvents(forwarder)
	r.recordStreamEnd(g.exchange, engine, reply, forwarder, err)
	switch {
	case err == nil:
		g.current = nil
		r.upstreams.RecordCall(engine.ID, load.CallSucceeded, r.now())
		observe("stream", r.now()-started)
		if fromStart {
			elapsed := r.now() - streamStarted
			usual := r.upstreams.RecordStream(g.service, engine.ID, forwarder.events.Count(), estimate.Stream{
				Elapsed: elapsed, SlotTime: r.now() - started,
			}, r.now())
			r.reportPace(engine, elapsed, usual)
		}
		return attempt.Result{Status: attempt.Done}
	case errors.Is(err, ErrCallerDisconnected) || callerLeft(ctx):
		return attempt.Result{Status: attempt.Done, Err: ErrCallerDisconnected}
	case errors.Is(err, errEndedAtDeadline):
		g.current = nil
		r.upstreams.RecordCall(engine.ID, load.CallSucceeded, r.now())
		return attempt.Result{Status: attempt.Done, Err: errors.WithMessage(ErrAnswerAborted, err.Error())}
	}
	if g.backup.ID != "" && g.lastEvent != "" {
		g.attempts.SetBackup(g.backup.ID)
	}
	isCallers := g.isCallersSequence(err)
	err = WrapReadError(err)
	g.closeRun(ctx, err)
	if isCallers {
		return g.interrupted(engine.ID, err)
	}
	r.recordFailure(ctx, g.exchange, engine.ID, err)
	return g.interrupted(engine.ID, err)
}

// recordEvents records which events of a run the caller received.
func (g *generation) recordEvents(p *eventForwarder) {
	g.lastEvent, g.steps = p.lastEvent(), p.sequence.Steps()
	g.received += p.sequence.Delivered()
}

// arrivedEvents returns the number of events that the caller has, or more: ids that increase are at least the number of the events up to
// them.
func (g *generation) arrivedEvents() int { return max(0, eventNumber(g.req.LastEvent)) + g.received }

// freeTimeout bounds the call that drops a KV cache.
const freeTimeout = time.Second

// freeKV drops the KV cache of a request that ended before an engine fetched it.
func (r *Relay) freeKV(g *generation) {
	if g.kv.Handle == "" {
		return
	}
	r.freeLater(g.req.ID, g.kv)
}

// freeLater drops a KV cache in the background.
func (r *Relay) freeLater(request string, kv KV) {
	if r.BackingOff(kv.Engine) {
		r.log.Info("relay: KV cache left to expire, its engine is backing off", "request", request, "engine", kv.Engine.ID)
		return
	}
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), freeTimeout)
		defer cancel()
		if err := r.sender.Free(ctx, kv); err != nil {
			r.log.Info("relay: KV cache not freed, it will expire", "request", request, "engine", kv.Engine.ID, "error", err)
		}
	}()
}
