// Package peers connects the instances of the system with one another. A few of
// them follow the platform's store; what they hear goes to all others, so that
// the store's calls do not grow with the instances, and an instance that the
// store turns away follows all the same. They also tell one another what they
// have under way on the engines.
//
// Each instance sends reports in datagrams: to all instances of its zone, and, one
// instance a zone, the zone's sum to one or two instances of each other zone,
// which pass it on beside them. A report names the revisions that its sender
// has; whoever has less pulls the rest from the sender. So a lost datagram costs
// the time to the next one, and bytes between zones do not grow with the
// instances.
package peers

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
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
	// Address is host:port of its ReplicaService, and of its datagrams.
	Address string `json:"address"`
	Zone    string `json:"zone"`
}

// Rows is the copy of the platform's rows that is kept in step.
type Rows interface {
	// Revisions are the highest ones that are held, by table.
	Revisions() map[string]int64
	// Since returns the rows above revisions, and for how much longer
	// deletions are not believed.
	Since(revisions map[string]int64) ([]replica.Row, time.Duration)
	// Take gets rows that came from a peer.
	Take(rows []replica.Row, hold time.Duration)
	// Reading tells whether this instance follows the store, and it answers.
	Reading() bool
}

// Bounds of the exchange.
const (
	// callTimeout bounds each call; a round trip between zones takes 2 ms.
	callTimeout = 500 * time.Millisecond
	// forgetAfter is for how long a peer may give no sign before it is
	// forgotten.
	forgetAfter = 30 * time.Second
	// aliveFor is for how long a peer counts after its last sign.
	aliveFor = 1200 * time.Millisecond
	// shunAtMost bounds the pause after failures, which doubles from shunFirst.
	shunFirst  = 500 * time.Millisecond
	shunAtMost = 4 * time.Second
)

// known is a peer with what is known of it.
type known struct {
	Peer
	client    sfv1connect.ReplicaServiceClient
	failures  int
	shunUntil time.Time
	// metAt is when it became known, heardAt when it last gave a sign.
	metAt, heardAt time.Time
	reading        bool
}

// Exchange keeps the instances in touch. It is safe for use by several
// goroutines.
type Exchange struct {
	self   Peer
	seeds  []string
	rows   Rows
	client *http.Client
	log    *slog.Logger
	// news wakes the reports.
	news chan struct{}

	mu    sync.Mutex // protects all below
	peers map[string]*known
	// pulling are the peers that rows are being pulled from.
	pulling map[string]bool
	// zoneReading is when a whole zone's report last told of a reader.
	zoneReading map[string]time.Time
}

// New returns an exchange.
func New(self Peer, seeds []string, rows Rows, log *slog.Logger) *Exchange {
	e := &Exchange{
		self: self, seeds: seeds, rows: rows, log: log,
		client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1, IdleConnTimeout: 5 * time.Second}},
		news:   make(chan struct{}, 1), peers: map[string]*known{}, pulling: map[string]bool{},
		zoneReading: map[string]time.Time{},
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

// News has the reports tell of new rows at once.
func (e *Exchange) News() {
	select {
	case e.news <- struct{}{}:
	default: // it is woken already
	}
}

// meet takes note of a peer, which it returns; nil for this instance itself.
func (e *Exchange) meet(p Peer) *known {
	if p.Address == "" || p.Address == e.self.Address {
		return nil
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	k, ok := e.peers[p.Address]
	if !ok {
		k = &known{client: sfv1connect.NewReplicaServiceClient(e.client, "http://"+p.Address), metAt: time.Now()}
		k.Address = p.Address
		e.peers[p.Address] = k
		e.log.Info("peers: new peer", "peer", p.Name, "address", p.Address, "known", len(e.peers))
	}
	if p.Name != "" {
		k.Peer = p
	}
	return k
}

// Meet takes note of peers that are listed elsewhere.
func (e *Exchange) Meet(list []Peer) {
	for _, p := range list {
		e.meet(p)
	}
}

// Count returns the number of known instances, this one included.
func (e *Exchange) Count() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return len(e.peers) + 1
}

// Names lists the known instances that answer, this one included.
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

// ErrNobody: no peer could be asked.
var ErrNobody = errors.New("peers: nobody to ask")

// Pull asks any peer for the rows that this instance lacks.
func (e *Exchange) Pull(ctx context.Context) error {
	e.mu.Lock()
	now := time.Now()
	var list []*known
	for _, k := range e.peers {
		if now.After(k.shunUntil) {
			list = append(list, k)
		}
	}
	e.mu.Unlock()
	if len(list) == 0 {
		return ErrNobody
	}
	return e.pullFrom(ctx, list[rand.IntN(len(list))])
}

func (e *Exchange) pullFrom(ctx context.Context, k *known) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	request := &sfv1.PullRequest{From: toMessage(e.self), Since: e.rows.Revisions()}
	reply, err := k.client.Pull(ctx, connect.NewRequest(request))
	e.called(k, err)
	if err != nil {
		return errors.Wrap(err, "peers: pull")
	}
	for _, p := range reply.Msg.GetPeers() {
		e.meet(fromMessage(p))
	}
	hold := time.Duration(reply.Msg.GetHoldMs()) * time.Millisecond
	e.rows.Take(rowsFromMessages(reply.Msg.GetRows()), hold)
	return nil
}

// pullOnce pulls from a peer unless that is under way.
func (e *Exchange) pullOnce(ctx context.Context, k *known) {
	e.mu.Lock()
	if e.pulling[k.Address] || time.Now().Before(k.shunUntil) {
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

// called notes how a call to a peer went.
func (e *Exchange) called(k *known, err error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := time.Now()
	if err == nil {
		if k.failures > 0 {
			e.log.Info("peers: answers again", "peer", k.Name, "address", k.Address, "failures", k.failures)
		}
		k.failures, k.shunUntil, k.heardAt = 0, time.Time{}, now
		return
	}
	if k.failures == 0 {
		e.log.Info("peers: does not answer", "peer", k.Name, "address", k.Address, "error", err)
	}
	k.failures++
	k.shunUntil = now.Add(min(shunAtMost, shunFirst<<min(k.failures-1, 8)))
}

// sweep forgets the peers that were silent for long, but for the seeds.
func (e *Exchange) sweep(now time.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for address, k := range e.peers {
		since := k.heardAt
		if since.Before(k.metAt) {
			since = k.metAt
		}
		if now.Sub(since) > forgetAfter && k.failures > 0 && !slices.Contains(e.seeds, address) {
			delete(e.peers, address)
			e.log.Info("peers: forgotten", "peer", k.Name, "address", address, "silent", now.Sub(since))
		}
	}
}

// list returns all known peers and this instance.
func (e *Exchange) list() []Peer {
	e.mu.Lock()
	defer e.mu.Unlock()
	all := []Peer{e.self}
	for _, k := range e.peers {
		if k.failures == 0 && k.Name != "" {
			all = append(all, k.Peer)
		}
	}
	slices.SortFunc(all, func(a, b Peer) int { return strings.Compare(a.Name, b.Name) })
	return all
}
