package relay

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/pkg/errors"

	"sassafrasfield/internal/readlimit"
	"sassafrasfield/internal/stream"
)

// errPartialEvent: the stream ended inside an event.
var errPartialEvent = errors.New("relay: the stream ended inside an event")

// errEndsBehind: the run had events, but ended before the last one that the caller has.
var errEndsBehind = errors.New("relay: the run ended before the last event that the caller has")

// errUnprovenJoin: the run had one new event, and nothing shows whether there are others between it and the last one that the caller has.
var errUnprovenJoin = errors.New("relay: events may be missing before the only one that the run brought")

// errNoEvents: the stream ended before the first event of the answer.
var errNoEvents = errors.New("relay: the stream ended before its first event")

// eventForwarder forwards the events of one engine's stream to a caller: complete ones, each once and in order.
type eventForwarder struct {
	w     http.ResponseWriter
	flush func() error
	// cancel stops the stream.
	cancel context.CancelFunc
	// eventTime is how long an event may take from its first byte to its end.
	eventTime time.Duration
	// watch looks for the reason if the stream makes no progress; nil if it has to be awaited in any case.
	watch *silenceWatch
	// headOnly is set if the answer has no body, and so no event.
	headOnly bool
	events   stream.EventSplitter
	sequence *stream.Sequence
	// arrivedBefore is the number of events that the caller had before this run, or more.
	arrivedBefore int
	// onEvents is called after events were written; nil for none.
	onEvents func()
}

// newEventForwarder returns a forwarder of a run whose events have the given sequence.
func newEventForwarder(w http.ResponseWriter, sequence *stream.Sequence, cancel context.CancelFunc) *eventForwarder {
	return &eventForwarder{w: w, flush: http.NewResponseController(w).Flush, sequence: sequence, cancel: cancel, eventTime: readlimit.StreamEvent().MaxTime}
}

// newForwarder returns a forwarder of the rest of the answer. An event may take as long as the caller waits for it.
func (g *generation) newForwarder(cancel context.CancelFunc, watch *silenceWatch) *eventForwarder {
	forwarder := newEventForwarder(g.w, stream.NewSequence(g.lastEvent, g.steps), cancel)
	forwarder.headOnly, forwarder.watch, forwarder.arrivedBefore = g.req.Method == http.MethodHead, watch, g.arrivedEvents()
	forwarder.eventTime = max(forwarder.eventTime, g.route.WaitBudget)
	return forwarder
}

// lastEvent returns the id of the last event that the caller has.
func (p *eventForwarder) lastEvent() string { return p.sequence.LastID() }

// readBufferBytes is how much is read from an engine at once. An event has some hundred bytes.
const readBufferBytes = 4 << 10

// forward returns nil at the regular end of the stream. It returns a *stream.SequenceError at an event that cannot follow the
// ones before it.
func (p *eventForwarder) forward(body io.Reader) error {
	buffer := make([]byte, readBufferBytes)
	timer := newEventTimer(p.eventTime, p.cancel)
	defer timer.stop()
	if p.watch != nil {
		p.watch.start(p.arrived())
		defer p.watch.stop()
	}
	for {
		n, err := body.Read(buffer)
		before, accepted := p.events.Count(), p.sequence.Accepted()
		inSequence, outOfSequence := p.sequence.Add(p.events.Add(buffer[:n]))
		progress := p.events.Count() > before && (len(inSequence) > 0 || p.sequence.Accepted() > accepted)
		if progress {
			timer.stop()
		}
		if err := p.pass(inSequence, progress); err != nil {
			return err
		}
		if outOfSequence != nil {
			return outOfSequence
		}
		if err := timer.received(p.events.PartialBytes(), progress); err != nil {
			return err
		}
		switch {
		case err == io.EOF:
			return p.end()
		case err != nil:
			return errors.Wrap(err, "relay: read from the engine")
		}
	}
}

// end writes what is left at the regular end of the stream, and returns an error if the answer is not whole.
func (p *eventForwarder) end() error {
	switch {
	case p.events.HasPartial():
		return errPartialEvent
	case p.sequence.IsBehind():
		return errEndsBehind
	case p.sequence.IsUnproven():
		return errUnprovenJoin
	case p.sequence.IsEmpty() && !p.headOnly:
		return errNoEvents
	default:
		return p.write(p.sequence.Rest())
	}
}

// arrived returns the number of events that arrived, of this run and of those before, or more.
func (p *eventForwarder) arrived() int { return p.arrivedBefore + p.sequence.Accepted() }

// eventNumber returns the number of an event by its id; 0 if it has none. Numbers increase, but need not count the events.
func eventNumber(id string) int {
	number, err := strconv.Atoi(id)
	if err != nil {
		return 0
	}
	return number
}

// pass writes events to the caller. The stream does not count as silent meanwhile.
func (p *eventForwarder) pass(events []byte, progress bool) error {
	switch {
	case p.watch == nil:
		return p.write(events)
	case !progress:
		p.watch.noteRead()
		return p.write(events)
	}
	p.watch.pause()
	defer func() { p.watch.resume(p.arrived()) }()
	return p.write(events)
}

// write writes complete events to the caller at once.
func (p *eventForwarder) write(events []byte) error {
	if len(events) == 0 {
		return nil
	}
	if _, err := p.w.Write(events); err != nil {
		return ErrCallerDisconnected
	}
	if err := p.flush(); err != nil {
		return ErrCallerDisconnected
	}
	if p.onEvents != nil {
		p.onEvents()
	}
	return nil
}
