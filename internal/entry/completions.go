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

// cancelTimeout bounds the call that cancels a stream after its caller disconnected.
const cancelTimeout = 2 * time.Second

// Errors that terminate an answer. Compare with errors.Is.
var (
	// errCallerDisconnected: the caller disconnected.
	errCallerDisconnected = errors.New("entry: caller disconnected")
	// errStopping: the shutdown timeout of the process expired.
	errStopping = errors.New("entry: shutting down")
	// errStalled: the engine stopped sending.
	errStalled = errors.New("entry: engine stalled")
)

// sink receives the pieces of an answer in order.
type sink interface {
	// piece receives one piece. The token lets the caller resume after it.
	piece(piece engine.Piece, token stream.ResumeToken) error
	// keepAlive tells the caller that the answer is still in progress.
	keepAlive() error
}

// completions returns the handler for answers of the given shape.
func (s *Server) completions(shape shape) echo.HandlerFunc {
	return func(c *echo.Context) error {
		s.metrics.requests.Inc(1)
		if err := s.checkReady(); err != nil {
			return notRun("not_ready", err.Error(), defaultRetryAfter)
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
		if subject, blocked := s.quarantines.blockedBy(comp); blocked {
			return quarantineRefusal(subject)
		}
		if err := s.admit(c, comp); err != nil {
			return err
		}
		defer s.admission.release(comp)
		if err := s.answer(c.Request().Context(), comp, out); err != nil {
			return s.failAnswer(c, comp, out, err)
		}
		s.metrics.answered.Inc(1)
		s.retries.Succeeded(s.now())
		return out.finish()
	}
}

// failAnswer handles an answer that could not be completed.
func (s *Server) failAnswer(c *echo.Context, comp *completion, out responder, err error) error {
	if errors.Is(err, errCallerDisconnected) {
		s.metrics.callerGone.Inc(1)
		return nil
	}
	if errors.Is(err, errStopping) {
		stopping := unknownOutcome("instance_stopping", "the instance stops; resume on another with Last-Event-ID")
		stopping.retryAfter = defaultRetryAfter
		err = stopping
	}
	s.metrics.broken.Inc(1)
	s.log.Warn("request: answer incomplete", "request", comp.id, "error", err)
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

// prefix returns the hashes of the prompt's blocks, or nil if the routing policy does not use prefix
// hints. It computes them once for each request.
func (s *Server) prefix(comp *completion) []uint64 {
	if comp.prefix == nil && s.settings.Routing.Policy.UsesPrefixHints() {
		comp.prefix = engine.BlockHashes(comp.prompt, engine.BlockTokens, maxPrefixBlocks)
	}
	return comp.prefix
}

// afterFailure records the failure of a stream for the engine's health and cancels the stream if it may
// still run. If blame is true, the failure counts against the engine even if it ran the request.
func (s *Server) afterFailure(ctx context.Context, engineID string, client engine.Engine, comp *completion, err error, blame bool) {
	switch {
	case errors.Is(err, engine.ErrUnreachable):
		s.recordCall(engineID, load.CallFailed)
	case errors.Is(err, engine.ErrNotRun):
		s.recordCall(engineID, load.CallRefused)
	}
	if ranNothing(err) {
		return
	}
	s.background.Go(func() { s.cancel(ctx, client, comp.id) })
	if blame {
		s.recordCall(engineID, load.CallFailed)
	}
}

// ranNothing reports whether an engine's error means that it ran nothing of the request.
func ranNothing(err error) bool {
	return errors.Is(err, engine.ErrNotRun) || errors.Is(err, engine.ErrNoStream) || errors.Is(err, engine.ErrUnreachable)
}

func (c *completion) engineRequest(from int, attach bool) engine.Request {
	return engine.Request{
		ID: c.id, Model: c.modelName, Adapter: c.adapter, Version: c.version,
		Prompt: c.prompt, MaxTokens: c.maxTokens, Seed: c.seed, Priority: c.priority,
		Sampling: c.sampling, From: from, Attach: attach, KVHandle: c.kvHandle,
	}
}

// cancel cancels a stream at the engine when its caller no longer needs it.
func (s *Server) cancel(ctx context.Context, client engine.Engine, id string) {
	ctx, stop := context.WithTimeout(context.WithoutCancel(ctx), cancelTimeout)
	defer stop()
	if err := client.Cancel(ctx, id); err != nil {
		s.log.Debug("request: cancelling at the engine failed", "request", id, "error", err)
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
