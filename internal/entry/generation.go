package entry

import (
	"context"

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

// generation is a model's answer on its way to the caller. It implements
// attempt.Call: each engine has loaded the version that made the first part.
type generation struct {
	server    *Server
	comp      *completion
	assembler *stream.Assembler
	out       sink
	tries     *attempt.Attempts
}

// answer brings the whole answer to the sink, from as many engines as that
// takes.
func (s *Server) answer(ctx context.Context, comp *completion, out sink) error {
	g := &generation{
		server: s, comp: comp, out: out, assembler: stream.NewAssembler(0, 0),
		tries: attempt.New(attempt.Rules{Repeatable: true, MaxSends: s.settings.Engine.Attempts}),
	}
	if comp.resume != nil {
		if over, err := g.resume(ctx); over {
			return err
		}
	}
	result, verdict := g.tries.Run(ctx, s.retries, s.now, g)
	if result.Status == attempt.Done {
		return result.Err
	}
	if verdict == attempt.Denied {
		s.noBudget(g.tries)
	}
	if ctx.Err() != nil {
		return errCallerGone
	}
	return s.gaveUp(comp, g.tries.Outcome(), g.tries.LastError())
}

// resume goes on with the stream of an earlier answer, if its engine still holds
// it. Over tells that the answer has its end.
func (g *generation) resume(ctx context.Context) (over bool, err error) {
	token := g.comp.resume
	g.assembler = stream.NewAssembler(token.Next, token.Sum)
	g.server.metrics.resumed.Inc(1)
	err = g.attach(ctx)
	switch {
	case ended(err):
		return true, err
	case errors.Is(err, stream.ErrDiverged):
		return true, g.server.gaveUp(g.comp, g.tries.Outcome(), err)
	case !ranNothing(err):
		g.tries.Exclude(token.Engine, err)
	}
	return false, nil
}

// ended tells whether an error, or none, leaves nothing more to do.
func ended(err error) bool {
	return err == nil || errors.Is(err, errCallerGone) || errors.Is(err, errStopping)
}

// Started implements attempt.Call.
func (g *generation) Started() bool { return g.assembler.Next() > 0 }

// Try implements attempt.Call.
func (g *generation) Try(ctx context.Context) attempt.Result {
	comp, s := g.comp, g.server
	if s.contents.apart(comp.content) {
		return attempt.Result{Status: attempt.NoUpstream, Err: errSetApart}
	}
	placed, ok := s.state.assign(&placement.Request{
		Model: comp.name, Adapter: comp.adapter, Version: comp.version,
		Prompt: placement.Prompt{Tokens: comp.promptTokens}, Excluded: g.tries.Excluded(),
		Split: g.tries.Sends() == 0 && mayBeSplit(comp),
	}, s.placement(comp))
	if !ok {
		return attempt.Result{Status: attempt.NoUpstream}
	}
	if err := g.tries.Sent(); err != nil {
		return attempt.Result{Status: attempt.Done, Err: err}
	}
	s.admitted(comp, placed)
	failed, err := g.run(ctx, placed)
	if ended(err) {
		return attempt.Result{Status: attempt.Done, Err: err}
	}
	s.log.Info("request: engine failed, trying another", "request", comp.id, "engine", failed, "error", err)
	if ranNothing(err) && !g.Started() {
		return attempt.Result{Status: attempt.Refused, Upstream: failed, Err: err}
	}
	return attempt.Result{Status: attempt.Lost, Upstream: failed, Err: err}
}

// attach goes on with a stream that an engine still holds.
func (g *generation) attach(ctx context.Context) error {
	comp, s := g.comp, g.server
	chosen, ok := s.state.placeOn(comp.resume.Engine, load.Placement{ID: comp.id, At: s.now()})
	if !ok {
		return engine.ErrNoStream
	}
	return g.runOn(ctx, chosen, true)
}

// runOn has one engine bring the rest of the answer. The placement was made.
func (g *generation) runOn(ctx context.Context, chosen *config.Engine, attach bool) error {
	comp, s := g.comp, g.server
	defer func() { s.state.end(chosen.ID, comp.id, s.now()) }()
	ctx, span := tracer().Start(ctx, "engine generate", trace.WithAttributes(
		attribute.String("engine", chosen.ID), attribute.Bool("attach", attach),
	))
	defer span.End()
	if !attach && comp.version == "" {
		comp.version = chosen.Loaded.Version
	}
	client := s.engineAt(chosen.Address)
	before := g.assembler.Next()
	boot := ""
	source, err := s.generate(ctx, client, comp.engineRequest(g.assembler.Restart(), attach))
	if err == nil {
		boot = s.engineAccepted(chosen.ID, comp.id, source.Stream)
		err = s.forward(ctx, forwarding{chosen.ID, client, source, g})
		source.Close()
	}
	if err == nil {
		s.judge(chosen.ID, load.CallSucceeded)
		s.contents.served(comp.content)
		return nil
	}
	if errors.Is(context.Cause(ctx), errStopping) {
		return errStopping // the stream stays at the engine, to be resumed
	}
	if ctx.Err() != nil {
		err = errCallerGone
	}
	// A resumption that brought nothing says nothing about the engine: the token
	// may be wrong, or the entry that the caller left cancelled the stream.
	blame := !errors.Is(err, errCallerGone) && (comp.resume == nil || g.assembler.Next() > before)
	s.noteEnd(ctx, chosen.ID, boot, client, comp, err)
	s.afterFailure(ctx, chosen.ID, client, comp, err, blame)
	return err
}
