package relay

import (
	"context"
	"io"
	"time"

	"github.com/pkg/errors"

	"sassafrasfield/internal/pause"
	"sassafrasfield/internal/upstreamstate"
)

// Timing of the confirmation that the end of an unframed answer is its regular one. The answer's caller waits for it.
const (
	// endCheckTimeout bounds one check.
	endCheckTimeout = 500 * time.Millisecond
	// endCheckInterval is the pause between two checks.
	endCheckInterval = 50 * time.Millisecond
	// endConfirmTimeout bounds all checks of one answer.
	endConfirmTimeout = time.Second
)

// errUnconfirmedEnd: the connection of an unframed answer ended, and the end of its upstream's process may have ended it.
var errUnconfirmedEnd = errors.WithMessage(io.ErrUnexpectedEOF, "relay: the end of the connection was not confirmed by the upstream")

// errUnprovenEnd is the ErrNoValidAnswer of an unframed answer that can be asked for again, and whose connection ended when its
// upstream, which leaves, may have finished it. The upstream's process has ended, but has not failed.
var errUnprovenEnd = errors.WithMessage(ErrNoValidAnswer, "the end of the answer is not proved, its upstream has left")

// confirmedBody is the body of an unframed answer. When a process ends, its kernel closes its connections in the same way
// as the process itself does after a whole answer. So the end counts only if the process lived on or had left.
type confirmedBody struct {
	io.ReadCloser
	confirm func() error
	// ended is the result of further reads, once the connection has ended.
	ended error
}

// Read implements io.Reader. At the end it returns io.EOF or the error of confirmEnd.
func (b *confirmedBody) Read(p []byte) (int, error) {
	if b.ended != nil {
		return 0, b.ended
	}
	n, err := b.ReadCloser.Read(p)
	if err != io.EOF || n > 0 {
		return n, ignoreEOF(err)
	}
	if b.ended = b.confirm(); b.ended == nil {
		b.ended = io.EOF
	}
	return 0, b.ended
}

// ignoreEOF returns nil for io.EOF, which the next read returns again.
func ignoreEOF(err error) error {
	if err == io.EOF {
		return nil
	}
	return err
}

// withConfirmedEnd returns the reply with a body whose end is confirmed, unless its framing proves it.
func (r *Relay) withConfirmedEnd(ctx context.Context, req *Request, send Send, reply *Reply) *Reply {
	if !reply.Unframed {
		return reply
	}
	reply.Body = &confirmedBody{ReadCloser: reply.Body, confirm: func() error { return r.confirmEnd(ctx, req, send) }}
	return reply
}

// confirmEnd returns nil if the connection of an unframed answer was closed by the upstream's process rather than by the
// end of the process, and else errUnconfirmedEnd or errUnprovenEnd, or the context's error if that ended first, which says
// nothing about the upstream.
func (r *Relay) confirmEnd(ctx context.Context, req *Request, send Send) error {
	began, to := r.now(), send.To
	confirmCtx, cancel := context.WithTimeout(ctx, endConfirmTimeout)
	defer cancel()
	leaving := r.leaves(to)
	alive, err := r.isAlive(confirmCtx, to)
	evidence := endEvidence{answered: alive}
	if !alive {
		evidence = r.awaitEvidence(confirmCtx, to, leaving, began)
	}
	verdict, repeatable := evidence.verdict(), send.Attempts.IsRepeatable()
	observe("end_check", r.now()-began)
	r.meters.streams.unframed.Inc(1)
	attrs := []any{"request", req.ID, "upstream", to.ID, "took", r.now() - began, "leaving", leaving, "other_open", evidence.otherOpen,
		"ended_together", evidence.endedTogether, "early", evidence.early, "removed", evidence.removed, "unknowable", evidence.unknowable,
		"repeatable", repeatable, "error", err}
	switch {
	case alive:
		return nil
	case verdict.isWhole(repeatable):
		r.meters.streams.left.Inc(1)
		r.log.Info("relay: end of an unframed answer confirmed, its upstream takes no requests", attrs...)
		return nil
	case ctx.Err() != nil:
		return ctx.Err()
	}
	r.meters.streams.unconfirmed.Inc(1)
	r.log.Info("relay: end of an unframed answer not confirmed", attrs...)
	if verdict == endLikelyRegular {
		return errUnprovenEnd
	}
	return errUnconfirmedEnd
}

// isAlive asks an upstream until there is a result. Without one in time, the error is that of the last attempt.
func (r *Relay) isAlive(ctx context.Context, to upstreamstate.Upstream) (bool, error) {
	healthPath := r.Services()[to.Service].HealthPath
	if r.BackingOff(to) {
		healthPath = "" // the check must not send it a request
	}
	for {
		checkCtx, cancelCheck := context.WithTimeout(ctx, endCheckTimeout)
		alive, err := r.sender.Alive(checkCtx, to, healthPath)
		cancelCheck()
		if err == nil || !pause.For(ctx, endCheckInterval) {
			return alive && err == nil, err
		}
	}
}
