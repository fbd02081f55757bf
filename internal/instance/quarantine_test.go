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

// fakeTable records what is written, and fails a number of times first.
type fakeTable struct {
	platform.Table

	mu      sync.Mutex // protects all below
	failing int
	writes  []platform.Write
}

func (f *fakeTable) Commit(_ context.Context, txn platform.Txn) (int64, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.failing > 0 {
		f.failing--
		return 0, platform.ErrUnavailable
	}
	f.writes = append(f.writes, txn.Writes...)
	return 1, nil
}

func (f *fakeTable) written() []platform.Write {
	f.mu.Lock()
	defer f.mu.Unlock()
	return append([]platform.Write{}, f.writes...)
}

// refused tells whether an instance refuses a request as its content is set apart.
func refused(in *Instance, req *relay.Request) bool {
	err := in.relay.Serve(context.Background(), req, httptest.NewRecorder())
	var refusal *relay.Refusal
	return errors.As(err, &refusal) && refusal.RetryIn == 0
}

func apartRowOf(content quarantine.Content, value string, revision int64) replica.Row {
	return replica.Row{
		Key:   replica.Key{Table: "apart", Key: QuarantinePrefix + content.String()},
		Value: []byte(value), Revision: revision, Deleted: value == "",
	}
}

// TestTheRowsOfContentsAreFollowed: one that cannot be read leaves the others.
func TestTheRowsOfContentsAreFollowed(t *testing.T) {
	in := newInstance()
	in.relay.SetRoutes(routes.NewTable(1, []routes.Route{{Host: "h", Prefix: "/", Shares: []routes.Share{{Service: "s", Weight: 1}}}}, nil, routes.Limits{}))
	req := &relay.Request{ID: "r", Method: "POST", Host: "h", Path: "/a", Target: "/a", WaitBudget: time.Second}
	unreadable := apartRowOf(8, "what", 1)
	unnamed := replica.Row{Key: replica.Key{Table: "apart", Key: "no content"}, Value: []byte(`{"times":1}`), Revision: 2}
	in.changed([]replica.Row{unreadable, unnamed, apartRowOf(req.Content(), `{"times":1}`, 3)})
	if !refused(in, req) {
		t.Error("the row is not followed")
	}
	in.changed([]replica.Row{apartRowOf(req.Content(), "", 4)})
	if refused(in, req) {
		t.Error("its removal is not followed")
	}
}

// TestContentsAreKeptOnceTheStoreTakesThem: it fails at first.
func TestContentsAreKeptOnceTheStoreTakesThem(t *testing.T) {
	in, table := newInstance(), &fakeTable{failing: 1}
	in.adapter.Table = table
	ctx := context.Background()
	for upstream := range uint32(2) {
		in.relay.RecordCrash(quarantine.Crash{Content: 7, Upstream: upstream})
	}
	if in.writeApart(ctx) || len(in.relay.Unpersisted()) != 1 {
		t.Fatal("kept, though the store did not take it")
	}
	if !in.writeApart(ctx) {
		t.Fatal("not kept")
	}
	writes := table.written()
	if len(writes) != 1 || writes[0].Key != "apart/0000000000000007" || writes[0].Delete {
		t.Errorf("%+v", writes)
	}
	if !in.writeApart(ctx) || len(table.written()) != 1 {
		t.Error("kept again")
	}
}

// TestAContentWhoseRowIsLostStaysApart guards against upstreams that get a content again as the store
// came back without its row, and against a row that nobody writes again.
func TestAContentWhoseRowIsLostStaysApart(t *testing.T) {
	in, table := newInstance(), &fakeTable{}
	in.adapter.Table = table
	in.relay.SetRoutes(routes.NewTable(1, []routes.Route{{Host: "h", Prefix: "/", Shares: []routes.Share{{Service: "s", Weight: 1}}}}, nil, routes.Limits{}))
	req := &relay.Request{ID: "r", Method: "POST", Host: "h", Path: "/a", Target: "/a", WaitBudget: time.Second}
	in.changed([]replica.Row{apartRowOf(req.Content(), `{"times":2}`, 3)})
	lost := apartRowOf(req.Content(), "", platform.RevisionOf(1, 0))
	lost.MissingAfterRestore = true
	in.changed([]replica.Row{lost})
	if !refused(in, req) {
		t.Error("it is let through")
	}
	if !in.writeApart(context.Background()) {
		t.Fatal("not written")
	}
	if writes := table.written(); len(writes) != 1 || writes[0].Delete || !strings.Contains(string(writes[0].Value), `"times":2`) {
		t.Errorf("written again: %+v", writes)
	}
	other := apartRowOf(5, "", platform.RevisionOf(1, 0))
	other.MissingAfterRestore = true
	in.changed([]replica.Row{other})
	if len(in.relay.Unpersisted()) > 0 {
		t.Error("a content that is not apart here is written")
	}
}
