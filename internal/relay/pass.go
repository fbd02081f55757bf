package relay

import (
	"context"
	"io"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"sassafrasfield/internal/stream"
)

// errCutEvent: the stream ended inside an event.
var errCutEvent = errors.New("relay: the stream ended inside an event")

// passing gives the events of one engine's stream to a caller, each whole.
type passing struct {
	w     http.ResponseWriter
	flush func() error
	// silence stops the stream when nothing comes for so long; 0 does not.
	silence time.Duration
	stop    context.CancelFunc
	events  stream.Events
	// lastEvent is the id of the last event that was given to the caller.
	lastEvent string
}

// readBytes is how much is read from an engine at once; an event has some
// hundred bytes.
const readBytes = 4 << 10

// pass returns nil at the stream's proper end.
func (p *passing) pass(body io.Reader) error {
	buffer := make([]byte, readBytes)
	timer := p.watch()
	defer timer.Stop()
	for {
		n, err := body.Read(buffer)
		if p.silence > 0 {
			timer.Reset(p.silence)
		}
		if err := p.write(p.events.Add(buffer[:n])); err != nil {
			return err
		}
		switch {
		case err == io.EOF && p.events.Cut():
			return errCutEvent
		case err == io.EOF:
			return nil
		case err != nil:
			return errors.Wrap(err, "relay: read from the engine")
		}
	}
}

// watch stops a stream that stays silent, if that is wanted.
func (p *passing) watch() *time.Timer {
	if p.silence > 0 {
		return time.AfterFunc(p.silence, p.stop)
	}
	never := time.NewTimer(time.Hour)
	never.Stop()
	return never
}

// write gives whole events to the caller at once.
func (p *passing) write(events []byte) error {
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
	return nil
}
