package attempt

import (
	"context"
	"time"
)

// Status is how one attempt ended.
type Status int

const (
	// NotAttempted: no attempt was made.
	NotAttempted Status = iota
	// Done: no further attempt is needed. The caller has a complete or truncated
	// response, or has disconnected.
	Done
	// NoUpstream: no upstream is left to try.
	NoUpstream
	// NotReady: preparing the upstream failed; nothing was sent that runs.
	NotReady
	// Refused: the upstream reported that it ran nothing, or no byte was sent.
	Refused
	// Lost: no complete response was received, and it is unknown what ran.
	Lost
)

// Result is the result of an attempt.
type Result struct {
	Status Status
	// Upstream is the upstream that failed; empty when none was tried.
	Upstream string
	// Unsent: no byte of the request was sent to the upstream. What was paid for the
	// attempt pays for the next one.
	Unsent bool
	// Declined: the request was Unsent because the upstream accepts no requests at
	// present, for example because its limit is reached or it is draining. The next
	// attempt is made without a backoff.
	Declined bool
	// BudgetDenied: the request was Unsent because the budget allows no retry. No further
	// attempt is made.
	BudgetDenied bool
	// Err is the reason why there is no complete response.
	Err error
}

// Call sends a request to upstreams in the request's protocol.
type Call interface {
	// Started reports whether the caller has received a part of the response.
	Started() bool
	// Try makes one attempt: it chooses an upstream, records the send with Sent or
	// Prepared, and passes the response on to the caller.
	Try(ctx context.Context) Result
}

// Run makes attempts until one completes the request, no upstream is left to try,
// or no further attempt is allowed. It returns the last result, with the status
// NotAttempted if there is none, and the verdict of the last Next, which is Proceed
// when the result ended the loop. Unless the status is Done, the caller still has to
// be sent an error; Outcome returns what that may state about the request.
func (a *Attempts) Run(ctx context.Context, b *Budget, now func() time.Duration, call Call) (Result, Verdict) {
	var last Result
	for {
		verdict := a.Next(ctx, b, call.Started(), now())
		if verdict != Proceed {
			return last, verdict
		}
		last = call.Try(ctx)
		switch last.Status {
		case NotReady:
			a.Exclude(last.Upstream, last.Err)
		case Refused, Lost:
			a.Failed(last.Upstream, last.Status == Refused, last.Err)
		case NoUpstream, NotAttempted:
			a.setLastError(last.Err)
			return last, Proceed
		case Done:
			return last, Proceed
		}
		if last.BudgetDenied {
			return last, Denied
		}
		if last.Unsent {
			a.skipBackoff = last.Declined
			a.unsent++
		}
		if last.Declined {
			a.declined++
		}
	}
}
