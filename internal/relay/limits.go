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
	// learned, changed and ended count the limits, unread the words that could not be read.
	learned, changed, ended, unread metrics.Counter
	// leaving counts the upstreams that said that they leave, rests the times that they asked
	// for rest.
	leaving, rests metrics.Counter
	// granted and declined count the sends for which a grant was asked, withheld those to
	// upstreams that leave or rest.
	granted, declined, withheld metrics.Counter
	// refused count the requests that no upstream had room for, refusedResting those that none
	// takes as they rest, refusedLeaving those of services whose upstreams all leave.
	refused, refusedResting, refusedLeaving metrics.Counter
	// given and denied count the answers to instances that asked this one.
	given, denied metrics.Counter
}

func newLimitMeters() limitMeters {
	return limitMeters{
		learned: counter("limits_learned"), changed: counter("limits_changed"), ended: counter("limits_ended"),
		unread: counter("words_unread"), leaving: counter("upstreams_leaving"), rests: counter("upstream_rests"), granted: counter("limit_granted"), declined: counter("limit_declined"),
		withheld: counter("sends_withheld"), refused: counter("refused_limited"), refusedResting: counter("refused_resting"), refusedLeaving: counter("refused_leaving"), given: counter("grants_given"), denied: counter("grants_denied"),
	}
}

// limitedSender has all that is sent to upstreams pass what they announce: first sends and
// repeated ones, prompts alone, answers that go on, and whatever comes to be sent.
type limitedSender struct {
	Sender
	relay *Relay
}

// Send implements Sender.
func (s limitedSender) Send(ctx context.Context, req *Request, send Send) (*Reply, error) {
	if err := s.relay.admit(ctx, req, send); err != nil {
		return nil, err
	}
	return s.Sender.Send(ctx, req, send)
}

// Prefill implements Sender.
func (s limitedSender) Prefill(ctx context.Context, req *Request, send Send) (KV, upstreamstate.Load, error) {
	if err := s.relay.admit(ctx, req, send); err != nil {
		return KV{}, upstreamstate.Load{}, err
	}
	return s.Sender.Prefill(ctx, req, send)
}

// admit returns why a request must not be sent to an upstream now, by what that has announced.
// Words may have come since the upstream was chosen, and while a grant was waited for.
func (r *Relay) admit(ctx context.Context, req *Request, send Send) error {
	if !r.allowed(ctx, req, send) {
		return ErrLimited
	}
	if r.picture.IsDraining(send.To) && !send.goesOnAtCopy() {
		r.withhold(req, send, ErrDraining)
		return ErrDraining
	}
	if r.BackingOff(send.To) {
		r.withhold(req, send, ErrBackingOff)
		return ErrBackingOff
	}
	return nil
}

// BackingOff tells whether an upstream wants nothing from this instance now.
func (r *Relay) BackingOff(u upstreamstate.Upstream) bool {
	return r.picture.BackoffLeft(u.Incarnation(), r.now()) > 0
}

// withhold notes that a request is not sent to the upstream that was chosen for it.
func (r *Relay) withhold(req *Request, send Send, why error) {
	r.meters.limits.withheld.Inc(1)
	r.log.Info("relay: send withheld", "request", req.ID, "upstream", send.To.ID, "error", why)
}

// SetGrantRequester sets how a send to an upstream with a limit is asked for at the instance that
// coordinates the grants.
func (r *Relay) SetGrantRequester(ask func(context.Context, quota.GrantRequest) quota.Verdict) {
	r.askLimit.Store(&ask)
}

// leastWait is the least time between two questions for one upstream that had no room.
const leastWait = 5 * time.Millisecond

// allowed tells whether a request may be sent to an upstream by its limit. The grant is asked
// for before each send, as no instance can know the sum of what all send.
func (r *Relay) allowed(ctx context.Context, req *Request, send Send) bool {
	if send.Granted {
		return true
	}
	upstream, now := send.To.Incarnation(), r.now()
	limit, firstHand, _ := r.picture.Limit(upstream, now)
	if !limit.Limited() {
		return true
	}
	if r.picture.IsExhausted(upstream, send.Priority, now) && !send.Continues {
		r.meters.limits.declined.Inc(1)
		return false
	}
	verdict := quota.Verdict{RetryIn: quota.NoCoordinatorRetry}
	if ask := r.askLimit.Load(); ask != nil {
		verdict = (*ask)(ctx, quota.GrantRequest{Limit: limit, FirstHand: firstHand, Priority: send.Priority, Continues: send.Continues})
	}
	r.log.Info("relay: send to a limited upstream", "request", req.ID, "upstream", send.To.ID, "per_second", limit.Rate,
		"limit_age", limit.Age, "granted", verdict.Granted, "retry_in", verdict.RetryIn, "took", r.now()-now)
	if verdict.Granted {
		r.meters.limits.granted.Inc(1)
		return true
	}
	r.meters.limits.declined.Inc(1)
	r.picture.MarkExhausted(upstream, send.Priority, r.now()+max(verdict.RetryIn, leastWait))
	return false
}

// reserve asks for room at an engine that generates, where all of them limit their requests.
// Otherwise the prompts of those would be processed for nothing that find none afterwards.
func (r *Relay) reserve(ctx context.Context, g *generation) bool {
	if g.reserved != "" || !r.picture.DecodeEnginesLimited(g.ask(r.now()), r.now()) {
		return true
	}
	for range r.picture.Count(g.service) {
		engine, ok := r.picture.PickDecode(g.ask(r.now()), r.settings.Zone, r.now())
		if !ok {
			return false
		}
		granted := r.allowed(ctx, g.req, g.send(r.picture.Upstream(engine.ID), r.now()))
		r.picture.RequestDone(engine.ID, g.req.ID, r.now())
		if granted {
			g.reserved = engine.ID
			return true
		}
	}
	return false
}

// refuseAnnounced is the refusal of a request that no upstream of its service takes, by what
// they have announced; nil where that is not to blame.
func (r *Relay) refuseAnnounced(x *exchange) error {
	if r.picture.AllDraining(x.service) {
		r.meters.limits.refusedLeaving.Inc(1)
		return &Refusal{Outcome: NotRun, Reason: "all upstreams leave", RetryIn: r.retryIn(x)}
	}
	in, resting, found := r.picture.AvailableIn(x.ask(r.now()), r.now())
	switch {
	case !found:
		return nil
	case resting:
		r.meters.limits.refusedResting.Inc(1)
		return &Refusal{Outcome: NotRun, Reason: "upstreams asked for rest", RetryIn: jittered(in)}
	}
	r.meters.limits.refused.Inc(1)
	return &Refusal{Outcome: NotRun, Reason: "the upstreams' limits leave no room", RetryIn: jittered(in)}
}

// grants are those that this instance gives out while it coordinates them for all.
type grants struct {
	mu    sync.Mutex // protects state
	state *quota.Coordinator
}

func newGrants() *grants { return &grants{state: quota.NewCoordinator()} }

// SetGrantShare takes the part of upstreams' limits that this instance gives out; 0 for none.
func (r *Relay) SetGrantShare(share float64) {
	r.grants.mu.Lock()
	before := r.grants.state.Share()
	r.grants.state.SetShare(share, r.now())
	r.grants.mu.Unlock()
	if share != before {
		r.log.Info("relay: coordinates upstreams' limits", "share", share, "before", before)
	}
}

// DecideGrant decides on one send to an upstream with a limit, of this instance or of
// another one.
func (r *Relay) DecideGrant(ask quota.GrantRequest) quota.Verdict {
	r.grants.mu.Lock()
	verdict := r.grants.state.Decide(r.picture, ask, r.now())
	r.grants.mu.Unlock()
	r.showLimits()
	if verdict.Granted {
		r.meters.limits.given.Inc(1)
	} else {
		r.meters.limits.denied.Inc(1)
	}
	return verdict
}

// Limits returns what is known of upstreams' limits.
func (r *Relay) Limits() []quota.UpstreamLimit { return r.picture.Limits(r.now()) }

// ApplyLimits takes what an instance of this zone, or of another one, knows of them.
func (r *Relay) ApplyLimits(words []quota.UpstreamLimit, beside bool) {
	r.picture.ApplyLimits(words, beside, r.now())
	r.showLimits()
}

// hear takes what an upstream says of itself with an answer.
func (r *Relay) hear(from upstreamstate.Upstream, s upstreamstate.UpstreamStatus) {
	for _, err := range s.ParseErrors {
		r.meters.limits.unread.Inc(1)
		r.log.Info("relay: upstream's word cannot be read", "upstream", from.ID, "error", err)
	}
	if s.Announcement != nil {
		r.picture.Announced(from, *s.Announcement, r.now())
		r.showLimits()
	}
	if s.Backoff > 0 && r.picture.BackOff(from, s.Backoff, r.now()) {
		r.meters.limits.rests.Inc(1)
		r.log.Info("relay: upstream asks for rest", "upstream", from.ID, "for", s.Backoff)
	}
}

// showRests writes a line on each rest that is over.
func (r *Relay) showRests() {
	for _, id := range r.picture.EndedBackoffs(r.now()) {
		r.log.Info("relay: upstream's rest is over", "upstream", id)
	}
}

// showLimits writes a line on each limit that was learned, changed or ended, and on each
// upstream that leaves.
func (r *Relay) showLimits() {
	for _, c := range r.picture.LimitChanges() {
		inputs := []any{
			"upstream", r.picture.UpstreamID(c.Upstream), "per_second", c.Rate, "before", c.OldRate,
			"source", c.Source.String(), "age", c.Age,
		}
		if c.StartsDraining {
			r.meters.limits.leaving.Inc(1)
			r.log.Info("relay: upstream says that it leaves", inputs...)
		}
		switch {
		case c.Rate == c.OldRate:
		case math.IsInf(c.OldRate, 1):
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
