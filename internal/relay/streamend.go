package relay

import (
	"bytes"
	"strconv"

	"github.com/rcrowley/go-metrics"

	"sassafrasfield/internal/upstreamstate"
)

// streamMeters counts the unframed answers, those of them whose end was not confirmed, and the events whose ids do not
// follow the one before.
type streamMeters struct {
	unframed, unconfirmed, repeated, skipped, unnumbered metrics.Counter
}

func newStreamMeters() streamMeters {
	return streamMeters{
		unframed: counter("answers_unframed"), unconfirmed: counter("answers_unframed_unconfirmed"),
		repeated: counter("events_repeated"), skipped: counter("events_skipped"), unnumbered: counter("events_unnumbered"),
	}
}

// eventOrder counts the events of a run whose ids do not follow the one before.
type eventOrder struct {
	first, last                   int64
	seen                          bool
	repeated, skipped, unnumbered int
}

// newEventOrder returns the order of a run that continues after an event; an empty id begins at the start.
func newEventOrder(lastEvent string) eventOrder {
	last, err := strconv.ParseInt(lastEvent, 10, 64)
	return eventOrder{last: last, seen: lastEvent == "" || err == nil}
}

// add counts complete events.
func (o *eventOrder) add(events []byte) {
	for _, event := range bytes.SplitAfter(events, []byte("\n\n")) {
		if len(event) == 0 {
			continue
		}
		id, err := strconv.ParseInt(eventID(event), 10, 64)
		switch {
		case err != nil:
			o.unnumbered++
			continue
		case o.seen && id <= o.last:
			o.repeated++
		case o.seen && id > o.last+1:
			o.skipped++
		}
		if o.first == 0 {
			o.first = id
		}
		o.last, o.seen = id, true
	}
}

func eventID(event []byte) string {
	for _, line := range bytes.Split(event, []byte("\n")) {
		if value, ok := bytes.CutPrefix(line, []byte("id:")); ok {
			return string(bytes.TrimSpace(value))
		}
	}
	return ""
}

// recordStreamEnd logs and counts how a run's stream ended.
func (r *Relay) recordStreamEnd(x *exchange, engine upstreamstate.Upstream, reply *Reply, order eventOrder, err error) {
	m := r.meters.streams
	m.repeated.Inc(int64(order.repeated))
	m.skipped.Inc(int64(order.skipped))
	m.unnumbered.Inc(int64(order.unnumbered))
	r.log.Info("relay: stream ended", "request", x.req.ID, "engine", engine.ID, "unframed", reply.Unframed, "first", order.first, "last", order.last,
		"repeated", order.repeated, "skipped", order.skipped, "unnumbered", order.unnumbered, "error", err)
}
