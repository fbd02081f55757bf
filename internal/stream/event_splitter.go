package stream

import "bytes"

// eventTerminator ends each server-sent event. idField is the prefix of the line with its id.
var (
	eventTerminator = []byte("\n\n")
	idField         = []byte("id:")
)

// EventSplitter splits the bytes of a stream of server-sent events into complete events, without parsing
// their data. A stream that breaks inside an event can continue after the last complete event at another
// engine.
type EventSplitter struct {
	partial []byte
	lastID  string
	count   int
}

// Add adds received bytes. It returns the complete events that were not returned before, or nil if there are
// none.
func (e *EventSplitter) Add(received []byte) []byte {
	// The part that was there before has no terminator, so it is not searched again: an event that arrives in very
	// small pieces would otherwise cost a scan of all of it for each piece.
	from := max(0, len(e.partial)-1)
	e.partial = append(e.partial, received...)
	end := bytes.LastIndex(e.partial[from:], eventTerminator)
	if end < 0 {
		return nil
	}
	end += from
	complete := bytes.Clone(e.partial[:end+len(eventTerminator)])
	e.partial = append(e.partial[:0], e.partial[len(complete):]...)
	e.count += bytes.Count(complete, eventTerminator)
	if id := lastID(complete); id != "" {
		e.lastID = id
	}
	return complete
}

// LastID returns the id of the last complete event that had one.
func (e *EventSplitter) LastID() string { return e.lastID }

// Count returns the number of complete events so far.
func (e *EventSplitter) Count() int { return e.count }

// HasPartial reports whether an incomplete event remains.
func (e *EventSplitter) HasPartial() bool { return len(bytes.TrimSpace(e.partial)) > 0 }

// PartialBytes returns the length of the incomplete event, which the caller bounds.
func (e *EventSplitter) PartialBytes() int { return len(e.partial) }

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
