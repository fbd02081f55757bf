// Package peers connects the instances of the system with one another. A few of
// them follow the platform's store; what they hear goes to all others, so that
// the store's calls do not grow with the instances, and an instance that the
// store turns away follows all the same. They also tell one another what they
// have under way on the engines.
//
// Reports go in datagrams, on the ways that package fanout decides on: each instance
// tells its zone's hub, the hub passes the reports of all on in batches, and tells the
// hubs of the other zones what its zone has together. A datagram names the revisions
// that its sender has; whoever has less pulls the rest from the sender. So a lost
// datagram costs the time to the next one, and neither datagrams nor bytes between
// zones grow with the square of the instances.
package peers

import (
	"log/slog"
	"net/http"
	"sync"
	"time"

	"github.com/pkg/errors"

	"sassafrasfield/internal/fanout"
	"sassafrasfield/internal/gen/sf/v1/sfv1connect"
	"sassafrasfield/internal/replica"
)

// Peer is an instance of the system.
type Peer struct {
	Name string `json:"name"`
	// Address is host:port of its ReplicaService, and of its datagrams.
	Address string `json:"address"`
	Zone    string `json:"zone"`
	// LinkMbps is what its link carries, in Mbit/s; 0 where that is not known.
	LinkMbps float64 `json:"link_mbps"`
}

// ID is what names it in reports, and ranks it.
func (p Peer) ID() fanout.ID { return fanout.IDOf(p.Name, p.LinkMbps) }

// Rows is the copy of the platform's rows that is kept in step.
type Rows interface {
	// Revisions are the highest ones that are held, by table.
	Revisions() map[string]int64
	// Since returns the rows above revisions, and for how much longer
	// deletions are not believed.
	Since(revisions map[string]int64) ([]replica.Row, time.Duration)
	// ApplyRows gets rows that came from a peer.
	ApplyRows(rows []replica.Row, hold time.Duration)
	// LoadedTables lists the tables that are known, Inform takes those that a peer knows
	// which gave all its rows.
	LoadedTables() []string
	MarkTablesLoaded(tables []string)
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
	// statusTimeout is for how long a word on who follows the store counts.
	statusTimeout = 1700 * time.Millisecond
	// shunAtMost bounds the pause after failures, which doubles from excludeFirst.
	excludeFirst = 500 * time.Millisecond
	excludeMax   = 4 * time.Second
)

// peerState is a peer with what is peerState of it.
type peerState struct {
	Peer
	client        sfv1connect.ReplicaServiceClient
	failures      int
	excludedUntil time.Duration
	// addedAt is when it became known, lastSeen when it last gave a sign.
	addedAt, lastSeen time.Duration
	// reading is its word, as of readAt, that it follows the store.
	reading   bool
	readingAt time.Duration
	source    string // of its reports
}

// zoneStatus is what another zone's hub last told.
type zoneStatus struct {
	hub       *peerState
	at        time.Duration
	instances int
	reading   bool
	// mayCoordinate: the hub has run for long enough to coordinate the grants.
	mayCoordinate bool
}

// Exchange keeps the instances in touch. It is safe for use by several
// goroutines.
type Exchange struct {
	self   Peer
	id     fanout.ID
	seeds  []string
	rows   Rows
	client *http.Client
	log    *slog.Logger
	// clock is the exchange's, from its start on.
	clock func() time.Duration
	// rowsChanged wakes the reports.
	rowsChanged chan struct{}

	mu     sync.Mutex // protects all below
	limits Limits     // nil until there are reports
	peers  map[string]*peerState
	byID   map[fanout.ID]*peerState
	roster *fanout.Roster
	inbox  *fanout.Inbox
	// zones are the words of the other zones' hubs.
	zones map[string]zoneStatus
	// lastBatch is what the newest lastBatch told besides reports.
	lastBatch batchStatus
	// recentCount is how many instances there were lately.
	recentCount recentPeak
	// pulling are the peers that rows are being pulled from.
	pulling map[string]bool
	// tooFewReadersSince is since when too tooFewReadersSince instances were heard to follow the store.
	tooFewReadersSince time.Duration
	// introduceIndex is the peer that the next batch begins to name.
	introduceIndex int
	// peerRevisions are what others told of the platform's tables; lacking: some of it was
	// not here when it was last looked at, since lackingAt.
	peerRevisions map[string]peerRevision
	wasBehind     bool
	behindSince   time.Duration
	// wasHub: this instance passed reports on when it was last looked at.
	wasHub   bool
	hubSince time.Duration
}

// batchStatus is what a hub told of all zones.
type batchStatus struct {
	at                 time.Duration
	instances, readers int
	// coordinator is the address of the instance that coordinates the grants; empty for none.
	coordinator string
}

// New returns an exchange.
func New(self Peer, seeds []string, rows Rows, log *slog.Logger) *Exchange {
	start := time.Now()
	return newExchange(self, seeds, rows, log, func() time.Duration { return time.Since(start) })
}

func newExchange(self Peer, seeds []string, rows Rows, log *slog.Logger, clock func() time.Duration) *Exchange {
	id := self.ID()
	e := &Exchange{
		self: self, id: id, seeds: seeds, rows: rows, log: log, clock: clock,
		client:      &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1, IdleConnTimeout: 5 * time.Second}},
		rowsChanged: make(chan struct{}, 1), peers: map[string]*peerState{}, byID: map[fanout.ID]*peerState{},
		roster: fanout.NewRoster(id, 0), inbox: fanout.NewInbox(), zones: map[string]zoneStatus{}, pulling: map[string]bool{}, peerRevisions: map[string]peerRevision{},
	}
	for _, address := range seeds {
		e.addPeer(Peer{Address: address})
	}
	return e
}

// now is the time on the exchange's clock.
func (e *Exchange) now() time.Duration { return e.clock() }

// NotifyRows has the reports tell of new rows at once.
func (e *Exchange) NotifyRows() {
	select {
	case e.rowsChanged <- struct{}{}:
	default: // it is woken already
	}
}

// ErrNoPeer: no peer could be asked.
var ErrNoPeer = errors.New("peers: nobody to ask")
