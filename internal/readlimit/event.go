package readlimit

import "time"

// EventLimits bound one event of a stream.
type EventLimits struct {
	MaxBytes int
	// MaxTime bounds the time from the event's first byte to its end.
	MaxTime time.Duration
}

// StreamEvent returns the bounds for the events of engines.
func StreamEvent() EventLimits {
	return EventLimits{
		// A legitimate event has some hundred bytes, and 64 KB at most. The rest is margin.
		MaxBytes: 128 << 10,
		// An event is sent at once. Callers give up after two seconds without an event.
		MaxTime: 1200 * time.Millisecond,
	}
}

// Event is the incomplete event at the end of what was received of a stream.
type Event struct {
	limits   EventLimits
	begun    bool
	bytes    int
	began    time.Duration
	deadline deadline
}

// NewEvent returns the event of a stream of which nothing was received.
func NewEvent(limits EventLimits) Event { return Event{limits: limits} }

// Received records the length of the incomplete event, and whether events before it have just been completed. The
// error is an *Exceeded.
func (e *Event) Received(partial int, completed bool, now time.Duration) error {
	const strayNewline = 1 // between two events
	begun := partial > strayNewline
	if begun && (completed || !e.begun) {
		e.began, e.deadline = now, deadline{at: now + e.limits.MaxTime}
	}
	e.begun, e.bytes = begun, partial
	if partial > e.limits.MaxBytes {
		return &Exceeded{Part: PartEvent, Received: int64(partial), After: now - e.began}
	}
	return nil
}

// Begun reports whether an event is incomplete.
func (e *Event) Begun() bool { return e.begun }

// Expired returns the error, an *Exceeded, at a time at which the event's time was found to be over. It is nil if no
// event is incomplete, or if there is a new deadline.
func (e *Event) Expired(now time.Duration) error {
	if !e.begun || !e.deadline.expired(now) {
		return nil
	}
	return &Exceeded{Part: PartEvent, Received: int64(e.bytes), After: now - e.began, InTime: true}
}

// Deadline returns the time until which the incomplete event must be complete.
func (e *Event) Deadline() time.Duration { return e.deadline.at }
