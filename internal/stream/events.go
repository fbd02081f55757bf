package stream

import "bytes"

// eventEnd ends each server-sent event; idField begins the line with its id.
var (
	eventEnd = []byte("\n\n")
	idField  = []byte("id:")
)

// EventSplitter cuts the bytes of a stream of server-sent events, whose content nobody
// looks at, into whole events. A stream that breaks inside an event can go on
// after the last whole one at another engine.
type EventSplitter struct {
	pending []byte
	lastID  string
	count   int
}

// Add takes bytes as they came and returns the whole events among what is not
// returned yet; nil when none is whole.
func (e *EventSplitter) Add(came []byte) []byte {
	e.pending = append(e.pending, came...)
	end := bytes.LastIndex(e.pending, eventEnd)
	if end < 0 {
		return nil
	}
	whole := bytes.Clone(e.pending[:end+len(eventEnd)])
	e.pending = append(e.pending[:0], e.pending[len(whole):]...)
	e.count += bytes.Count(whole, eventEnd)
	if id := lastID(whole); id != "" {
		e.lastID = id
	}
	return whole
}

// LastID is the id of the last whole event that had one.
func (e *EventSplitter) LastID() string { return e.lastID }

// Count is the number of whole events so far.
func (e *EventSplitter) Count() int { return e.count }

// HasPartial tells whether a part of an event is left over.
func (e *EventSplitter) HasPartial() bool { return len(bytes.TrimSpace(e.pending)) > 0 }

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
