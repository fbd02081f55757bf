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

// compressMinBytes is the size from which replies are compressed. A reply with a few changed rows
// is not compressed, but one with all rows is, because the links of small instances limit how
// fast many others can start.
const compressMinBytes = 8 << 10

// Bounds of the messages of a pull, decompressed.
const (
	// maxPullRequestBytes bounds a request, which has a number for each table and a digest for each range of rows.
	maxPullRequestBytes = 256 << 10
	// maxPullReplyBytes bounds a reply, which has at most all rows: some hundred bytes for each of 1,900 upstreams, and
	// a configuration of at most 1 MB. The rest is margin.
	maxPullReplyBytes = 8 << 20
)

// Handler returns the path and the handler of the peers' calls.
func (e *Exchange) Handler() (string, http.Handler) {
	return sfv1connect.NewReplicaServiceHandler(&service{exchange: e}, connect.WithCompressMinBytes(compressMinBytes), connect.WithReadMaxBytes(maxPullRequestBytes))
}

// Pull requests the rows that this instance lacks from a random peer that is not excluded.
func (e *Exchange) Pull(ctx context.Context) error {
	e.mu.Lock()
	now := e.now()
	var list []*peerState
	for _, peer := range e.peers {
		if now >= peer.excludedUntil {
			list = append(list, peer)
		}
	}
	e.mu.Unlock()
	if len(list) == 0 {
		return ErrNoPeer
	}
	return e.pullFrom(ctx, list[rand.IntN(len(list))])
}

func (e *Exchange) pullFrom(ctx context.Context, peer *peerState) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	state := e.rows.State()
	request := &sfv1.PullRequest{From: toMessage(e.self), Since: state.Revisions, Digests: state.Digests, WantsPeers: e.needsPeers()}
	reply, err := peer.client.Pull(ctx, connect.NewRequest(request))
	e.recordCall(peer, err)
	if err != nil {
		recordOversized(peer.Address, err)
		return errors.Wrap(err, "peers: pull")
	}
	for _, p := range reply.Msg.GetPeers() {
		e.addPeer(fromMessage(p))
	}
	if limits := e.currentLimits(); limits != nil {
		limits.ApplyLimits(limitsFromMessages(reply.Msg.GetLimits()), peer.Zone == e.self.Zone)
	}
	hold := time.Duration(reply.Msg.GetHoldMs()) * time.Millisecond
	e.rows.ApplyRows(rowsFromMessages(reply.Msg.GetRows(), reply.Msg.GetBookmarks()), hold)
	e.rows.MarkTablesLoaded(reply.Msg.GetInformed())
	return nil
}

// setLimits sets the upstreams' limits, which are sent and received with the rows of a pull.
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

// needsPeers reports whether this instance should request more peers: it receives no batches and
// knows only a few instances of its zone.
func (e *Exchange) needsPeers() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	const few = 2
	return !e.roster.ReceivesBatches(e.now()) && e.roster.KnownCount() <= few
}

// startPull starts a pull from a peer, unless one is in progress or the peer is excluded.
func (e *Exchange) startPull(ctx context.Context, peer *peerState) {
	e.mu.Lock()
	if e.pulling[peer.Address] || e.now() < peer.excludedUntil {
		e.mu.Unlock()
		return
	}
	e.pulling[peer.Address] = true
	e.mu.Unlock()
	go func() {
		if err := e.pullFrom(ctx, peer); err != nil {
			e.log.Debug("peers: pull failed", "peer", peer.Name, "error", err)
		}
		e.mu.Lock()
		defer e.mu.Unlock()
		delete(e.pulling, peer.Address)
	}()
}

// recordCall records the result of a call to a peer, which is excluded for a while after a
// failure.
func (e *Exchange) recordCall(peer *peerState, err error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := e.now()
	if err == nil {
		if peer.failures > 0 {
			e.log.Info("peers: peer is reachable again", "peer", peer.Name, "address", peer.Address, "failures", peer.failures)
		}
		peer.failures, peer.excludedUntil, peer.lastSeen = 0, 0, now
		return
	}
	if peer.failures == 0 {
		e.log.Info("peers: peer is unreachable", "peer", peer.Name, "address", peer.Address, "error", err)
	}
	peer.failures++
	peer.excludedUntil = now + min(excludeMax, excludeFirst<<min(peer.failures-1, 8))
}
