package relay

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"github.com/rcrowley/go-metrics"

	"sassafrasfield/internal/routes"
)

// errGraceOver ends requests whose instance stops and has no time left for them. Their callers are told what is known of them.
var errGraceOver = errors.New("relay: the grace period is over")

// stopping says until when the requests of an instance that stops have to be answered. It is safe for concurrent use.
type stopping struct {
	// end is on the relay's clock; 0 while the instance does not stop.
	end atomic.Int64
	// over is cancelled with errGraceOver at the end.
	over   context.Context
	cancel context.CancelCauseFunc
	// refusedLate counts the requests that were refused as too little time is left for them, ended those that were answered at
	// the end without a result.
	refusedLate, ended metrics.Counter
}

func newStopping() *stopping {
	s := &stopping{refusedLate: counter("refused_stopping"), ended: counter("ended_stopping")}
	s.over, s.cancel = context.WithCancelCause(context.Background())
	return s
}

// StopWithin has the requests that are in progress, and those that still arrive, answered within a time: with what is known of them if
// their upstreams have not answered. It is called once, when the instance begins to stop.
func (r *Relay) StopWithin(d time.Duration) {
	r.stopping.end.Store(int64(r.now() + d))
	time.AfterFunc(d, func() { r.stopping.cancel(errGraceOver) })
}

// left returns how much of a time until a deadline is left before the instance has stopped.
func (s *stopping) left(deadline, now time.Duration) time.Duration {
	if end := time.Duration(s.end.Load()); end > 0 {
		deadline = min(deadline, end)
	}
	return deadline - now
}

func (s *stopping) hasBegun() bool { return s.end.Load() > 0 }

// untilGraceOver returns a context that also ends with errGraceOver.
func (s *stopping) untilGraceOver(ctx context.Context) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancelCause(ctx)
	stop := context.AfterFunc(s.over, func() {
		s.ended.Inc(1)
		cancel(errGraceOver)
	})
	return ctx, func() {
		stop()
		cancel(nil)
	}
}

// callerLeft reports whether a request's context ended because its caller disconnected.
func callerLeft(ctx context.Context) bool {
	return errors.Is(ctx.Err(), context.Canceled) && !errors.Is(context.Cause(ctx), errGraceOver)
}

// lacksTime reports whether the instance stops and a request cannot be expected to be answered before. Nothing is known of the time of a
// stream, besides its objective.
func (r *Relay) lacksTime(x *exchange) bool {
	if !r.stopping.hasBegun() {
		return false
	}
	expected := x.route.Objective
	if x.route.Kind != routes.Generation {
		if usual, known := r.upstreams.CallTime(x.service); known {
			expected = usual
		}
	}
	return x.remaining(r.now()) < expected
}

// refuseLate returns the refusal of a request that arrives too late for the instance, which stops; nil for others.
func (r *Relay) refuseLate(x *exchange) error {
	if !r.lacksTime(x) {
		return nil
	}
	r.stopping.refusedLate.Inc(1)
	return &Refusal{Outcome: NotRun, Reason: "stopping, too little time is left", RetryIn: r.settings.RetryIn, Elsewhere: x.forwarded}
}
