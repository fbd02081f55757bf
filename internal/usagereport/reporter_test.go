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

// fakeTable is the platform's table. Its commits fail by script: not done, done and not
// answered, or done later if their checks hold then.
type fakeTable struct {
	platform.Table
	rows     map[string]platform.Row
	revision int64
	late     []platform.Txn
	fate     func() fate
}

// fate of a call.
type fate int

const (
	answered fate = iota
	lostAnswer
	notDone
	doneLater
)

var errNoAnswer = errors.New("no answer")

func newTable() *fakeTable {
	return &fakeTable{rows: map[string]platform.Row{}, fate: func() fate { return answered }}
}

func (f *fakeTable) Get(_ context.Context, key string) (platform.Row, error) {
	if f.fate() == notDone {
		return platform.Row{}, errNoAnswer
	}
	row, ok := f.rows[key]
	if !ok {
		return row, platform.ErrNotFound
	}
	return row, nil
}

func (f *fakeTable) Commit(_ context.Context, txn platform.Txn) (int64, error) {
	switch f.fate() {
	case notDone:
		return 0, platform.ErrUnavailable
	case doneLater:
		f.late = append(f.late, txn)
		return 0, platform.ErrUnknown
	case lostAnswer:
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

// takeOver writes the epoch's row as a takeover does.
func (f *fakeTable) takeOver(epoch int64) lease.Grant {
	key := leaserows.EpochKey(leaseName)
	f.revision++
	f.rows[key] = platform.Row{Key: key, Revision: f.revision}
	return lease.Grant{Epoch: epoch, EpochRevision: f.revision}
}

// fakePlatform takes reports.
type fakePlatform struct {
	fate func() fate
	// counts are the first ones that came for each window.
	counts map[usage.Window]usage.Counts
	broken string
	// sent counts the calls.
	sent int
}

func (f *fakePlatform) Report(_ context.Context, r Report) error {
	f.sent++
	how := f.fate()
	if how == notDone || how == doneLater {
		return errNoAnswer
	}
	if first, ok := f.counts[r.Window]; ok && fmt.Sprint(first) != fmt.Sprint(r.Counts) {
		f.broken = fmt.Sprintf("window %d: %v, and %v before", r.Window, r.Counts, first)
	}
	f.counts[r.Window] = r.Counts
	if how == lostAnswer {
		return errNoAnswer
	}
	return nil
}

// rig is two instances that take turns as the holder, in the time of a day.
type rig struct {
	table    *fakeTable
	platform *fakePlatform
	now      time.Time
	totals   map[usage.Window]usage.Counts
	grants   [2]lease.Grant
	list     [2]*Reporter
	epoch    int64
	// era counts the returns of the table from a copy.
	era int64
}

func newRig(f func() fate) *rig {
	r := &rig{table: newTable(), platform: &fakePlatform{counts: map[usage.Window]usage.Counts{}, fate: f}, now: time.Unix(1000, 0), totals: map[usage.Window]usage.Counts{}}
	r.table.fate = f
	for i := range r.list {
		r.start(i)
	}
	r.takeOver(0)
	return r
}

// start starts an instance's process anew.
func (r *rig) start(i int) {
	s := Settings{Instance: fmt.Sprint("inst-", i), Lease: leaseName, Length: length, SettleTime: time.Second}
	total := func(w usage.Window) usage.Counts { // what is known grows, and differs by instance
		return maps.Clone(r.totals[w])
	}
	r.list[i] = NewReporter(s, r.table, r.platform, total, func() time.Time { return r.now }, slog.New(slog.NewTextHandler(io.Discard, nil)))
}

func (r *rig) takeOver(i int) {
	r.epoch++
	r.grants[i] = r.table.takeOver(r.epoch)
	r.list[i].Reset()
}

func (r *rig) began(w usage.Window) {
	if r.totals[w] == nil {
		r.totals[w] = usage.Counts{}
	}
	r.totals[w]["x"]++
}

func good() fate { return answered }

// TestAWindowIsReportedOnce: whatever becomes of calls, whoever is killed between any two
// of them, and though an earlier holder goes on, no two counts of a window are sent; and
// once all is well, each window is reported in time.
func TestAWindowIsReportedOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		well := false
		r := newRig(func() fate {
			if well {
				return answered
			}
			return rapid.SampledFrom([]fate{answered, answered, answered, lostAnswer, notDone, doneLater}).Draw(t, "fate")
		})
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			i := rapid.IntRange(0, 1).Draw(t, "instance")
			switch rapid.IntRange(0, 6).Draw(t, "step") {
			case 0, 1:
				r.list[i].Do(context.Background(), r.grants[i]) // also by one that is not the holder any more
			case 2:
				r.takeOver(i)
			case 3:
				r.start(i)
			case 4:
				r.now = r.now.Add(time.Duration(rapid.IntRange(0, 7000).Draw(t, "ms")) * time.Millisecond)
			case 5:
				r.began(usage.WindowAt(r.now, length) - usage.Window(rapid.IntRange(0, 2).Draw(t, "late")))
			case 6:
				if n := len(r.table.late); n > 0 {
					_, _ = r.table.apply(r.table.late[0]) // if its checks hold still
					r.table.late = r.table.late[1:]
				}
			}
			if r.platform.broken != "" {
				t.Fatal(r.platform.broken)
			}
		}
		well = true
		r.takeOver(0)
		r.began(usage.WindowAt(r.now, length))
		last := usage.WindowAt(r.now, length)
		for range 4 {
			r.now = r.now.Add(length)
			r.list[0].Do(context.Background(), r.grants[0])
			r.list[0].Do(context.Background(), r.grants[0])
		}
		if _, ok := r.platform.counts[last]; !ok || r.platform.broken != "" {
			t.Fatalf("window %d was not reported once all was well, %s", last, r.platform.broken)
		}
	})
}

// TestAWindowIsReportedOnceItIsComplete: not before, and with no report of those in which
// nobody had asked for anything yet.
func TestAWindowIsReportedOnceItIsComplete(t *testing.T) {
	r := newRig(good)
	first := usage.WindowAt(r.now, length)
	do := func() { r.list[0].Do(context.Background(), r.grants[0]) }
	r.now = first.End(length).Add(2 * time.Second)
	do()
	if len(r.platform.counts) != 0 {
		t.Errorf("%v, though nobody asked", r.platform.counts)
	}
	r.began(first + 1)
	r.now = (first + 1).End(length).Add(900 * time.Millisecond)
	do()
	if len(r.platform.counts) != 0 {
		t.Errorf("%v before it settled", r.platform.counts)
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

// TestAReportThatWaitedForTooLongIsGivenUp: the platform was away for a minute.
func TestAReportThatWaitedForTooLongIsGivenUp(t *testing.T) {
	away := true
	r := newRig(good)
	r.platform.fate = func() fate {
		if away {
			return notDone
		}
		return answered
	}
	for range 20 {
		r.began(usage.WindowAt(r.now, length))
		r.now = r.now.Add(length)
		r.list[0].Do(context.Background(), r.grants[0])
	}
	away = false
	r.list[0].Do(context.Background(), r.grants[0])
	if n := len(r.platform.counts); n != MaxUnsent {
		t.Errorf("%d windows were reported, want %d", n, MaxUnsent)
	}
}

// TestTheNextHolderSendsAgainWhatIsNotKnownToHaveCome, and nothing else: what was sent is
// kept at once, so that old reports do not stand before those that are due when the
// platform is slow.
func TestTheNextHolderSendsAgainWhatIsNotKnownToHaveCome(t *testing.T) {
	r := newRig(good)
	for range 3 {
		r.began(usage.WindowAt(r.now, length))
		r.now = r.now.Add(length)
		r.list[0].Do(context.Background(), r.grants[0])
	}
	r.platform.sent = 0
	r.now = r.now.Add(length)
	r.takeOver(1)
	r.list[1].Do(context.Background(), r.grants[1])
	if r.platform.sent != 1 {
		t.Errorf("%d reports, want that of one window", r.platform.sent)
	}
}

// scripted returns the fates one after another, then good ones.
func scripted(fates ...fate) func() fate {
	return func() fate {
		if len(fates) == 0 {
			return answered
		}
		next := fates[0]
		fates = fates[1:]
		return next
	}
}

// TestALateWriteUndoesNothing: a write without an answer arrives after the window's counts
// were fixed anew and sent. The next holder must not find the older ones.
func TestALateWriteUndoesNothing(t *testing.T) {
	r := newRig(scripted(answered, doneLater)) // of the read and the write
	r.began(usage.WindowAt(r.now, length))
	r.now = r.now.Add(length + 2*time.Second)
	r.list[0].Do(context.Background(), r.grants[0])
	r.began(usage.WindowAt(r.now, length) - 1) // a total that came late
	r.list[0].Do(context.Background(), r.grants[0])
	_, _ = r.table.apply(r.table.late[0])
	r.takeOver(1)
	r.list[1].Do(context.Background(), r.grants[1])
	if len(r.platform.counts) != 1 || r.platform.broken != "" {
		t.Errorf("%v, %s", r.platform.counts, r.platform.broken)
	}
}

// TestAnEarlierHolderReportsNothingNew: another one has taken over since its last look.
func TestAnEarlierHolderReportsNothingNew(t *testing.T) {
	r := newRig(good)
	r.list[0].Do(context.Background(), r.grants[0])
	r.began(usage.WindowAt(r.now, length))
	r.now = r.now.Add(length + 2*time.Second)
	r.takeOver(1)
	r.list[0].Do(context.Background(), r.grants[0])
	if len(r.platform.counts) != 0 {
		t.Errorf("%v", r.platform.counts)
	}
}

// TestTheNextHolderSendsWhatWasFixed: the one before fixed the counts and was killed before
// it sent them, or before it was told that they came; more became known since.
func TestTheNextHolderSendsWhatWasFixed(t *testing.T) {
	for _, how := range []fate{notDone, lostAnswer} {
		r := newRig(good)
		r.platform.fate = scripted(how)
		r.began(usage.WindowAt(r.now, length))
		r.now = r.now.Add(length + 2*time.Second)
		r.list[0].Do(context.Background(), r.grants[0])
		r.began(usage.WindowAt(r.now, length) - 1)
		r.takeOver(1)
		r.list[1].Do(context.Background(), r.grants[1])
		if n := r.platform.counts[usage.WindowAt(r.now, length)-1]["x"]; n != 1 || r.platform.broken != "" {
			t.Errorf("%d, want the 1 that was fixed, %s", n, r.platform.broken)
		}
	}
}

// comeBack has the table come back from a copy, in a new era, and an instance hold the lease in it.
func (r *rig) comeBack(rows map[string]platform.Row, holder int, resumed bool) {
	r.era++
	r.table.rows, r.table.revision = map[string]platform.Row{}, platform.RevisionOf(r.era, r.table.revision)
	for key, row := range rows {
		row.Revision = platform.RevisionOf(r.era, platform.CounterOf(row.Revision))
		r.table.rows[key] = row
	}
	r.takeOver(holder)
	r.grants[holder].TableRestored, r.grants[holder].Resumed = true, resumed
}

// TestAWindowThatTheStoreLostIsNotCountedAnew guards against two counts of a window: the store came
// back from a copy without the row that fixed it, or with an older one, and more is known since, or
// less at a holder that has just begun.
func TestAWindowThatTheStoreLostIsNotCountedAnew(t *testing.T) {
	for _, without := range []bool{true, false} {
		for name, next := range map[string]struct {
			holder  int
			resumed bool
			started bool
		}{
			"the same holder":          {0, true, false},
			"another one":              {1, false, false},
			"one that has just begun":  {1, false, true},
			"one that had it long ago": {0, false, false},
		} {
			r := newRig(good)
			report := func(i int) {
				r.began(usage.WindowAt(r.now, length))
				r.now = r.now.Add(length + time.Second)
				r.list[i].Do(context.Background(), r.grants[i])
			}
			copied := maps.Clone(r.table.rows)
			if !without {
				report(0)
				copied = maps.Clone(r.table.rows)
			}
			report(0)
			report(0)
			reported := len(r.platform.counts)
			for window := range r.totals {
				r.began(window) // what was not known when they were fixed
			}
			if next.started {
				r.start(next.holder)
			}
			r.comeBack(copied, next.holder, next.resumed)
			r.list[next.holder].Do(context.Background(), r.grants[next.holder])
			report(next.holder)
			report(next.holder)
			if r.platform.broken != "" || len(r.platform.counts) != reported+2 {
				t.Errorf("%s, without the row %t: %q, %d windows, want %d", name, without, r.platform.broken, len(r.platform.counts), reported+2)
			}
		}
	}
}
