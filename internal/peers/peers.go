// Package peers lets the instances of the system pass on to one another the
// platform's rows that they follow. What one instance hears first it pushes to
// a few others, which push it on, so that an instance that the platform turns
// away follows all the same; and one that starts asks others for all they have.
package peers

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"time"

	"connectrpc.com/connect"
	"github.com/pkg/errors"

	sfv1 "sassafrasfield/internal/gen/sf/v1"
	"sassafrasfield/internal/gen/sf/v1/sfv1connect"
	"sassafrasfield/internal/replica"
)

// Peer is an instance of the system.
type Peer struct {
	Name string `json:"name"`
	// Address is host:port of its ReplicaService.
	Address string `json:"address"`
	Zone    string `json:"zone"`
}

// Bounds of the exchange.
const (
	// fanout is to how many peers news is pushed by each that hears it. With
	// four, 98 in 100 of any number of instances hear of it by pushes alone.
	fanout = 4
	// maxHops ends the passing on of rows; four hops of fanout four reach more
	// than the 80 instances of the largest site.
	maxHops = 5
	// callTimeout bounds each call; a round trip between zones takes 2 ms.
	callTimeout = 500 * time.Millisecond
	// forgetAfter is for how long a peer may fail before it is forgotten.
	forgetAfter = 30 * time.Second
	// shunAtMost bounds the pause after failures, which doubles from shunFirst.
	shunFirst  = 500 * time.Millisecond
	shunAtMost = 4 * time.Second
)

// known is a peer with what calls to it told.
type known struct {
	Peer
	client    sfv1connect.ReplicaServiceClient
	failures  int
	failedAt  time.Time // the first of the failures in a row
	shunUntil time.Time
}

// Exchange passes rows on. It is safe for use by several goroutines.
type Exchange struct {
	self   Peer
	seeds  []string
	take   func([]replica.Row, int)
	all    func(since int64) []replica.Row
	client *http.Client
	log    *slog.Logger

	mu    sync.Mutex // protects all below
	peers map[string]*known
	rng   *rand.Rand
}

// New returns an exchange. Take gets rows that came from a peer, with the hops
// that they have made; all returns the rows above a revision.
func New(self Peer, seeds []string, take func(rows []replica.Row, hops int), all func(int64) []replica.Row, log *slog.Logger) *Exchange {
	e := &Exchange{
		self: self, seeds: seeds, take: take, all: all, log: log,
		client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1, IdleConnTimeout: 5 * time.Second}},
		peers:  map[string]*known{},
		rng:    rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
	}
	for _, address := range seeds {
		e.meet(Peer{Address: address})
	}
	return e
}

// Handler serves the peers' calls.
func (e *Exchange) Handler() (string, http.Handler) {
	return sfv1connect.NewReplicaServiceHandler(&service{exchange: e})
}

// meet takes note of a peer.
func (e *Exchange) meet(p Peer) {
	if p.Address == "" || p.Address == e.self.Address {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	k, ok := e.peers[p.Address]
	if !ok {
		k = &known{client: sfv1connect.NewReplicaServiceClient(e.client, "http://"+p.Address)}
		e.peers[p.Address] = k
		e.log.Info("peers: new peer", "peer", p.Name, "address", p.Address, "known", len(e.peers))
	}
	if p.Name != "" || k.Name == "" {
		k.Peer = p
	}
}

// Meet takes note of peers that are listed elsewhere.
func (e *Exchange) Meet(list []Peer) {
	for _, p := range list {
		e.meet(p)
	}
}

// Count returns the number of instances, this one included.
func (e *Exchange) Count() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return len(e.peers) + 1
}

// Names lists the known instances, this one included.
func (e *Exchange) Names() []string {
	e.mu.Lock()
	defer e.mu.Unlock()
	names := []string{e.self.Name}
	for _, k := range e.peers {
		if k.Name != "" && k.failures == 0 {
			names = append(names, k.Name)
		}
	}
	slices.Sort(names)
	return names
}

// some returns up to n peers that answered lately, in random order.
func (e *Exchange) some(n int) []*known {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := time.Now()
	var list []*known
	for _, k := range e.peers {
		if now.After(k.shunUntil) {
			list = append(list, k)
		}
	}
	slices.SortFunc(list, func(a, b *known) int {
		if a.Address < b.Address {
			return -1
		}
		return 1
	})
	e.rng.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
	return list[:min(n, len(list))]
}

// Push gives rows to a few peers. Hops is how often they were passed on.
func (e *Exchange) Push(ctx context.Context, rows []replica.Row, hops int) {
	if len(rows) == 0 || hops >= maxHops {
		return
	}
	request := &sfv1.PushRequest{From: toMessage(e.self), Rows: rowsToMessages(rows), Hops: int32(hops + 1)}
	for _, k := range e.some(fanout) {
		go func() {
			ctx, cancel := context.WithTimeout(ctx, callTimeout)
			defer cancel()
			_, err := k.client.Push(ctx, connect.NewRequest(request))
			e.called(k, err)
		}()
	}
}

// ErrNobody: no peer could be asked.
var ErrNobody = errors.New("peers: nobody to ask")

// Pull asks one peer for the rows above a revision and hands them to take.
func (e *Exchange) Pull(ctx context.Context, since int64) error {
	chosen := e.some(1)
	if len(chosen) == 0 {
		return ErrNobody
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	k := chosen[0]
	reply, err := k.client.Pull(ctx, connect.NewRequest(&sfv1.PullRequest{From: toMessage(e.self), Since: since}))
	e.called(k, err)
	if err != nil {
		return errors.Wrap(err, "peers: pull")
	}
	for _, p := range reply.Msg.GetPeers() {
		e.meet(fromMessage(p))
	}
	e.take(rowsFromMessages(reply.Msg.GetRows()), maxHops)
	return nil
}

// called notes how a call to a peer went.
func (e *Exchange) called(k *known, err error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if err == nil {
		if k.failures > 0 {
			e.log.Info("peers: answers again", "peer", k.Name, "address", k.Address, "failures", k.failures)
		}
		k.failures, k.shunUntil = 0, time.Time{}
		return
	}
	now := time.Now()
	if k.failures == 0 {
		k.failedAt = now
		e.log.Info("peers: does not answer", "peer", k.Name, "address", k.Address, "error", err)
	}
	k.failures++
	k.shunUntil = now.Add(min(shunAtMost, shunFirst<<min(k.failures-1, 8)))
	if now.Sub(k.failedAt) > forgetAfter && !slices.Contains(e.seeds, k.Address) {
		delete(e.peers, k.Address)
		e.log.Info("peers: forgotten", "peer", k.Name, "address", k.Address, "silent", now.Sub(k.failedAt))
	}
}

// list returns all known peers and this instance.
func (e *Exchange) list() []Peer {
	e.mu.Lock()
	defer e.mu.Unlock()
	all := []Peer{e.self}
	for _, k := range e.peers {
		if k.failures == 0 {
			all = append(all, k.Peer)
		}
	}
	return all
}
