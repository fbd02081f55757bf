package relay

import (
	"context"
	"math"
	"sync"
	"time"

	"github.com/rcrowley/go-metrics"

	"sassafrasfield/internal/quota"
	"sassafrasfield/internal/upstreamstate"
)

// limitMeters counts the upstreams' rate limits and other announcements, and their effects.
type limitMeters struct {
	// learned, changed and ended count the limits, unparsed the announcements that could not be
	// parsed.
	learned, changed, ended, unparsed metrics.Counter
	// draining counts the upstreams that announced that they are draining, backoffs the times that
	// upstreams requested a backoff.
	draining, backoffs metrics.Counter
	// granted and declined count the sends for which a grant was requested, withheld those to
	// upstreams that are draining or backing off.
	granted, declined, withheld metrics.Counter
	// refused counts the requests for which no upstream had capacity, refusedBackingOff those that
	// were refused because the upstreams are backing off, refusedDraining those of services whose
	// upstreams are all draining.
	refused, refusedBackingOff, refusedDraining metrics.Counter
	// given and denied count the decisions of this instance as the coordinator of the grants.
	given, denied metrics.Counter
}

func newLimitMeters() limitMeters {
	return limitMeters{
		learned: counter("limits_learned"), changed: counter("limits_changed"), ended: counter("limits_ended"),
		unparsed: counter("words_unread"), draining: counter("upstreams_leaving"), backoffs: counter("upstream_rests"), granted: counter("limit_granted"), declined: counter("limit_declined"),
		withheld: counter("sends_withheld"), refused: counter("refused_limited"), refusedBackingOff: counter("refused_resting"), refusedDraining: counter("refused_leaving"), given: counter("grants_given"), denied: counter("grants_denied"),
	}
}

// admittingSender checks all sends against what the upstreams announced and charges them to the retry
// budget: first sends and retries, prefills, resumed answers, and any kind that may be added. It has the ends of unframed
// answers confirmed.
type admittingSender struct {
	Sender
	relay *Relay
}

// Send implements Sender.
func (s admittingSender) Send(ctx context.Context, req *Request, send Send) (*Reply, error) {
	if err := s.relay.admit(ctx, req, send); err != nil {
		return nil, err
	}
	began := s.relay.now()
	reply, err := s.Sender.Send(ctx, req, send)
	s.relay.recordSend(send.To, began, err)
	s.relay.recordArrival(req, send, kindOfRun(send), err)
	if err != nil {
		s.relay.recordConnectionEnd(ctx, send.To, err)
		return nil, err
	}
	reply = s.relay.answers.track(ctx, send.To.Incarnation(), reply, s.relay.now)
	return s.relay.withConfirmedEnd(ctx, req, send, reply), nil
}

// Prefill implements Sender.
func (s admittingSender) Prefill(ctx context.Context, req *Request, send Send) (KV, upstreamstate.Load, error) {
	if err := s.relay.admit(ctx, req, send); err != nil {
		return KV{}, upstreamstate.Load{}, err
	}
	began := s.relay.now()
	kv, reported, err := s.Sender.Prefill(ctx, req, send)
	s.relay.recordSend(send.To, began, err)
	s.relay.recordArrival(req, send, sendPrefill, err)
	s.relay.recordConnectionEnd(ctx, send.To, err)
	return kv, reported, err
}

// admit returns why a request must not be sent to an upstream now, according to the upstream's
// announcements and the retry budget. Announcements may have arrived after the upstream was chosen,
// or while a grant was awaited.
func (r *Relay) admit(ctx context.Context, req *Request, send Send) error {
	if !r.acquireGrant(ctx, req, send) {
		return ErrLimited
	}
	if r.hasOtherVersion(send) {
		r.recordWithheld(req, send, ErrOtherVersion)
		return ErrOtherVersion
	}
	if r.upstreams.IsDraining(send.To) && !send.continuesAtCopy() {
		r.recordWithheld(req, send, ErrDraining)
		return ErrDraining
	}
	if r.BackingOff(send.To) {
		r.recordWithheld(req, send, ErrBackingOff)
		return ErrBackingOff
	}
	return r.payFor(ctx, req, send)
}

// BackingOff reports whether an upstream accepts nothing from this instance now.
func (r *Relay) BackingOff(u upstreamstate.Upstream) bool {
	return r.upstreams.BackoffLeft(u.Incarnation(), r.now()) > 0
}

// recordWithheld records that a request is not sent to the upstream that was chosen for it.
func (r *Relay) recordWithheld(req *Request, send Send, reason error) {
	r.meters.limits.withheld.Inc(1)
	r.log.Info("relay: send withheld", "request", req.ID, "upstream", send.To.ID, "error", reason)
}

// SetGrantRequester sets the function that requests a grant for a send to a rate-limited upstream
// from the instance that coordinates the grants.
func (r *Relay) SetGrantRequester(request func(context.Context, quota.GrantRequest) quota.Verdict) {
	r.requestGrant.Store(&request)
}

// minGrantRetry is the minimum time between two grant requests for an upstream that had no capacity.
const minGrantRetry = 5 * time.Millisecond

// acquireGrant reports whether an upstream's rate limit allows a send. A grant is requested before
// each send, because no instance knows the sum of what all of them send.
func (r *Relay) acquireGrant(ctx context.Context, req *Request, send Send) bool {
	if send.Granted {
		return true
	}
	upstream, now := send.To.Incarnation(), r.now()
	limit, firstHand, _ := r.upstreams.Limit(upstream, now)
	if !limit.Limited() {
		return true
	}
	if r.upstreams.IsExhausted(upstream, send.Priority, now) && !send.Continues {
		r.meters.limits.declined.Inc(1)
		return false
	}
	verdict := quota.Verdict{RetryIn: quota.NoCoordinatorRetry}
	if request := r.requestGrant.Load(); request != nil {
		verdict = (*request)(ctx, quota.GrantRequest{Limit: limit, FirstHand: firstHand, Priority: send.Priority, Continues: send.Continues})
	}
	r.log.Info("relay: send to a limited upstream", "request", req.ID, "upstream", send.To.ID, "per_second", limit.Rate,
		"limit_age", limit.Age, "granted", verdict.Granted, "retry_in", verdict.RetryIn, "took", r.now()-now)
	if verdict.Granted {
		r.meters.limits.granted.Inc(1)
		return true
	}
	r.meters.limits.declined.Inc(1)
	r.upstreams.MarkExhausted(upstream, send.Priority, r.now()+max(verdict.RetryIn, minGrantRetry))
	return false
}

// reserve requests capacity at an engine that generates if all of these are rate-limited. Otherwise
// prompts would be processed although no engine has capacity for their answers afterwards. The prompt is processed by the
// engine prefills.
func (r *Relay) reserve(ctx context.Context, g *generation, prefills upstreamstate.Upstream) bool {
	request := g.generationRequest(prefills)
	if reserved := r.upstreams.Upstream(g.reserved); reserved.ID != "" && !fitsVersion(request.Version, reserved) {
		g.reserved = ""
	}
	if g.reserved != "" || !r.upstreams.DecodeEnginesLimited(request, r.now()) {
		return true
	}
	for range r.upstreams.Count(g.service) {
		engine, ok := r.upstreams.PickDecode(g.generationRequest(prefills), r.settings.Zone, r.now())
		if !ok {
			return false
		}
		granted := r.acquireGrant(ctx, g.req, g.newSend(r.upstreams.Upstream(engine.ID), r.now()))
		r.upstreams.RequestDone(engine.ID, g.req.ID, r.now())
		if granted {
			g.reserved = engine.ID
			return true
		}
	}
	return false
}

// refuseUnavailable returns the refusal of a request that no upstream of its service accepts, as
// they announced, and nil if announcements are not the cause.
func (r *Relay) refuseUnavailable(x *exchange) error {
	if r.upstreams.AllDraining(x.service) {
		r.meters.limits.refusedDraining.Inc(1)
		return &Refusal{Outcome: NotRun, Reason: "all upstreams leave", RetryIn: r.retryIn(x)}
	}
	delay, backingOff, found := r.upstreams.AvailableIn(x.placementRequest(r.now()), r.now())
	switch {
	case !found:
		return nil
	case backingOff:
		r.meters.limits.refusedBackingOff.Inc(1)
		return &Refusal{Outcome: NotRun, Reason: "upstreams asked for rest", RetryIn: jittered(delay)}
	}
	r.meters.limits.refused.Inc(1)
	return &Refusal{Outcome: NotRun, Reason: "the upstreams' limits leave no room", RetryIn: jittered(delay)}
}

// grants decides on the grant requests of all instances while this instance coordinates the grants.
type grants struct {
	mu    sync.Mutex // protects state
	state *quota.Coordinator
}

func newGrants() *grants { return &grants{state: quota.NewCoordinator()} }

// SetGrantShare sets the share of upstreams' limits that this instance grants; 0 for none.
func (r *Relay) SetGrantShare(share float64) {
	r.grants.mu.Lock()
	before := r.grants.state.Share()
	r.grants.state.SetShare(share, r.now())
	r.grants.mu.Unlock()
	if share != before {
		r.log.Info("relay: coordinates upstreams' limits", "share", share, "before", before)
	}
}

// DecideGrant decides on one send of this or another instance to a rate-limited upstream.
func (r *Relay) DecideGrant(request quota.GrantRequest) quota.Verdict {
	r.grants.mu.Lock()
	verdict := r.grants.state.Decide(r.upstreams, request, r.now())
	r.grants.mu.Unlock()
	r.logLimitChanges()
	if verdict.Granted {
		r.meters.limits.given.Inc(1)
	} else {
		r.meters.limits.denied.Inc(1)
	}
	return verdict
}

// Limits returns what is known of upstreams' limits.
func (r *Relay) Limits() []quota.UpstreamLimit { return r.upstreams.Limits(r.now()) }

// ApplyLimits merges what an instance of this or another zone knows of upstreams' limits.
func (r *Relay) ApplyLimits(limits []quota.UpstreamLimit, sameZone bool) {
	r.upstreams.ApplyLimits(limits, sameZone, r.now())
	r.logLimitChanges()
}

// applyStatus applies what an upstream states about itself in an answer.
func (r *Relay) applyStatus(from upstreamstate.Upstream, status upstreamstate.UpstreamStatus) {
	for _, err := range status.ParseErrors {
		r.meters.limits.unparsed.Inc(1)
		r.log.Info("relay: cannot parse upstream's announcement", "upstream", from.ID, "error", err)
	}
	if status.Announcement != nil {
		r.upstreams.ApplyAnnouncement(from, *status.Announcement, r.now())
		r.logLimitChanges()
	}
	if status.Backoff > 0 && r.upstreams.BackOff(from, status.Backoff, r.now()) {
		r.meters.limits.backoffs.Inc(1)
		r.log.Info("relay: upstream asks for rest", "upstream", from.ID, "for", status.Backoff)
	}
}

// logEndedBackoffs logs each backoff that has ended.
func (r *Relay) logEndedBackoffs() {
	for _, id := range r.upstreams.EndedBackoffs(r.now()) {
		r.log.Info("relay: upstream's rest is over", "upstream", id)
	}
}

// logLimitChanges logs each limit that was learned, changed or ended, and each upstream that
// announced that it is draining.
func (r *Relay) logLimitChanges() {
	for _, change := range r.upstreams.LimitChanges() {
		attrs := []any{
			"upstream", r.upstreams.UpstreamID(change.Upstream), "per_second", change.Rate, "before", change.OldRate,
			"source", change.Source.String(), "age", change.Age,
		}
		if change.StartsDraining {
			now := r.now()
			r.departures.note(change.Upstream, departure{at: now - change.Age, byResponse: true}, now)
			r.meters.limits.draining.Inc(1)
			r.log.Info("relay: upstream says that it leaves", attrs...)
		}
		switch {
		case change.Rate == change.OldRate:
		case math.IsInf(change.OldRate, 1):
			r.meters.limits.learned.Inc(1)
			r.log.Info("relay: upstream limits its requests", attrs...)
		case math.IsInf(change.Rate, 1):
			r.meters.limits.ended.Inc(1)
			r.log.Info("relay: upstream's limit ended", attrs...)
		default:
			r.meters.limits.changed.Inc(1)
			r.log.Info("relay: upstream's limit changed", attrs...)
		}
	}
}
