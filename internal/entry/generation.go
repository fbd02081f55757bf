package entry

import (
	"context"
	"time"

	"github.com/pkg/errors"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/trace"

	"sassafrasfield/internal/attempt"
	"sassafrasfield/internal/config"
	"sassafrasfield/internal/engine"
	"sassafrasfield/internal/load"
	"sassafrasfield/internal/placement"
	"sassafrasfield/internal/stream"
)

// generation is one model answer in progress. It implements attempt.Call. All engines that contribute to
// the answer have loaded the same model version.
type generation struct {
	server    *Server
	comp      *completion
	assembler *stream.Assembler
	out       sink
	attempts  *attempt.Attempts
	// begunAt is when the current engine sent its first piece; 0 before. aliveRecorded is set once it has been
	// generating for crashWindow.
	begunAt       time.Duration
	aliveRecorded bool
}

// answer sends the complete answer to the sink, using as many engines as necessary within the retry
// limits.
func (s *Server) answer(ctx context.Context, comp *completion, out sink) error {
	g := &generation{
		server: s, comp: comp, out: out, assembler: stream.NewAssembler(0, 0),
		attempts: attempt.New(attempt.Rules{Repeatable: true, MaxSends: s.settings.Engine.Attempts}),
	}
	if comp.resume != nil {
		if over, err := g.resume(ctx); over {
			return err
		}
	}
	result, verdict := g.attempts.Run(ctx, s.retries, s.now, g)
	if result.Status == attempt.Done {
		return result.Err
	}
	if verdict == attempt.Denied {
		s.logBudgetExhausted(g.attempts)
	}
	if ctx.Err() != nil {
		return errCallerDisconnected
	}
	g.logNoEngine(verdict)
	return s.finalRefusal(comp, g.attempts.Outcome(), g.attempts.LastError())
}

// logNoEngine logs why no further engine is tried.
func (g *generation) logNoEngine(verdict attempt.Verdict) {
	serving, ofVersion := g.server.state.countServing(g.comp.version)
	g.server.log.Info("request: no engine left", "request", g.comp.id, "sends", g.attempts.Sends(), "failed", len(g.attempts.Excluded()), "denied", verdict == attempt.Denied,
		"version", g.comp.version, "serving", serving, "of_version", ofVersion, "error", g.attempts.LastError())
}

// resume continues the stream of an earlier answer if its engine still holds it. If over is true, the
// answer has ended with err, and no other engine is tried.
func (g *generation) resume(ctx context.Context) (over bool, err error) {
	token := g.comp.resume
	g.assembler = stream.NewAssembler(token.Next, token.Sum)
	g.server.metrics.resumed.Inc(1)
	err = g.attach(ctx)
	switch {
	case isFinal(err):
		return true, err
	case errors.Is(err, stream.ErrDiverged):
		return true, g.server.finalRefusal(g.comp, g.attempts.Outcome(), err)
	case !ranNothing(err):
		g.attempts.Exclude(token.Engine, err)
	}
	return false, nil
}

// isFinal reports whether nothing is left to retry after err, which may be nil.
func isFinal(err error) bool {
	return err == nil || errors.Is(err, errCallerDisconnected) || errors.Is(err, errStopping)
}

// Started implements attempt.Call.
func (g *generation) Started() bool { return g.assembler.Next() > 0 }

// freeVersion lets the answer be made at any version that the caller accepts, until a part of it was delivered. An
// earlier attempt has set the version of its engine, which may have been the last one of that version.
func (g *generation) freeVersion() {
	if g.comp.resume == nil && !g.Started() {
		g.comp.version = g.comp.requestedVersion
	}
}

// Try implements attempt.Call.
func (g *generation) Try(ctx context.Context) attempt.Result {
	comp, s := g.comp, g.server
	g.freeVersion()
	if subject, blocked := s.quarantines.blockedBy(comp); blocked {
		return attempt.Result{Status: attempt.NoUpstream, Err: quarantinedError{subject}}
	}
	placed, ok := s.state.assign(&placement.Request{
		Model: comp.modelName, Adapter: comp.adapter, Version: comp.version,
		Prompt: placement.Prompt{Tokens: comp.promptTokens}, Excluded: g.attempts.Excluded(),
		Split: g.attempts.Sends() == 0 && mayBeSplit(comp),
	}, s.placement(comp))
	if !ok {
		return attempt.Result{Status: attempt.NoUpstream}
	}
	if err := g.attempts.Sent(); err != nil {
		return attempt.Result{Status: attempt.Done, Err: err}
	}
	s.countAdmitted(comp, placed)
	failed, err := g.run(ctx, placed)
	if isFinal(err) {
		return attempt.Result{Status: attempt.Done, Err: err}
	}
	s.log.Info("request: engine failed, trying another", "request", comp.id, "engine", failed, "error", err)
	if ranNothing(err) && !g.Started() {
		return attempt.Result{Status: attempt.Refused, Upstream: failed, Err: err}
	}
	return attempt.Result{Status: attempt.Lost, Upstream: failed, Err: err}
}

// attach continues a stream that an engine still holds.
func (g *generation) attach(ctx context.Context) error {
	comp, s := g.comp, g.server
	chosen, ok := s.state.placeOn(comp.resume.Engine, load.Placement{ID: comp.id, At: s.now()})
	if !ok {
		return engine.ErrNoStream
	}
	return g.runOn(ctx, chosen, true)
}

// runOn generates the rest of the answer on one engine, to which the request is charged already.
func (g *generation) runOn(ctx context.Context, chosen *config.Engine, attach bool) error {
	comp, s := g.comp, g.server
	defer func() { s.state.release(chosen.ID, comp.id, s.now()) }()
	ctx, span := tracer().Start(ctx, "engine generate", trace.WithAttributes(
		attribute.String("engine", chosen.ID), attribute.Bool("attach", attach),
	))
	defer span.End()
	if !attach && comp.version == "" {
		comp.version = chosen.Loaded.Version
	}
	client := s.engineAt(chosen.Address)
	before := g.assembler.Next()
	g.begunAt, g.aliveRecorded = 0, false
	boot := ""
	source, err := s.generate(ctx, client, comp.engineRequest(g.assembler.Restart(), attach))
	if err == nil {
		boot = s.recordAcceptance(chosen.ID, comp.id, source.Stream)
		err = s.forward(ctx, forwarding{chosen.ID, client, source, g})
		source.Close()
	}
	if err == nil {
		s.recordCall(chosen.ID, load.CallSucceeded)
		s.quarantines.recordServed(comp.subjects()...)
		return nil
	}
	if errors.Is(context.Cause(ctx), errStopping) {
		return errStopping // the stream stays at the engine, so that the caller can resume it
	}
	if ctx.Err() != nil {
		err = errCallerDisconnected
	}
	// A resumption that brings no piece does not show a fault of the engine: the token may be wrong, or
	// the entry that served the caller before may have cancelled the stream.
	blame := !errors.Is(err, errCallerDisconnected) && (comp.resume == nil || g.assembler.Next() > before)
	s.recordIfCrashed(ctx, chosen.ID, boot, client, g, err)
	s.afterFailure(ctx, chosen.ID, client, comp, err, blame)
	return err
}
