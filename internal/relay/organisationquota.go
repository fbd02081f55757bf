package relay

import (
	"context"
	"sync"
	"time"

	"github.com/rcrowley/go-metrics"

	"sassafrasfield/internal/limit"
	"sassafrasfield/internal/pause"
)

const (
	// quotaDecisionWait bounds how long a request waits for an instance that decides on grants: one does 1.2 s
	// after a start of all. quotaWaitDivisor is the part of the caller's time that it may wait at most, and
	// quotaAskInterval the time between two attempts.
	quotaDecisionWait = 1500 * time.Millisecond
	quotaWaitDivisor  = 2
	quotaAskInterval  = 100 * time.Millisecond
)

// QuotaTolerance is how far the requests of an organisation may exceed its quota in a window: by a part of it, and
// by further units.
type QuotaTolerance struct {
	Window time.Duration
	Over   float64
	Slack  float64
}

// usedTolerance is the part of the tolerance that is used as burst. The rest is for requests that wait between their
// grant and their run, and for the change of the instance that grants.
const usedTolerance = 0.5

// burst returns the depth of an organisation's bucket.
func (t QuotaTolerance) burst(rate, burst float64) float64 {
	return burst + usedTolerance*(t.Over*(rate*t.Window.Seconds()+burst)+t.Slack)
}

// organisationQuotas keeps the requests of organisations within their quotas over all instances. One instance
// grants them; see limit.Granter.
type organisationQuotas struct {
	meters  quotaMeters
	request func(ctx context.Context, request limit.GrantRequest) limit.Grant
	refund  func(request limit.GrantRequest)

	mu      sync.Mutex // protects granter
	granter *limit.Granter
}

// quotaMeters counts the requests of organisations with quotas: those that were granted, refused because the
// quota was exhausted, not decided on in time, and those whose cost was returned as they did not run.
type quotaMeters struct {
	granted, refused, undecided, refunded metrics.Counter
}

func newOrganisationQuotas() *organisationQuotas {
	return &organisationQuotas{
		granter: limit.NewGranter(),
		meters: quotaMeters{
			granted: counter("quota_granted"), refused: counter("quota_refused"), undecided: counter("quota_undecided"), refunded: counter("quota_refunded"),
		},
		request: func(context.Context, limit.GrantRequest) limit.Grant { return limit.Grant{Undecided: true} },
		refund:  func(limit.GrantRequest) {},
	}
}

// SetQuotaGranter sets the functions that request a grant from the instance that decides on them, and that
// return its cost. It is called before the relay serves.
func (r *Relay) SetQuotaGranter(request func(context.Context, limit.GrantRequest) limit.Grant, refund func(limit.GrantRequest)) {
	r.quotas.request, r.quotas.refund = request, refund
}

// SetGrantsQuotas sets whether this instance decides on the requests of organisations with quotas.
func (r *Relay) SetGrantsQuotas(grants bool) {
	now := r.now()
	r.quotas.mu.Lock()
	before := r.quotas.granter.Active(now)
	r.quotas.granter.SetActive(grants, now)
	after := r.quotas.granter.Active(now)
	r.quotas.mu.Unlock()
	if before != after {
		r.log.Info("relay: grants organisations' requests", "active", after)
	}
}

// DecideQuotaGrant decides on one request, of this or another instance, of an organisation with a quota.
func (r *Relay) DecideQuotaGrant(request limit.GrantRequest) limit.Grant {
	r.quotas.mu.Lock()
	defer r.quotas.mu.Unlock()
	return r.quotas.granter.Decide(request, r.now())
}

// RefundQuotaGrant returns the cost of a granted request that did not run.
func (r *Relay) RefundQuotaGrant(request limit.GrantRequest) {
	r.quotas.mu.Lock()
	defer r.quotas.mu.Unlock()
	r.quotas.granter.Refund(request, r.now())
}

// quotaRequest returns the grant that a request needs; false if its organisation has no quota.
func (r *Relay) quotaRequest(x *exchange) (limit.GrantRequest, bool) {
	organisation := x.identity.Organisation
	if organisation == nil || !organisation.Quota.Limited() {
		return limit.GrantRequest{}, false
	}
	quota := limit.Quota{Organisation: organisation.Name, Rate: organisation.Quota.Rate, Version: x.version}
	quota.Burst = r.settings.QuotaTolerance.burst(quota.Rate, organisation.Quota.Burst)
	return limit.GrantRequest{Quota: quota, Cost: organisation.Quota.Cost(x.req.Prompt)}, true
}

// admitByQuota has a request granted by its organisation's quota. It returns the refusal of one that is not,
// of which nothing was sent.
func (r *Relay) admitByQuota(ctx context.Context, x *exchange) error {
	request, limited := r.quotaRequest(x)
	if !limited {
		return nil
	}
	grant := r.awaitQuotaGrant(ctx, x, request)
	r.log.Info("relay: organisation's quota", "request", x.req.ID, "organisation", request.Quota.Organisation, "cost", request.Cost,
		"per_second", request.Quota.Rate, "burst", request.Quota.Burst, "config", request.Quota.Version,
		"granted", grant.Granted, "undecided", grant.Undecided, "retry_in", grant.RetryIn, "took", r.now()-x.arrived)
	switch {
	case grant.Granted:
		r.quotas.meters.granted.Inc(1)
		return nil
	case grant.Undecided:
		r.quotas.meters.undecided.Inc(1)
		return &Refusal{Outcome: NotRun, Reason: "nobody decides on the organisation's quota", RetryIn: r.startupRetryIn(x.remaining(r.now()))}
	default:
		r.quotas.meters.refused.Inc(1)
		return &Refusal{Outcome: OverQuota, Reason: "the organisation's quota is exhausted", RetryIn: jittered(grant.RetryIn)}
	}
}

// awaitQuotaGrant requests a grant until an instance decides on it, for quotaDecisionWait at most.
func (r *Relay) awaitQuotaGrant(ctx context.Context, x *exchange, request limit.GrantRequest) limit.Grant {
	wait := min(quotaDecisionWait, x.remaining(r.now())/quotaWaitDivisor)
	for {
		grant := r.quotas.request(ctx, request)
		if !grant.Undecided || r.now()-x.arrived >= wait || !pause.For(ctx, quotaAskInterval) {
			return grant
		}
	}
}

// refundQuota returns the cost of a granted request of which nothing ran.
func (r *Relay) refundQuota(x *exchange) {
	if request, limited := r.quotaRequest(x); limited {
		r.quotas.meters.refunded.Inc(1)
		r.quotas.refund(request)
	}
}
