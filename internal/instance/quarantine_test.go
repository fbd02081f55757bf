package instance

import (
	"context"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/pkg/errors"

	"sassafrasfield/internal/platform"
	"sassafrasfield/internal/quarantine"
	"sassafrasfield/internal/relay"
	"sassafrasfield/internal/replica"
	"sassafrasfield/internal/routes"
)

// fakeTable records writes. Its first commits fail.
type fakeTable struct {
	platform.Table

	mu       sync.Mutex // protects the fields below
	failures int        // remaining failures
	writes   []platform.Write
	checks   []platform.Check
}

func (f *fakeTable) Commit(_ context.Context, txn platform.Txn) (int64, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.failures > 0 {
		f.failures--
		return 0, platform.ErrUnavailable
	}
	f.writes, f.checks = append(f.writes, txn.Writes...), append(f.checks, txn.Checks...)
	return 1, nil
}

func (f *fakeTable) written() []platform.Write {
	f.mu.Lock()
	defer f.mu.Unlock()
	return append([]platform.Write{}, f.writes...)
}

// refused reports whether an instance refuses a request because its content is quarantined.
func refused(in *Instance, req *relay.Request) bool {
	err := in.relay.Serve(context.Background(), req, httptest.NewRecorder())
	var refusal *relay.Refusal
	return errors.As(err, &refusal) && refusal.RetryIn == 0
}

func rowOf(content quarantine.Subject, value string, revision int64) replica.Row {
	return replica.Row{
		Key:   replica.Key{Table: "apart", Key: QuarantinePrefix + content.String()},
		Value: []byte(value), Revision: revision, Deleted: value == "",
	}
}

// TestQuarantineRowsAreApplied guards against an invalid row that keeps the valid ones from being applied.
func TestQuarantineRowsAreApplied(t *testing.T) {
	in := newInstance()
	in.relay.SetRoutes(routes.NewTable(1, []routes.Route{{Host: "h", Prefix: "/", Shares: []routes.Share{{Service: "s", Weight: 1}}}}, nil, routes.Limits{}))
	req := &relay.Request{ID: "r", Method: "POST", Host: "h", Path: "/a", Target: "/a", WaitBudget: time.Second}
	invalid := rowOf(8, "what", 1)
	noContent := replica.Row{Key: replica.Key{Table: "apart", Key: "no content"}, Value: []byte(`{"times":1}`), Revision: 2}
	in.applyRows([]replica.Row{invalid, noContent, rowOf(req.Content(), `{"times":1}`, 3)})
	if !refused(in, req) {
		t.Error("the row is not applied")
	}
	in.applyRows([]replica.Row{rowOf(req.Content(), "", 4)})
	if refused(in, req) {
		t.Error("the removal of the row is not applied")
	}
}

// TestQuarantineRowsAreWrittenAfterStoreFailure guards against quarantines that are not persisted because the
// first write failed.
func TestQuarantineRowsAreWrittenAfterStoreFailure(t *testing.T) {
	in, table := newInstance(), &fakeTable{failures: 1}
	in.adapter.Table = table
	ctx := context.Background()
	for upstream := range uint32(2) {
		in.relay.RecordCrash(quarantine.Crash{Subject: 7, Upstream: upstream})
	}
	if in.writeQuarantineRows(ctx) || len(in.relay.Unpersisted()) != 1 {
		t.Fatal("persisted, though the write failed")
	}
	if !in.writeQuarantineRows(ctx) {
		t.Fatal("not persisted")
	}
	writes := table.written()
	if len(writes) != 1 || writes[0].Key != "apart/0000000000000007" || writes[0].Delete {
		t.Errorf("%+v", writes)
	}
	if !in.writeQuarantineRows(ctx) || len(table.written()) != 1 {
		t.Error("persisted twice")
	}
}

// TestContentStaysQuarantinedIfRowIsMissingAfterRestore guards against a quarantine that ends because the
// store was restored without its row, and against a missing row that no instance writes again.
func TestContentStaysQuarantinedIfRowIsMissingAfterRestore(t *testing.T) {
	in, table := newInstance(), &fakeTable{}
	in.adapter.Table = table
	in.relay.SetRoutes(routes.NewTable(1, []routes.Route{{Host: "h", Prefix: "/", Shares: []routes.Share{{Service: "s", Weight: 1}}}}, nil, routes.Limits{}))
	req := &relay.Request{ID: "r", Method: "POST", Host: "h", Path: "/a", Target: "/a", WaitBudget: time.Second}
	in.applyRows([]replica.Row{rowOf(req.Content(), `{"times":2}`, 3)})
	missing := rowOf(req.Content(), "", platform.RevisionOf(1, 0))
	missing.MissingAfterRestore = true
	in.applyRows([]replica.Row{missing})
	if !refused(in, req) {
		t.Error("the content is not refused")
	}
	if !in.writeQuarantineRows(context.Background()) {
		t.Fatal("the row is not written")
	}
	if writes := table.written(); len(writes) != 1 || writes[0].Delete || !strings.Contains(string(writes[0].Value), `"times":2`) {
		t.Errorf("written again: %+v", writes)
	}
	other := rowOf(5, "", platform.RevisionOf(1, 0))
	other.MissingAfterRestore = true
	in.applyRows([]replica.Row{other})
	if len(in.relay.Unpersisted()) > 0 {
		t.Error("the row of a content that is not quarantined here is written")
	}
}
