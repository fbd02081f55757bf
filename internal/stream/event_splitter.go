package stream

import (
	"bytes"
	"slices"
)

// EventSplitter splits the bytes of a stream of server-sent events into complete events, without parsing
// their data. A stream that breaks inside an event can continue after the last complete event at another
// engine. A line ends with "\n", "\r\n" or "\r", and an event with a blank line.
type EventSplitter struct {
	partial []byte
	lastID  string
	count   int
	// inLine and inEvent are set if the current line and the current event have a byte.
	inLine, inEvent bool
	// afterCR is set if the last byte was a "\r", which ended a line. A "\n" that follows belongs to this line end.
	afterCR bool
}

// Add adds received bytes. It returns the complete events that were not returned before, or nil if there are
// none. Blank lines between events are returned too, and so is the "\n" of a "\r\n" whose "\r" completed an event.
func (e *EventSplitter) Add(received []byte) []byte {
	end := e.scan(received)
	if end == 0 {
		e.partial = append(e.partial, received...)
		return nil
	}
	complete := slices.Concat(e.partial, received[:end])
	e.partial = append(e.partial[:0], received[end:]...)
	if id := lastID(complete); id != "" {
		e.lastID = id
	}
	return complete
}

// scan reads each received byte once. It returns the length of the part up to the last end of an event, or 0.
func (e *EventSplitter) scan(received []byte) (end int) {
	for pos := 0; pos < len(received); pos++ {
		length := lineEnd(received[pos:])
		if length != 0 {
			e.inLine, e.inEvent, e.afterCR = true, true, false
		}
		if length < 0 {
			return end
		}
		pos += length
		if sameLineEnd := received[pos] == '\n' && e.afterCR; !sameLineEnd {
			e.endLine()
		}
		e.afterCR = received[pos] == '\r'
		if !e.inEvent {
			end = pos + 1
		}
	}
	return end
}

// endLine ends the current line, and with a blank line the current event.
func (e *EventSplitter) endLine() {
	if !e.inLine && e.inEvent {
		e.inEvent = false
		e.count++
	}
	e.inLine = false
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
	var id []byte
	for line, rest := cutLine(events); len(line)+len(rest) > 0; line, rest = cutLine(rest) {
		if name, value := cutField(line); string(name) == idField && len(bytes.TrimSpace(value)) > 0 {
			id = bytes.TrimSpace(value)
		}
	}
	return string(id)
}
