package relay

import (
	"time"

	"github.com/pkg/errors"
	"github.com/rcrowley/go-metrics"

	"sassafrasfield/internal/stream"
	"sassafrasfield/internal/upstreamstate"
)

// deadlineTolerance is how long before the end of a request's time, by the clock of this instance, an upstream may stop
// because of it. Upstreams get the time in whole milliseconds, and a timer may be as coarse as a tick of the kernel.
const deadlineTolerance = 10 * time.Millisecond

// errEndedAtDeadline: the stream ended when the time of the request was over. Engines stop then, whether they are done or not.
var errEndedAtDeadline = errors.New("relay: the stream ended at the deadline of the request")

// streamMeters counts the unframed answers, those of them whose end was not confirmed or was that of an upstream that left, the events that engines repeated, the
// streams that were cut off at an event out of sequence, and those that ended at the deadline of their request.
type streamMeters struct {
	unframed, unconfirmed, left, repeated, outOfSequence, atDeadline metrics.Counter
}

func newStreamMeters() streamMeters {
	return streamMeters{
		unframed: counter("answers_unframed"), unconfirmed: counter("answers_unframed_unconfirmed"),
		left:     counter("answers_unframed_left"),
		repeated: counter("events_repeated"), outOfSequence: counter("streams_out_of_sequence"),
		atDeadline: counter("streams_ended_at_deadline"),
	}
}

// recordStreamEnd logs and counts how a run's stream ended.
func (r *Relay) recordStreamEnd(x *exchange, engine upstreamstate.Upstream, reply *Reply, forwarder *eventForwarder, err error) {
	m, repeated := r.meters.streams, forwarder.sequence.Repeated()
	m.repeated.Inc(int64(repeated))
	var outOfSequence *stream.SequenceError
	if errors.As(err, &outOfSequence) {
		m.outOfSequence.Inc(1)
	}
	if errors.Is(err, errEndedAtDeadline) {
		m.atDeadline.Inc(1)
	}
	r.log.Info("relay: stream ended", "request", x.req.ID, "engine", engine.ID, "unframed", reply.Unframed,
		"events", forwarder.events.Count(), "last", forwarder.lastEvent(), "repeated", repeated, "remaining", x.remaining(r.now()), "error", err)
}

// confirmInTime returns the error of a stream that ended without one, if its engine may have stopped because the time of the
// request was over.
func (g *generation) confirmInTime(err error) error {
	if err == nil && g.remaining(g.relay.now()) <= deadlineTolerance {
		return errEndedAtDeadline
	}
	return err
}

// isCallersSequence reports whether a run was out of sequence with the event that the caller named, or may have been. That may be the
// caller's fault, so it is not held against the engine.
func (g *generation) isCallersSequence(err error) bool {
	if errors.Is(err, errUnprovenJoin) {
		return true
	}
	var outOfSequence *stream.SequenceError
	isOut := errors.As(err, &outOfSequence) || errors.Is(err, errEndsBehind)
	return isOut && g.lastEvent != "" && g.lastEvent == g.req.LastEvent
}
