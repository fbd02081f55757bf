package peers

import (
	"context"
	"time"

	sfv1 "sassafrasfield/internal/gen/sf/v1"
	"sassafrasfield/internal/limit"
)

// grantsQuotas reports whether this instance decides on the requests of organisations with quotas: it
// coordinates the grants and reaches most of the instances. Unlike grantShare it leaves a minority no part, as
// the parts of a split fleet would exceed the quotas together.
func (e *Exchange) grantsQuotas() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := e.now()
	if !e.coordinates(now) {
		return false
	}
	reached, all := e.reachedCount(now)
	return 2*reached > all
}

// RequestQuotaGrant requests the run of one request from the coordinator. The grant is undecided if there is no
// coordinator, or if it does not answer in time.
func (r *Reporter) RequestQuotaGrant(ctx context.Context, request limit.GrantRequest) limit.Grant {
	coordinator := r.exchange.coordinator()
	if coordinator == r.exchange.self.Address {
		return r.loads.DecideQuotaGrant(request)
	}
	if coordinator == "" {
		return limit.Grant{Undecided: true}
	}
	grant, ok := ask(ctx, r.quotaRequests, func(id uint64) { r.send(r.quotaAsk(id, request), []string{coordinator}) })
	if !ok {
		return limit.Grant{Undecided: true}
	}
	return grant
}

// RefundQuotaGrant returns the cost of a granted request that did not run. A refund that is lost costs the
// organisation one request.
func (r *Reporter) RefundQuotaGrant(request limit.GrantRequest) {
	coordinator := r.exchange.coordinator()
	if coordinator == r.exchange.self.Address {
		r.loads.RefundQuotaGrant(request)
		return
	}
	if coordinator == "" {
		return
	}
	id, _ := r.quotaRequests.register()
	r.quotaRequests.cancel(id)
	message := r.quotaAsk(id, request)
	message.QuotaAsk.Refund = true
	r.send(message, []string{coordinator})
}

func (r *Reporter) quotaAsk(id uint64, request limit.GrantRequest) *sfv1.Datagram {
	message := r.newDatagram(sfv1.Datagram_KIND_QUOTA_ASK)
	message.QuotaAsk = &sfv1.QuotaAsk{
		Id: id, Organisation: request.Quota.Organisation, Rate: request.Quota.Rate, Burst: request.Quota.Burst,
		Version: request.Quota.Version, Cost: request.Cost,
	}
	return message
}

// handleQuotaAsk decides on a request of an organisation with a quota, or takes a refund.
func (r *Reporter) handleQuotaAsk(m *sfv1.QuotaAsk, peer *peerState) {
	request := limit.GrantRequest{
		Quota: limit.Quota{Organisation: m.GetOrganisation(), Rate: m.GetRate(), Burst: m.GetBurst(), Version: m.GetVersion()},
		Cost:  m.GetCost(),
	}
	grant := r.quotaVerdicts.verdict(grantRequestKey{peer.ID(), m.GetId()}, r.exchange.now(), func() limit.Grant {
		if m.GetRefund() {
			r.loads.RefundQuotaGrant(request)
			return limit.Grant{}
		}
		return r.loads.DecideQuotaGrant(request)
	})
	if m.GetRefund() {
		return
	}
	reply := r.newDatagram(sfv1.Datagram_KIND_QUOTA_VERDICT)
	reply.QuotaVerdict = &sfv1.QuotaVerdict{
		Id: m.GetId(), Granted: grant.Granted, RetryMs: uint32(grant.RetryIn.Milliseconds()), Undecided: grant.Undecided,
	}
	r.send(reply, []string{peer.Address})
}

func quotaGrantFromMessage(m *sfv1.QuotaVerdict) limit.Grant {
	return limit.Grant{Granted: m.GetGranted(), RetryIn: time.Duration(m.GetRetryMs()) * time.Millisecond, Undecided: m.GetUndecided()}
}
