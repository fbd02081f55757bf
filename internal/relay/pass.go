package relay

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"time"

	"github.com/pkg/errors"
)

// eventEnd ends each server-sent event.
var eventEnd = []byte("\n\n")

// errCutEvent: the stream ended inside an event.
var errCutEvent = errors.New("relay: the stream ended inside an event")

// passing gives the events of one engine's stream to a caller, each whole: a
// stream that breaks inside an event can go on at another engine.
type passing struct {
	w     http.ResponseWriter
	flush func() error
	// silence stops the stream when nothing comes for so long; 0 does not.
	silence time.Duration
	stop    context.CancelFunc
	// lastEvent is the id of the last event that was given to the caller.
	lastEvent string
}

// readBytes is how much is read from an engine at once; an event has some
// hundred bytes.
const readBytes = 4 << 10

// pass returns nil at the stream's proper end.
func (p *passing) pass(body io.Reader) error {
	var pending []byte
	buffer := make([]byte, readBytes)
	timer := p.watch()
	defer timer.Stop()
	for {
		n, err := body.Read(buffer)
		if p.silence > 0 {
			timer.Reset(p.silence)
		}
		pending = append(pending, buffer[:n]...)
		if end := bytes.LastIndex(pending, eventEnd); end >= 0 {
			whole := pending[:end+len(eventEnd)]
			if err := p.write(whole); err != nil {
				return err
			}
			pending = append(pending[:0], pending[len(whole):]...)
		}
		if err == io.EOF && len(bytes.TrimSpace(pending)) > 0 {
			return errCutEvent
		}
		if err == io.EOF {
			return nil
		}
		if err != nil {
			return errors.Wrap(err, "relay: read from the engine")
		}
	}
}

// watch stops a stream that stays silent, if that is wanted.
func (p *passing) watch() *time.Timer {
	timer := time.AfterFunc(max(p.silence, time.Second), func() {
		if p.silence > 0 {
			p.stop()
		}
	})
	return timer
}

func (p *passing) write(events []byte) error {
	if _, err := p.w.Write(events); err != nil {
		return ErrCallerGone
	}
	if err := p.flush(); err != nil {
		return ErrCallerGone
	}
	if id := lastID(events); id != "" {
		p.lastEvent = id
	}
	return nil
}

// idField begins the line with an event's id.
var idField = []byte("id:")

// lastID returns the id of the last event that has one.
func lastID(events []byte) string {
	lines := bytes.Split(events, []byte("\n"))
	for i := len(lines) - 1; i >= 0; i-- {
		if value, ok := bytes.CutPrefix(lines[i], idField); ok {
			return string(bytes.TrimSpace(value))
		}
	}
	return ""
}
