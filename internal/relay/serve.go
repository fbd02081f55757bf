package relay

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"sassafrasfield/internal/attempt"
	"sassafrasfield/internal/outcome"
	"sassafrasfield/internal/ownlink"
	"sassafrasfield/internal/quarantine"
	"sassafrasfield/internal/routes"
)

// Serve answers a request. The error is a *Refusal if no part of an answer was written,
// ErrAnswerAborted or ErrCallerDisconnected.
func (r *Relay) Serve(ctx context.Context, req *Request, w http.ResponseWriter) error {
	x, err := r.newExchange(req)
	if err == nil {
		err = r.refuse(x)
	}
	if err == nil {
		err = r.refuseLate(x)
	}
	if err != nil {
		r.finish(x, req, err)
		return err
	}
	ctx, release := r.stopping.untilGraceOver(ctx)
	defer release()
	ctx, cancel := context.WithTimeout(ctx, x.remaining(r.now()))
	defer cancel()
	if err := r.requireBegunVersion(ctx, x); err != nil {
		r.finish(x, req, err)
		return err
	}
	if err := r.admitByQuota(ctx, x); err != nil {
		r.finish(x, req, err)
		return err
	}
	x.budget.Succeeded(r.now()) // each request earns its share of a retry
	err = r.serveHolding(ctx, cancel, x, w)
	if x.attempts.Outcome() == outcome.NotRun && !x.attempts.Ledger().Prefilled() {
		r.refundQuota(x)
	}
	r.finish(x, req, err)
	return err
}

// maxTimeout bounds every request. It is the timeout of a request for which neither the caller nor
// the route sets one.
const maxTimeout = time.Minute

// newExchange checks a request and returns the state in which it is served, or its refusal.
func (r *Relay) newExchange(req *Request) (*exchange, error) {
	now := r.now()
	r.lastRequest.Store(int64(now))
	table, age := r.upstreams.Routes(now)
	if r.closed.Load() {
		return nil, &Refusal{Outcome: NotRun, Reason: "stopping", RetryIn: r.settings.RetryIn}
	}
	if table.Version == 0 {
		return nil, &Refusal{Outcome: NotRun, Reason: "no configuration yet", RetryIn: r.startupRetryIn(req.WaitBudget)}
	}
	if r.quarantinesKnown != nil && !r.quarantinesKnown() {
		return nil, &Refusal{Outcome: NotRun, Reason: "quarantines not known yet", RetryIn: r.startupRetryIn(req.WaitBudget)}
	}
	impairment := r.Impairment()
	if impairment != "" && !blamesLink(impairment) {
		return nil, r.refuseElsewhere(impairment, req)
	}
	route := table.Match(req.Host, req.Path)
	if route == nil {
		return nil, &Refusal{Outcome: NoRoute, Reason: "no route"}
	}
	identity, known := table.Identify(route, req.Credential)
	if !known {
		return nil, refuseUnauthenticated()
	}
	timeout := maxTimeout
	for _, bound := range []time.Duration{req.WaitBudget, route.Timeout} {
		if bound > 0 {
			timeout = min(timeout, bound)
		}
	}
	service := route.Pick(hashFraction(req.streamID()))
	if impairment != "" && !r.mayForward(service) {
		return nil, r.refuseElsewhere(impairment, req)
	}
	content := sync.OnceValue(req.Content)
	return &exchange{
		req: req, route: route, service: service, identity: identity,
		version: table.Version, age: age, arrived: now, deadline: now + timeout, stopping: r.stopping,
		attempts: attempt.New(r.attemptRules(route)), budget: r.budgets.forService(service, now),
		content: content, subjects: sync.OnceValue(func() []quarantine.Subject { return append([]quarantine.Subject{content()}, req.parts(service)...) }),
	}, nil
}

// refuseElsewhere returns the refusal of a request that this instance cannot serve, for a reason that does not
// concern other instances.
func (r *Relay) refuseElsewhere(reason ownlink.Impairment, req *Request) error {
	r.meters.saturated.Inc(1)
	return refuseImpaired(reason, r.retryElsewhereIn(req.WaitBudget))
}

// hashFraction maps an id to a number in [0, 1).
func hashFraction(id string) float64 {
	const mantissa = 53 // bits of a float64's fraction
	return float64(xxhash.Sum64String(id)>>(64-mantissa)) / (1 << mantissa)
}

// attemptRules returns the bounds that a route sets on the attempts at its requests.
func (r *Relay) attemptRules(route *routes.Route) attempt.Rules {
	return attempt.Rules{
		Repeatable: isRepeatable(route),
		MaxRuns:    max(1, route.MaxAttempts), MaxSends: r.settings.MaxSends,
	}
}

// isRepeatable reports whether requests on a route may run again after the outcome of a run was lost.
func isRepeatable(route *routes.Route) bool {
	return route.Kind == routes.Idempotent || route.Resumable
}
