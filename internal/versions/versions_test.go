package versions

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"sassafrasfield/internal/config"
	"sassafrasfield/internal/platform"
)

// fakeTable is a table that can answer reads from a stale copy, and lose the requests or
// replies of commits.
type fakeTable struct {
	rows     map[string]platform.Row
	copied   map[string]platform.Row
	revision int64
	// staleReads is how many of the next reads are answered from the copy.
	staleReads int
	// loseReplies and loseRequests are how many of the next commits with writes
	// get no reply, after and before they take effect.
	loseReplies, loseRequests int
	reads                     int
}

func newFakeTable() *fakeTable {
	return &fakeTable{rows: map[string]platform.Row{}, copied: map[string]platform.Row{}}
}

// serveStale answers the next reads from a copy of the table as it is now.
func (f *fakeTable) serveStale(reads int) {
	f.copied = map[string]platform.Row{}
	for key, row := range f.rows {
		f.copied[key] = row
	}
	f.staleReads = reads
}

func (f *fakeTable) source() map[string]platform.Row {
	f.reads++
	if f.staleReads > 0 {
		f.staleReads--
		return f.copied
	}
	return f.rows
}

func (f *fakeTable) Get(_ context.Context, key string) (platform.Row, error) {
	row, ok := f.source()[key]
	if !ok {
		return platform.Row{}, platform.ErrNotFound
	}
	return row, nil
}

func (f *fakeTable) List(_ context.Context, prefix string) ([]platform.Row, error) {
	var rows []platform.Row
	source := f.source()
	for v := int64(0); v <= f.revision; v++ { // the tests list only version rows
		if row, ok := source[versionKey(v)]; ok && strings.HasPrefix(versionKey(v), prefix) {
			rows = append(rows, row)
		}
	}
	return rows, nil
}

func (f *fakeTable) Commit(_ context.Context, txn platform.Txn) (int64, error) {
	if len(txn.Writes) > 0 && f.loseRequests > 0 {
		f.loseRequests--
		return 0, platform.ErrUnknown
	}
	for _, check := range txn.Checks {
		if f.rows[check.Key].Revision != check.Revision {
			return 0, platform.ErrConflict
		}
	}
	f.revision++
	for _, write := range txn.Writes {
		f.rows[write.Key] = platform.Row{Key: write.Key, Value: write.Value, Revision: f.revision}
	}
	if len(txn.Writes) > 0 && f.loseReplies > 0 {
		f.loseReplies--
		return 0, platform.ErrUnknown
	}
	return f.revision, nil
}

// appendEngine appends a version with one more engine.
func appendEngine(log Log, id string) error {
	head, doc, err := log.Newest(context.Background())
	if err != nil {
		return err
	}
	doc.Version++
	doc.Engines = append(doc.Engines, config.Engine{ID: id})
	return log.Append(context.Background(), head, doc, Entry{Summary: id}, platform.Txn{})
}

func TestLostReplyWithStaleReadsIsAccepted(t *testing.T) {
	table := newFakeTable()
	log := Log{Table: table, SettlePause: time.Microsecond}
	table.loseReplies = 1
	head, doc, err := log.Newest(context.Background())
	if err != nil {
		t.Fatal(err)
	}
	table.serveStale(2) // the read-back does not show the row yet
	doc.Version = 1
	if err := log.Append(context.Background(), head, doc, Entry{}, platform.Txn{}); err != nil {
		t.Fatalf("the version was written, but Append returned %v", err)
	}
}

func TestLostRequestAfterAnotherWriteIsRefused(t *testing.T) {
	table := newFakeTable()
	log := Log{Table: table, SettlePause: time.Microsecond}
	head, doc, err := log.Newest(context.Background())
	if err != nil {
		t.Fatal(err)
	}
	if err := appendEngine(log, "other"); err != nil {
		t.Fatal(err)
	}
	table.loseRequests = 1
	doc.Version = 1
	if err := log.Append(context.Background(), head, doc, Entry{}, platform.Txn{}); !errors.Is(err, ErrHeadMoved) {
		t.Fatalf("another version was written, but Append returned %v", err)
	}
}

func TestFailedExtraCheckIsNotErrHeadMoved(t *testing.T) {
	table := newFakeTable()
	log := Log{Table: table, SettlePause: time.Microsecond}
	table.loseRequests = 1
	extra := platform.Txn{Checks: []platform.Check{{Key: "epoch/p", Revision: 9}}}
	doc := &config.Config{Version: 1}
	if err := log.Append(context.Background(), Head{}, doc, Entry{}, extra); !errors.Is(err, platform.ErrConflict) {
		t.Fatalf("Append returned %v", err)
	}
}

func TestListReadsBuckets(t *testing.T) {
	table := newFakeTable()
	log := Log{Table: table, SettlePause: time.Microsecond}
	for i := range 150 {
		if err := appendEngine(log, fmt.Sprint(i)); err != nil {
			t.Fatal(err)
		}
	}
	table.reads = 0
	entries, err := log.List(context.Background(), 100)
	if err != nil || len(entries) != 100 || entries[0].Version != 150 || entries[99].Version != 51 {
		t.Fatalf("%d entries, %v", len(entries), err)
	}
	if table.reads > 4 {
		t.Errorf("%d reads for 100 entries", table.reads)
	}
	for _, version := range []int64{1, 63, 64, 65, 150} {
		doc, err := log.Load(context.Background(), version)
		if err != nil || doc.Version != version || len(doc.Engines) != int(version) {
			t.Errorf("version %d: %v", version, err)
		}
	}
	if size := len(table.rows[versionKey(65)].Value); size > 512 {
		t.Errorf("a version that adds one engine has a row of %d bytes", size)
	}
}

// TestReportedOutcomesMatchTable lets writers race with lost requests, lost replies and
// stale reads, and checks that the outcome that Append returns is what the table has.
func TestReportedOutcomesMatchTable(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		table := newFakeTable()
		log := Log{Table: table, SettlePause: time.Microsecond}
		accepted := map[string]bool{}
		refused := map[string]bool{}
		for i := range rapid.IntRange(1, 12).Draw(t, "writes") {
			head, doc, err := log.Newest(context.Background())
			if err != nil {
				continue
			}
			if rapid.Bool().Draw(t, "raced") {
				_ = appendEngine(log, fmt.Sprintf("rival-%d", i)) // may get a stale copy
			}
			table.serveStale(rapid.IntRange(0, 2).Draw(t, "stale"))
			table.loseReplies = rapid.IntRange(0, 1).Draw(t, "replies")
			table.loseRequests = rapid.IntRange(0, 1).Draw(t, "requests")
			id := fmt.Sprintf("own-%d", i)
			doc.Version++
			doc.Engines = append(doc.Engines, config.Engine{ID: id})
			switch err := log.Append(context.Background(), head, doc, Entry{Summary: id}, platform.Txn{}); {
			case err == nil:
				accepted[id] = true
			case errors.Is(err, ErrHeadMoved), errors.Is(err, platform.ErrConflict):
				refused[id] = true
			}
		}
		table.staleReads, table.loseReplies, table.loseRequests = 0, 0, 0
		_, doc, err := log.Newest(context.Background())
		if err != nil {
			t.Fatal(err)
		}
		for id := range accepted {
			if doc.Engine(id) == nil {
				t.Fatalf("%s was accepted but is missing", id)
			}
		}
		for id := range refused {
			if doc.Engine(id) != nil {
				t.Fatalf("%s was refused but is present", id)
			}
		}
	})
}
