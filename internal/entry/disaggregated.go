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

// errPrefilled ends the stream of a prefill engine: the prompt is processed and the first token was sent.
var errPrefilled = errors.New("entry: prefill complete")

// prefillSuffix is appended to the request ID to form the ID of the stream at a prefill engine. A caller
// that resumes does not attach to this stream, because it contains only the first token.
const prefillSuffix = "-prefill"

// mayBeSplit reports whether a request may be split between a prefill and a decode engine: it must be new
// and generate more than the one token that the prefill engine makes.
func mayBeSplit(comp *completion) bool {
	return comp.resume == nil && comp.maxTokens > 1
}

// run generates the rest of an answer on the assigned engine, or on the assigned prefill engine and a
// decode engine. With an error it returns the ID of the engine that failed.
func (g *generation) run(ctx context.Context, placed assignment) (failed string, err error) {
	if placed.phase != placement.PhasePrefill {
		return placed.engine.ID, g.runOn(ctx, placed.engine, false)
	}
	decode, err := g.prefillAndTransfer(ctx, placed.engine)
	if err != nil || g.assembler.Done() {
		return decode.ID, err
	}
	defer func() { g.comp.kvHandle = "" }()
	g.server.metrics.split.Inc(1)
	return decode.ID, g.runOn(ctx, decode, false)
}

// prefillAndTransfer lets the prefill engine process the prompt and generate the first token, transfers
// the KV cache to a decode engine and charges the request to that engine. It returns the decode engine, or
// the failed engine with an error. The request stays charged to the prefill engine until the transfer is
// complete, so that a planned change waits for it.
func (g *generation) prefillAndTransfer(ctx context.Context, prefill *config.Engine) (*config.Engine, error) {
	comp, s := g.comp, g.server
	defer func() { s.state.release(prefill.ID, comp.id, s.now()) }()
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
		Model: comp.modelName, Adapter: comp.adapter, Version: prefill.Loaded.Version, Phase: placement.PhaseDecode,
	}, load.Placement{ID: comp.id, Blocks: s.placement(comp).Blocks, At: s.now()})
	if !ok {
		return prefill, errors.WithMessage(engine.ErrNotRun, "no decode engine available")
	}
	if err := s.importTo(ctx, decode, kv); err != nil {
		s.state.release(decode.ID, comp.id, s.now())
		return failedEngine(err, prefill, decode), errors.WithMessage(err, "import of KV cache")
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

// failedEngine returns the engine that further attempts of the request should avoid after a failed import:
// the importing engine if it is unreachable, otherwise the source.
func failedEngine(err error, source, importing *config.Engine) *config.Engine {
	if errors.Is(err, engine.ErrUnreachable) {
		return importing
	}
	return source
}

// prefillOn lets an engine process the prompt, and forwards the first token.
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
		s.recordAcceptance(prefill.ID, comp.id, source.Stream)
		err = s.forward(ctx, forwarding{prefill.ID, client, prefillStream{source}, g})
		source.Close()
	}
	if err == nil || errors.Is(err, errPrefilled) {
		s.recordCall(prefill.ID, load.CallSucceeded)
		return nil
	}
	return s.prefillFailed(ctx, prefill.ID, client, request.ID, err)
}

// prefillFailed cancels the stream at the engine and records the failure if the engine is to blame.
func (s *Server) prefillFailed(ctx context.Context, engineID string, client engine.Engine, streamID string, err error) error {
	if !ranNothing(err) {
		s.background.Go(func() { s.cancel(ctx, client, streamID) })
	}
	if errors.Is(context.Cause(ctx), errStopping) {
		return errStopping
	}
	if ctx.Err() != nil {
		return errCallerDisconnected
	}
	if !errors.Is(err, engine.ErrNotRun) && !errors.Is(err, errCallerDisconnected) {
		s.recordCall(engineID, load.CallFailed)
	}
	return err
}

// prefillStream is the stream of a prefill engine. The entry limits this stream to one token, so a finish
// at that limit is not the end of the answer. Next returns errPrefilled instead.
type prefillStream struct {
	engine.Stream
}

// Next implements engine.Stream.
func (f prefillStream) Next() (engine.Piece, error) {
	piece, err := f.Stream.Next()
	if err == nil && piece.Finish == engine.FinishLength {
		return engine.Piece{}, errPrefilled
	}
	return piece, err
}
