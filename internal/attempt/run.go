package attempt

import (
	"context"
	"time"
)

// Status is how one attempt ended.
type Status int

const (
	// Done: the request has its end. The caller has an answer, whole or broken
	// off, or has gone.
	Done Status = iota
	// NoUpstream: there is none left to ask.
	NoUpstream
	// NotReady: the upstream could not be readied; nothing was sent that runs.
	NotReady
	// Refused: the upstream said that it ran nothing, or no byte left.
	Refused
	// Lost: no whole answer came, and no word on what ran.
	Lost
)

// Result of an attempt.
type Result struct {
	Status Status
	// Upstream that failed; empty when none was asked.
	Upstream string
	// Unsent: no byte of the request left for the upstream. What comes next is not
	// a further send then, and the budget has no part in it.
	Unsent bool
	// Declined: it was Unsent as the upstream's limit left no room for it. The next attempt
	// follows at once.
	Declined bool
	// Err is why there is no whole answer.
	Err error
}

// Call is a request's way to an upstream and back, as its protocol has it.
type Call interface {
	// Started tells whether the caller has a part of the answer.
	Started() bool
	// Try makes one attempt: it chooses an upstream, notes the send with Sent
	// or Prepared, and brings the answer to the caller.
	Try(ctx context.Context) Result
}

// Run makes attempts until one ends the request, none is left to ask, or no
// further one is allowed. It returns the last result, and the verdict that
// stopped it: Go when that was the result. Unless the result is Over, the caller
// is still to be told, and Word is what may be said.
func (a *Attempts) Run(ctx context.Context, b *Budget, now func() time.Duration, p Call) (Result, Verdict) {
	var last Result
	for {
		verdict := a.Next(ctx, b, p.Started(), now())
		if verdict != Proceed {
			return last, verdict
		}
		last = p.Try(ctx)
		switch last.Status {
		case NotReady:
			a.Exclude(last.Upstream, last.Err)
		case Refused, Lost:
			a.Failed(last.Upstream, last.Status == Refused, last.Err)
		case NoUpstream:
			a.note(last.Err)
			return last, Proceed
		case Done:
			return last, Proceed
		}
		if last.Unsent {
			a.prepaid, a.atOnce = true, last.Declined
			a.unsent++
		}
		if last.Declined {
			a.declined++
		}
	}
}
