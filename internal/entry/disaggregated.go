package entry

import (
	"context"

	"github.com/pkg/errors"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/trace"

	"sassafrasfield/internal/config"
	"sassafrasfield/internal/engine"
	"sassafrasfield/internal/load"
	"sassafrasfield/internal/placement"
)

// errPrefilled ends a prefill engine's part of an answer.
var errPrefilled = errors.New("entry: the prompt was processed")

// prefillSuffix is added to the id of the stream at a prefill engine. A caller
// that resumes does not attach to it: it has the first token alone.
const prefillSuffix = "-prefill"

// mayBeSplit tells whether a request may go to a pair of engines: a new one,
// with more to generate than the prefill engine makes.
func mayBeSplit(comp *completion) bool {
	return comp.resume == nil && comp.maxTokens > 1
}

// run brings the rest of an answer from the engine that was assigned, or from
// it and a decode engine. With an error it names the engine that failed.
func (g *generation) run(ctx context.Context, placed assignment) (failed string, err error) {
	if placed.work != placement.PhasePrefill {
		return placed.engine.ID, g.runOn(ctx, placed.engine, false)
	}
	decode, err := g.handOver(ctx, placed.engine)
	if err != nil || g.assembler.Done() {
		return decode.ID, err
	}
	defer func() { g.comp.kvHandle = "" }()
	g.server.metrics.split.Inc(1)
	return decode.ID, g.runOn(ctx, decode, false)
}

// handOver has the prefill engine process the prompt and make the first token,
// and brings the KV cache to a decode engine, which it returns with the request
// charged to it. With an error it returns the engine that failed. The prefill
// engine keeps the request's charge until the transfer is done, so that a
// planned change waits for it.
func (g *generation) handOver(ctx context.Context, prefill *config.Engine) (*config.Engine, error) {
	comp, s := g.comp, g.server
	defer func() { s.state.end(prefill.ID, comp.id, s.now()) }()
	if err := g.prefillOn(ctx, prefill); err != nil || g.assembler.Done() {
		return prefill, err
	}
	ctx, cancel := context.WithTimeout(ctx, s.settings.Engine.TransferTimeout)
	defer cancel()
	kv, err := s.engineAt(prefill.Address).Export(ctx, comp.id+prefillSuffix)
	if err != nil {
		return prefill, errors.WithMessage(err, "export of KV cache")
	}
	decode, ok := s.state.place(&placement.Request{
		Model: comp.name, Adapter: comp.adapter, Version: prefill.Loaded.Version, Phase: placement.PhaseDecode,
	}, load.Placement{ID: comp.id, Blocks: s.placement(comp).Blocks, At: s.now()})
	if !ok {
		return prefill, errors.WithMessage(engine.ErrNotRun, "no engine to decode on")
	}
	if err := s.importTo(ctx, decode, kv); err != nil {
		s.state.end(decode.ID, comp.id, s.now())
		return atFault(err, prefill, decode), errors.WithMessage(err, "import of KV cache")
	}
	comp.kvHandle = kv.Handle
	return decode, nil
}

func (s *Server) importTo(ctx context.Context, decode *config.Engine, kv engine.KVExport) error {
	ctx, span := tracer().Start(ctx, "engine import", trace.WithAttributes(
		attribute.String("engine", decode.ID), attribute.Int("tokens", kv.Tokens),
	))
	defer span.End()
	return s.engineAt(decode.Address).Import(ctx, kv)
}

// atFault is the engine that the rest of the request should keep away from: the
// importing one when it could not be reached, and else the source.
func atFault(err error, source, importing *config.Engine) *config.Engine {
	if errors.Is(err, engine.ErrUnreachable) {
		return importing
	}
	return source
}

// prefillOn has an engine process the prompt, and sends the first token on.
func (g *generation) prefillOn(ctx context.Context, prefill *config.Engine) error {
	comp, s := g.comp, g.server
	ctx, span := tracer().Start(ctx, "engine prefill", trace.WithAttributes(attribute.String("engine", prefill.ID)))
	defer span.End()
	if comp.version == "" {
		comp.version = prefill.Loaded.Version
	}
	client := s.engineAt(prefill.Address)
	request := comp.engineRequest(0, false)
	request.ID, request.MaxTokens = comp.id+prefillSuffix, 1
	source, err := s.generate(ctx, client, request)
	if err == nil {
		s.engineAccepted(prefill.ID, comp.id, source.Stream)
		err = s.forward(ctx, forwarding{prefill.ID, client, firstToken{source}, g})
		source.Close()
	}
	if err == nil || errors.Is(err, errPrefilled) {
		s.judge(prefill.ID, load.CallSucceeded)
		return nil
	}
	return s.prefillFailed(ctx, prefill.ID, client, request.ID, err)
}

// prefillFailed frees the engine of the stream, and notes who failed.
func (s *Server) prefillFailed(ctx context.Context, engineID string, client engine.Engine, streamID string, err error) error {
	if !ranNothing(err) {
		s.background.Go(func() { s.cancel(ctx, client, streamID) })
	}
	if errors.Is(context.Cause(ctx), errStopping) {
		return errStopping
	}
	if ctx.Err() != nil {
		return errCallerGone
	}
	if !errors.Is(err, engine.ErrNotRun) && !errors.Is(err, errCallerGone) {
		s.judge(engineID, load.CallFailed)
	}
	return err
}

// firstToken is the stream of a prefill engine. Its bound of one token is the
// entry's own, so the end that it brings about is not the answer's.
type firstToken struct {
	engine.Stream
}

// Next implements engine.Stream.
func (f firstToken) Next() (engine.Piece, error) {
	piece, err := f.Stream.Next()
	if err == nil && piece.Finish == engine.FinishLength {
		return engine.Piece{}, errPrefilled
	}
	return piece, err
}
