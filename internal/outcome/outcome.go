// Package outcome follows one request from its arrival to its whole answer,
// and has the one truthful word on it at each moment. It is pure.
package outcome

import "github.com/pkg/errors"

// Stage of a request.
type Stage int

// Stages, in the order in which a request goes through them. A keyless
// request is never Claimed.
const (
	Received Stage = iota
	Admitted
	Claimed
	Sent
	Answering
	Done
)

// Event is what happened to a request.
type Event int

// Events of a request.
const (
	// Admit: the request was checked and may go on.
	Admit Event = iota
	// Claim: its idempotency key is this run's.
	Claim
	// Send: from here on bytes of it may leave.
	Send
	// Refuse: the upstream said that it ran nothing, or no byte left.
	Refuse
	// Lose: the upstream gives no word any more.
	Lose
	// Answer: the answer's first part came.
	Answer
	// Finish: the answer is whole.
	Finish
	// Continue: another upstream goes on with the run that was lost, from a copy
	// of its state; that is no second run.
	Continue
)

// Outcome is what may be told of a request.
type Outcome int

// Words, from what is known.
const (
	// NotRun: nothing of the request ran.
	NotRun Outcome = iota
	// Unknown: it may have run.
	Unknown
	// Answered: it ran, and the answer is whole.
	Answered
)

// Errors of Apply. Compare with errors.Is.
var (
	// ErrOrder: the event cannot happen at this stage.
	ErrOrder = errors.New("outcome: event out of order")
	// ErrSecondRun: the request may have run and must not be sent again.
	ErrSecondRun = errors.New("outcome: may have run already")
)

// Request is one request's progress. The zero value was received and must run
// at most once.
type Request struct {
	// Repeatable requests may be sent again after their outcome was lost.
	Repeatable bool

	stage Stage
	// before is the stage that the last Send left.
	before Stage
	// doubtful is true once an attempt's outcome was lost.
	doubtful bool
}

// Stage returns the stage reached.
func (r Request) Stage() Stage { return r.stage }

// Outcome returns what may be told now.
func (r Request) Outcome() Outcome {
	switch {
	case r.stage == Done:
		return Answered
	case r.doubtful || r.stage >= Sent:
		return Unknown
	default:
		return NotRun
	}
}

// Apply returns the request after the event. On an error the request is as
// before.
func (r Request) Apply(event Event) (Request, error) {
	next := r
	switch {
	case event == Admit && r.stage == Received:
		next.stage = Admitted
	case event == Claim && r.stage == Admitted:
		next.stage = Claimed
	case event == Send && (r.stage == Admitted || r.stage == Claimed):
		if r.doubtful && !r.Repeatable {
			return r, ErrSecondRun
		}
		next.before, next.stage = r.stage, Sent
	case event == Continue && r.doubtful && (r.stage == Admitted || r.stage == Claimed):
		next.before, next.stage = r.stage, Sent
	case event == Refuse && r.stage == Sent:
		next.stage = r.before
	case event == Lose && (r.stage == Sent || r.stage == Answering):
		next.stage, next.doubtful = r.before, true
	case event == Answer && r.stage == Sent:
		next.stage = Answering
	case event == Finish && r.stage == Answering:
		next.stage = Done
	default:
		return r, errors.WithMessagef(ErrOrder, "event %d at stage %d", event, r.stage)
	}
	return next, nil
}
