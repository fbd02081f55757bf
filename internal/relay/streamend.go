package relay

import (
	"github.com/pkg/errors"
	"github.com/rcrowley/go-metrics"

	"sassafrasfield/internal/stream"
	"sassafrasfield/internal/upstreamstate"
)

// streamMeters counts the unframed answers, those of them whose end was not confirmed, the events that engines repeated, and
// the streams that were cut off at an event out of sequence.
type streamMeters struct {
	unframed, unconfirmed, repeated, outOfSequence metrics.Counter
}

func newStreamMeters() streamMeters {
	return streamMeters{
		unframed: counter("answers_unframed"), unconfirmed: counter("answers_unframed_unconfirmed"),
		repeated: counter("events_repeated"), outOfSequence: counter("streams_out_of_sequence"),
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
	r.log.Info("relay: stream ended", "request", x.req.ID, "engine", engine.ID, "unframed", reply.Unframed,
		"events", forwarder.events.Count(), "last", forwarder.lastEvent(), "repeated", repeated, "remaining", x.remaining(r.now()), "error", err)
}

// isCallersSequence reports whether a run was out of sequence with the event that the caller named. That may be the caller's
// fault, so it is not held against the engine.
func (g *generation) isCallersSequence(err error) bool {
	var outOfSequence *stream.SequenceError
	isOut := errors.As(err, &outOfSequence) || errors.Is(err, errEndsBehind)
	return isOut && g.lastEvent != "" && g.lastEvent == g.req.LastEvent
}
