// Package admit decides which requests one entry takes, when, and which it
// refuses: by the predicted time to the first token against the request's
// deadline, by a bound on the requests in flight, and by a bounded queue that
// is served by priority and in fair shares between organisations. It is pure:
// time is passed in as a monotonic duration.
package admit

import "time"

// Bounds of a priority; a higher one goes first. 0 is the usual one.
const (
	MinPriority = -4
	MaxPriority = 4
)

// Ticket is a request that asks to be admitted.
type Ticket struct {
	ID           string
	Organisation string
	// Share is the organisation's weight; 0 or less counts as 1.
	Share float64
	// Priority lies between MinPriority and MaxPriority.
	Priority int
	// Work is the request's cost in tokens, for the fair shares.
	Work float64
	// Arrived is when the request came.
	Arrived time.Duration
	// Deadline is when the first token must have come.
	Deadline time.Duration
	// PrefillTime is the least time from being sent to the first token, on an idle
	// engine.
	PrefillTime time.Duration
}

// share returns the weight.
func (t *Ticket) share() float64 {
	if t.Share <= 0 {
		return 1
	}
	return t.Share
}

// Prediction is what the picture of the engines says of one request.
type Prediction struct {
	// FirstToken is the time from now to the first token on the best engine.
	FirstToken time.Duration
	// PrefillTime is that time on an idle engine.
	PrefillTime time.Duration
	// UncachedPrefillTime is Own for an engine that has none of the prompt cached. It is
	// what a caller can expect, whatever the cache hints say.
	UncachedPrefillTime time.Duration
	// Engines is the number of engines that the request could go to.
	Engines int
	// Known is false when no engine has reported yet.
	Known bool
}

// Reason tells why a request is refused. It is the code that callers see.
type Reason string

// Reasons of a refusal.
const (
	// ReasonDeadline: the first token would come after the deadline.
	ReasonDeadline Reason = "deadline"
	// ReasonDeadlineTooShort: not even an idle engine could make the deadline.
	ReasonDeadlineTooShort Reason = "deadline_too_short"
	// ReasonQueueFull: the queue has no room for the request.
	ReasonQueueFull Reason = "queue_full"
	// ReasonQueueTimeout: the longest wait in the queue has passed.
	ReasonQueueTimeout Reason = "queue_timeout"
)

// Refusal is the final answer for one ticket.
type Refusal struct {
	ID     string
	Reason Reason
	// RetryIn is the predicted time until the request could be taken; 0 when
	// coming back does not help.
	RetryIn time.Duration
}
