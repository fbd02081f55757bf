package stream

import (
	"fmt"
	"math"
	"strconv"
)

// The ids of an answer's events count them.
const (
	firstEventID = 1
	eventIDStep  = 1
)

// SequenceReason says why an event is out of sequence.
type SequenceReason string

// Reasons of a SequenceError.
const (
	// ReasonGap means that events between the last one and this one are missing.
	ReasonGap SequenceReason = "events are missing before it"
	// ReasonNoID means that an event has data but no id.
	ReasonNoID SequenceReason = "it has no id"
	// ReasonBadID means that the id is not a whole decimal number that an event can have.
	ReasonBadID SequenceReason = "its id is not the number of an event"
)

// SequenceError is the error of an event that cannot follow the ones before it.
type SequenceError struct {
	// Last is the id of the last event in sequence, as by Sequence.LastID.
	Last string
	// Got is the id of the event, at most maxReportedID bytes of it.
	Got    string
	Reason SequenceReason
}

// maxReportedID bounds the bytes of an id in a SequenceError.
const maxReportedID = 64

// Error implements error.
func (e *SequenceError) Error() string {
	return fmt.Sprintf("stream: event %q after event %q is out of sequence: %s", e.Got, e.Last, e.Reason)
}

// Sequence checks that the events of one answer, made by one or several runs, follow each other by their ids. Events
// that a run repeats are dropped, and nothing is delivered from the first event on that is out of sequence.
type Sequence struct {
	// initial is the id that the caller wants to go on after. It stands for last until numbered is set.
	initial  string
	last     int64
	numbered bool
	// newest is the highest id of an event that was added; 0 before the first one.
	newest int64
	// delivered is set once an event with an id was delivered.
	delivered bool
	repeated  int
	// afterCR is set if the bytes so far end with a "\r"; dropped, if their last block was dropped.
	afterCR, dropped bool
	err              error
}

// NewSequence returns the sequence of an answer that goes on after the event with id lastEvent; "" means from the
// start. If lastEvent is not a number, the first event with an id sets the sequence.
func NewSequence(lastEvent string) *Sequence {
	s := &Sequence{initial: lastEvent}
	if lastEvent == "" {
		s.last, s.numbered = firstEventID-eventIDStep, true
	} else {
		s.last, s.numbered = parseEventID([]byte(lastEvent))
	}
	return s
}

// Add adds complete events, as EventSplitter.Add returns them, and returns those to pass on, unchanged and in order.
// The result shares the memory of events unless a repeated event between others was dropped. The error is a
// *SequenceError if an event is out of sequence: the events before it are returned, and each further call returns
// no event and the same error.
func (s *Sequence) Add(events []byte) (deliver []byte, err error) {
	if s.err != nil || len(events) == 0 {
		return nil, s.err
	}
	pos := s.lineEndRest(events)
	start := 0 // of the block that the bytes to pass on, up to pos, begin with
	if s.dropped {
		start = pos
	}
	for pos < len(events) {
		block := parseBlock(events[pos:])
		if s.err = s.check(block); s.err != nil {
			break
		}
		if s.dropped {
			deliver = append(deliver, events[start:pos]...)
			start = pos + block.size
		}
		pos += block.size
	}
	s.afterCR = events[len(events)-1] == '\r'
	if deliver == nil {
		return events[start:pos], s.err
	}
	return append(deliver, events[start:pos]...), s.err
}

// LastID returns the id of the last event delivered. If there is none, it is the one to go on after.
func (s *Sequence) LastID() string {
	if !s.delivered {
		return s.initial
	}
	return strconv.FormatInt(s.last, 10)
}

// Repeated returns the number of events that were dropped.
func (s *Sequence) Repeated() int { return s.repeated }

// IsBehind reports whether events were added, but none as late as the last one of the answer. A run that ends so is
// not whole.
func (s *Sequence) IsBehind() bool { return s.newest > 0 && s.numbered && s.newest < s.last }

// IsEmpty reports whether the answer has no event yet: none was delivered, and the caller has none. Each answer has one, so
// a run that ends so is not whole.
func (s *Sequence) IsEmpty() bool { return s.numbered && s.last < firstEventID }

// lineEndRest returns the length of the "\n" at the start of events that ends the line of an earlier "\r". It is passed on
// only if that line's block was.
func (s *Sequence) lineEndRest(events []byte) int {
	if s.afterCR && events[0] == '\n' {
		return 1
	}
	return 0
}

// check decides whether a block is in sequence, and sets dropped if it is a repeated event.
func (s *Sequence) check(b block) error {
	s.dropped = false
	switch {
	case !b.hasID && b.hasData:
		return s.newError(nil, ReasonNoID)
	case !b.hasID:
		return nil
	}
	id, ok := parseEventID(b.id)
	if !ok || id < firstEventID {
		return s.newError(b.id, ReasonBadID)
	}
	s.newest = max(s.newest, id)
	switch {
	case s.numbered && id <= s.last:
		s.dropped = true
		s.repeated++
		return nil
	case s.numbered && id-s.last != eventIDStep:
		return s.newError(b.id, ReasonGap)
	}
	s.last, s.numbered, s.delivered = id, true, true
	return nil
}

func (s *Sequence) newError(got []byte, reason SequenceReason) error {
	return &SequenceError{Last: s.LastID(), Got: string(got[:min(len(got), maxReportedID)]), Reason: reason}
}

// block is what a blank line ends: an event, comments, or nothing.
type block struct {
	size           int // in bytes, with the blank line
	id             []byte
	hasID, hasData bool
}

// parseBlock parses the first block.
func parseBlock(events []byte) (b block) {
	for rest := events; len(rest) > 0; {
		var line []byte
		line, rest = cutLine(rest)
		b.size = len(events) - len(rest)
		if len(line) == 0 {
			return b
		}
		switch name, value := cutField(line); string(name) {
		case idField:
			b.id, b.hasID = value, true
		case dataField:
			b.hasData = true
		}
	}
	return b
}

// parseEventID parses a whole decimal number without a sign. The id is not converted to a string, which would allocate
// for each event.
func parseEventID(id []byte) (number int64, ok bool) {
	for _, c := range id {
		digit := int64(c) - '0'
		if digit < 0 || digit > 9 || number > (math.MaxInt64-digit)/10 {
			return 0, false
		}
		number = number*10 + digit
	}
	return number, len(id) > 0
}
