package entry

import (
	"context"
	"net/http"
	"time"

	"github.com/labstack/echo/v5"
	"github.com/pkg/errors"

	"sassafrasfield/internal/callerapi"
	"sassafrasfield/internal/engine"
	"sassafrasfield/internal/load"
	"sassafrasfield/internal/stream"
)

// cancelTimeout bounds the cancelling of a stream whose caller has gone.
const cancelTimeout = 2 * time.Second

// Errors that end an answer. Compare with errors.Is.
var (
	// errCallerGone: nobody reads the answer any more.
	errCallerGone = errors.New("entry: the caller has gone")
	// errStopping: the process has no time left.
	errStopping = errors.New("entry: stopping")
	// errStalled: the engine sends nothing.
	errStalled = errors.New("entry: the engine has stalled")
)

// sink takes the pieces of an answer in order.
type sink interface {
	// piece takes one piece; token lets the caller resume after it.
	piece(piece engine.Piece, token stream.Token) error
	// wait tells the caller that its answer is still to come.
	wait() error
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
		c.Response().Header().Set(callerapi.HeaderRequestID, comp.id)
		out := newSink(c, shape, comp, s.settings.WriteTimeout)
		if comp.resume != nil && comp.resume.Done {
			return out.finish()
		}
		if s.contents.apart(comp.content) {
			return setApart()
		}
		if err := s.admit(c, comp); err != nil {
			return err
		}
		defer s.admission.done(comp)
		if err := s.answer(c.Request().Context(), comp, out); err != nil {
			return s.ended(c, comp, out, err)
		}
		s.metrics.answered.Inc(1)
		s.retries.Succeeded(s.now())
		return out.finish()
	}
}

// ended deals with an answer that was not finished.
func (s *Server) ended(c *echo.Context, comp *completion, out responder, err error) error {
	if errors.Is(err, errCallerGone) {
		s.metrics.callerGone.Inc(1)
		return nil
	}
	if errors.Is(err, errStopping) {
		stopping := unknown("instance_stopping", "the instance stops; resume on another with Last-Event-ID")
		stopping.retryIn = defaultRetryIn
		err = stopping
	}
	s.metrics.broken.Inc(1)
	s.log.Warn("request: not answered whole", "request", comp.id, "error", err)
	return out.fail(err)
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
	if comp.prefix == nil && s.settings.Routing.Policy.UsesPrefixHints() {
		comp.prefix = engine.BlockHashes(comp.prompt, engine.BlockTokens, prefixBlocksAtMost)
	}
	return comp.prefix
}

// afterFailure frees the engine of a stream that nobody reads any more, and
// notes the failure if the engine is to blame.
func (s *Server) afterFailure(ctx context.Context, engineID string, client engine.Engine, comp *completion, err error, blame bool) {
	switch {
	case errors.Is(err, engine.ErrUnreachable):
		s.judge(engineID, load.CallFailed)
	case errors.Is(err, engine.ErrNotRun):
		s.judge(engineID, load.CallRefused)
	}
	if ranNothing(err) {
		return
	}
	s.background.Go(func() { s.cancel(ctx, client, comp.id) })
	if blame {
		s.judge(engineID, load.CallFailed)
	}
}

// ranNothing tells whether an engine's error says that it ran nothing.
func ranNothing(err error) bool {
	return errors.Is(err, engine.ErrNotRun) || errors.Is(err, engine.ErrNoStream) || errors.Is(err, engine.ErrUnreachable)
}

func (c *completion) engineRequest(from int, attach bool) engine.Request {
	return engine.Request{
		ID: c.id, Model: c.name, Adapter: c.adapter, Version: c.version,
		Prompt: c.prompt, MaxTokens: c.maxTokens, Seed: c.seed, Priority: c.priority,
		Sampling: c.sampling, From: from, Attach: attach, KVHandle: c.kvHandle,
	}
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
