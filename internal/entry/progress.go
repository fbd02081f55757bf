package entry

import "sassafrasfield/internal/outcome"

// admitted is the progress of a request that passed all checks.
func admitted(repeatable bool) outcome.Request {
	progress, _ := outcome.Request{Repeatable: repeatable}.Apply(outcome.Admit) // always in order
	return progress
}

// after is the progress of a sent request whose attempt failed; refused means
// that the upstream ran nothing of it.
func after(sent outcome.Request, refused bool) outcome.Request {
	event := outcome.Lose
	if refused {
		event = outcome.Refuse
	}
	next, err := sent.Apply(event)
	if err != nil { // a refusal in the middle of an answer is no refusal
		next, _ = sent.Apply(outcome.Lose)
	}
	return next
}
