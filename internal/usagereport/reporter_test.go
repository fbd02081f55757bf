package usagereport

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"maps"
	"testing"
	"time"

	"github.com/pkg/errors"
	"pgregory.net/rapid"

	"sassafrasfield/internal/lease"
	"sassafrasfield/internal/leaserows"
	"sassafrasfield/internal/platform"
	"sassafrasfield/internal/usage"
)

const (
	leaseName = "duties"
	length    = 5 * time.Second
)

// fakeTable is the platform's table. result decides what happens to a call: a commit may not be applied, be
// applied without a response, or be applied later if its checks still hold then.
type fakeTable struct {
	platform.Table
	rows     map[string]platform.Row
	revision int64
	delayed  []platform.Txn
	result   func() callResult
}

// callResult is what happens to a call.
type callResult int

const (
	applied callResult = iota
	responseLost
	notApplied
	appliedLater
)

var errNoResponse = errors.New("no response")

func newTable() *fakeTable {
	return &fakeTable{rows: map[string]platform.Row{}, result: func() callResult { return applied }}
}

func (f *fakeTable) Get(_ context.Context, key string) (platform.Row, error) {
	if f.result() == notApplied {
		return platform.Row{}, errNoResponse
	}
	row, ok := f.rows[key]
	if !ok {
		return row, platform.ErrNotFound
	}
	return row, nil
}

func (f *fakeTable) Commit(_ context.Context, txn platform.Txn) (int64, error) {
	switch f.result() {
	case notApplied:
		return 0, platform.ErrUnavailable
	case appliedLater:
		f.delayed = append(f.delayed, txn)
		return 0, platform.ErrUnknown
	case responseLost:
		_, _ = f.apply(txn)
		return 0, platform.ErrUnknown
	default:
		return f.apply(txn)
	}
}

func (f *fakeTable) apply(txn platform.Txn) (int64, error) {
	for _, c := range txn.Checks {
		if f.rows[c.Key].Revision != c.Revision {
			return 0, platform.ErrConflict
		}
	}
	f.revision++
	for _, w := range txn.Writes {
		f.rows[w.Key] = platform.Row{Key: w.Key, Value: w.Value, Revision: f.revision}
	}
	return f.revision, nil
}

// newGrant writes the row of the epoch, as a takeover does, and returns the new grant.
func (f *fakeTable) newGrant(epoch int64) lease.Grant {
	key := leaserows.EpochKey(leaseName)
	f.revision++
	f.rows[key] = platform.Row{Key: key, Revision: f.revision}
	return lease.Grant{Epoch: epoch, EpochRevision: f.revision}
}

// fakePlatform receives reports.
type fakePlatform struct {
	result func() callResult
	// counts holds the last counts that arrived for each window.
	counts map[usage.Window]usage.Counts
	// mismatch describes a window for which different counts arrived.
	mismatch string
	// calls counts the calls of Report.
	calls int
}

func (f *fakePlatform) Report(_ context.Context, r Report) error {
	f.calls++
	how := f.result()
	if how == notApplied || how == appliedLater {
		return errNoResponse
	}
	if first, ok := f.counts[r.Window]; ok && fmt.Sprint(first) != fmt.Sprint(r.Counts) {
		f.mismatch = fmt.Sprintf("window %d: %v, and %v before", r.Window, r.Counts, first)
	}
	f.counts[r.Window] = r.Counts
	if how == responseLost {
		return errNoResponse
	}
	return nil
}

// fixture is two instances that may both be the lease holder, with a simulated time of day.
type fixture struct {
	table     *fakeTable
	platform  *fakePlatform
	now       time.Time
	totals    map[usage.Window]usage.Counts
	grants    [2]lease.Grant
	reporters [2]*Reporter
	epoch     int64
	// generation is the restore generation of the table.
	generation int64
}

func newFixture(f func() callResult) *fixture {
	r := &fixture{table: newTable(), platform: &fakePlatform{counts: map[usage.Window]usage.Counts{}, result: f}, now: time.Unix(1000, 0), totals: map[usage.Window]usage.Counts{}}
	r.table.result = f
	for i := range r.reporters {
		r.restart(i)
	}
	r.takeOver(0)
	return r
}

// restart restarts the process of an instance.
func (r *fixture) restart(i int) {
	s := Settings{Instance: fmt.Sprint("inst-", i), LeaseName: leaseName, Length: length, SettleTime: time.Second}
	total := func(w usage.Window) usage.Counts { // the known counts grow, so a later holder may know more
		return maps.Clone(r.totals[w])
	}
	r.reporters[i] = NewReporter(s, r.table, r.platform, total, func() time.Time { return r.now }, slog.New(slog.NewTextHandler(io.Discard, nil)))
}

func (r *fixture) takeOver(i int) {
	r.epoch++
	r.grants[i] = r.table.newGrant(r.epoch)
	r.reporters[i].Reset()
}

func (r *fixture) countRequest(w usage.Window) {
	if r.totals[w] == nil {
		r.totals[w] = usage.Counts{}
	}
	r.totals[w]["x"]++
}

func alwaysApplied() callResult { return applied }

// TestOnlyOneCountOfAWindowIsSent guards against two different counts of a window. Calls fail in any way,
// processes are killed between any two calls, and earlier holders continue. Once the failures end, each
// window must be reported in time.
func TestOnlyOneCountOfAWindowIsSent(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		healthy := false
		r := newFixture(func() callResult {
			if healthy {
				return applied
			}
			return rapid.SampledFrom([]callResult{applied, applied, applied, responseLost, notApplied, appliedLater}).Draw(t, "fate")
		})
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			i := rapid.IntRange(0, 1).Draw(t, "instance")
			switch rapid.IntRange(0, 6).Draw(t, "step") {
			case 0, 1:
				r.reporters[i].Do(context.Background(), r.grants[i]) // may no longer hold the lease
			case 2:
				r.takeOver(i)
			case 3:
				r.restart(i)
			case 4:
				r.now = r.now.Add(time.Duration(rapid.IntRange(0, 7000).Draw(t, "ms")) * time.Millisecond)
			case 5:
				r.countRequest(usage.WindowAt(r.now, length) - usage.Window(rapid.IntRange(0, 2).Draw(t, "late")))
			case 6:
				if n := len(r.table.delayed); n > 0 {
					_, _ = r.table.apply(r.table.delayed[0]) // if its checks still hold
					r.table.delayed = r.table.delayed[1:]
				}
			}
			if r.platform.mismatch != "" {
				t.Fatal(r.platform.mismatch)
			}
		}
		healthy = true
		r.takeOver(0)
		r.countRequest(usage.WindowAt(r.now, length))
		last := usage.WindowAt(r.now, length)
		for range 4 {
			r.now = r.now.Add(length)
			r.reporters[0].Do(context.Background(), r.grants[0])
			r.reporters[0].Do(context.Background(), r.grants[0])
		}
		if _, ok := r.platform.counts[last]; !ok || r.platform.mismatch != "" {
			t.Fatalf("window %d was not reported after the failures ended, %s", last, r.platform.mismatch)
		}
	})
}

// TestWindowIsReportedWhenComplete guards against reports of incomplete windows, and of the windows before
// the first request.
func TestWindowIsReportedWhenComplete(t *testing.T) {
	r := newFixture(alwaysApplied)
	first := usage.WindowAt(r.now, length)
	do := func() { r.reporters[0].Do(context.Background(), r.grants[0]) }
	r.now = first.End(length).Add(2 * time.Second)
	do()
	if len(r.platform.counts) != 0 {
		t.Errorf("%v without any request", r.platform.counts)
	}
	r.countRequest(first + 1)
	r.now = (first + 1).End(length).Add(900 * time.Millisecond)
	do()
	if len(r.platform.counts) != 0 {
		t.Errorf("%v before the window was complete", r.platform.counts)
	}
	r.now = r.now.Add(200 * time.Millisecond)
	do()
	if got := r.platform.counts[first+1]["x"]; got != 1 || len(r.platform.counts) != 1 {
		t.Errorf("%v", r.platform.counts)
	}
	r.now = r.now.Add(length)
	do()
	if _, ok := r.platform.counts[first+2]; !ok {
		t.Error("no report of a window without requests, though there were some before")
	}
}

// TestOldUnsentReportsAreDropped has the platform unavailable for more than a minute, which is longer than
// MaxUnsent windows.
func TestOldUnsentReportsAreDropped(t *testing.T) {
	unavailable := true
	r := newFixture(alwaysApplied)
	r.platform.result = func() callResult {
		if unavailable {
			return notApplied
		}
		return applied
	}
	for range 20 {
		r.countRequest(usage.WindowAt(r.now, length))
		r.now = r.now.Add(length)
		r.reporters[0].Do(context.Background(), r.grants[0])
	}
	unavailable = false
	r.reporters[0].Do(context.Background(), r.grants[0])
	if n := len(r.platform.counts); n != MaxUnsent {
		t.Errorf("%d windows were reported, want %d", n, MaxUnsent)
	}
}

// TestNextHolderSendsOnlyUnacknowledgedWindows guards against a holder that sends windows again that the
// platform has accepted. If the platform is slow, they would delay the reports that are due. So each holder
// records sent windows at once.
func TestNextHolderSendsOnlyUnacknowledgedWindows(t *testing.T) {
	r := newFixture(alwaysApplied)
	for range 3 {
		r.countRequest(usage.WindowAt(r.now, length))
		r.now = r.now.Add(length)
		r.reporters[0].Do(context.Background(), r.grants[0])
	}
	r.platform.calls = 0
	r.now = r.now.Add(length)
	r.takeOver(1)
	r.reporters[1].Do(context.Background(), r.grants[1])
	if r.platform.calls != 1 {
		t.Errorf("%d reports, want one", r.platform.calls)
	}
}

// scripted returns the given results one after the other, then applied.
func scripted(results ...callResult) func() callResult {
	return func() callResult {
		if len(results) == 0 {
			return applied
		}
		next := results[0]
		results = results[1:]
		return next
	}
}

// TestDelayedWriteDoesNotOverwrite guards against a write without a response that arrives after the window's
// counts were finalized again and sent. The next holder must not read the older counts.
func TestDelayedWriteDoesNotOverwrite(t *testing.T) {
	r := newFixture(scripted(applied, appliedLater)) // results of the read and the write
	r.countRequest(usage.WindowAt(r.now, length))
	r.now = r.now.Add(length + 2*time.Second)
	r.reporters[0].Do(context.Background(), r.grants[0])
	r.countRequest(usage.WindowAt(r.now, length) - 1) // a total that arrived late
	r.reporters[0].Do(context.Background(), r.grants[0])
	_, _ = r.table.apply(r.table.delayed[0])
	r.takeOver(1)
	r.reporters[1].Do(context.Background(), r.grants[1])
	if len(r.platform.counts) != 1 || r.platform.mismatch != "" {
		t.Errorf("%v, %s", r.platform.counts, r.platform.mismatch)
	}
}

// TestEarlierHolderFinalizesNothing guards against a holder that finalizes windows after another one has
// taken over the lease.
func TestEarlierHolderFinalizesNothing(t *testing.T) {
	r := newFixture(alwaysApplied)
	r.reporters[0].Do(context.Background(), r.grants[0])
	r.countRequest(usage.WindowAt(r.now, length))
	r.now = r.now.Add(length + 2*time.Second)
	r.takeOver(1)
	r.reporters[0].Do(context.Background(), r.grants[0])
	if len(r.platform.counts) != 0 {
		t.Errorf("%v", r.platform.counts)
	}
}

// TestNextHolderSendsFinalizedCounts guards against a new holder that sends newer counts than the finalized
// ones. The previous holder finalized the counts and was killed before it sent them, or before it received
// the platform's response. More requests became known since then.
func TestNextHolderSendsFinalizedCounts(t *testing.T) {
	for _, how := range []callResult{notApplied, responseLost} {
		r := newFixture(alwaysApplied)
		r.platform.result = scripted(how)
		r.countRequest(usage.WindowAt(r.now, length))
		r.now = r.now.Add(length + 2*time.Second)
		r.reporters[0].Do(context.Background(), r.grants[0])
		r.countRequest(usage.WindowAt(r.now, length) - 1)
		r.takeOver(1)
		r.reporters[1].Do(context.Background(), r.grants[1])
		if n := r.platform.counts[usage.WindowAt(r.now, length)-1]["x"]; n != 1 || r.platform.mismatch != "" {
			t.Errorf("%d, want the 1 that was finalized, %s", n, r.platform.mismatch)
		}
	}
}

// restore restores the table from a copy, in a new restore generation, and has an instance hold the lease.
func (r *fixture) restore(rows map[string]platform.Row, holder int, resumed bool) {
	r.generation++
	r.table.rows, r.table.revision = map[string]platform.Row{}, platform.RevisionOf(r.generation, r.table.revision)
	for key, row := range rows {
		row.Revision = platform.RevisionOf(r.generation, platform.CounterOf(row.Revision))
		r.table.rows[key] = row
	}
	r.takeOver(holder)
	r.grants[holder].TableRestored, r.grants[holder].Resumed = true, resumed
}

// TestWindowMissingAfterRestoreIsNotCountedAgain guards against two different counts of a window. The store
// was restored from a copy without the row of the finalized counts, or with an older one. By then the holder
// knows of more requests, or of fewer if its process has just started.
func TestWindowMissingAfterRestoreIsNotCountedAgain(t *testing.T) {
	for _, withoutRow := range []bool{true, false} {
		for name, next := range map[string]struct {
			holder    int
			resumed   bool
			restarted bool
		}{
			"the same holder":                {0, true, false},
			"another holder":                 {1, false, false},
			"a holder that has just started": {1, false, true},
			"an earlier holder":              {0, false, false},
		} {
			r := newFixture(alwaysApplied)
			report := func(i int) {
				r.countRequest(usage.WindowAt(r.now, length))
				r.now = r.now.Add(length + time.Second)
				r.reporters[i].Do(context.Background(), r.grants[i])
			}
			copied := maps.Clone(r.table.rows)
			if !withoutRow {
				report(0)
				copied = maps.Clone(r.table.rows)
			}
			report(0)
			report(0)
			reported := len(r.platform.counts)
			for window := range r.totals {
				r.countRequest(window) // not known when the counts were finalized
			}
			if next.restarted {
				r.restart(next.holder)
			}
			r.restore(copied, next.holder, next.resumed)
			r.reporters[next.holder].Do(context.Background(), r.grants[next.holder])
			report(next.holder)
			report(next.holder)
			if r.platform.mismatch != "" || len(r.platform.counts) != reported+2 {
				t.Errorf("%s, without the row %t: %q, %d windows, want %d", name, withoutRow, r.platform.mismatch, len(r.platform.counts), reported+2)
			}
		}
	}
}
