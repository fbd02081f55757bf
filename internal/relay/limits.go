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

// limitMeters count what became of upstreams' limits.
type limitMeters struct {
	// learned, changed and ended count the limits, unparsed the words that could not be read.
	learned, changed, ended, unparsed metrics.Counter
	// draining counts the upstreams that said that they leave, backoffs the times that they asked
	// for rest.
	draining, backoffs metrics.Counter
	// granted and declined count the sends for which a grant was asked, withheld those to
	// upstreams that leave or rest.
	granted, declined, withheld metrics.Counter
	// refused count the requests that no upstream had room for, refusedBackingOff those that none
	// takes as they rest, refusedDraining those of services whose upstreams all leave.
	refused, refusedBackingOff, refusedDraining metrics.Counter
	// given and denied count the answers to instances that asked this one.
	given, denied metrics.Counter
}

func newLimitMeters() limitMeters {
	return limitMeters{
		learned: counter("limits_learned"), changed: counter("limits_changed"), ended: counter("limits_ended"),
		unparsed: counter("words_unread"), draining: counter("upstreams_leaving"), backoffs: counter("upstream_rests"), granted: counter("limit_granted"), declined: counter("limit_declined"),
		withheld: counter("sends_withheld"), refused: counter("refused_limited"), refusedBackingOff: counter("refused_resting"), refusedDraining: counter("refused_leaving"), given: counter("grants_given"), denied: counter("grants_denied"),
	}
}

// admittingSender has all that is sent to upstreams pass what they announce: first sends and
// repeated ones, prompts alone, answers that go on, and whatever comes to be sent.
type admittingSender struct {
	Sender
	relay *Relay
}

// Send implements Sender.
func (s admittingSender) Send(ctx context.Context, req *Request, send Send) (*Reply, error) {
	if err := s.relay.admit(ctx, req, send); err != nil {
		return nil, err
	}
	return s.Sender.Send(ctx, req, send)
}

// Prefill implements Sender.
func (s admittingSender) Prefill(ctx context.Context, req *Request, send Send) (KV, upstreamstate.Load, error) {
	if err := s.relay.admit(ctx, req, send); err != nil {
		return KV{}, upstreamstate.Load{}, err
	}
	return s.Sender.Prefill(ctx, req, send)
}

// admit returns why a request must not be sent to an upstream now, by what that has announced.
// Words may have come since the upstream was chosen, and while a grant was waited for.
func (r *Relay) admit(ctx context.Context, req *Request, send Send) error {
	if !r.acquireGrant(ctx, req, send) {
		return ErrLimited
	}
	if r.upstreams.Leaves(send.To) && !send.continuesAtCopy() {
		r.recordWithheld(req, send, ErrDraining)
		return ErrDraining
	}
	if r.BackingOff(send.To) {
		r.recordWithheld(req, send, ErrBackingOff)
		return ErrBackingOff
	}
	return nil
}

// BackingOff tells whether an upstream wants nothing from this instance now.
func (r *Relay) BackingOff(u upstreamstate.Upstream) bool {
	return r.upstreams.Resting(u.Incarnation(), r.now()) > 0
}

// recordWithheld notes that a request is not sent to the upstream that was chosen for it.
func (r *Relay) recordWithheld(req *Request, send Send, why error) {
	r.meters.limits.withheld.Inc(1)
	r.log.Info("relay: send withheld", "request", req.ID, "upstream", send.To.ID, "error", why)
}

// SetGrantRequester sets how a send to an upstream with a limit is asked for at the instance that
// coordinates the grants.
func (r *Relay) SetGrantRequester(ask func(context.Context, quota.Ask) quota.Verdict) {
	r.requestGrant.Store(&ask)
}

// minGrantRetry is the least time between two questions for one upstream that had no room.
const minGrantRetry = 5 * time.Millisecond

// acquireGrant tells whether a request may be sent to an upstream by its limit. The grant is asked
// for before each send, as no instance can know the sum of what all send.
func (r *Relay) acquireGrant(ctx context.Context, req *Request, send Send) bool {
	if send.Granted {
		return true
	}
	upstream, now := send.To.Incarnation(), r.now()
	limit, firstHand, _ := r.upstreams.Limit(upstream, now)
	if !limit.Limits() {
		return true
	}
	if r.upstreams.IsSpent(upstream, send.Priority, now) && !send.Continues {
		r.meters.limits.declined.Inc(1)
		return false
	}
	verdict := quota.Verdict{RetryIn: quota.NoWordRetry}
	if ask := r.requestGrant.Load(); ask != nil {
		verdict = (*ask)(ctx, quota.Ask{Word: limit, FirstHand: firstHand, Priority: send.Priority, Continues: send.Continues})
	}
	r.log.Info("relay: send to a limited upstream", "request", req.ID, "upstream", send.To.ID, "per_second", limit.Rate,
		"limit_age", limit.Age, "granted", verdict.Granted, "retry_in", verdict.RetryIn, "took", r.now()-now)
	if verdict.Granted {
		r.meters.limits.granted.Inc(1)
		return true
	}
	r.meters.limits.declined.Inc(1)
	r.upstreams.Spent(upstream, send.Priority, r.now()+max(verdict.RetryIn, minGrantRetry))
	return false
}

// reserve asks for room at an engine that generates, where all of them limit their requests.
// Otherwise the prompts of those would be processed for nothing that find none afterwards.
func (r *Relay) reserve(ctx context.Context, g *generation) bool {
	if g.reserved != "" || !r.upstreams.GeneratorsLimited(g.placementRequest(r.now()), r.now()) {
		return true
	}
	for range r.upstreams.Count(g.service) {
		engine, ok := r.upstreams.PickDecode(g.placementRequest(r.now()), r.settings.Zone, r.now())
		if !ok {
			return false
		}
		granted := r.acquireGrant(ctx, g.req, g.newSend(r.upstreams.Upstream(engine.ID), r.now()))
		r.upstreams.End(engine.ID, g.req.ID, r.now())
		if granted {
			g.reserved = engine.ID
			return true
		}
	}
	return false
}

// refuseUnavailable is the refusal of a request that no upstream of its service takes, by what
// they have announced; nil where that is not to blame.
func (r *Relay) refuseUnavailable(x *exchange) error {
	if r.upstreams.AllLeave(x.service) {
		r.meters.limits.refusedDraining.Inc(1)
		return &Refusal{Outcome: NotRun, Reason: "all upstreams leave", RetryIn: r.retryIn(x)}
	}
	in, resting, found := r.upstreams.AllowanceIn(x.placementRequest(r.now()), r.now())
	switch {
	case !found:
		return nil
	case resting:
		r.meters.limits.refusedBackingOff.Inc(1)
		return &Refusal{Outcome: NotRun, Reason: "upstreams asked for rest", RetryIn: jittered(in)}
	}
	r.meters.limits.refused.Inc(1)
	return &Refusal{Outcome: NotRun, Reason: "the upstreams' limits leave no room", RetryIn: jittered(in)}
}

// grants are those that this instance gives out while it coordinates them for all.
type grants struct {
	mu    sync.Mutex // protects state
	state *quota.Grants
}

func newGrants() *grants { return &grants{state: quota.NewGrants()} }

// SetGrantShare takes the part of upstreams' limits that this instance gives out; 0 for none.
func (r *Relay) SetGrantShare(share float64) {
	r.grants.mu.Lock()
	before := r.grants.state.Share()
	r.grants.state.Keep(share, r.now())
	r.grants.mu.Unlock()
	if share != before {
		r.log.Info("relay: coordinates upstreams' limits", "share", share, "before", before)
	}
}

// DecideGrant decides on one send to an upstream with a limit, of this instance or of
// another one.
func (r *Relay) DecideGrant(ask quota.Ask) quota.Verdict {
	r.grants.mu.Lock()
	verdict := r.grants.state.Decide(r.upstreams, ask, r.now())
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
func (r *Relay) Limits() []quota.Word { return r.upstreams.Limits(r.now()) }

// ApplyLimits takes what an instance of this zone, or of another one, knows of them.
func (r *Relay) ApplyLimits(words []quota.Word, beside bool) {
	r.upstreams.HearLimits(words, beside, r.now())
	r.logLimitChanges()
}

// applyStatement takes what an upstream says of itself with an answer.
func (r *Relay) applyStatement(from upstreamstate.Upstream, s upstreamstate.Statement) {
	for _, err := range s.Unread {
		r.meters.limits.unparsed.Inc(1)
		r.log.Info("relay: upstream's word cannot be read", "upstream", from.ID, "error", err)
	}
	if s.Announcement != nil {
		r.upstreams.Announced(from, *s.Announcement, r.now())
		r.logLimitChanges()
	}
	if s.Rest > 0 && r.upstreams.RestFor(from, s.Rest, r.now()) {
		r.meters.limits.backoffs.Inc(1)
		r.log.Info("relay: upstream asks for rest", "upstream", from.ID, "for", s.Rest)
	}
}

// logEndedBackoffs writes a line on each rest that is over.
func (r *Relay) logEndedBackoffs() {
	for _, id := range r.upstreams.RestsOver(r.now()) {
		r.log.Info("relay: upstream's rest is over", "upstream", id)
	}
}

// logLimitChanges writes a line on each limit that was learned, changed or ended, and on each
// upstream that leaves.
func (r *Relay) logLimitChanges() {
	for _, c := range r.upstreams.LimitChanges() {
		inputs := []any{
			"upstream", r.upstreams.NameOf(c.Upstream), "per_second", c.Rate, "before", c.Before,
			"source", c.Scope.String(), "age", c.Age,
		}
		if c.Leaves {
			r.meters.limits.draining.Inc(1)
			r.log.Info("relay: upstream says that it leaves", inputs...)
		}
		switch {
		case c.Rate == c.Before:
		case math.IsInf(c.Before, 1):
			r.meters.limits.learned.Inc(1)
			r.log.Info("relay: upstream limits its requests", inputs...)
		case math.IsInf(c.Rate, 1):
			r.meters.limits.ended.Inc(1)
			r.log.Info("relay: upstream's limit ended", inputs...)
		default:
			r.meters.limits.changed.Inc(1)
			r.log.Info("relay: upstream's limit changed", inputs...)
		}
	}
}
