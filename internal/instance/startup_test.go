package instance

import (
	"context"
	"io"
	"log/slog"
	"net/http/httptest"
	"sync"
	"testing"
	"time"

	"github.com/pkg/errors"

	"sassafrasfield/internal/platform"
	"sassafrasfield/internal/relay"
	"sassafrasfield/internal/replica"
	"sassafrasfield/internal/routes"
	"sassafrasfield/internal/rowsync"
)

// These tests start an instance whose store serves some of its tables later than others, while no other instance runs.

// configTable is the table with the configuration.
const configTable = "config"

// loadingDocuments decodes rows as fakeDocuments does, and the configuration.
type loadingDocuments struct{ fakeDocuments }

func (loadingDocuments) Routes(rows []replica.Row) (*routes.Table, error) {
	for _, row := range rows {
		if row.Table == configTable {
			return routes.NewTable(1, []routes.Route{{Host: "h", Prefix: "/", MaxAttempts: 1, Shares: []routes.Share{{Service: "llm", Weight: 1}}}}, nil, routes.Limits{}), nil
		}
	}
	return nil, nil
}

// partialFeed is a store that does not serve some of its tables.
type partialFeed struct {
	rows map[string][]replica.Row

	mu   sync.Mutex // protects away
	away map[string]bool
}

func (f *partialFeed) setAway(table string, away bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.away[table] = away
}

func (f *partialFeed) Read(_ context.Context, table string, _ time.Duration) ([]replica.Row, int64, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.away[table] {
		return nil, 0, platform.ErrUnavailable
	}
	return f.rows[table], 1, nil
}

func (f *partialFeed) Wait(ctx context.Context, _ string, after int64, _ time.Duration) ([]replica.Row, int64, error) {
	<-ctx.Done()
	return nil, after, nil
}

// countingSender counts the requests that are sent, and refuses them.
type countingSender struct {
	silentSender

	mu   sync.Mutex // protects sent
	sent int
}

func (s *countingSender) Send(context.Context, *relay.Request, relay.Send) (*relay.Reply, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.sent++
	return nil, relay.ErrRefused
}

func (s *countingSender) count() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.sent
}

// startingInstance is an instance that has just started.
type startingInstance struct {
	*Instance
	feed   *partialFeed
	sender *countingSender
}

// startWithout starts an instance whose store does not serve a table. All other tables are loaded when it returns.
func startWithout(t *testing.T, missing string) startingInstance {
	t.Helper()
	feed := &partialFeed{away: map[string]bool{missing: true}, rows: map[string][]replica.Row{
		configTable: {{Key: replica.Key{Table: configTable, Key: "config"}, Revision: 1}},
		"upstreams": {upstreamRow("e-1", "decode", 1)},
		"apart":     {rowOf(requestToService().Content(), `{"times":2}`, 1)},
	}}
	sender := &countingSender{}
	s := Settings{Relay: relay.DefaultSettings(), Follow: rowsync.Settings{
		Tables: []string{configTable, "upstreams", "apart"}, Wait: time.Minute, ReadTimeout: time.Second, PullEvery: 10 * time.Millisecond,
	}}
	a := Adapter{Feed: feed, Sender: sender, Documents: loadingDocuments{}, UpstreamTable: "upstreams", SharedTable: "apart"}
	in := startingInstance{New(s, a, slog.New(slog.NewTextHandler(io.Discard, nil))), feed, sender}
	ctx, stop := context.WithCancel(context.Background())
	var follower sync.WaitGroup
	follower.Go(func() { in.follower.Run(ctx) })
	t.Cleanup(func() { stop(); follower.Wait() })
	in.waitUntil(t, "the other tables are loaded", func() bool { return len(in.follower.LoadedTables()) == 2 })
	return in
}

func (in startingInstance) waitUntil(t *testing.T, condition string, holds func() bool) {
	t.Helper()
	for deadline := time.Now().Add(10 * time.Second); !holds(); time.Sleep(time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatalf("never held: %s", condition)
		}
	}
}

// requestToService returns the request of a caller.
func requestToService() *relay.Request {
	return &relay.Request{ID: "r", Method: "POST", Host: "h", Path: "/a", Target: "/a", WaitBudget: time.Second}
}

// serve has an instance serve the request, and returns its refusal.
func (in startingInstance) serve(t *testing.T) *relay.Refusal {
	t.Helper()
	var refusal *relay.Refusal
	if err := in.relay.Serve(context.Background(), requestToService(), httptest.NewRecorder()); !errors.As(err, &refusal) {
		t.Fatalf("not refused: %v", err)
	}
	return refusal
}

// TestInstanceIsNotReadyWithoutUpstreams guards against an instance that takes requests before it has read which
// upstreams there are, and refuses all of them.
func TestInstanceIsNotReadyWithoutUpstreams(t *testing.T) {
	in := startWithout(t, "upstreams")
	if in.ready() {
		t.Error("ready without the upstreams' rows")
	}
	in.feed.setAway("upstreams", false)
	in.waitUntil(t, "ready with all tables", in.ready)
}

// TestQuarantinedContentIsRefusedWhileRowsAreRead guards against a content that crashes upstreams again after all
// instances were restarted: a request that arrives before the rows of the quarantines reached an upstream.
func TestQuarantinedContentIsRefusedWhileRowsAreRead(t *testing.T) {
	in := startWithout(t, "apart")
	refusal := in.serve(t)
	if n := in.sender.count(); n > 0 {
		t.Errorf("the content reached upstreams %d times", n)
	}
	if refusal.Outcome != relay.NotRun || refusal.RetryIn == 0 {
		t.Errorf("refused with %+v, want not run, and a time to come back", refusal)
	}
	in.feed.setAway("apart", false)
	in.waitUntil(t, "refused for good", func() bool { return in.serve(t).RetryIn == 0 })
	if n := in.sender.count(); n > 0 {
		t.Errorf("the content reached upstreams %d times", n)
	}
}
