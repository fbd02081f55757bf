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

// eventForwarder forwards the events of one engine's stream to a caller, each one complete.
type eventForwarder struct {
	w     http.ResponseWriter
	flush func() error
	// idleTimeout is how long the stream may pass without a complete event before it is stopped by cancel; 0 means no
	// bound, except that an event that has begun must be completed in time.
	idleTimeout time.Duration
	cancel      context.CancelFunc
	events      stream.EventSplitter
	// lastEvent is the id of the last event that was written to the caller.
	lastEvent string
	order     eventOrder
	// onEvents is called after events were written; nil for none.
	onEvents func()
}

// readBufferBytes is how much is read from an engine at once. An event has some hundred bytes.
const readBufferBytes = 4 << 10

// forward returns nil at the regular end of the stream.
func (p *eventForwarder) forward(body io.Reader) error {
	buffer := make([]byte, readBufferBytes)
	timer := newEventTimer(p.idleTimeout, p.cancel)
	defer timer.stop()
	for {
		n, err := body.Read(buffer)
		complete := p.events.Add(buffer[:n])
		if len(complete) > 0 {
			timer.stop()
		}
		if err := p.write(complete); err != nil {
			return err
		}
		if err := timer.received(p.events.PartialBytes(), len(complete) > 0); err != nil {
			return err
		}
		switch {
		case err == io.EOF && p.events.HasPartial():
			return errPartialEvent
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
	p.order.add(events)
	if _, err := p.w.Write(events); err != nil {
		return ErrCallerDisconnected
	}
	if err := p.flush(); err != nil {
		return ErrCallerDisconnected
	}
	if id := p.events.LastID(); id != "" {
		p.lastEvent = id
	}
	if p.onEvents != nil {
		p.onEvents()
	}
	return nil
}
