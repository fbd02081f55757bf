package stream

import (
	"fmt"
	"math"
	"strconv"
)

// SequenceReason says why an event is out of sequence.
type SequenceReason string

// Reasons of a SequenceError.
const (
	// ReasonGap means that events between the last one of an earlier run and this one are, or may be, missing.
	ReasonGap SequenceReason = "events are missing before it"
	// ReasonOrder means that the id is lower than that of an event before it in the same run, and not that of one of them.
	ReasonOrder SequenceReason = "ids do not increase"
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

// maxHeldBytes bounds the bytes of an event that is held back, with what follows it.
const maxHeldBytes = 64 << 10

// Sequence checks that the events of one run follow each other and the events of the runs before it by their ids, which increase.
// Events that the run repeats are dropped, and nothing is delivered from the first event on that is out of sequence.
//
// Nothing is missing between two events of one run. Between the last event of an earlier run and the first new one of this run, nothing is
// missing if this run repeats the former one, or if their ids differ as those of successive events do. If no such step is known, the new
// event is held back until the next one shows it. Within a run, an event is held back if its step was not seen before, until the next one
// shows that the ids increase.
type Sequence struct {
	// initial is the id that the caller wants to go on after. It stands for last until numbered is set.
	initial  string
	last     int64
	numbered bool
	// first and newest are the lowest and the highest id that the run has shown; noEvent before the first one.
	first, newest int64
	// before and own are the steps of earlier runs and of this one.
	before, own Steps
	// joined is set once an event may follow last whatever its id.
	joined bool
	// held has the event that is held back, with heldID, and what followed it; nil for none. heldStep is the step to it from the event
	// of the run before it, which is not known to be one until the event is delivered; 0 for none.
	held             []byte
	heldID, heldStep int64
	// delivered is the number of events with an id that were delivered.
	delivered int
	repeated  int
	// afterCR is set if the bytes so far end with a "\r". fate is what was decided on their last block.
	afterCR bool
	fate    fate
	err     error
}

// noEvent is lower than the id of any event.
const noEvent = -1

// fate is what is decided on a block.
type fate int

const (
	// deliver: it is passed on, and so is what is held back.
	deliver fate = iota
	// drop: the caller has it.
	drop
	// hold: it is held back.
	hold
)

// NewSequence returns the sequence of a run that goes on after the event with id lastEvent; "" means from the start. If lastEvent is not
// a number, the first event with an id sets the sequence. The steps are those of earlier runs of the answer.
func NewSequence(lastEvent string, steps Steps) *Sequence {
	s := &Sequence{initial: lastEvent, before: steps, first: noEvent, newest: noEvent}
	if lastEvent == "" {
		s.last, s.numbered = noEvent, true
	} else {
		s.last, s.numbered = parseEventID([]byte(lastEvent))
	}
	s.joined = lastEvent == "" || !s.numbered
	return s
}

// Add adds complete events, as EventSplitter.Add returns them, and returns those to pass on, unchanged and in order.
// The result shares the memory of events unless events between others were dropped or held back. The error is a
// *SequenceError if an event is out of sequence: the events before it are returned, and each further call returns
// no event and the same error.
func (s *Sequence) Add(events []byte) ([]byte, error) {
	if s.err != nil || len(events) == 0 {
		return nil, s.err
	}
	out := selection{from: events}
	pos := s.lineEndRest(events)
	s.place(&out, 0, pos)
	for pos < len(events) {
		block := parseBlock(events[pos:])
		if s.err = s.check(block); s.err != nil {
			break
		}
		s.place(&out, pos, pos+block.size)
		pos += block.size
	}
	s.afterCR = events[len(events)-1] == '\r'
	return out.bytes(), s.err
}

// place does with a part of the events what was decided on its block.
func (s *Sequence) place(out *selection, start, end int) {
	switch s.fate {
	case hold:
		s.held = append(s.held, out.from[start:end]...)
	case deliver:
		if s.isHeld() {
			out.insert(s.held)
			s.held = nil
		}
		out.add(start, end)
	}
}

// LastID returns the id of the last event delivered. If there is none, it is the one to go on after.
func (s *Sequence) LastID() string {
	if s.delivered == 0 {
		return s.initial
	}
	return formatID(s.last)
}

// Delivered returns the number of events with an id that were delivered.
func (s *Sequence) Delivered() int { return s.delivered }

// Repeated returns the number of events that were dropped.
func (s *Sequence) Repeated() int { return s.repeated }

// Steps returns the steps between the ids of this run and of those before.
func (s *Sequence) Steps() Steps { return s.before.merge(s.own) }

// IsBehind reports whether events were added, but none as late as the last one of the answer. A run that ends so is
// not whole.
func (s *Sequence) IsBehind() bool { return s.newest != noEvent && s.numbered && s.newest < s.last }

// IsEmpty reports whether the answer has no event yet: none was delivered, and the caller has none. Each answer has one, so
// a run that ends so is not whole.
func (s *Sequence) IsEmpty() bool { return s.numbered && s.delivered == 0 && s.last <= 0 }

// IsUnproven reports whether an event is held back and nothing shows that none is missing before it. A run that ends so is not passed on
// to its end.
func (s *Sequence) IsUnproven() bool { return s.isHeld() && !s.joined }

// Rest returns the event that is held back at the regular end of a run, with what followed it; nil for none.
func (s *Sequence) Rest() []byte {
	if !s.isHeld() || !s.joined {
		return nil
	}
	rest := s.held
	s.held = nil
	s.acceptHeld()
	return rest
}

// Accepted returns the number of events with an id that were delivered or are held back.
func (s *Sequence) Accepted() int {
	if s.isHeld() {
		return s.delivered + 1
	}
	return s.delivered
}

func (s *Sequence) isHeld() bool { return s.held != nil }

// lineEndRest returns the length of the "\n" at the start of events that ends the line of an earlier "\r". It shares the fate of that
// line's block.
func (s *Sequence) lineEndRest(events []byte) int {
	if s.afterCR && events[0] == '\n' {
		return 1
	}
	return 0
}

// check decides on a block.
func (s *Sequence) check(b block) error {
	switch {
	case !b.hasID && b.hasData:
		return s.newError("", ReasonNoID)
	case !b.hasID && s.isHeld():
		return s.hold(b)
	case !b.hasID:
		s.fate = deliver
		return nil
	}
	id, ok := parseEventID(b.id)
	switch {
	case !ok:
		return s.newError(string(b.id[:min(len(b.id), maxReportedID)]), ReasonBadID)
	case id < s.newest && !s.hasShown(id):
		return s.newError(formatID(id), ReasonOrder)
	case id <= s.newest:
		s.dropRepeated()
		return nil
	}
	step := s.show(id)
	switch {
	case s.isHeld():
		s.own.add(step)
		return s.release(id)
	case s.joined && !s.isUsual(step):
		s.heldID, s.heldStep = id, step
		return s.hold(b)
	}
	s.own.add(step)
	switch {
	case s.numbered && id <= s.last:
		s.joined = s.joined || id == s.last
		s.dropRepeated()
		return nil
	case s.joined:
		s.accept(id)
		return nil
	default:
		return s.join(b, id)
	}
}

func (s *Sequence) dropRepeated() {
	s.fate = drop
	s.repeated++
}

// show records an id that is higher than those of the run before, and returns the step to it; 0 for the first one.
func (s *Sequence) show(id int64) (step int64) {
	if s.newest == noEvent {
		s.first = id
	} else {
		step = id - s.newest
	}
	s.newest = id
	return step
}

// isUsual reports whether a step within a run is one that was seen before. A first step that is equal to the first id is, as with 10, 20.
func (s *Sequence) isUsual(step int64) bool {
	steps := s.Steps()
	return step == 0 || steps.allow(step) || !steps.known() && s.initial == "" && step == s.first
}

// hasShown reports whether the run is known to have shown an id up to the last one, as all of its ids differ by the same step.
func (s *Sequence) hasShown(id int64) bool {
	step, ok := s.own.only()
	return ok && id >= s.first && id <= s.last && (id-s.first)%step == 0
}

// accept has an event delivered.
func (s *Sequence) accept(id int64) {
	s.last, s.numbered, s.joined, s.fate = id, true, true, deliver
	s.delivered++
}

func (s *Sequence) acceptHeld() {
	s.own.add(s.heldStep)
	s.accept(s.heldID)
}

// hold has a block held back. What is held back for too long is decided on with what is known.
func (s *Sequence) hold(b block) error {
	s.fate = hold
	switch {
	case len(s.held)+b.size <= maxHeldBytes:
		return nil
	case s.joined:
		s.acceptHeld()
		return nil
	default:
		return s.newError(formatID(s.heldID), ReasonGap)
	}
}

// join decides on the first event of the run that the caller does not have, after one of an earlier run.
func (s *Sequence) join(b block, id int64) error {
	steps := s.Steps()
	switch {
	case s.first <= s.last: // the run numbers its events otherwise, as it does not have the last one
		return s.newError(formatID(id), ReasonGap)
	case steps.allow(id - s.last):
		s.accept(id)
		return nil
	case steps.known():
		return s.newError(formatID(id), ReasonGap)
	default:
		s.heldID, s.heldStep = id, 0
		return s.hold(b)
	}
}

// release decides on the event that is held back, and on the next one.
func (s *Sequence) release(next int64) error {
	if !s.joined && !s.Steps().allow(s.heldID-s.last) {
		return s.newError(formatID(s.heldID), ReasonGap)
	}
	s.acceptHeld()
	s.accept(next)
	return nil
}

func formatID(id int64) string { return strconv.FormatInt(id, 10) }

func (s *Sequence) newError(got string, reason SequenceReason) error {
	return &SequenceError{Last: s.LastID(), Got: got, Reason: reason}
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
