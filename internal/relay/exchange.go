package relay

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"sassafrasfield/internal/attempt"
	"sassafrasfield/internal/load"
	"sassafrasfield/internal/placement"
	"sassafrasfield/internal/quarantine"
	"sassafrasfield/internal/routes"
	"sassafrasfield/internal/upstreamstate"
)

// exchange is one request on its way.
type exchange struct {
	req     *Request
	route   *routes.Route
	service string
	// identity is who it comes from, by the newest configuration that was asked.
	identity routes.Identity
	version  int64
	age      time.Duration // of the configuration, when the request came
	arrived  time.Duration
	deadline time.Duration
	attempts *attempt.Attempts
	budget   *attempt.Budget
	// status is what the caller got; upstream and prefill are the newest ones
	// asked.
	status            int
	upstream, prefill string
	// ahead and predicted are the times that were predicted when the newest prompt was
	// placed: of the prompts before it on its engine, and its predicted.
	ahead, predicted time.Duration
	// counted: it was counted as one that began to run.
	counted bool
	// turn is when that prompt was to be processed there.
	turn placement.QueueOrder
	// content returns the name of what is asked for, which is computed once.
	content func() quarantine.Content
}

// placementRequest is what the choice of an upstream depends on.
func (x *exchange) placementRequest(now time.Duration) upstreamstate.Ask {
	ask := upstreamstate.Ask{
		ID: x.req.ID, Service: x.service, Excluded: x.attempts.Excluded(),
		Objective: x.route.Objective - (now - x.arrived), Left: x.remaining(now),
		Priority: x.identity.Priority(x.route),
	}
	if patience := x.route.Patience; patience > 0 {
		ask.Left = min(ask.Left, patience-(now-x.arrived))
	}
	if x.req.Prompt != nil {
		ask.Prompt = *x.req.Prompt
	}
	return ask
}

// newSend is a way to newSend it to an upstream, with what each way has.
func (x *exchange) newSend(to upstreamstate.Upstream, now time.Duration) Send {
	return Send{To: to, Timeout: x.remaining(now), Priority: x.identity.Priority(x.route), Identity: x.identity}
}

func (x *exchange) remaining(now time.Duration) time.Duration { return x.deadline - now }

// noteSent notes a send; an error means that a second run is not allowed.
func (x *exchange) noteSent(id string) error {
	x.upstream = id
	return x.attempts.Sent()
}

// failedAttempt is the result of an attempt that brought no whole answer.
func failedAttempt(upstream string, err error) attempt.Result {
	if ranNothing(err) {
		return attempt.Result{Status: attempt.Refused, Upstream: upstream, Unsent: errors.Is(err, ErrNotSent), Declined: errors.Is(err, ErrDeclined), Err: err}
	}
	return attempt.Result{Status: attempt.Lost, Upstream: upstream, Err: err}
}

// verdictFor is what an error tells of the upstream.
func verdictFor(ctx context.Context, err error) load.CallResult {
	switch {
	case errors.Is(err, ErrNotSent):
		return load.CallUnreachable
	case errors.Is(err, ErrAddressReassigned):
		return load.CallAddressReassigned
	case errors.Is(err, ErrRefused):
		return load.CallRefused
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		return load.CallUnreachable
	default:
		return load.CallFailed
	}
}
