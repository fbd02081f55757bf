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
	ends     time.Duration
	tries    *attempt.Attempts
	budget   *attempt.Budget
	// status is what the caller got; upstream and prefill are the newest ones
	// asked.
	status            int
	upstream, prefill string
	// ahead and own are the times that were predicted when the newest prompt was
	// placed: of the prompts before it on its engine, and its own.
	ahead, own time.Duration
	// counted: it was counted as one that began to run.
	counted bool
	// turn is when that prompt was to be processed there.
	turn placement.QueueOrder
	// content returns the name of what is asked for, which is computed once.
	content func() quarantine.Content
}

// ask is what the choice of an upstream depends on.
func (x *exchange) ask(now time.Duration) upstreamstate.PlacementRequest {
	ask := upstreamstate.PlacementRequest{
		ID: x.req.ID, Service: x.service, Excluded: x.tries.Excluded(),
		Objective: x.route.Objective - (now - x.arrived), RemainingWait: x.left(now),
		Priority: x.identity.Priority(x.route),
	}
	if patience := x.route.Patience; patience > 0 {
		ask.RemainingWait = min(ask.RemainingWait, patience-(now-x.arrived))
	}
	if x.req.Prompt != nil {
		ask.Prompt = *x.req.Prompt
	}
	return ask
}

// send is a way to send it to an upstream, with what each way has.
func (x *exchange) send(to upstreamstate.Upstream, now time.Duration) Send {
	return Send{To: to, Timeout: x.left(now), Priority: x.identity.Priority(x.route), Identity: x.identity}
}

func (x *exchange) left(now time.Duration) time.Duration { return x.ends - now }

// sent notes a send; an error means that a second run is not allowed.
func (x *exchange) sent(id string) error {
	x.upstream = id
	return x.tries.Sent()
}

// failure is the result of an attempt that brought no whole answer.
func failure(upstream string, err error) attempt.Result {
	if ranNothing(err) {
		return attempt.Result{Status: attempt.Refused, Upstream: upstream, Unsent: errors.Is(err, ErrNotSent), Declined: errors.Is(err, ErrDeclined), Err: err}
	}
	return attempt.Result{Status: attempt.Lost, Upstream: upstream, Err: err}
}

// verdictOf is what an error tells of the upstream.
func verdictOf(ctx context.Context, err error) load.CallResult {
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
