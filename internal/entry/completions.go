package entry

import (
	"context"
	"net/http"
	"time"

	"github.com/labstack/echo/v5"
	"github.com/pkg/errors"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/trace"

	"sassafrasfield/internal/config"
	"sassafrasfield/internal/engine"
	"sassafrasfield/internal/load"
	"sassafrasfield/internal/route"
	"sassafrasfield/internal/stream"
)

// cancelTimeout bounds the cancelling of a stream whose caller has gone.
const cancelTimeout = 2 * time.Second

// errCallerGone ends an answer that nobody reads any more.
var errCallerGone = errors.New("entry: the caller has gone")

// sink takes the pieces of an answer in order.
type sink interface {
	// piece takes one piece; token lets the caller resume after it.
	piece(piece engine.Piece, token stream.Token) error
}

// completions returns the handler for one shape of answers.
func (s *Server) completions(shape shape) echo.HandlerFunc {
	return func(c *echo.Context) error {
		s.metrics.requests.Inc(1)
		if err := s.ready(); err != nil {
			return notRun("not_ready", err.Error(), defaultRetryIn)
		}
		comp, err := s.readCompletion(c)
		if err != nil {
			return err
		}
		if err := s.admit(c, comp); err != nil {
			return err
		}
		defer s.admission.done(comp)
		out := newSink(c, shape, comp)
		if err := s.answer(c.Request().Context(), comp, out); err != nil {
			return s.ended(c, comp, out, err)
		}
		s.metrics.answered.Inc(1)
		s.retries.succeeded(s.now())
		return out.finish()
	}
}

// ended deals with an answer that was not finished.
func (s *Server) ended(c *echo.Context, comp *completion, out responder, err error) error {
	if errors.Is(err, errCallerGone) || c.Request().Context().Err() != nil {
		return nil
	}
	s.metrics.broken.Inc(1)
	s.log.Warn("request: not answered whole", "request", comp.id, "error", err)
	return out.fail(err)
}

// answer brings the whole answer to the sink, from as many engines as that
// takes.
func (s *Server) answer(ctx context.Context, comp *completion, out sink) error {
	assembler := stream.NewAssembler(0, 0)
	if comp.resume != nil {
		assembler = stream.NewAssembler(comp.resume.Next, comp.resume.Sum)
		s.metrics.resumed.Inc(1)
		if err := s.attach(ctx, comp, assembler, out); err == nil || errors.Is(err, errCallerGone) {
			return err
		}
	}
	excluded := map[string]bool{}
	var last error
	for attempt := range s.settings.Engine.Attempts {
		if attempt > 0 && !s.mayRetry(ctx, attempt, last, assembler.Next() > 0) {
			break
		}
		placed, ok := s.state.assign(&route.Request{
			Model: comp.name, Adapter: comp.adapter, Version: comp.version,
			PromptTokens: comp.promptTokens, Excluded: excluded,
			Split: attempt == 0 && mayBeSplit(comp),
		}, s.placement(comp))
		if !ok {
			break
		}
		s.admitted(comp, placed)
		failed, err := s.run(ctx, placed, comp, assembler, out)
		last = err
		if last == nil || errors.Is(last, errCallerGone) || ctx.Err() != nil {
			return last
		}
		excluded[failed] = true
		s.log.Info("request: engine failed, trying another", "request", comp.id, "engine", failed, "error", last)
	}
	if assembler.Next() > 0 {
		return unknown("engine_failed", "no engine could finish the answer; resume with Last-Event-ID")
	}
	return notRun("no_engine", "no engine can take the request now", defaultRetryIn)
}

func (s *Server) placement(comp *completion) load.Placement {
	p := load.Placement{
		ID: comp.id, PrefillTokens: comp.promptTokens, At: s.now(),
		Blocks: (comp.promptTokens + comp.maxTokens + engine.BlockTokens - 1) / engine.BlockTokens,
	}
	p.Prefix = s.prefix(comp)
	return p
}

// prefix returns the hashes of the prompt's blocks, which are worked out once;
// nil when hints are off.
func (s *Server) prefix(comp *completion) []uint64 {
	if comp.prefix == nil && s.settings.Routing.Policy.Hints() {
		comp.prefix = engine.BlockHashes(comp.prompt, engine.BlockTokens, prefixBlocksAtMost)
	}
	return comp.prefix
}

// attach goes on with a stream that an engine still holds.
func (s *Server) attach(ctx context.Context, comp *completion, assembler *stream.Assembler, out sink) error {
	chosen, ok := s.state.placeOn(comp.resume.Engine, load.Placement{ID: comp.id, At: s.now()})
	if !ok {
		return engine.ErrNoStream
	}
	return s.runOn(ctx, chosen, comp, assembler, out, true)
}

// runOn has one engine bring the rest of the answer. The placement was made.
func (s *Server) runOn(ctx context.Context, chosen *config.Engine, comp *completion, assembler *stream.Assembler, out sink, attach bool) error {
	defer func() { s.state.end(chosen.ID, comp.id, s.now()) }()
	ctx, span := tracer().Start(ctx, "engine generate", trace.WithAttributes(
		attribute.String("engine", chosen.ID), attribute.Bool("attach", attach),
	))
	defer span.End()
	client := s.engineAt(chosen.Address)
	assembler.Reset()
	source, err := client.Generate(ctx, comp.engineRequest(assembler.Next(), attach))
	if err != nil {
		if !errors.Is(err, engine.ErrNotRun) && !errors.Is(err, engine.ErrNoStream) {
			s.upstreamFailed(chosen.ID)
		}
		return err
	}
	defer source.Close()
	s.engineAccepted(chosen.ID, comp.id, source)
	err = s.forward(chosen.ID, source, comp, assembler, out)
	if errors.Is(err, errCallerGone) || ctx.Err() != nil {
		s.cancel(ctx, client, comp.id)
		return errCallerGone
	}
	if err != nil {
		s.upstreamFailed(chosen.ID)
		return err
	}
	s.state.succeeded(chosen.ID)
	return nil
}

func (c *completion) engineRequest(from int, attach bool) engine.Request {
	return engine.Request{
		ID: c.id, Model: c.name, Adapter: c.adapter, Version: c.version,
		Prompt: c.prompt, MaxTokens: c.maxTokens, Seed: c.seed, Priority: c.priority,
		From: from, Attach: attach, KVHandle: c.kvHandle,
	}
}

// forward brings pieces from an engine to the sink until the last one.
func (s *Server) forward(engineID string, source engine.Stream, comp *completion, assembler *stream.Assembler, out sink) error {
	for first := true; !assembler.Done(); first = false {
		piece, err := source.Next()
		if err != nil {
			return err
		}
		if first {
			s.state.started(engineID, comp.id)
		}
		ready, ok := assembler.Add(piece)
		if !ok {
			return errors.WithMessage(engine.ErrBroken, "pieces too far out of order")
		}
		for _, p := range ready {
			s.metrics.tokens.Inc(1)
			s.demand.generated(comp.pool, s.now())
			token := stream.Token{
				Request: comp.id, Engine: engineID, Seed: comp.seed,
				Next: p.N + 1, Sum: assembler.Sum(),
			}
			if err := out.piece(p, token); err != nil {
				return errCallerGone
			}
		}
	}
	return nil
}

// cancel ends a stream at the engine for a caller that has gone.
func (s *Server) cancel(ctx context.Context, client engine.Engine, id string) {
	ctx, done := context.WithTimeout(context.WithoutCancel(ctx), cancelTimeout)
	defer done()
	if err := client.Cancel(ctx, id); err != nil {
		s.log.Debug("request: the engine did not take a cancel", "request", id, "error", err)
	}
}

// models lists the models that the caller may use.
func (s *Server) models(c *echo.Context) error {
	organisation, err := s.authenticate(c.Request())
	if err != nil {
		return err
	}
	return c.JSON(http.StatusOK, modelList(s.state.config(), organisation))
}
