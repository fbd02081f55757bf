package rowsync

import (
	"context"
	"io"
	"log/slog"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/pkg/errors"

	"sassafrasfield/internal/replica"
)

// fakeFeed is a store whose state the test sets.
type fakeFeed struct {
	mu       sync.Mutex // protects all below
	rows     map[string]replica.Row
	log      []replica.Row
	revision int64
	down     bool
	trimmed  bool // the feed has no history
	changed  chan struct{}
}

var errDown = errors.New("down")

func newFakeFeed() *fakeFeed {
	return &fakeFeed{rows: map[string]replica.Row{}, changed: make(chan struct{})}
}

func (f *fakeFeed) put(key string, deleted bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.revision++
	row := replica.Row{Key: replica.Key{Table: "t", Key: key}, Revision: f.revision, Deleted: deleted}
	f.log = append(f.log, row)
	if delete(f.rows, key); !deleted {
		f.rows[key] = row
	}
	f.wake()
}

func (f *fakeFeed) wake() {
	close(f.changed)
	f.changed = make(chan struct{})
}

func (f *fakeFeed) set(change func()) {
	f.mu.Lock()
	defer f.mu.Unlock()
	change()
	f.wake()
}

func (f *fakeFeed) Read(context.Context, string, time.Duration) ([]replica.Row, int64, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.down {
		return nil, 0, errDown
	}
	f.trimmed = false
	var rows []replica.Row
	for _, row := range f.rows {
		rows = append(rows, row)
	}
	return rows, f.revision, nil
}

func (f *fakeFeed) Wait(ctx context.Context, _ string, after int64, wait time.Duration) ([]replica.Row, int64, error) {
	deadline := time.After(wait)
	for {
		f.mu.Lock()
		down, trimmed, revision, changed := f.down, f.trimmed, f.revision, f.changed
		var rows []replica.Row
		for _, row := range f.log {
			if row.Revision > after {
				rows = append(rows, row)
			}
		}
		f.mu.Unlock()
		switch {
		case down:
			return nil, 0, errDown
		case trimmed:
			return nil, 0, ErrNoHistory
		case len(rows) > 0:
			return rows, revision, nil
		}
		select {
		case <-changed:
		case <-deadline:
			return nil, revision, nil
		case <-ctx.Done():
			return nil, 0, ctx.Err()
		}
	}
}

func start(t *testing.T, feed Feed, hold time.Duration) *Follower {
	t.Helper()
	return startWith(t, feed, hold, nil)
}

func startWith(t *testing.T, feed Feed, hold time.Duration, others Peers) *Follower {
	t.Helper()
	f := New(Settings{
		Tables: []string{"t"}, Wait: 50 * time.Millisecond, ReadTimeout: time.Second,
		HoldDeletions: hold, PullEvery: 5 * time.Millisecond, PeerReportDelay: 5 * time.Millisecond,
	}, feed, func([]replica.Row) {}, slog.New(slog.NewTextHandler(io.Discard, nil)))
	if others != nil {
		f.SetPeers(others)
	}
	ctx, stop := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		f.Run(ctx)
	}()
	t.Cleanup(func() {
		stop()
		<-done
	})
	return f
}

func waitFor(condition func() bool) {
	for !condition() {
		time.Sleep(time.Millisecond)
	}
}

func (f *Follower) hasKeys(keys string) bool {
	got := ""
	for _, row := range f.Rows("t") {
		got += row.Key.Key
	}
	return got == keys
}

func (f *Follower) hasKey(key string) bool {
	return slices.ContainsFunc(f.Rows("t"), func(row replica.Row) bool { return row.Key.Key == key })
}

func TestFollowsChanges(t *testing.T) {
	feed := newFakeFeed()
	feed.put("a", false)
	f := start(t, feed, 0)
	waitFor(func() bool { return f.hasKeys("a") })
	feed.put("b", false)
	waitFor(func() bool { return f.hasKeys("ab") })
	feed.put("a", true)
	waitFor(func() bool { return f.hasKeys("b") })
}

func TestReadsWholeTableWithoutFeedHistory(t *testing.T) {
	feed := newFakeFeed()
	feed.put("a", false)
	f := start(t, feed, 0)
	waitFor(func() bool { return f.hasKeys("a") })
	feed.set(func() {
		feed.trimmed, feed.log = true, nil
		delete(feed.rows, "a")
		feed.revision++
	})
	waitFor(func() bool { return f.hasKeys("") })
}

func TestKeepsRowsDuringOutageAndContinuesAfterIt(t *testing.T) {
	feed := newFakeFeed()
	feed.put("a", false)
	f := start(t, feed, 0)
	waitFor(func() bool { return f.hasKeys("a") })
	feed.set(func() { feed.down = true })
	waitFor(func() bool {
		f.mu.Lock()
		defer f.mu.Unlock()
		return len(f.outages) == 1
	})
	if !f.hasKeys("a") {
		t.Error("the rows were dropped during the outage")
	}
	feed.set(func() { feed.down = false })
	feed.put("b", false)
	waitFor(func() bool { return f.hasKeys("ab") })
}

func TestExpiredRowsMayBeWrittenAgainAfterOutage(t *testing.T) {
	const hold = 300 * time.Millisecond
	feed := newFakeFeed()
	feed.put("a", false)
	feed.put("b", false)
	f := start(t, feed, hold)
	waitFor(func() bool { return f.hasKeys("ab") })
	feed.set(func() { feed.down = true })
	waitFor(func() bool {
		f.mu.Lock()
		defer f.mu.Unlock()
		return len(f.outages) == 1
	})
	feed.put("a", true)
	feed.put("b", true)
	feed.set(func() { feed.down = false })
	waitFor(func() bool {
		f.mu.Lock()
		defer f.mu.Unlock()
		return len(f.outages) == 0 && f.copy.ReadRevision("t") == 4
	})
	if !f.hasKeys("ab") {
		t.Error("the deletions were applied at once")
	}
	feed.put("a", false)
	waitFor(func() bool { return f.hasKeys("a") })
}

// TestMassDeletionIsHeldWhenInstanceStartsToRead guards against an instance that treats all upstreams
// as removed because it starts to read the store right after an outage.
//
// Observed: the store was down for six seconds and all entries of upstreams expired. Within 20 ms of its
// return all instances treated all upstreams as removed, for half a second (180 log lines "upstream gone"
// from nine instances). The first such line followed the rows that one instance had sent. That instance had
// left the store to other instances and started to read it at that moment. It had no failed call and so knew
// of no outage, applied the deletions, and passed them on.
func TestMassDeletionIsHeldWhenInstanceStartsToRead(t *testing.T) {
	feed, others := newFakeFeed(), &fakePeers{others: true}
	for _, key := range []string{"a", "b", "c", "d"} {
		feed.put(key, false)
	}
	f := startWith(t, feed, time.Hour, others)
	waitFor(func() bool { return f.hasKeys("abcd") }) // nothing was loaded, so it reads the store
	waitFor(func() bool {
		f.mu.Lock()
		defer f.mu.Unlock()
		return f.delegating
	})
	for _, key := range []string{"a", "b", "c", "d"} {
		feed.put(key, true)
	}
	others.mu.Lock()
	others.read, others.others = true, false
	others.mu.Unlock()
	waitFor(func() bool {
		f.mu.Lock()
		defer f.mu.Unlock()
		return f.copy.ReadRevision("t") == 8
	})
	if !f.hasKeys("abcd") {
		t.Error("the mass deletion was applied")
	}
	if _, hold := f.Since(replica.State{}); hold == 0 {
		t.Error("the hold is not passed on to peers")
	}
}

// TestOutageOfOnlyThisInstanceHoldsNoDeletion guards against requests to an upstream that shuts down,
// after an outage that affects one instance. Found by a randomized run (fresh-74d6 on agedim-sassafras):
// the store had refused one instance for seven seconds. When it answered again, the instance
// withheld the deletion of an upstream that was shutting down, and had the other instances of its
// zone do the same, for longer than such an upstream may get new requests.
func TestOutageOfOnlyThisInstanceHoldsNoDeletion(t *testing.T) {
	feed, others := newFakeFeed(), &fakePeers{read: true, others: true}
	feed.put("a", false)
	f := startWith(t, feed, time.Hour, others)
	waitFor(func() bool { return f.hasKeys("a") })
	feed.set(func() { feed.down = true })
	waitFor(func() bool {
		f.mu.Lock()
		defer f.mu.Unlock()
		return f.outages["t"].othersAnswered
	})
	feed.put("a", true)
	feed.set(func() { feed.down = false })
	waitFor(func() bool { return f.hasKeys("") })
	if _, hold := f.Since(replica.State{}); hold > 0 {
		t.Errorf("the hold passed on to peers is %s", hold)
	}
}

func TestRowsFromPeersAreApplied(t *testing.T) {
	feed := newFakeFeed()
	feed.down = true
	f := start(t, feed, 0)
	f.ApplyRows([]replica.Row{{Key: replica.Key{Table: "t", Key: "a"}, Revision: 9}}, 0)
	if !f.hasKeys("a") {
		t.Error("not applied")
	}
}

// fakePeers are other instances with a state that the test sets.
type fakePeers struct {
	mu       sync.Mutex // protects all below
	read     bool       // this instance should read
	others   bool       // another instance reads
	pulls    int
	notified int
}

func (p *fakePeers) NotifyRows() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.notified++
}

func (p *fakePeers) ShouldReadStore() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.read
}

func (p *fakePeers) HasOtherReaders() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.others
}

func (p *fakePeers) Pull(context.Context) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.pulls++
	return nil
}

func TestLeavesStoreToOthersOnceTablesAreLoaded(t *testing.T) {
	feed, others := newFakeFeed(), &fakePeers{}
	feed.put("a", false)
	f := startWith(t, feed, 0, others)
	waitFor(func() bool { return f.hasKeys("a") }) // nothing was loaded, so it reads the store
	waitFor(func() bool {
		f.mu.Lock()
		defer f.mu.Unlock()
		return f.delegating
	})
	if f.Reading() {
		t.Error("it reports that it reads")
	}
	feed.put("b", false)
	f.ApplyRows([]replica.Row{{Key: replica.Key{Table: "t", Key: "b"}, Revision: 2}}, 0)
	others.mu.Lock()
	others.read = true
	others.mu.Unlock()
	feed.put("c", false)
	waitFor(func() bool { return f.hasKeys("abc") })
}

// TestSaturatedLinkDoesNotHoldFewDeletions guards against requests to an upstream that shuts down, after
// the link of one instance was saturated. Here six of 60 upstreams shut down and six new ones start while
// only this instance does not reach the store and knows of no other instance that does.
//
// Observed: an instance sent requests to an upstream 3.1 to 3.5 s after the upstream had announced its
// shutdown; the bound was 3 s. The store answered all other instances. The instance's own link was
// saturated for one to three seconds, so it got neither the store's answers nor the other instances'
// reports that the store answered them. It assumed a general outage and withheld the deletion, as
// for entries that expire while the store is down: 58 of 62 instances applied the deletion at once,
// this one 2.3 s after it reached the store again. Logs of two runs show the store's return, the rows
// and the deletion at the end of the hold, in this order.
//
// Missing reports of other instances say nothing about the store, so deletions of a few rows are applied at
// once.
func TestSaturatedLinkDoesNotHoldFewDeletions(t *testing.T) {
	feed, others := newFakeFeed(), &fakePeers{read: true}
	upstreams, departing, added := "", "012345", "stuvwx"
	for c := '0'; c <= 'k'; c++ {
		upstreams += string(c)
		feed.put(string(c), false)
	}
	f := startWith(t, feed, time.Hour, others)
	waitFor(func() bool { return f.hasKeys(upstreams) })
	feed.set(func() { feed.down = true })
	waitFor(func() bool {
		f.mu.Lock()
		defer f.mu.Unlock()
		return len(f.outages) == 1
	})
	for i := range departing {
		feed.put(departing[i:i+1], true)
		feed.put(added[i:i+1], false)
	}
	feed.set(func() { feed.down = false })
	waitFor(func() bool { return f.hasKey("x") })
	if f.hasKey("5") {
		t.Error("an upstream that shut down is still present")
	}
}

func TestDeletionHeldByPeerIsHeldHere(t *testing.T) {
	feed := newFakeFeed()
	feed.put("a", false)
	f := start(t, feed, 0)
	waitFor(func() bool { return f.hasKeys("a") })
	f.ApplyRows([]replica.Row{{Key: replica.Key{Table: "t", Key: "a"}, Revision: 9, Deleted: true}}, 100*time.Millisecond)
	if !f.hasKeys("a") {
		t.Error("applied at once")
	}
	if rows, hold := f.Since(replica.State{Revisions: map[string]int64{"t": 1}}); len(rows) != 1 || !rows[0].Deleted || hold == 0 {
		t.Errorf("a third instance gets %v, hold %s", rows, hold)
	}
	waitFor(func() bool { return f.hasKeys("") })
}

// feedWithoutHistory never has the requested history, and counts the full reads.
type feedWithoutHistory struct {
	*fakeFeed
	reads atomic.Int64
}

func (f *feedWithoutHistory) Read(ctx context.Context, table string, within time.Duration) ([]replica.Row, int64, error) {
	f.reads.Add(1)
	return f.fakeFeed.Read(ctx, table, within)
}

func (f *feedWithoutHistory) Wait(context.Context, string, int64, time.Duration) ([]replica.Row, int64, error) {
	return nil, 0, ErrNoHistory
}

// TestRepeatedFullReadsPause guards against hundreds of full reads of the store per second. They happen
// if the feed has no history even after the revision of the last full read.
func TestRepeatedFullReadsPause(t *testing.T) {
	feed := &feedWithoutHistory{fakeFeed: newFakeFeed()}
	feed.put("a", false)
	f := start(t, feed, 0)
	waitFor(func() bool { return f.hasKeys("a") })
	feed.put("b", false)
	waitFor(func() bool { return f.hasKeys("ab") })
	time.Sleep(time.Second)
	const maxReads = 20 // the longest pause is 0.4 s, the first ones are shorter
	if n := feed.reads.Load(); n > maxReads {
		t.Errorf("%d full reads in a second", n)
	}
}
