package relay

import (
	"bytes"
	"context"
	"io"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/pkg/errors"

	"sassafrasfield/internal/config"
	"sassafrasfield/internal/placement"
	"sassafrasfield/internal/routes"
	"sassafrasfield/internal/streamversions"
	"sassafrasfield/internal/upstreamstate"
)

// sent is one call that the fake upstreams received.
type sent struct {
	to      string
	prefill bool
	send    Send
}

// fakeSender answers from a script and records what was sent.
type fakeSender struct {
	// run and prefill answer the calls; nil gives a good answer.
	run     func(n int, s Send) (*Reply, error)
	prefill func(n int, s Send) (KV, error)
	// alive replaces the checks whether an upstream lives; nil for the script.
	alive func(context.Context) (bool, error)
	// engineRuns replaces what engines say about their runs; nil for engines that say nothing.
	engineRuns func(context.Context, upstreamstate.Upstream) (EngineRuns, error)

	// stop answers the orders to stop a run; nil for engines that have no such run.
	stop func(engine upstreamstate.Upstream, request string) (KV, error)

	handleStatus func(upstreamstate.Upstream, upstreamstate.UpstreamStatus)

	mu       sync.Mutex // protects the fields below
	calls    []sent
	runs     int
	prefills int
	freed    []KV
	// crashed are the upstreams whose processes have ended. inconclusive is the number of crash
	// checks that fail first.
	crashed      map[string]bool
	inconclusive int
	crashChecks  int
	// healthPath is the path of the newest crash check.
	healthPath string
}

func (f *fakeSender) SetStatusHandler(handle func(upstreamstate.Upstream, upstreamstate.UpstreamStatus)) {
	f.handleStatus = handle
}

func (f *fakeSender) Send(_ context.Context, _ *Request, s Send) (*Reply, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.calls = append(f.calls, sent{to: s.To.ID, send: s})
	f.runs++
	if f.run != nil {
		return f.run(f.runs, s)
	}
	return events("id: 1\ndata: a\n\n"), nil
}

func (f *fakeSender) Prefill(_ context.Context, _ *Request, s Send) (KV, upstreamstate.Load, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.calls = append(f.calls, sent{to: s.To.ID, prefill: true, send: s})
	f.prefills++
	if f.prefill != nil {
		kv, err := f.prefill(f.prefills, s)
		return kv, upstreamstate.Load{}, err
	}
	return KV{Engine: s.To, Handle: "h"}, upstreamstate.Load{}, nil
}

func (f *fakeSender) Free(_ context.Context, kv KV) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.freed = append(f.freed, kv)
	return nil
}

// Crashed implements Sender, according to the script.
func (f *fakeSender) Crashed(_ context.Context, to upstreamstate.Upstream, healthPath string) (bool, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.healthPath = healthPath
	f.crashChecks++
	if f.inconclusive > 0 {
		f.inconclusive--
		return false, errors.New("no result yet")
	}
	return f.crashed[to.ID], nil
}

// Runs implements Sender, according to the script.
func (f *fakeSender) Runs(ctx context.Context, engine upstreamstate.Upstream) (EngineRuns, error) {
	if f.engineRuns == nil {
		return EngineRuns{}, nil
	}
	return f.engineRuns(ctx, engine)
}

// Stop implements Sender, according to the script.
func (f *fakeSender) Stop(_ context.Context, engine upstreamstate.Upstream, request string, _ upstreamstate.Upstream) (KV, error) {
	if f.stop == nil {
		return KV{}, ErrNoSuchRun
	}
	return f.stop(engine, request)
}

// Alive implements Sender, according to the script.
func (f *fakeSender) Alive(ctx context.Context, to upstreamstate.Upstream, _ string) (bool, error) {
	if f.alive != nil {
		return f.alive(ctx)
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	return !f.crashed[to.ID], nil
}

func (f *fakeSender) freedCount() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.freed)
}

func (f *fakeSender) count() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.calls)
}

func reply(status int, body io.Reader) *Reply {
	return &Reply{Status: status, Header: http.Header{}, Body: io.NopCloser(body)}
}

func events(text string) *Reply { return reply(http.StatusOK, strings.NewReader(text)) }

// truncatedReader returns its text and then fails.
type truncatedReader struct {
	text io.Reader
}

func (r truncatedReader) Read(p []byte) (int, error) {
	n, err := r.text.Read(p)
	if err == io.EOF {
		return n, io.ErrUnexpectedEOF
	}
	return n, err
}

func truncated(text string) *Reply {
	return reply(http.StatusOK, truncatedReader{strings.NewReader(text)})
}

// newFake returns a relay in front of one plain service and one service of engines.
func newFake(t *testing.T, sender Sender) *Relay {
	t.Helper()
	s := DefaultSettings()
	s.Zone = "a"
	s.PrefillIdleTimeout = 50 * time.Millisecond
	s.RelocationsFrom = 1
	s.VersionStoreWait = 0
	r := New(s, sender, slog.New(slog.NewTextHandler(io.Discard, nil)))
	r.SetVersionTable(func() streamversions.Table { return streamversions.Table{Loaded: true} })
	r.SetRoutes(routes.NewTable(1, []routes.Route{
		{Name: "safe", Host: "h", Prefix: "/safe/", Kind: routes.Idempotent, MaxAttempts: 2, Timeout: time.Second, Shares: []routes.Share{{Service: "app", Weight: 1}}},
		{Name: "unsafe", Host: "h", Prefix: "/unsafe/", Kind: routes.NonIdempotent, MaxAttempts: 2, Timeout: time.Second, Shares: []routes.Share{{Service: "app", Weight: 1}}},
		{Name: "once", Host: "h", Prefix: "/once/", Kind: routes.Generation, MaxAttempts: 1, Timeout: 2 * time.Second, Shares: []routes.Share{{Service: "llm", Weight: 1}}},
		{Name: "resumable", Host: "h", Prefix: "/resumable/", Kind: routes.Generation, Resumable: true, MaxAttempts: 2, Timeout: 2 * time.Second, Shares: []routes.Share{{Service: "llm", Weight: 1}}},
	}, []routes.Service{{Name: "app", HealthPath: "/health"}}, routes.Limits{}))
	for _, id := range []string{"app-1", "app-2", "app-3"} {
		r.UpdateUpstream(upstreamstate.Upstream{ID: id, Service: "app", Address: id, Zone: "a"})
	}
	for _, id := range []string{"pre-1", "pre-2"} {
		r.UpdateUpstream(upstreamstate.Upstream{ID: id, Service: "llm", Address: id, Zone: "a", Role: config.RolePrefill})
	}
	for _, id := range []string{"dec-1", "dec-2", "dec-3"} {
		r.UpdateUpstream(upstreamstate.Upstream{ID: id, Service: "llm", Address: id, Zone: "a", Role: config.RoleDecode})
	}
	return r
}

// withLargeBudget gives the relay a large retry budget.
func withLargeBudget(r *Relay) {
	r.SetBudget(BudgetSettings{Share: 10, Slack: 100, Window: time.Second})
	r.SetPoolRequester(func(context.Context, uint32) bool { return true })
}

func call(path string) *Request {
	return &Request{ID: "r1", Method: "POST", Host: "h", Path: path, Target: path, Header: http.Header{}, WaitBudget: time.Second}
}

func longPrompt(path string) *Request {
	req := call(path)
	req.Prompt = &placement.Prompt{Tokens: 8000, MaxOutput: 10, Parts: []placement.Part{{ID: "s", Tokens: 5000}, {ID: "o", Tokens: 3000}}}
	return req
}

func serve(r *Relay, req *Request) (*httptest.ResponseRecorder, error) {
	w := httptest.NewRecorder()
	err := r.Serve(context.Background(), req, w)
	return w, err
}

func outcomeOf(t *testing.T, err error) Outcome {
	t.Helper()
	var refusal *Refusal
	if !errors.As(err, &refusal) {
		t.Fatalf("no refusal: %v", err)
	}
	return refusal.Outcome
}

// logBuffer keeps log lines that goroutines may write after the request that they are about.
type logBuffer struct {
	mu   sync.Mutex // protects text
	text bytes.Buffer
}

func (b *logBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.text.Write(p)
}

func (b *logBuffer) String() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.text.String()
}
