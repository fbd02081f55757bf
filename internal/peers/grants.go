package peers

import (
	"context"
	"maps"
	"sync"
	"time"

	"sassafrasfield/internal/fanout"
	sfv1 "sassafrasfield/internal/gen/sf/v1"
	"sassafrasfield/internal/quota"
)

const (
	// mayCoordinateFrom is how long a process has run when it may coordinate the grants:
	// until then it may not have heard of those who do.
	mayCoordinateFrom = 1500 * time.Millisecond
	// limitAskTimeout bounds a question to the coordinator, which may be in another zone, a
	// round trip of some 2 ms away, and takes up to 20 ms when it is busy.
	limitAskTimeout = 80 * time.Millisecond
	// askLimitAgain is when a question without a word is sent once more: it or its answer may
	// be lost, and a grant that nobody hears of is one request less for the upstream.
	askLimitAgain = 30 * time.Millisecond
	// cutOffShare is how much of their part those give out who reach the fewer instances:
	// what their upstreams may get at once comes on top of the rates.
	cutOffShare = 0.8
)

// The hub that ranks first of those of all zones coordinates the grants. Hubs know it from
// the zones' reports, all others from their hub's batches.

// mayCoordinate tells whether this instance could coordinate the grants.
func (e *Exchange) mayCoordinate() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.mayLead(e.now())
}

// mayLead is mayCoordinate. The lock is held.
func (e *Exchange) mayLead(now time.Duration) bool { return now >= mayCoordinateFrom && e.passes(now) }

// leads tells whether this instance coordinates the grants. The lock is held.
func (e *Exchange) leads(now time.Duration) bool {
	_, id := e.firstHub(now)
	return e.mayLead(now) && e.id > id
}

// firstHub is the hub of another zone that ranks first of those that may coordinate; nil for
// none. The lock is held.
func (e *Exchange) firstHub(now time.Duration) (*known, fanout.ID) {
	var first *known
	var rank fanout.ID
	for _, z := range e.zones {
		if z.mayCoordinate && now-z.at <= hubFor && z.hub.ID() > rank {
			first, rank = z.hub, z.hub.ID()
		}
	}
	return first, rank
}

// coordinator is the address of the instance that coordinates the grants, as far as it is
// known here; empty for none.
func (e *Exchange) coordinator() string {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := e.now()
	switch first, _ := e.firstHub(now); {
	case e.leads(now):
		return e.self.Address
	case e.passes(now) && first != nil:
		return first.Address
	case !e.passes(now) && now-e.batch.at <= hubFor:
		return e.batch.coordinator
	default:
		return ""
	}
}

// grantShare is the part of upstreams' limits that this instance gives out; 0 when another
// one does. Whoever reaches most of the instances gives out all, so that the death of a few
// costs nothing. Those who are cut off with fewer give out less than their part, so that all
// sides together stay below one and a half times the limits.
func (e *Exchange) grantShare() float64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := e.now()
	if !e.leads(now) {
		return 0
	}
	reached := e.roster.AliveCount(now)
	for _, z := range e.zones {
		if now-z.at <= hubFor {
			reached += z.instances
		}
	}
	all := max(e.count.value, len(e.peers)+1, reached)
	if 2*reached > all {
		return 1
	}
	return cutOffShare * float64(reached) / float64(all)
}

// RequestGrant asks the coordinator for one send to an upstream with a limit. Without a word in
// time there is none.
func (r *Reporter) RequestGrant(ctx context.Context, ask quota.GrantRequest) quota.Verdict {
	ask.From = uint64(r.exchange.id)
	coordinator := r.exchange.coordinator()
	if coordinator == r.exchange.self.Address {
		return r.loads.DecideGrant(ask)
	}
	if coordinator == "" {
		return quota.Verdict{RetryIn: quota.NoCoordinatorRetry}
	}
	id, answer := r.limitAsks.begin()
	defer r.limitAsks.end(id)
	r.sendLimitAsk(id, ask, coordinator)
	timer, again := time.NewTimer(limitAskTimeout), time.NewTimer(askLimitAgain)
	defer timer.Stop()
	defer again.Stop()
	for {
		select {
		case verdict := <-answer:
			return verdict
		case <-again.C:
			r.sendLimitAsk(id, ask, coordinator)
		case <-timer.C:
			r.exchange.log.Info("peers: no word from the coordinator of the grants", "coordinator", coordinator)
			return quota.Verdict{RetryIn: quota.NoCoordinatorRetry}
		case <-ctx.Done():
			return quota.Verdict{RetryIn: quota.NoCoordinatorRetry}
		}
	}
}

func (r *Reporter) sendLimitAsk(id uint64, ask quota.GrantRequest, to string) {
	message := r.message(sfv1.Datagram_KIND_LIMIT_ASK)
	message.LimitAsk = &sfv1.LimitAsk{
		Id: id, Limit: limitToMessage(ask.Limit), FirstHand: ask.FirstHand, Priority: uint32(max(0, ask.Priority)), Continues: ask.Continues,
	}
	r.send(message, []string{to})
}

// takeLimitAsk answers a question for a send to an upstream with a limit.
func (r *Reporter) takeLimitAsk(m *sfv1.LimitAsk, k *known) {
	ask := quota.GrantRequest{
		From: uint64(k.ID()), Limit: limitFromMessage(m.GetLimit()), FirstHand: m.GetFirstHand(), Priority: int(m.GetPriority()), Continues: m.GetContinues(),
	}
	verdict := r.verdicts.of(question{k.ID(), m.GetId()}, r.exchange.now(), func() quota.Verdict { return r.loads.DecideGrant(ask) })
	reply := r.message(sfv1.Datagram_KIND_LIMIT_VERDICT)
	reply.LimitVerdict = &sfv1.LimitVerdict{Id: m.GetId(), Granted: verdict.Granted, RetryMs: uint32(verdict.RetryIn.Milliseconds())}
	r.send(reply, []string{k.Address})
}

// question names one for a send to an upstream with a limit.
type question struct {
	from fanout.ID
	id   uint64
}

// given is a verdict on a question, as of when it was given.
type given struct {
	verdict quota.Verdict
	at      time.Duration
}

// verdicts are those that were given lately, so that a question which comes twice is decided once.
type verdicts struct {
	mu    sync.Mutex // protects all below
	given map[question]given
	// sweepAt is when to look for those that no question can ask for any more.
	sweepAt time.Duration
}

func newVerdicts() *verdicts { return &verdicts{given: map[question]given{}} }

// of returns the verdict on a question, which is decided unless that was done lately.
func (v *verdicts) of(q question, now time.Duration, decide func() quota.Verdict) quota.Verdict {
	v.mu.Lock()
	defer v.mu.Unlock()
	if now >= v.sweepAt {
		v.sweepAt = now + limitAskTimeout
		maps.DeleteFunc(v.given, func(_ question, g given) bool { return now-g.at > limitAskTimeout })
	}
	if g, ok := v.given[q]; ok {
		return g.verdict
	}
	verdict := decide()
	v.given[q] = given{verdict, now}
	return verdict
}

func verdictFromMessage(m *sfv1.LimitVerdict) quota.Verdict {
	return quota.Verdict{Granted: m.GetGranted(), RetryIn: time.Duration(m.GetRetryMs()) * time.Millisecond}
}
