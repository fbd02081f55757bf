// Package admit decides which requests an entry admits, when it admits them and
// which it refuses. It compares the predicted time to first token with each
// request's deadline, limits the requests in flight, and holds the others in a
// bounded queue that is served by priority and fairly between organisations.
// Its inputs are tickets for requests and the load of the engines; its outputs
// are grants and refusals. It does no I/O and reads no clock: times are passed
// in as monotonic durations.
package admit

import "time"

// Bounds of a priority. Higher priorities are served first; 0 is the default.
const (
	MinPriority = -4
	MaxPriority = 4
)

// Ticket is a request for admission.
type Ticket struct {
	ID           string
	Organisation string
	// Share is the organisation's weight; 0 or less counts as 1.
	Share float64
	// Priority lies between MinPriority and MaxPriority.
	Priority int
	// Work is the request's cost in tokens, which fair queueing charges to the
	// organisation.
	Work float64
	// Arrived is when the request arrived.
	Arrived time.Duration
	// Deadline is when the first token must have arrived.
	Deadline time.Duration
	// PrefillTime is the minimum time from sending the request to its first
	// token, on an idle engine.
	PrefillTime time.Duration
}

// weight returns Share, or 1 when it is not set.
func (t *Ticket) weight() float64 {
	if t.Share <= 0 {
		return 1
	}
	return t.Share
}

// Prediction is the predicted time to first token of one request.
type Prediction struct {
	// FirstToken is the time from now to the first token on the best engine.
	FirstToken time.Duration
	// PrefillTime is the time to the first token on an idle engine.
	PrefillTime time.Duration
	// UncachedPrefillTime is PrefillTime on an engine that has none of the
	// prompt cached. Callers can expect this time whatever the cache hints are.
	UncachedPrefillTime time.Duration
	// Engines is the number of engines that could serve the request.
	Engines int
	// Known is false while no engine has reported its prefill rate.
	Known bool
}

// Reason is the code that tells callers why a request was refused.
type Reason string

// Reasons of a refusal.
const (
	// ReasonDeadline: the first token would arrive after the deadline.
	ReasonDeadline Reason = "deadline"
	// ReasonDeadlineTooShort: not even an idle engine could meet the deadline.
	ReasonDeadlineTooShort Reason = "deadline_too_short"
	// ReasonQueueFull: the queue has no room for the request.
	ReasonQueueFull Reason = "queue_full"
	// ReasonQueueTimeout: the request has waited in the queue for the maximum time.
	ReasonQueueTimeout Reason = "queue_timeout"
)

// Refusal is the final decision to refuse one ticket.
type Refusal struct {
	ID     string
	Reason Reason
	// RetryIn is the predicted time until the request could be admitted; 0 when
	// a retry would not help.
	RetryIn time.Duration
}
