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

// exchange is the state of one request while it is served.
type exchange struct {
	req     *Request
	route   *routes.Route
	service string
	// identity is who the request comes from, according to the newest configuration that was
	// checked.
	identity routes.Identity
	version  int64
	age      time.Duration // of the configuration, when the request arrived
	arrived  time.Duration
	deadline time.Duration
	stopping *stopping
	attempts *attempt.Attempts
	budget   *attempt.Budget
	// requires is the software version at which the request has to be served.
	requires requiredVersion
	// status is the HTTP status that the caller received. upstream and prefill are the upstreams
	// that were contacted last.
	status            int
	upstream, prefill string
	// ahead and predicted are the times that were predicted when the newest prompt was placed: for
	// the prompts queued before it on its engine, and for the prompt itself.
	ahead, predicted time.Duration
	// generatingSince is when the upstream that was contacted last began to answer; 0 if it has not.
	generatingSince time.Duration
	// counted is set once the request was counted as one that began to run.
	counted bool
	// queueOrder is the position at which the newest prompt joined its engine's queue.
	queueOrder placement.QueueOrder
	// forwarded is set if the instance from forwarded the request here. forwards counts the instances that it was
	// forwarded to, via is the last of them, and peerRefusal is the refusal of via that the caller
	// receives.
	forwarded   bool
	forwards    int
	from, via   string
	peerRefusal *Refusal
	// content returns the identifier of what is requested; subjects returns it and the parts of the prompt. Both are
	// computed once.
	content  func() quarantine.Subject
	subjects func() []quarantine.Subject
	// moves counts the engines that the prompt was moved away from. hopeless is the refusal of a prompt that no engine can
	// process in time; nil for others.
	moves    int
	hopeless *Refusal
	// crash is the check whether the upstream that cut off the request last has crashed; nil if none did.
	crash *crashCheck
	// holding is the memory that the request holds, from its admission on.
	holding *holding
}

// placementRequest returns the input for choosing an upstream.
func (x *exchange) placementRequest(now time.Duration) upstreamstate.PlacementRequest {
	request := upstreamstate.PlacementRequest{
		ID: x.req.ID, Service: x.service, Version: x.requires.version, Excluded: x.attempts.Excluded(),
		Objective: x.route.Objective - (now - x.arrived), RemainingWait: x.remaining(now),
		Priority: x.identity.Priority(x.route), Soonest: x.moves > 0,
	}
	if waitBudget := x.route.WaitBudget; waitBudget > 0 {
		request.RemainingWait = min(request.RemainingWait, waitBudget-(now-x.arrived))
	}
	if x.req.Prompt != nil {
		request.Prompt = *x.req.Prompt
	}
	return request
}

// newSend returns a send to an upstream, with the fields that all kinds of sends have.
func (x *exchange) newSend(to upstreamstate.Upstream, now time.Duration) Send {
	return Send{
		To: to, Version: x.requires.version, Timeout: x.remaining(now), Priority: x.identity.Priority(x.route), Identity: x.identity,
		Prompt: x.req.Prompt != nil, Attempts: x.attempts, Budget: x.budget,
	}
}

// generatingFor returns how long the upstream that was contacted last has been answering; 0 if it has not begun.
func (x *exchange) generatingFor(now time.Duration) time.Duration {
	if x.generatingSince == 0 {
		return 0
	}
	return now - x.generatingSince
}

// promptParts returns the prompt's parts for logs.
func (x *exchange) promptParts() string {
	if x.req.Prompt == nil {
		return ""
	}
	return x.req.Prompt.PartIDs()
}

// remaining returns how much time is left for the request: until its deadline, or until this instance has stopped.
func (x *exchange) remaining(now time.Duration) time.Duration {
	return x.stopping.left(x.deadline, now)
}

// noteSent records a send. An error means that a second run is not allowed.
func (x *exchange) noteSent(id string) error {
	x.upstream, x.generatingSince = id, 0
	return x.attempts.Sent()
}

// failedAttempt returns the result of an attempt that produced no complete answer.
func failedAttempt(upstream string, err error) attempt.Result {
	if ranNothing(err) {
		return attempt.Result{
			Status: attempt.Refused, Upstream: upstream, Unsent: errors.Is(err, ErrNotSent), Declined: errors.Is(err, ErrDeclined),
			BudgetDenied: errors.Is(err, ErrBudgetExhausted), Err: err,
		}
	}
	return attempt.Result{Status: attempt.Lost, Upstream: upstream, Err: err}
}

// callResultFor returns what an error says about the upstream.
func callResultFor(ctx context.Context, err error) load.CallResult {
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
