// Package relocation decides what happens to a prompt that an engine has not processed in the predicted time: it
// stays, moves to another engine, or is refused because no engine can serve it in time. The inputs are times of one
// prompt and what is known of the other engines; the output is the decision and when to decide again. The package has
// no clock and does no I/O. Its caller is package relay, which sends prompts and pays for repeated sends.
package relocation

import "time"

// Action is what happens to a prompt.
type Action int

const (
	// Wait leaves the prompt where it is.
	Wait Action = iota
	// Move ends the work on the prompt and sends it to another engine.
	Move
	// Refuse ends the work on the prompt and tells the caller that nothing ran.
	Refuse
)

// String returns the name of the action in logs.
func (a Action) String() string {
	return [...]string{"wait", "move", "refuse"}[a]
}

// Input describes a prompt that an engine is processing, or is about to. All times are of the prompt's processing: what
// follows until the caller receives the first event is subtracted from Objective and Deadline.
type Input struct {
	// Since is the time since the prompt was sent, Predicted the time for which it was predicted to wait and be processed.
	Since, Predicted time.Duration
	// Objective and Deadline are the times left; not positive if missed, or if there is no objective.
	Objective, Deadline time.Duration
	// Other is the predicted time at the best other engine. It is ignored unless HasOther is set.
	Other    time.Duration
	HasOther bool
	// Delays are those of other engines, in ascending order; see Delays.Elsewhere.
	Delays []time.Duration
	// Movable is set if the rules of the request allow another send, Affordable if the retry budget does.
	Movable, Affordable bool
}

// Decision is what to do with a prompt.
type Decision struct {
	Action Action
	// CheckIn is when to decide again, for Wait.
	CheckIn time.Duration
	// Stays and Moved are how likely the prompt is processed in time where it is, and at the other engine: before the
	// objective or, if a move cannot meet that, before the deadline.
	Stays, Moved float64
	// MinGain is by how much Moved has to exceed Stays for a move.
	MinGain float64
}

const (
	// errorFixed and errorShare bound the error of a prediction for an engine that works as usual. On the recorded quiet
	// day, nine in ten prompts that met no other took up to 40 ms longer than predicted. The share covers the errors of
	// the learned times, and the part of a prompt that was assumed to be cached.
	errorFixed = 50 * time.Millisecond
	errorShare = 0.25
	// checkInterval is the time between two decisions on an overdue prompt. It is a tenth of the shortest objectives of
	// two customers (300 and 400 ms), less the hand-over.
	checkInterval = 25 * time.Millisecond
	// minGain is how much more likely a prompt has to meet its objective at another engine. A move costs the work of one
	// prompt, which delays others there, and a retry that a failed request may need. docs/design/relocation.md compares
	// values.
	minGain = 0.35
	// minGainLate is the same for a prompt that can only meet its deadline. A late response is worth a tenth to a half of
	// one in time, and the prompts that are delayed by a move may miss their objective. With 0.5 and two in five engines
	// slow, 3 of 100 prompts in time were lost; with 0.8 none, and as few prompts missed the deadline.
	minGainLate = 0.8
	// hopelessBelow is the likelihood of being processed before the deadline below which a prompt is refused. The
	// engine's work on nine in ten of them would be lost, while other prompts wait.
	hopelessBelow = 0.1
)

// withError returns the time in which a prompt with the given predicted time is processed unless the engine is slow or
// has more work than known.
func withError(predicted time.Duration) time.Duration {
	return predicted + errorFixed + time.Duration(errorShare*float64(predicted))
}

// FirstCheck returns when to decide for the first time on a prompt with the given predicted time and the time left by
// the deadline.
func FirstCheck(predicted, deadline time.Duration) time.Duration {
	return max(checkInterval, min(withError(predicted), deadline/2))
}

// Decide decides on a prompt.
//
// A move costs a send from the retry budget, and the engine's work on the prompt is lost. A prompt therefore moves only
// if it is overdue beyond the error of predictions, and is clearly more likely to be in time at the other engine. In
// time is before the objective while a move can meet that, and otherwise before the deadline: a late response is worth
// the same at any time. A prompt is refused if neither this nor another engine can be expected to process it before the
// deadline.
func Decide(in Input) Decision {
	d := Decision{CheckIn: checkInterval}
	overdue := in.Since > withError(in.Predicted)
	d.Stays, d.Moved, d.MinGain = in.likelihoods()
	switch {
	case in.hopeless():
		d.Action = Refuse
	case !overdue:
		d.CheckIn = max(checkInterval, min(withError(in.Predicted)-in.Since, in.Deadline/2))
	case d.Moved-d.Stays >= d.MinGain && in.Movable && in.Affordable:
		d.Action = Move
	}
	return d
}

// likelihoods returns how likely the prompt is in time where it is, and at the other engine, and the gain that pays for
// a move.
func (in Input) likelihoods() (stays, moved, gain float64) {
	if !in.HasOther {
		return in.staysWithin(in.Deadline), 0, minGain
	}
	bound, gain := in.Deadline, minGainLate
	if in.Objective >= withError(in.Other) {
		bound, gain = in.Objective, minGain
	}
	return in.staysWithin(bound), within(in.Delays, 0, bound-in.Other), gain
}

// staysWithin returns how likely the prompt is processed within a time where it is.
func (in Input) staysWithin(bound time.Duration) float64 {
	overdue := in.Since - in.Predicted
	return within(in.Delays, overdue, bound+min(0, overdue))
}

// hopeless reports whether neither engine can be expected to process the prompt before the deadline.
func (in Input) hopeless() bool {
	if in.HasOther && in.Other <= in.Deadline {
		return false
	}
	if in.Since > in.Predicted {
		return in.staysWithin(in.Deadline) < hopelessBelow
	}
	return in.Predicted-in.Since > in.Deadline
}

// RetryIn returns after how long a refused prompt would be processed within the objective: when the engine that is
// ready soonest, now predicted to need the time other, has so much less work.
func RetryIn(other, objective time.Duration) time.Duration { return max(0, other-objective) }
