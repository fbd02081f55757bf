package relay

import "time"

// runState is what is known of a run whose stream is silent.
type runState string

// The states of a run.
const (
	// runUnknown: the engine's process answers, and does not say whether it works on the run.
	runUnknown runState = "unknown"
	// runGoesOn: the engine works on the run, or has it wait, as after a preemption.
	runGoesOn runState = "goes_on"
	// runAhead: the engine has made events that did not arrive.
	runAhead runState = "ahead"
	// runEnded: the engine has no such run any more.
	runEnded runState = "ended"
	// runUnreported: the engine's process answers, but does not report now.
	runUnreported runState = "unreported"
	// runUnreached: the engine's process does not answer.
	runUnreached runState = "unreached"
)

// lostAfterAhead is the number of checks in a row that find a run ahead of its stream, after which its connection counts as
// lost. One of them may have come before an event that is under way.
const lostAfterAhead = 2

// maxStrayReads is the number of reads in which an event may arrive that comes late.
const maxStrayReads = 3

// streamSilence is a time without progress of a stream.
type streamSilence struct {
	lasted time.Duration
	// suspectAfter is how long a stream may be silent without a reason to look for one.
	suspectAfter time.Duration
	run          runState
	// ahead is the number of checks in a row that found the run ahead.
	ahead int
	// strayReads is the number of reads, after suspectAfter, that brought bytes and no event that the caller lacks.
	strayReads int
}

// isLost reports whether the stream brings nothing more. Silence alone is no sign of it: a run may be preempted, or slow,
// for as long as its caller waits.
func (s streamSilence) isLost() bool {
	if s.lasted < s.suspectAfter {
		return false
	}
	switch s.run {
	case runEnded, runUnreached:
		return true
	case runAhead:
		return s.ahead >= lostAfterAhead
	default:
		return s.strayReads >= maxStrayReads
	}
}

// EngineRuns is what an engine's process says about its runs.
type EngineRuns struct {
	// Ended is set if the process of the engine that was asked has ended: another one answers, or none listens.
	Ended bool
	// Unreported is set if the process answers, but gives no report now, as when it is at capacity.
	Unreported bool
	// Listed is set if the engine lists its runs. Events has the number of events that each has made, by request.
	Listed bool
	Events map[string]int
	// Waiting is the number of requests that wait for a place, preempted ones included.
	Waiting int
}

// stateOf returns the state of a run of which a number of events arrived.
func (e EngineRuns) stateOf(request string, arrived int) runState {
	made, listed := e.Events[request]
	switch {
	case e.Ended:
		return runEnded
	case !e.Listed:
		return runUnknown
	case listed && made > arrived:
		return runAhead
	case listed || e.Waiting > 0:
		return runGoesOn
	default:
		return runEnded
	}
}
