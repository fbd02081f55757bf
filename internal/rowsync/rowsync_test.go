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

// fakeFeed is a store that the test drives.
type fakeFeed struct {
	mu       sync.Mutex // protects all below
	rows     map[string]replica.Row
	log      []replica.Row
	revision int64
	down     bool
	forgot   bool
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
	f.forgot = false
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
		down, forgot, revision, changed := f.down, f.forgot, f.revision, f.changed
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
		case forgot:
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

func waitFor(holds func() bool) {
	for !holds() {
		time.Sleep(time.Millisecond)
	}
}

func (f *Follower) knows(keys string) bool {
	got := ""
	for _, row := range f.Rows("t") {
		got += row.Key.Key
	}
	return got == keys
}

func (f *Follower) knowsKey(key string) bool {
	return slices.ContainsFunc(f.Rows("t"), func(row replica.Row) bool { return row.Key.Key == key })
}

func TestFollowsChanges(t *testing.T) {
	feed := newFakeFeed()
	feed.put("a", false)
	f := start(t, feed, 0)
	waitFor(func() bool { return f.knows("a") })
	feed.put("b", false)
	waitFor(func() bool { return f.knows("ab") })
	feed.put("a", true)
	waitFor(func() bool { return f.knows("b") })
}

func TestReadsAllWhereTheHistoryIsGone(t *testing.T) {
	feed := newFakeFeed()
	feed.put("a", false)
	f := start(t, feed, 0)
	waitFor(func() bool { return f.knows("a") })
	feed.set(func() {
		feed.forgot, feed.log = true, nil
		delete(feed.rows, "a")
		feed.revision++
	})
	waitFor(func() bool { return f.knows("") })
}

func TestKeepsWhatItHasWhileTheStoreIsDownAndGoesOn(t *testing.T) {
	feed := newFakeFeed()
	feed.put("a", false)
	f := start(t, feed, 0)
	waitFor(func() bool { return f.knows("a") })
	feed.set(func() { feed.down = true })
	waitFor(func() bool {
		f.mu.Lock()
		defer f.mu.Unlock()
		return len(f.lost) == 1
	})
	if !f.knows("a") {
		t.Error("the rows are gone with the store")
	}
	feed.set(func() { feed.down = false })
	feed.put("b", false)
	waitFor(func() bool { return f.knows("ab") })
}

func TestRowsThatLapsedWithTheStoreMayComeBack(t *testing.T) {
	const hold = 300 * time.Millisecond
	feed := newFakeFeed()
	feed.put("a", false)
	feed.put("b", false)
	f := start(t, feed, hold)
	waitFor(func() bool { return f.knows("ab") })
	feed.set(func() { feed.down = true })
	waitFor(func() bool {
		f.mu.Lock()
		defer f.mu.Unlock()
		return len(f.lost) == 1
	})
	feed.put("a", true)
	feed.put("b", true)
	feed.set(func() { feed.down = false })
	waitFor(func() bool {
		f.mu.Lock()
		defer f.mu.Unlock()
		return len(f.lost) == 0 && f.copy.ReadRevision("t") == 4
	})
	if !f.knows("ab") {
		t.Error("the deletions were believed at once")
	}
	feed.put("a", false)
	waitFor(func() bool { return f.knows("a") })
}

// TestWhoBeginsToReadDoubtsThatAllUpstreamsLeft.
//
// Seen: the store was away for six seconds and all entries of upstreams lapsed; within 20 ms
// of its return all instances believed that all upstreams were gone, for a half second.
//
// Cause: an instance that had left the store to others had its turn to try it just then. It
// had not failed before, so it knew of no outage, believed what it read, and told the others.
//
// Pattern: an instance that had others read for it begins to read, and all of them are
// gone. Grounds: 180 lines "upstream gone" of nine instances, first after the rows of that one.
func TestWhoBeginsToReadDoubtsThatAllUpstreamsLeft(t *testing.T) {
	feed, others := newFakeFeed(), &fakePeers{others: true}
	for _, key := range []string{"a", "b", "c", "d"} {
		feed.put(key, false)
	}
	f := startWith(t, feed, time.Hour, others)
	waitFor(func() bool { return f.knows("abcd") }) // it knew nothing, so it read
	waitFor(func() bool {
		f.mu.Lock()
		defer f.mu.Unlock()
		return f.resting
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
	if !f.knows("abcd") {
		t.Error("all upstreams are believed to be gone")
	}
	if _, hold := f.Since(map[string]int64{}); hold == 0 {
		t.Error("others are not told to doubt it")
	}
}

// TestAnOutageOfThisInstanceAloneHoldsNothingBack was found by a drawn day
// (fresh-74d6 on agedim-sassafras): the store had turned one instance away for
// seven seconds. When it was back it held back the deletion of an upstream that
// left, and had the ones beside it do so too, for longer than a leaving upstream
// may get new requests.
func TestAnOutageOfThisInstanceAloneHoldsNothingBack(t *testing.T) {
	feed, others := newFakeFeed(), &fakePeers{read: true, others: true}
	feed.put("a", false)
	f := startWith(t, feed, time.Hour, others)
	waitFor(func() bool { return f.knows("a") })
	feed.set(func() { feed.down = true })
	waitFor(func() bool {
		f.mu.Lock()
		defer f.mu.Unlock()
		return f.lost["t"].alone
	})
	feed.put("a", true)
	feed.set(func() { feed.down = false })
	waitFor(func() bool { return f.knows("") })
	if _, hold := f.Since(map[string]int64{}); hold > 0 {
		t.Errorf("peers are told to hold deletions back for %s", hold)
	}
}

func TestRowsFromPeersAreTaken(t *testing.T) {
	feed := newFakeFeed()
	feed.down = true
	f := start(t, feed, 0)
	f.ApplyRows([]replica.Row{{Key: replica.Key{Table: "t", Key: "a"}, Revision: 9}}, 0)
	if !f.knows("a") {
		t.Error("not taken")
	}
}

// fakePeers are the other instances as the test wants them.
type fakePeers struct {
	mu     sync.Mutex // protects all below
	read   bool
	others bool // another instance reads
	pulls  int
	news   int
}

func (p *fakePeers) NotifyRows() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.news++
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

func TestLeavesTheStoreToOthersOnceItKnowsSomething(t *testing.T) {
	feed, others := newFakeFeed(), &fakePeers{}
	feed.put("a", false)
	f := startWith(t, feed, 0, others)
	waitFor(func() bool { return f.knows("a") }) // it knew nothing, so it read
	waitFor(func() bool {
		f.mu.Lock()
		defer f.mu.Unlock()
		return f.resting
	})
	if f.Reading() {
		t.Error("it says that it reads")
	}
	feed.put("b", false)
	f.ApplyRows([]replica.Row{{Key: replica.Key{Table: "t", Key: "b"}, Revision: 2}}, 0)
	others.mu.Lock()
	others.read = true
	others.mu.Unlock()
	feed.put("c", false)
	waitFor(func() bool { return f.knows("abc") })
}

// TestAChokedLinkHoldsNoDeletionOfAFewBack.
//
// Seen: an instance sent requests to an upstream 3.1 to 3.5 s after it had said that it leaves;
// the bound was 3 s. The store answered all other instances.
//
// How it came about: its own link was choked for one to three seconds, so that neither the
// store nor the others' word on the store reached it. It took that for an outage of all, and
// held the deletion back, as it does with entries that lapse while the store is away.
//
// Pattern: six of 60 upstreams leave and six new ones come while one instance alone does not
// reach the store and hears of nobody who does. Grounds: in the record an upstream's leaving
// was believed at once by 58 of 62 instances, and 2.3 s after the store's return by this one.
//
// Cause: not to have heard of anybody who reads the store says nothing about the store. What
// proved it: the lines of that instance, on two plays with all logs, have the store's return,
// the rows, and the belief when the hold ends, in this order; with the deletions of a few
// believed the test holds.
func TestAChokedLinkHoldsNoDeletionOfAFewBack(t *testing.T) {
	feed, others := newFakeFeed(), &fakePeers{read: true}
	upstreams, leaving, fresh := "", "012345", "stuvwx"
	for c := '0'; c <= 'k'; c++ {
		upstreams += string(c)
		feed.put(string(c), false)
	}
	f := startWith(t, feed, time.Hour, others)
	waitFor(func() bool { return f.knows(upstreams) })
	feed.set(func() { feed.down = true })
	waitFor(func() bool {
		f.mu.Lock()
		defer f.mu.Unlock()
		return len(f.lost) == 1
	})
	for i := range leaving {
		feed.put(leaving[i:i+1], true)
		feed.put(fresh[i:i+1], false)
	}
	feed.set(func() { feed.down = false })
	waitFor(func() bool { return f.knowsKey("x") })
	if f.knowsKey("5") {
		t.Error("an upstream that left is believed to be there")
	}
}

func TestADeletionThatAPeerHoldsBackIsHeldBackHereToo(t *testing.T) {
	feed := newFakeFeed()
	feed.put("a", false)
	f := start(t, feed, 0)
	waitFor(func() bool { return f.knows("a") })
	f.ApplyRows([]replica.Row{{Key: replica.Key{Table: "t", Key: "a"}, Revision: 9, Deleted: true}}, 100*time.Millisecond)
	if !f.knows("a") {
		t.Error("believed at once")
	}
	if rows, hold := f.Since(map[string]int64{"t": 1}); len(rows) != 1 || !rows[0].Deleted || hold == 0 {
		t.Errorf("a third instance gets %v, hold %s", rows, hold)
	}
	waitFor(func() bool { return f.knows("") })
}

// forgetfulFeed has no history whenever it is asked, and counts the full reads.
type forgetfulFeed struct {
	*fakeFeed
	reads atomic.Int64
}

func (f *forgetfulFeed) Read(ctx context.Context, table string, within time.Duration) ([]replica.Row, int64, error) {
	f.reads.Add(1)
	return f.fakeFeed.Read(ctx, table, within)
}

func (f *forgetfulFeed) Wait(context.Context, string, int64, time.Duration) ([]replica.Row, int64, error) {
	return nil, 0, ErrNoHistory
}

// TestFullReadsThatLeadNowhereTakePauses guards against a store that is read whole hundreds of times
// a second, as its feed does not go on from what it gave.
func TestFullReadsThatLeadNowhereTakePauses(t *testing.T) {
	feed := &forgetfulFeed{fakeFeed: newFakeFeed()}
	feed.put("a", false)
	f := start(t, feed, 0)
	waitFor(func() bool { return f.knows("a") })
	feed.put("b", false)
	waitFor(func() bool { return f.knows("ab") })
	time.Sleep(time.Second)
	const most = 20 // the longest pause is 0.4 s, the first ones are shorter
	if n := feed.reads.Load(); n > most {
		t.Errorf("read whole %d times in a second", n)
	}
}
