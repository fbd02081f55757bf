// Package peers connects the instances of the system with one another. A few instances follow the
// platform's store and pass its rows on to all others. So the load on the store does not grow
// with the number of instances, and an instance that the store rejects still gets the rows. The
// instances also report to one another what they have in progress on the engines.
//
// Reports are sent in datagrams, along the paths that package fanout decides on: each instance
// reports to the hub of its zone. The hub relays the reports of its zone to all instances of the
// zone in batches, and sends a summary of the zone to the hubs of the other zones. A datagram
// names the revisions that its sender has. A receiver with older revisions pulls the missing rows
// from the sender by a call. So a lost datagram delays an update only until the next one, and
// neither the number of datagrams nor the bytes between zones grow with the square of the number
// of instances.
//
// Inputs are the rows (Rows) and the load (LoadState) of this instance, and the calls and
// datagrams of its peers. Outputs are the same interfaces, which receive what the peers sent, and
// the calls and datagrams to the peers.
package peers

import (
	"log/slog"
	"net/http"
	"sync"
	"time"

	"github.com/pkg/errors"

	"sassafrasfield/internal/fanout"
	"sassafrasfield/internal/gen/sf/v1/sfv1connect"
	"sassafrasfield/internal/httptransport"
	"sassafrasfield/internal/readlimit"
	"sassafrasfield/internal/replica"
)

// Peer is an instance of the system.
type Peer struct {
	Name string `json:"name"`
	// Address is host:port of its ReplicaService, and of its datagrams.
	Address string `json:"address"`
	Zone    string `json:"zone"`
	// LinkMbps is the bandwidth of its link in Mbit/s, 0 if unknown.
	LinkMbps float64 `json:"link_mbps"`
}

// ID returns the ID that names the instance in reports and determines its rank.
func (p Peer) ID() fanout.ID { return fanout.IDOf(p.Name, p.LinkMbps) }

// Rows is this instance's copy of the platform's rows, which the exchange keeps up to date.
type Rows interface {
	// Revisions returns the revision up to which each table is known, RowRevisions the highest
	// revision of a row of each table.
	Revisions() map[string]int64
	RowRevisions() map[string]int64
	// State returns the state by which others determine the rows that this instance lacks.
	State() replica.State
	// Since returns the rows and bookmarks that an instance with this state lacks, and for how
	// much longer mass deletions are withheld.
	Since(state replica.State) ([]replica.Row, time.Duration)
	// ApplyRows applies rows from a peer. Hold is for how much longer the peer withholds mass
	// deletions.
	ApplyRows(rows []replica.Row, hold time.Duration)
	// LoadedTables lists the tables of which all rows are known. MarkTablesLoaded records the
	// loaded tables of a peer that sent all its rows.
	LoadedTables() []string
	MarkTablesLoaded(tables []string)
	// Reading reports whether this instance follows the store and the store answers.
	Reading() bool
}

// Timeouts and limits of the exchange.
const (
	// callTimeout bounds each call. A round trip between zones takes 2 ms.
	callTimeout = 500 * time.Millisecond
	// removeAfter is how long a peer may be silent before it is removed.
	removeAfter = 30 * time.Second
	// statusTimeout is how long a received status counts: who follows the store, which hubs there
	// are and which revisions others have.
	statusTimeout = 1700 * time.Millisecond
	// excludeFirst is the time for which a peer is excluded after a failed call. It doubles with
	// each failure, up to excludeMax.
	excludeFirst = 500 * time.Millisecond
	excludeMax   = 4 * time.Second
)

// peerState is a peer and what this instance knows about it.
type peerState struct {
	Peer
	client        sfv1connect.ReplicaServiceClient
	failures      int
	excludedUntil time.Duration
	// addedAt is when the peer became known, lastSeen when it was last seen alive.
	addedAt, lastSeen time.Duration
	// reading is whether the peer reported at readingAt that it follows the store.
	reading   bool
	readingAt time.Duration
	source    string // source name of its reports
	// unreached are hashes of the services to whose upstreams it reported to have no network path.
	unreached []uint32
}

// zoneStatus is the last status that the hub of another zone sent.
type zoneStatus struct {
	hub       *peerState
	at        time.Duration
	instances int
	reading   bool
	// mayCoordinate is whether the hub has run long enough to coordinate the grants.
	mayCoordinate bool
}

// Exchange keeps the peers of this instance and exchanges rows and reports with them. It is safe
// for concurrent use.
type Exchange struct {
	self   Peer
	id     fanout.ID
	seeds  []string
	rows   Rows
	client *http.Client
	log    *slog.Logger
	// clock returns the time since the exchange started.
	clock func() time.Duration
	// rowsChanged wakes the Reporter to announce new rows.
	rowsChanged chan struct{}

	mu     sync.Mutex // protects all below
	limits Limits     // nil until NewReporter sets it
	peers  map[string]*peerState
	byID   map[fanout.ID]*peerState
	roster *fanout.Roster
	inbox  *fanout.Inbox
	// zones holds the last status of each other zone.
	zones map[string]zoneStatus
	// lastBatch is the status that came with the newest batch.
	lastBatch batchStatus
	// recentCount is the recent peak of the number of instances.
	recentCount recentPeak
	// pulling holds the addresses of the peers from which rows are being pulled.
	pulling map[string]bool
	// tooFewReadersSince is since when too few instances have reported that they follow the
	// store; 0 if enough do.
	tooFewReadersSince time.Duration
	// hubs has the addresses of the other zones' hubs.
	hubs hubDirectory
	// introduceIndex is the index of the peer that the last batch named last.
	introduceIndex int
	// peerRevisions holds the highest revision of each table that others reported. wasBehind is
	// whether this instance lacked some of these rows at the last check, behindSince since when.
	peerRevisions map[string]peerRevision
	wasBehind     bool
	behindSince   time.Duration
	// wasHub is whether this instance was its zone's hub at the last check, hubSince when that
	// last changed.
	wasHub   bool
	hubSince time.Duration
}

// batchStatus is the status of all zones that a hub sends with a batch.
type batchStatus struct {
	at                 time.Duration
	instances, readers int
	// coordinator is the address of the instance that coordinates the grants; empty for none.
	coordinator string
}

// New returns an exchange that knows the peers at the addresses in seeds.
func New(self Peer, seeds []string, rows Rows, log *slog.Logger) *Exchange {
	start := time.Now()
	return newExchange(self, seeds, rows, log, func() time.Duration { return time.Since(start) })
}

func newExchange(self Peer, seeds []string, rows Rows, log *slog.Logger, clock func() time.Duration) *Exchange {
	id := self.ID()
	e := &Exchange{
		self: self, id: id, seeds: seeds, rows: rows, log: log, clock: clock,
		client:      newHTTPClient(),
		rowsChanged: make(chan struct{}, 1), peers: map[string]*peerState{}, byID: map[fanout.ID]*peerState{},
		roster: fanout.NewRoster(id, 0), inbox: fanout.NewInbox(), zones: map[string]zoneStatus{}, pulling: map[string]bool{}, hubs: newHubDirectory(), peerRevisions: map[string]peerRevision{},
	}
	for _, address := range seeds {
		e.addPeer(Peer{Address: address})
	}
	return e
}

func newHTTPClient() *http.Client {
	transport := httptransport.Bounded(&http.Transport{MaxIdleConnsPerHost: 1, IdleConnTimeout: 5 * time.Second}, instancePeer, readlimit.ResponseHead())
	return &http.Client{Transport: httptransport.BoundMessages(transport, instancePeer, maxPullReplyBytes)}
}

// now returns the time on the exchange's clock.
func (e *Exchange) now() time.Duration { return e.clock() }

// NotifyRows has the Reporter announce new rows at once.
func (e *Exchange) NotifyRows() {
	select {
	case e.rowsChanged <- struct{}{}:
	default: // a wakeup is already pending
	}
}

// ErrNoPeer is returned by Pull when there is no peer to pull from, or all peers are excluded
// after failures.
var ErrNoPeer = errors.New("peers: no peer to pull from")
