package peers

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	sfv1 "sassafrasfield/internal/gen/sf/v1"
)

// retryRequestTimeout bounds a request to the zone's hub. A round trip in a zone takes 0.3 ms,
// and a busy instance with a fifth of a core answers within some 20 ms.
const retryRequestTimeout = 50 * time.Millisecond

// pendingRequests are the requests of one kind that wait for an answer.
type pendingRequests[Answer any] struct {
	mu sync.Mutex // protects all below
	// last is the id of the newest request.
	last    uint64
	waiting map[uint64]chan Answer
}

// newPendingRequests returns no pending requests. Ids start at a random number, so that a late answer to an earlier
// process of this instance resolves no request of this one.
func newPendingRequests[Answer any]() *pendingRequests[Answer] {
	return &pendingRequests[Answer]{last: uint64(rand.Uint32()), waiting: map[uint64]chan Answer{}}
}

func (a *pendingRequests[Answer]) register() (uint64, <-chan Answer) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.last++
	answer := make(chan Answer, 1)
	a.waiting[a.last] = answer
	return a.last, answer
}

func (a *pendingRequests[Answer]) cancel(id uint64) {
	a.mu.Lock()
	defer a.mu.Unlock()
	delete(a.waiting, id)
}

// resolve delivers an answer. Late and repeated answers are ignored.
func (a *pendingRequests[Answer]) resolve(id uint64, value Answer) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if answer, ok := a.waiting[id]; ok {
		delete(a.waiting, id)
		answer <- value
	}
}

// RequestRetry requests one retry for a service from the retry pool of the zone's hub.
// Service is a hash of its name.
func (r *Reporter) RequestRetry(ctx context.Context, service uint32) bool {
	hub, self := r.exchange.hubAddress()
	if self {
		return r.loads.GrantRetry(service)
	}
	if hub == "" {
		return false
	}
	id, answer := r.retryRequests.register()
	defer r.retryRequests.cancel(id)
	message := r.newDatagram(sfv1.Datagram_KIND_ASK)
	message.Ask = &sfv1.PoolAsk{Id: id, Service: service}
	r.send(message, []string{hub})
	timer := time.NewTimer(retryRequestTimeout)
	defer timer.Stop()
	select {
	case granted := <-answer:
		return granted
	case <-timer.C:
		r.exchange.log.Debug("peers: no answer from the retry pool", "hub", hub)
		return false
	case <-ctx.Done():
		return false
	}
}

// handleRetryRequest answers a request for a retry.
func (r *Reporter) handleRetryRequest(message *sfv1.Datagram, peer *peerState) {
	reply := r.newDatagram(sfv1.Datagram_KIND_GRANT)
	ask := message.GetAsk()
	reply.Ask = &sfv1.PoolAsk{Id: ask.GetId(), Service: ask.GetService(), Granted: r.exchange.IsHub() && r.loads.GrantRetry(ask.GetService())}
	r.send(reply, []string{peer.Address})
}

// hubAddress returns the address of this zone's hub; self is whether this instance is the hub.
func (e *Exchange) hubAddress() (address string, self bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := e.now()
	if e.isHub(now) {
		return "", true
	}
	if peer, ok := e.byID[e.roster.Hub(now)]; ok {
		return peer.Address, false
	}
	return "", false
}
