// Package outcome tracks one request from its arrival to its complete answer, and determines at each moment
// whether the request ran, did not run, or may have run.
//
// Inputs are the events of the request. Outputs are its stage and its outcome. The package does no I/O.
package outcome

import "github.com/pkg/errors"

// Stage is the progress of a request.
type Stage int

// The stages, in the order in which a request passes through them. A request without an idempotency key is
// never Claimed.
const (
	Received Stage = iota
	Admitted
	Claimed
	Sent
	Answering
	Done
)

// Event is something that happens to a request.
type Event int

// The events of a request.
const (
	// Admit: the request was checked and may proceed.
	Admit Event = iota
	// Claim: its idempotency key was claimed for this run.
	Claim
	// Send: from now on bytes of the request may be sent.
	Send
	// Refuse: the upstream answered that it ran nothing, or no byte was sent.
	Refuse
	// Lose: the upstream sends no further response, so the outcome of the attempt is unknown.
	Lose
	// Answer: the first part of the answer arrived.
	Answer
	// Finish: the answer is complete.
	Finish
	// Continue: another upstream continues the lost run from a copy of its state. This is not a second run.
	Continue
)

// Outcome is what is known about whether a request ran.
type Outcome int

// The outcomes.
const (
	// NotRun: no part of the request ran.
	NotRun Outcome = iota
	// Unknown: it may have run.
	Unknown
	// Answered: it ran, and the answer is complete.
	Answered
)

// Errors of Apply. Compare with errors.Is.
var (
	// ErrOrder: the event cannot happen at this stage.
	ErrOrder = errors.New("outcome: event out of order")
	// ErrSecondRun: the request may have run and must not be sent again.
	ErrSecondRun = errors.New("outcome: may have run already")
)

// Request is the progress of one request. The zero value is a request that was received and must run at most
// once.
type Request struct {
	// Repeatable requests may be sent again after the outcome of an attempt was lost.
	Repeatable bool

	stage Stage
	// stageBeforeSend is the stage before the last Send.
	stageBeforeSend Stage
	// mayHaveRun is true after the outcome of an attempt was lost.
	mayHaveRun bool
}

// Stage returns the stage that the request has reached.
func (r Request) Stage() Stage { return r.stage }

// Outcome returns what is known now.
func (r Request) Outcome() Outcome {
	switch {
	case r.stage == Done:
		return Answered
	case r.mayHaveRun || r.stage >= Sent:
		return Unknown
	default:
		return NotRun
	}
}

// Apply returns the request after the event. On an error it returns the request unchanged.
func (r Request) Apply(event Event) (Request, error) {
	next := r
	switch {
	case event == Admit && r.stage == Received:
		next.stage = Admitted
	case event == Claim && r.stage == Admitted:
		next.stage = Claimed
	case event == Send && (r.stage == Admitted || r.stage == Claimed):
		if r.mayHaveRun && !r.Repeatable {
			return r, ErrSecondRun
		}
		next.stageBeforeSend, next.stage = r.stage, Sent
	case event == Continue && r.mayHaveRun && (r.stage == Admitted || r.stage == Claimed):
		next.stageBeforeSend, next.stage = r.stage, Sent
	case event == Refuse && r.stage == Sent:
		next.stage = r.stageBeforeSend
	case event == Lose && (r.stage == Sent || r.stage == Answering):
		next.stage, next.mayHaveRun = r.stageBeforeSend, true
	case event == Answer && r.stage == Sent:
		next.stage = Answering
	case event == Finish && r.stage == Answering:
		next.stage = Done
	default:
		return r, errors.WithMessagef(ErrOrder, "event %d at stage %d", event, r.stage)
	}
	return next, nil
}
