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
	// idleTimeout is how long the stream may be silent before it is stopped; 0 means no bound.
	idleTimeout time.Duration
	cancel      context.CancelFunc
	events      stream.EventSplitter
	// lastEvent is the id of the last event that was written to the caller.
	lastEvent string
	// onEvents is called after events were written; nil for none.
	onEvents func()
}

// readBufferBytes is how much is read from an engine at once. An event has some hundred bytes.
const readBufferBytes = 4 << 10

// forward returns nil at the regular end of the stream.
func (p *eventForwarder) forward(body io.Reader) error {
	buffer := make([]byte, readBufferBytes)
	timer := p.startIdleTimer()
	defer timer.Stop()
	for {
		n, err := body.Read(buffer)
		if p.idleTimeout > 0 {
			timer.Reset(p.idleTimeout)
		}
		if err := p.write(p.events.Add(buffer[:n])); err != nil {
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

// startIdleTimer starts the timer that stops a silent stream, if there is an idle timeout.
func (p *eventForwarder) startIdleTimer() *time.Timer {
	if p.idleTimeout > 0 {
		return time.AfterFunc(p.idleTimeout, p.cancel)
	}
	never := time.NewTimer(time.Hour)
	never.Stop()
	return never
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
	if id := p.events.LastID(); id != "" {
		p.lastEvent = id
	}
	if p.onEvents != nil {
		p.onEvents()
	}
	return nil
}
