package peers

import (
	"context"
	"time"

	"sassafrasfield/internal/fanout"
	sfv1 "sassafrasfield/internal/gen/sf/v1"
	"sassafrasfield/internal/quota"
)

const (
	// coordinateAfter is how long a process must have run before it may coordinate the grants:
	// until then it may not know the instances that do.
	coordinateAfter = 900 * time.Millisecond
	// grantRequestTimeout bounds a request to the coordinator, which may be in another zone. A
	// round trip there takes some 2 ms, and a busy coordinator answers within 20 ms.
	grantRequestTimeout = 80 * time.Millisecond
	// grantResendDelay is when a request without an answer is sent once more. The request or its
	// answer may be lost, and a lost grant is one request less for the upstream.
	grantResendDelay = 30 * time.Millisecond
	// minorityShare is the factor on the share of the limits that a coordinator grants which
	// reaches half of the instances or fewer. It is below 1 because upstreams may get a burst on
	// top of their rates.
	minorityShare = 0.8
)

// Of the hubs of all zones, the one that ranks first coordinates the grants. Hubs know it from the
// reports of the other zones, all other instances from the batches of their hub.

// mayCoordinate reports whether this instance may coordinate the grants.
func (e *Exchange) mayCoordinate() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.canCoordinate(e.now())
}

// canCoordinate is mayCoordinate. The lock is held.
func (e *Exchange) canCoordinate(now time.Duration) bool {
	return now >= coordinateAfter && e.isHub(now)
}

// coordinates reports whether this instance coordinates the grants. The lock is held.
func (e *Exchange) coordinates(now time.Duration) bool {
	_, id := e.firstHub(now)
	return e.canCoordinate(now) && e.id > id
}

// firstHub returns the hub that ranks first among the hubs of other zones that may coordinate,
// and its ID; nil for none. The lock is held.
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

// coordinator returns the address of the instance that coordinates the grants, as known here;
// empty for none.
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

// grantShare returns the share of the upstreams' limits that this instance grants; 0 if another
// one coordinates. A coordinator that reaches most of the instances grants the full limits, so
// that the failure of a few instances costs nothing. One that is cut off with a minority grants
// less than the share of the instances it reaches, so that the parts of a split fleet together
// stay below one and a half times the limits.
func (e *Exchange) grantShare() float64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := e.now()
	if !e.coordinates(now) {
		return 0
	}
	reached, all := e.reachedCount(now)
	if 2*reached > all {
		return 1
	}
	return minorityShare * float64(reached) / float64(all)
}

// reachedCount returns the number of instances that this instance reaches as a hub, and the number of all. The
// lock is held.
func (e *Exchange) reachedCount(now time.Duration) (reached, all int) {
	reached = e.roster.AliveCount(now)
	for _, z := range e.zones {
		if now-z.at <= hubTimeout {
			reached += z.instances
		}
	}
	return reached, max(e.recentCount.value, len(e.peers)+1, reached)
}

// RequestGrant requests one send to an upstream with a limit from the coordinator. It returns a
// refusal if no answer arrives in time.
func (r *Reporter) RequestGrant(ctx context.Context, request quota.GrantRequest) quota.Verdict {
	request.From = uint64(r.exchange.id)
	coordinator := r.exchange.coordinator()
	if coordinator == r.exchange.self.Address {
		return r.loads.DecideGrant(request)
	}
	if coordinator == "" {
		return quota.Verdict{RetryIn: quota.NoCoordinatorRetry}
	}
	verdict, ok := ask(ctx, r.grantRequests, func(id uint64) { r.sendGrantRequest(id, request, coordinator) })
	if ok {
		return verdict
	}
	if ctx.Err() == nil {
		r.exchange.log.Info("peers: no word from the coordinator of the grants", "coordinator", coordinator)
	}
	return quota.Verdict{RetryIn: quota.NoCoordinatorRetry}
}

// ask sends a request to the coordinator, once more if the answer does not come soon, and returns the answer. It
// returns false if none arrives within grantRequestTimeout or before the context ends.
func ask[Answer any](ctx context.Context, pending *pendingRequests[Answer], send func(id uint64)) (Answer, bool) {
	id, answer := pending.register()
	defer pending.cancel(id)
	send(id)
	timer, resend := time.NewTimer(grantRequestTimeout), time.NewTimer(grantResendDelay)
	defer timer.Stop()
	defer resend.Stop()
	for {
		select {
		case value := <-answer:
			return value, true
		case <-resend.C:
			send(id)
			continue
		case <-timer.C:
		case <-ctx.Done():
		}
		var none Answer
		return none, false
	}
}

func (r *Reporter) sendGrantRequest(id uint64, request quota.GrantRequest, to string) {
	message := r.newDatagram(sfv1.Datagram_KIND_LIMIT_ASK)
	message.LimitAsk = &sfv1.LimitAsk{
		Id: id, Limit: limitToMessage(request.Limit), FirstHand: request.FirstHand, Priority: uint32(max(0, request.Priority)), Continues: request.Continues,
	}
	r.send(message, []string{to})
}

// handleGrantRequest answers a request for a send to an upstream with a limit.
func (r *Reporter) handleGrantRequest(m *sfv1.LimitAsk, peer *peerState) {
	request := quota.GrantRequest{
		From: uint64(peer.ID()), Limit: limitFromMessage(m.GetLimit()), FirstHand: m.GetFirstHand(), Priority: int(m.GetPriority()), Continues: m.GetContinues(),
	}
	verdict := r.verdicts.verdict(grantRequestKey{peer.ID(), m.GetId()}, r.exchange.now(), func() quota.Verdict { return r.loads.DecideGrant(request) })
	reply := r.newDatagram(sfv1.Datagram_KIND_LIMIT_VERDICT)
	reply.LimitVerdict = &sfv1.LimitVerdict{Id: m.GetId(), Granted: verdict.Granted, RetryMs: uint32(verdict.RetryIn.Milliseconds())}
	r.send(reply, []string{peer.Address})
}

func verdictFromMessage(m *sfv1.LimitVerdict) quota.Verdict {
	return quota.Verdict{Granted: m.GetGranted(), RetryIn: time.Duration(m.GetRetryMs()) * time.Millisecond}
}
