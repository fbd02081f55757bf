package entry

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"sassafrasfield/internal/engine"
	"sassafrasfield/internal/stream"
)

// arrivalBuffer is the number of pieces that are read ahead of the caller. Together with the connections'
// buffers it bounds the memory that the answer to a slow caller uses.
const arrivalBuffer = 8

// arrival is a piece or an error received from an engine's stream.
type arrival struct {
	piece engine.Piece
	err   error
}

// forwarding connects one engine's stream with the answer to a caller.
type forwarding struct {
	engineID string
	client   engine.Engine
	source   engine.Stream
	*generation
}

// generate starts a stream or attaches to one. An engine that does not accept the request within the
// accept timeout counts as stalled.
func (s *Server) generate(ctx context.Context, client engine.Engine, req engine.Request) (*cancellingStream, error) {
	// The stream uses this context, so it ends with the request's context.
	ctx, cancel := context.WithCancelCause(ctx)
	acceptTimer := time.AfterFunc(s.settings.Stall.AcceptTimeout, func() { cancel(errStalled) })
	source, err := client.Generate(ctx, req)
	acceptTimer.Stop()
	if errors.Is(context.Cause(ctx), errStalled) {
		if err == nil {
			source.Close()
		}
		return nil, errStalled
	}
	if err != nil {
		cancel(err)
		return nil, err
	}
	return &cancellingStream{Stream: source, cancel: cancel}, nil
}

// cancellingStream cancels its context when it is closed.
type cancellingStream struct {
	engine.Stream
	cancel context.CancelCauseFunc
}

// Close implements engine.Stream.
func (e *cancellingStream) Close() error {
	e.cancel(nil)
	return e.Stream.Close()
}

// forward forwards pieces from an engine to the caller until the answer is complete. While a write to the
// caller blocks, nothing is read, and the time does not count against the engine's stall timeout.
func (s *Server) forward(ctx context.Context, f forwarding) error {
	stop := make(chan struct{})
	defer close(stop)
	arrivals := read(f.source, stop)
	stall := newStallTimer(s.settings.Stall, s.now())
	defer stall.timer.Stop()
	probeTicker := time.NewTicker(s.settings.Stall.ProbeEvery)
	defer probeTicker.Stop()
	keepAliveTicker := time.NewTicker(s.settings.KeepAlive)
	defer keepAliveTicker.Stop()
	probes := make(chan error, 1)
	for !f.assembler.Done() {
		select {
		case a := <-arrivals:
			if err := s.handleArrival(f, stall, a); err != nil {
				return err
			}
			keepAliveTicker.Reset(s.settings.KeepAlive)
		case <-stall.timer.C:
			if err := stall.expired(s.now(), len(arrivals)); err != nil {
				return err
			}
		case <-probeTicker.C:
			if !stall.pace.Started() {
				s.background.Go(func() { s.probe(ctx, f.client, probes) })
			}
		case err := <-probes:
			if err != nil && !stall.pace.Started() {
				return errors.WithMessage(errStalled, err.Error())
			}
		case <-keepAliveTicker.C:
			if f.out.keepAlive() != nil {
				return errCallerDisconnected
			}
		case <-ctx.Done():
			return errCallerDisconnected
		}
	}
	return nil
}

// handleArrival records the arrival of a piece for stall detection and admission, and delivers it.
func (s *Server) handleArrival(f forwarding, stall *stallTimer, a arrival) error {
	if a.err != nil {
		return a.err
	}
	if !stall.pace.Started() {
		s.state.started(f.engineID, f.comp.id)
		s.admission.firstToken(f.comp)
		f.begunAt = s.now()
	}
	s.recordIfAlive(f.generation)
	stall.pieceArrived(s.now())
	if err := s.deliver(f, a.piece); err != nil {
		return err
	}
	stall.restart(s.now())
	return nil
}

// read reads a stream's pieces into a channel until the stream ends or stop is closed.
func read(source engine.Stream, stop <-chan struct{}) <-chan arrival {
	arrivals := make(chan arrival, arrivalBuffer)
	go func() {
		for {
			piece, err := source.Next()
			select {
			case arrivals <- arrival{piece, err}:
			case <-stop:
				return
			}
			if err != nil {
				return
			}
		}
	}()
	return arrivals
}

// deliver adds a piece to the assembler and sends the pieces that are now in order to the caller.
func (s *Server) deliver(f forwarding, piece engine.Piece) error {
	before := f.assembler.Next()
	ready, err := f.assembler.Add(piece)
	if err != nil {
		return err
	}
	for n, p := range ready {
		token := stream.ResumeToken{
			Request: f.comp.id, Engine: f.engineID, Version: f.comp.version, Seed: f.comp.seed,
			Next: before + n + 1, Sum: ready[n].Sum, Done: p.Finish != "",
		}
		if err := f.out.piece(p.Piece, token); err != nil {
			return errCallerDisconnected
		}
		s.metrics.tokens.Inc(1)
		s.demand.addGenerated(f.comp.pool, s.now())
	}
	return nil
}

// probe requests the status of an engine that has sent nothing yet, and sends the result to the channel
// unless the result of an earlier probe is still unread.
func (s *Server) probe(ctx context.Context, client engine.Engine, probes chan<- error) {
	ctx, cancel := context.WithTimeout(ctx, s.settings.Stall.AcceptTimeout)
	defer cancel()
	_, err := client.Status(ctx)
	select {
	case probes <- err:
	default:
	}
}
