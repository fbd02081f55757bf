// Package rowsync keeps an instance's copy of the platform's rows up to date.
// Its inputs are the store's change feed, full reads where the feed has no
// history, and the rows of other instances while the store does not answer. It
// passes each change to a callback, and its rows to other instances.
package rowsync

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/pkg/errors"

	"sassafrasfield/internal/pause"
	"sassafrasfield/internal/platform"
	"sassafrasfield/internal/replica"
)

// Errors of a Feed. Compare with errors.Is.
var (
	// ErrNoHistory means that the feed lacks changes after the requested
	// revision. A full read is needed.
	ErrNoHistory = errors.New("follow: the feed lacks changes after the requested revision")
)

// Feed is the part of the platform's store that a Follower reads.
type Feed interface {
	// Read returns all rows of a table as of a revision. Many rows are read in pages, one call each; within
	// is the timeout of each call.
	Read(ctx context.Context, table string, within time.Duration) (rows []replica.Row, revision int64, err error)
	// Wait returns the changes of a table after a revision, and the revision
	// up to which they go. It returns no rows if nothing changes within wait.
	Wait(ctx context.Context, table string, after int64, wait time.Duration) (rows []replica.Row, revision int64, err error)
}

// Peers are the other instances.
type Peers interface {
	// NotifyRows announces new rows to them.
	NotifyRows()
	// ShouldReadStore reports whether this instance should follow the store itself.
	ShouldReadStore() bool
	// HasOtherReaders reports whether another instance follows the store now and gets answers.
	HasOtherReaders() bool
	// Pull gets the rows that this instance lacks from one of them.
	Pull(ctx context.Context) error
}

// Settings of a Follower.
type Settings struct {
	// Tables to follow.
	Tables []string
	// Wait is how long one call to the feed may take without a change. A
	// store that stops answering is noticed within Wait plus 0.6 s.
	Wait time.Duration
	// ReadTimeout is the initial timeout of each call of a full read. It doubles with
	// each failure, up to eight times the initial value, for a store that is slow
	// rather than down. A call that was sent during an outage is not answered when the
	// store is back, so a long initial timeout would delay the next call by as much.
	ReadTimeout time.Duration
	// HoldDeletions is how long after an outage mass deletions are withheld: owners
	// whose rows expired during the outage write them again. Nothing is withheld when
	// the store is known to have answered other instances during the outage, since no
	// rows expired then.
	HoldDeletions time.Duration
	// PeerReportDelay is how long the other instances take to report that the store
	// does not answer them either.
	PeerReportDelay time.Duration
	// Replica sets how rows are applied after the store was restored from an older copy.
	Replica replica.Settings
	// PullEvery is the time between pulls from peers while the store does not
	// answer.
	PullEvery time.Duration
}

// waitSlack is how much longer than its wait a call to the feed may take.
const waitSlack = 600 * time.Millisecond

// Bounds of the pause after a failed call.
const (
	retryMin = 50 * time.Millisecond
	retryMax = 400 * time.Millisecond
)

// Follower keeps the copy of the rows up to date. It is safe for concurrent use.
type Follower struct {
	settings Settings
	feed     Feed
	peers    Peers
	log      *slog.Logger
	start    time.Time
	onChange func([]replica.Row)

	mu   sync.Mutex // protects all below
	copy *replica.Replica
	// outages are the current outages of the store, by the table whose calls fail.
	outages map[string]outage
	// synced are the tables that this instance read completely. loadedByPeer are the tables that were loaded
	// at a peer which sent all its rows.
	synced, loadedByPeer map[string]bool
	// failures counts a table's consecutive failed calls.
	failures map[string]int
	// delegating: the other instances follow the store for this one.
	delegating bool
	// delegated are the tables that other instances have followed for this one since it
	// last had an answer of the store. It cannot know whether there was an outage in that time.
	delegated map[string]bool
}

// outage is a time without answers from the store.
type outage struct {
	since time.Duration
	// othersAnswered: at the time of the last failed call, the store answered other instances.
	othersAnswered bool
}

// New returns a follower. It calls onChange with the rows that changed, one call at a
// time; onChange must not call the follower.
func New(s Settings, feed Feed, onChange func([]replica.Row), log *slog.Logger) *Follower {
	return &Follower{
		settings: s, feed: feed, log: log, start: time.Now(), onChange: onChange,
		copy: replica.New(s.Replica), outages: map[string]outage{}, synced: map[string]bool{}, loadedByPeer: map[string]bool{}, failures: map[string]int{}, delegated: map[string]bool{},
	}
}

// SetPeers sets the other instances; call it before Run.
func (f *Follower) SetPeers(p Peers) { f.peers = p }

func (f *Follower) now() time.Duration { return time.Since(f.start) }

// Run follows the store and the peers until the context ends.
func (f *Follower) Run(ctx context.Context) {
	f.initialPull(ctx)
	var loops sync.WaitGroup
	for _, table := range f.settings.Tables {
		loops.Go(func() { f.followTable(ctx, table) })
	}
	loops.Go(func() { f.pullFromPeers(ctx) })
	loops.Go(func() { f.release(ctx) })
	loops.Wait()
}

// initialPullTimeout bounds the pull from a peer when an instance starts. A live peer answers
// within some milliseconds; without a live peer the instance reads the store instead.
const initialPullTimeout = 150 * time.Millisecond

// initialPull gets all rows from a peer, so that an instance that starts while others
// serve causes no full reads of the store.
func (f *Follower) initialPull(ctx context.Context) {
	if f.peers == nil {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, initialPullTimeout)
	defer cancel()
	if err := f.peers.Pull(ctx); err != nil {
		f.log.Debug("follow: initial pull from a peer failed", "error", err)
	}
}

func (f *Follower) followTable(ctx context.Context, table string) {
	wait, reads := retryMin, 0
	for ctx.Err() == nil {
		if f.delegate(table) {
			pause.For(ctx, delegateCheckEvery)
			continue
		}
		waited, err := f.step(ctx, table)
		switch {
		case err == nil && waited:
			wait, reads = retryMin, 0
			continue
		case err == nil:
			reads++
			continue
		case errors.Is(err, ErrNoHistory):
			f.log.Info("follow: no feed history, reading the whole table", "table", table)
			f.requireFullRead(table)
			if reads <= 1 {
				continue
			}
		default:
			f.recordFailure(ctx, table, err)
		}
		pause.For(ctx, jittered(wait)) // also after a full read that the feed cannot continue from
		wait = min(2*wait, retryMax)
	}
}

// delegateCheckEvery is the time between two checks whether this instance should follow the
// store again. The next instance in rank waits twice as long for the instances ahead of it.
const delegateCheckEvery = 200 * time.Millisecond

// delegate reports whether the other instances follow a table for this one, and records it. A
// table that is not loaded yet is read from the store at once.
func (f *Follower) delegate(table string) bool {
	should := f.peers == nil || f.peers.ShouldReadStore()
	f.mu.Lock()
	defer f.mu.Unlock()
	delegates := !should && f.loaded(table)
	if delegating := !should && f.allLoaded(); delegating != f.delegating {
		f.delegating = delegating
		f.log.Info("follow: store reading switched on or off", "reads", !delegating)
	}
	if delegates {
		delete(f.outages, table)
		f.delegated[table] = true
	}
	return delegates
}

// loaded reports whether a table was read, by this instance or by a peer that sent its rows. A
// loaded table may be empty. The caller holds the lock.
func (f *Follower) loaded(table string) bool {
	return f.synced[table] || f.loadedByPeer[table] || f.copy.Newest()[table] > 0
}

// allLoaded reports whether all tables are loaded. The caller holds the lock.
func (f *Follower) allLoaded() bool {
	for _, table := range f.settings.Tables {
		if !f.loaded(table) {
			return false
		}
	}
	return true
}

// step waits for changes from the feed once, or reads the whole table if that is needed. It
// reports which of the two it did.
func (f *Follower) step(ctx context.Context, table string) (waited bool, err error) {
	f.mu.Lock()
	synced, after := f.synced[table], f.copy.ReadRevision(table)
	f.mu.Unlock()
	if !synced {
		return false, f.readAll(ctx, table)
	}
	ctx, cancel := context.WithTimeout(ctx, f.settings.Wait+waitSlack)
	defer cancel()
	rows, revision, err := f.feed.Wait(ctx, table, after, f.settings.Wait)
	if err != nil {
		return true, err
	}
	f.recordSuccess(table)
	f.mu.Lock()
	changes := f.copy.Apply(rows, f.now())
	f.copy.SetReadRevision(table, revision)
	f.publish(changes)
	f.mu.Unlock()
	f.notifyPeers(changes)
	return true, nil
}

// maxDoublings bounds the read timeout to eight times its initial value.
const maxDoublings = 3

func (f *Follower) readTimeout(table string) time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.settings.ReadTimeout << min(f.failures[table], maxDoublings)
}

func (f *Follower) readAll(ctx context.Context, table string) error {
	rows, revision, err := f.feed.Read(ctx, table, f.readTimeout(table))
	if err != nil {
		return err
	}
	f.recordSuccess(table)
	f.mu.Lock()
	if before := f.copy.ReadRevision(table); before > 0 && platform.RestoreGenerationOf(revision) > platform.RestoreGenerationOf(before) {
		f.copy.HoldDeletions(f.now() + f.settings.HoldDeletions)
		f.log.Warn("follow: the store was restored from an older copy", "table", table, "revision", platform.CounterOf(revision),
			"before", platform.CounterOf(before), "era", platform.RestoreGenerationOf(revision))
	}
	changes := f.copy.Replace(table, rows, revision, f.now())
	f.synced[table] = true
	f.publish(changes)
	f.mu.Unlock()
	f.notifyPeers(changes)
	f.log.Info("follow: read the whole table", "table", table, "rows", len(rows), "revision", revision, "news", len(changes))
	return nil
}

func (f *Follower) requireFullRead(table string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.synced[table] = false
}

// publish passes changes to the callback. The caller holds the lock, which keeps them in order.
func (f *Follower) publish(changes []replica.Row) {
	if len(changes) > 0 {
		f.onChange(changes)
	}
}

// notifyPeers announces changes to the other instances.
func (f *Follower) notifyPeers(changes []replica.Row) {
	if f.peers != nil && len(changes) > 0 {
		f.peers.NotifyRows()
	}
}

// recordFailure records a call to the store that failed.
func (f *Follower) recordFailure(ctx context.Context, table string, err error) {
	if ctx.Err() != nil {
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.failures[table]++
	current, ok := f.outages[table]
	if !ok {
		current.since = f.now()
		f.log.Warn("follow: the store does not answer", "table", table, "error", err)
	}
	current.othersAnswered = f.now()-current.since >= f.settings.PeerReportDelay && f.peers != nil && f.peers.HasOtherReaders()
	f.outages[table] = current
}

// recordSuccess records that the store answered. After an outage it withholds mass deletions, since
// rows may have expired, unless the store is known to have answered other instances all the time. It
// does the same after other instances read the store for this one: this instance starts to read when
// too few of them do, which may be due to an outage.
func (f *Follower) recordSuccess(table string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.failures[table] = 0
	last, failed := f.outages[table]
	if (failed || f.delegated[table]) && !last.othersAnswered {
		f.copy.HoldDeletions(f.now() + f.settings.HoldDeletions)
	}
	delete(f.outages, table)
	delete(f.delegated, table)
	if failed {
		f.log.Info("follow: the store answers again", "table", table, "after", f.now()-last.since, "for_this_instance_alone", last.othersAnswered)
	}
}

func jittered(d time.Duration) time.Duration {
	return d/2 + time.Duration(rand.Int64N(int64(d)))
}
