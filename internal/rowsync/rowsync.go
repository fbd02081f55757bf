// Package rowsync keeps an instance's copy of the platform's rows up to date:
// from the store's feed, by a full read where the feed has no history, and from
// other instances while the store gives nothing.
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
	// ErrNoHistory: the feed lacks changes after the revision that was asked
	// for; a full read is needed.
	ErrNoHistory = errors.New("follow: the history is gone")
)

// Feed is the platform's store as far as it is followed.
type Feed interface {
	// Read returns all rows of a table as of a revision. Within bounds each of the calls
	// that it takes: many rows come in pages.
	Read(ctx context.Context, table string, within time.Duration) (rows []replica.Row, revision int64, err error)
	// Wait returns the changes of a table after a revision, and the revision
	// up to which they go. It returns none when nothing changed in time.
	Wait(ctx context.Context, table string, after int64, wait time.Duration) (rows []replica.Row, revision int64, err error)
}

// Peers are the other instances.
type Peers interface {
	// NotifyRows has them told of new rows.
	NotifyRows()
	// ShouldReadStore tells whether this instance should follow the store itself.
	ShouldReadStore() bool
	// HasOtherReaders tells whether another one follows the store now, and it answers.
	HasOtherReaders() bool
	// Pull asks one of them for the rows that this instance lacks.
	Pull(ctx context.Context) error
}

// Settings of a Follower.
type Settings struct {
	// Tables to follow.
	Tables []string
	// Wait is how long one call to the feed may take without a change. A
	// store that falls silent is noticed within this and a half second.
	Wait time.Duration
	// ReadTimeout bounds each call of a full read at first; it doubles with each
	// failure, up to eight times, for a store that is slow rather than gone. A call
	// that was sent while the store was away is not answered when it returns, so a
	// long first timeout would cost that long.
	ReadTimeout time.Duration
	// HoldDeletions is for how long after an outage the deletion of many rows is not
	// believed: owners of rows that lapsed meanwhile write them again. When the store
	// is known to have answered other instances meanwhile, nothing lapsed.
	HoldDeletions time.Duration
	// PeerReportDelay is how long the other instances take to tell that they have no
	// answers from the store either.
	PeerReportDelay time.Duration
	// Replica is how rows are taken that a store has after its return from an older copy.
	Replica replica.Settings
	// PullEvery is the time between questions to peers while the store gives
	// nothing.
	PullEvery time.Duration
}

// slack is what a call to the feed may take beyond its wait.
const slack = 600 * time.Millisecond

// Bounds of the pause after a failed call.
const (
	retryFirst  = 50 * time.Millisecond
	retryAtMost = 400 * time.Millisecond
)

// Follower keeps the copy.
type Follower struct {
	settings Settings
	feed     Feed
	peers    Peers
	log      *slog.Logger
	start    time.Time
	changed  func([]replica.Row)

	mu   sync.Mutex // protects all below
	copy *replica.Replica
	// lost are the tables whose feed fails; absent while it goes well.
	lost map[string]outage
	// synced tables were read whole at least once, here; told those that a peer knows
	// which gave all its rows.
	synced, told map[string]bool
	// failures counts a table's failed calls in a row.
	failures map[string]int
	// resting: the other instances follow the store for this one.
	resting bool
	// rested are the tables that they followed for this one until now: it cannot know
	// whether the store was away.
	rested map[string]bool
}

// outage is a time without answers from the store.
type outage struct {
	since time.Duration
	// alone: when a call failed last, the store answered other instances.
	alone bool
}

// New returns a follower. Changed gets the news, one call at a time; it must
// not call the follower.
func New(s Settings, feed Feed, changed func([]replica.Row), log *slog.Logger) *Follower {
	return &Follower{
		settings: s, feed: feed, log: log, start: time.Now(), changed: changed,
		copy: replica.New(s.Replica), lost: map[string]outage{}, synced: map[string]bool{}, told: map[string]bool{}, failures: map[string]int{}, rested: map[string]bool{},
	}
}

// SetPeers sets the other instances; call it before Run.
func (f *Follower) SetPeers(p Peers) { f.peers = p }

func (f *Follower) now() time.Duration { return time.Since(f.start) }

// Run follows until the context ends.
func (f *Follower) Run(ctx context.Context) {
	f.begin(ctx)
	var loops sync.WaitGroup
	for _, table := range f.settings.Tables {
		loops.Go(func() { f.followTable(ctx, table) })
	}
	loops.Go(func() { f.askPeers(ctx) })
	loops.Go(func() { f.release(ctx) })
	loops.Wait()
}

// firstPull bounds the question to a peer with which an instance begins: a peer that
// lives answers within some milliseconds, and without one the store is asked.
const firstPull = 150 * time.Millisecond

// begin asks a peer for all rows, so that an instance which starts while others serve
// costs the store no full reads.
func (f *Follower) begin(ctx context.Context) {
	if f.peers == nil {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, firstPull)
	defer cancel()
	if err := f.peers.Pull(ctx); err != nil {
		f.log.Debug("follow: no peer gave the first rows", "error", err)
	}
}

func (f *Follower) followTable(ctx context.Context, table string) {
	wait, reads := retryFirst, 0
	for ctx.Err() == nil {
		if f.rests(table) {
			pause.For(ctx, restFor)
			continue
		}
		waited, err := f.step(ctx, table)
		switch {
		case err == nil && waited:
			wait, reads = retryFirst, 0
			continue
		case err == nil:
			reads++
			continue
		case errors.Is(err, ErrNoHistory):
			f.log.Info("follow: the feed's history is gone, reading all", "table", table)
			f.forget(table)
			if reads <= 1 {
				continue
			}
		default:
			f.failed(ctx, table, err)
		}
		pause.For(ctx, jittered(wait)) // full reads that lead nowhere take a pause too
		wait = min(2*wait, retryAtMost)
	}
}

// restFor is the pause between two looks at whether this instance should follow
// the store again; the next in rank waits twice as long for those ahead.
const restFor = 200 * time.Millisecond

// rests tells whether the other instances follow the store for this one. A table
// of which nothing is known yet is read at once.
func (f *Follower) rests(table string) bool {
	should := f.peers == nil || f.peers.ShouldReadStore()
	f.mu.Lock()
	defer f.mu.Unlock()
	rests := !should && f.informed(table)
	if resting := !should && f.allInformed(); resting != f.resting {
		f.resting = resting
		f.log.Info("follow: reading the store", "reads", !resting)
	}
	if rests {
		delete(f.lost, table)
		f.rested[table] = true
	}
	return rests
}

// informed tells whether a table was read, here or by a peer that gave its rows. One
// that was read may have none. The lock is held.
func (f *Follower) informed(table string) bool {
	return f.synced[table] || f.told[table] || f.copy.Newest()[table] > 0
}

// allInformed tells whether all tables were read. The lock is held.
func (f *Follower) allInformed() bool {
	for _, table := range f.settings.Tables {
		if !f.informed(table) {
			return false
		}
	}
	return true
}

// step makes one call to the feed, and tells that it did, or reads a table whole.
func (f *Follower) step(ctx context.Context, table string) (waited bool, err error) {
	f.mu.Lock()
	synced, after := f.synced[table], f.copy.ReadRevision(table)
	f.mu.Unlock()
	if !synced {
		return false, f.readAll(ctx, table)
	}
	ctx, cancel := context.WithTimeout(ctx, f.settings.Wait+slack)
	defer cancel()
	rows, revision, err := f.feed.Wait(ctx, table, after, f.settings.Wait)
	if err != nil {
		return true, err
	}
	f.recovered(table)
	f.mu.Lock()
	news := f.copy.Apply(rows, f.now())
	f.copy.SetReadRevision(table, revision)
	f.publish(news)
	f.mu.Unlock()
	f.tellNews(news)
	return true, nil
}

// longestDoubling bounds the doubling of the read timeout, to eight times.
const longestDoubling = 3

func (f *Follower) readTimeout(table string) time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.settings.ReadTimeout << min(f.failures[table], longestDoubling)
}

func (f *Follower) readAll(ctx context.Context, table string) error {
	rows, revision, err := f.feed.Read(ctx, table, f.readTimeout(table))
	if err != nil {
		return err
	}
	f.recovered(table)
	f.mu.Lock()
	if before := f.copy.ReadRevision(table); before > 0 && platform.EraOf(revision) > platform.EraOf(before) {
		f.copy.HoldDeletions(f.now() + f.settings.HoldDeletions)
		f.log.Warn("follow: the store came back from an older copy", "table", table, "revision", platform.CounterOf(revision),
			"before", platform.CounterOf(before), "era", platform.EraOf(revision))
	}
	news := f.copy.Replace(table, rows, revision, f.now())
	f.synced[table] = true
	f.publish(news)
	f.mu.Unlock()
	f.tellNews(news)
	f.log.Info("follow: read", "table", table, "rows", len(rows), "revision", revision, "news", len(news))
	return nil
}

func (f *Follower) forget(table string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.synced[table] = false
}

// publish tells of news. The lock is held, so that news comes in order.
func (f *Follower) publish(news []replica.Row) {
	if len(news) > 0 {
		f.changed(news)
	}
}

// tellNews has the other instances told of news.
func (f *Follower) tellNews(news []replica.Row) {
	if f.peers != nil && len(news) > 0 {
		f.peers.NotifyRows()
	}
}

// failed notes a call to the store that gave nothing.
func (f *Follower) failed(ctx context.Context, table string, err error) {
	if ctx.Err() != nil {
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.failures[table]++
	lost, ok := f.lost[table]
	if !ok {
		lost.since = f.now()
		f.log.Warn("follow: the store is lost", "table", table, "error", err)
	}
	lost.alone = f.now()-lost.since >= f.settings.PeerReportDelay && f.peers != nil && f.peers.HasOtherReaders()
	f.lost[table] = lost
}

// recovered notes that the store answers, at first or again. Unless others are known to
// have had answers all the while, entries may have lapsed: also where this instance had
// others read for it, as it begins to read when too few of them do.
func (f *Follower) recovered(table string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.failures[table] = 0
	lost, failed := f.lost[table]
	if (failed || f.rested[table]) && !lost.alone {
		f.copy.HoldDeletions(f.now() + f.settings.HoldDeletions)
	}
	delete(f.lost, table)
	delete(f.rested, table)
	if failed {
		f.log.Info("follow: the store is back", "table", table, "after", f.now()-lost.since, "for_this_instance_alone", lost.alone)
	}
}

func jittered(d time.Duration) time.Duration {
	return d/2 + time.Duration(rand.Int64N(int64(d)))
}
