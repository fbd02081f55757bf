package peers

import (
	"context"
	"math/rand/v2"
	"net/http"
	"time"

	"connectrpc.com/connect"
	"github.com/pkg/errors"

	sfv1 "sassafrasfield/internal/gen/sf/v1"
	"sassafrasfield/internal/gen/sf/v1/sfv1connect"
)

// compressMinBytes is the size of an answer from which it is compressed: what changed in
// a moment is not, all rows are, as the links of small instances bound how fast many
// others start.
const compressMinBytes = 8 << 10

// Handler serves the peers' calls.
func (e *Exchange) Handler() (string, http.Handler) {
	return sfv1connect.NewReplicaServiceHandler(&service{exchange: e}, connect.WithCompressMinBytes(compressMinBytes))
}

// Pull asks any peer for the rows that this instance lacks.
func (e *Exchange) Pull(ctx context.Context) error {
	e.mu.Lock()
	now := e.now()
	var list []*peerState
	for _, k := range e.peers {
		if now >= k.excludedUntil {
			list = append(list, k)
		}
	}
	e.mu.Unlock()
	if len(list) == 0 {
		return ErrNoPeer
	}
	return e.pullFrom(ctx, list[rand.IntN(len(list))])
}

func (e *Exchange) pullFrom(ctx context.Context, k *peerState) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	request := &sfv1.PullRequest{From: toMessage(e.self), Since: e.rows.Revisions(), WantsPeers: e.needsPeers()}
	reply, err := k.client.Pull(ctx, connect.NewRequest(request))
	e.recordCall(k, err)
	if err != nil {
		return errors.Wrap(err, "peers: pull")
	}
	for _, p := range reply.Msg.GetPeers() {
		e.addPeer(fromMessage(p))
	}
	if limits := e.currentLimits(); limits != nil {
		limits.ApplyLimits(limitsFromMessages(reply.Msg.GetLimits()), k.Zone == e.self.Zone)
	}
	hold := time.Duration(reply.Msg.GetHoldMs()) * time.Millisecond
	e.rows.ApplyRows(rowsFromMessages(reply.Msg.GetRows()), hold)
	e.rows.MarkTablesLoaded(reply.Msg.GetInformed())
	return nil
}

// setLimits has upstreams' limits come with the rows, and be given with them.
func (e *Exchange) setLimits(l Limits) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.limits = l
}

func (e *Exchange) currentLimits() Limits {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.limits
}

// needsPeers tells whether this instance needs to know more of the others: no batches
// come, and none are sent to more than a few.
func (e *Exchange) needsPeers() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	const few = 2
	return !e.roster.ReceivesBatches(e.now()) && e.roster.KnownCount() <= few
}

// startPull pulls from a peer unless that is under way.
func (e *Exchange) startPull(ctx context.Context, k *peerState) {
	e.mu.Lock()
	if e.pulling[k.Address] || e.now() < k.excludedUntil {
		e.mu.Unlock()
		return
	}
	e.pulling[k.Address] = true
	e.mu.Unlock()
	go func() {
		if err := e.pullFrom(ctx, k); err != nil {
			e.log.Debug("peers: pull", "peer", k.Name, "error", err)
		}
		e.mu.Lock()
		defer e.mu.Unlock()
		delete(e.pulling, k.Address)
	}()
}

// recordCall notes how a call to a peer went.
func (e *Exchange) recordCall(k *peerState, err error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := e.now()
	if err == nil {
		if k.failures > 0 {
			e.log.Info("peers: answers again", "peer", k.Name, "address", k.Address, "failures", k.failures)
		}
		k.failures, k.excludedUntil, k.lastSeen = 0, 0, now
		return
	}
	if k.failures == 0 {
		e.log.Info("peers: does not answer", "peer", k.Name, "address", k.Address, "error", err)
	}
	k.failures++
	k.excludedUntil = now + min(excludeMax, excludeFirst<<min(k.failures-1, 8))
}
