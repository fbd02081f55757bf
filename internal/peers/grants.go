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
	// coordinateAfter is how long a process has run when it may coordinate the grants:
	// until then it may not have heard of those who do.
	coordinateAfter = 1500 * time.Millisecond
	// grantRequestTimeout bounds a question to the coordinator, which may be in another zone, a
	// round trip of some 2 ms away, and takes up to 20 ms when it is busy.
	grantRequestTimeout = 80 * time.Millisecond
	// grantResendDelay is when a question without a word is sent once more: it or its answer may
	// be lost, and a grant that nobody hears of is one request less for the upstream.
	grantResendDelay = 30 * time.Millisecond
	// minorityShare is how much of their part those give out who reach the fewer instances:
	// what their upstreams may get at once comes on top of the rates.
	minorityShare = 0.8
)

// The hub that ranks first of those of all zones coordinates the grants. Hubs know it from
// the zones' reports, all others from their hub's batches.

// mayCoordinate tells whether this instance could coordinate the grants.
func (e *Exchange) mayCoordinate() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.canCoordinate(e.now())
}

// canCoordinate is mayCoordinate. The lock is held.
func (e *Exchange) canCoordinate(now time.Duration) bool {
	return now >= coordinateAfter && e.isHub(now)
}

// coordinates tells whether this instance coordinates the grants. The lock is held.
func (e *Exchange) coordinates(now time.Duration) bool {
	_, id := e.firstHub(now)
	return e.canCoordinate(now) && e.id > id
}

// firstHub is the hub of another zone that ranks first of those that may coordinate; nil for
// none. The lock is held.
func (e *Exchange) firstHub(now time.Duration) (*peerState, fanout.ID) {
	var first *peerState
	var rank fanout.ID
	for _, z := range e.zones {
		if z.mayCoordinate && now-z.at <= hubTimeout && z.hub.ID() > rank {
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
	case e.coordinates(now):
		return e.self.Address
	case e.isHub(now) && first != nil:
		return first.Address
	case !e.isHub(now) && now-e.lastBatch.at <= hubTimeout:
		return e.lastBatch.coordinator
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
	if !e.coordinates(now) {
		return 0
	}
	reached := e.roster.AliveCount(now)
	for _, z := range e.zones {
		if now-z.at <= hubTimeout {
			reached += z.instances
		}
	}
	all := max(e.recentCount.value, len(e.peers)+1, reached)
	if 2*reached > all {
		return 1
	}
	return minorityShare * float64(reached) / float64(all)
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
	id, answer := r.grantRequests.register()
	defer r.grantRequests.cancel(id)
	r.sendGrantRequest(id, ask, coordinator)
	timer, again := time.NewTimer(grantRequestTimeout), time.NewTimer(grantResendDelay)
	defer timer.Stop()
	defer again.Stop()
	for {
		select {
		case verdict := <-answer:
			return verdict
		case <-again.C:
			r.sendGrantRequest(id, ask, coordinator)
		case <-timer.C:
			r.exchange.log.Info("peers: no word from the coordinator of the grants", "coordinator", coordinator)
			return quota.Verdict{RetryIn: quota.NoCoordinatorRetry}
		case <-ctx.Done():
			return quota.Verdict{RetryIn: quota.NoCoordinatorRetry}
		}
	}
}

func (r *Reporter) sendGrantRequest(id uint64, ask quota.GrantRequest, to string) {
	message := r.newDatagram(sfv1.Datagram_KIND_LIMIT_ASK)
	message.LimitAsk = &sfv1.LimitAsk{
		Id: id, Limit: limitToMessage(ask.Limit), FirstHand: ask.FirstHand, Priority: uint32(max(0, ask.Priority)), Continues: ask.Continues,
	}
	r.send(message, []string{to})
}

// handleGrantRequest answers a question for a send to an upstream with a limit.
func (r *Reporter) handleGrantRequest(m *sfv1.LimitAsk, k *peerState) {
	ask := quota.GrantRequest{
		From: uint64(k.ID()), Limit: limitFromMessage(m.GetLimit()), FirstHand: m.GetFirstHand(), Priority: int(m.GetPriority()), Continues: m.GetContinues(),
	}
	verdict := r.verdicts.verdict(grantRequestKey{k.ID(), m.GetId()}, r.exchange.now(), func() quota.Verdict { return r.loads.DecideGrant(ask) })
	reply := r.newDatagram(sfv1.Datagram_KIND_LIMIT_VERDICT)
	reply.LimitVerdict = &sfv1.LimitVerdict{Id: m.GetId(), Granted: verdict.Granted, RetryMs: uint32(verdict.RetryIn.Milliseconds())}
	r.send(reply, []string{k.Address})
}

// grantRequestKey names one for a send to an upstream with a limit.
type grantRequestKey struct {
	from fanout.ID
	id   uint64
}

// cachedVerdict is a verdict on a question, as of when it was cachedVerdict.
type cachedVerdict struct {
	verdict quota.Verdict
	at      time.Duration
}

// verdictCache are those that were given lately, so that a question which comes twice is decided once.
type verdictCache struct {
	mu      sync.Mutex // protects all below
	entries map[grantRequestKey]cachedVerdict
	// sweepAt is when to look for those that no question can ask for any more.
	sweepAt time.Duration
}

func newVerdictCache() *verdictCache {
	return &verdictCache{entries: map[grantRequestKey]cachedVerdict{}}
}

// verdict returns the verdict on a question, which is decided unless that was done lately.
func (v *verdictCache) verdict(q grantRequestKey, now time.Duration, decide func() quota.Verdict) quota.Verdict {
	v.mu.Lock()
	defer v.mu.Unlock()
	if now >= v.sweepAt {
		v.sweepAt = now + grantRequestTimeout
		maps.DeleteFunc(v.entries, func(_ grantRequestKey, g cachedVerdict) bool { return now-g.at > grantRequestTimeout })
	}
	if g, ok := v.entries[q]; ok {
		return g.verdict
	}
	verdict := decide()
	v.entries[q] = cachedVerdict{verdict, now}
	return verdict
}

func verdictFromMessage(m *sfv1.LimitVerdict) quota.Verdict {
	return quota.Verdict{Granted: m.GetGranted(), RetryIn: time.Duration(m.GetRetryMs()) * time.Millisecond}
}
