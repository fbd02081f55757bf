package relay

import (
	"context"
	"io"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"sassafrasfield/internal/stream"
)

// errPartialEvent: the stream ended inside an event.
var errPartialEvent = errors.New("relay: the stream ended inside an event")

// errEndsBehind: the run had events, but ended before the last one that the caller has.
var errEndsBehind = errors.New("relay: the run ended before the last event that the caller has")

// errNoEvents: the stream ended before the first event of the answer.
var errNoEvents = errors.New("relay: the stream ended before its first event")

// eventForwarder forwards the events of one engine's stream to a caller: complete ones, each once and in order.
type eventForwarder struct {
	w     http.ResponseWriter
	flush func() error
	// idleTimeout is how long the stream may pass without a complete event before it is stopped by cancel; 0 means no
	// bound, except that an event that has begun must be completed in time.
	idleTimeout time.Duration
	cancel      context.CancelFunc
	// headOnly is set if the answer has no body, and so no event.
	headOnly bool
	events   stream.EventSplitter
	sequence *stream.Sequence
	// onEvents is called after events were written; nil for none.
	onEvents func()
}

// newEventForwarder returns a forwarder of a stream that continues after an event; an empty id begins at the start.
func newEventForwarder(w http.ResponseWriter, lastEvent string, cancel context.CancelFunc) *eventForwarder {
	return &eventForwarder{w: w, flush: http.NewResponseController(w).Flush, sequence: stream.NewSequence(lastEvent), cancel: cancel}
}

// newForwarder returns a forwarder of the rest of the answer. An event has to come in time if another engine can go on.
func (g *generation) newForwarder(cancel context.CancelFunc) *eventForwarder {
	forwarder := newEventForwarder(g.w, g.lastEvent, cancel)
	forwarder.headOnly = g.req.Method == http.MethodHead
	if g.attempts.MayRunElsewhere() {
		forwarder.idleTimeout = g.relay.settings.StreamIdleTimeout
	}
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
	timer := newEventTimer(p.idleTimeout, p.cancel)
	defer timer.stop()
	for {
		n, err := body.Read(buffer)
		before := p.events.Count()
		inSequence, outOfSequence := p.sequence.Add(p.events.Add(buffer[:n]))
		progress := p.events.Count() > before && len(inSequence) > 0
		if progress {
			timer.stop()
		}
		if err := p.write(inSequence); err != nil {
			return err
		}
		if outOfSequence != nil {
			return outOfSequence
		}
		if err := timer.received(p.events.PartialBytes(), progress); err != nil {
			return err
		}
		switch {
		case err == io.EOF && p.events.HasPartial():
			return errPartialEvent
		case err == io.EOF && p.sequence.IsBehind():
			return errEndsBehind
		case err == io.EOF && p.sequence.IsEmpty() && !p.headOnly:
			return errNoEvents
		case err == io.EOF:
			return nil
		case err != nil:
			return errors.Wrap(err, "relay: read from the engine")
		}
	}
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
