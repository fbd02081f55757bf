package tracing_test

import (
	"bytes"
	"context"
	"encoding/hex"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"sassafrasfield/internal/engine"
	"sassafrasfield/internal/platform"
	"sassafrasfield/internal/scenario"
	"sassafrasfield/internal/testcaller"
	"sassafrasfield/internal/testfleet"
	"sassafrasfield/internal/testservers"
)

// callersTrace is the trace id that the test's caller sends.
const callersTrace = "4bf92f3577b34da6a3ce929d0e0e4736"

// span is what the tests read of one line of a span file.
type span struct {
	Name        string
	SpanContext struct{ TraceID, SpanID string }
	Parent      struct{ TraceID, SpanID string }
}

func readSpans(t *testing.T, path string) []span {
	t.Helper()
	data, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	var spans []span
	decoder := json.NewDecoder(bytes.NewReader(data))
	for {
		var s span
		if decoder.Decode(&s) != nil { // the last line may be half written
			return spans
		}
		spans = append(spans, s)
	}
}

// named returns the names of the spans of a trace.
func named(spans []span, trace string) []string {
	var names []string
	for _, s := range spans {
		if s.SpanContext.TraceID == trace {
			names = append(names, s.Name)
		}
	}
	return names
}

// saw tells whether a stand-in got a call of the trace at the path.
func saw(ctx context.Context, address, path, trace string) bool {
	var seen []testservers.SeenTrace
	if testfleet.Post(ctx, address, testservers.PathTraces, nil, &seen) != nil {
		return false
	}
	return slices.ContainsFunc(seen, func(s testservers.SeenTrace) bool {
		return s.Path == path && strings.Contains(s.Traceparent, trace)
	})
}

// start starts a fleet with one instance whose programs write their spans to
// files, and puts the first intent in force.
func start(t *testing.T, ctx context.Context, entryTrace string) *scenario.Harness {
	t.Helper()
	bin, err := testfleet.Bin()
	if err != nil {
		t.Fatal(err)
	}
	dir := t.TempDir()
	h := scenario.New(bin, dir)
	t.Cleanup(h.Fleet.Stop)
	h.EngineFlags = []string{"--change-time", "100ms"}
	h.Fleet.EntryExtra = "balancer_lag = \"0s\"\n"
	h.Fleet.EntryTables = "[trace]\n" + entryTrace
	h.Fleet.ControlTables = "[trace]\nfile = \"" + filepath.Join(dir, "control.json") + "\"\n"
	if entryTrace == "" {
		h.Fleet.EntryTables += "file = \"" + filepath.Join(dir, "entry.json") + "\"\n"
	}
	if err := h.Start(ctx, 1, 2, 1); err != nil {
		t.Fatal(err)
	}
	if err := h.Confirm(ctx, h.Fleet.Instances[0], h.BaseIntent()); err != nil {
		t.Fatal(err)
	}
	return h
}

func traceHeader() http.Header {
	return http.Header{"Traceparent": []string{"00-" + callersTrace + "-00f067aa0ba902b7-01"}}
}

// TestRequestIsOneTrace follows the caller's trace through entry, engine, a
// retry, the platform and a plain service.
func TestRequestIsOneTrace(t *testing.T) {
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	h := start(t, ctx, "")
	at := h.Fleet.Instances[0].EntryAddress
	chat := testcaller.Chat{Model: scenario.ModelName, Prompt: "which bales share a field?", MaxTokens: 12, Seed: 3, Header: traceHeader()}
	for _, e := range h.Fleet.Engines {
		if err := testfleet.Post(ctx, e.Address, testservers.PathFault, testservers.EngineFaults{BreakAfter: 2}, nil); err != nil {
			t.Fatal(err)
		}
	}
	_, _ = h.Caller.Stream(ctx, at, chat, nil) // breaks off at both engines
	header := traceHeader()
	header.Set("Idempotency-Key", "certificate-1")
	res, err := h.Caller.Post(ctx, at, "/bales/certificates", header, []byte(`{}`))
	if err != nil {
		t.Fatal(err)
	}
	res.Body.Close()

	spans := readSpans(t, filepath.Join(h.Fleet.Dir, "entry.json"))
	names := named(spans, callersTrace)
	for _, want := range []string{"entry POST", "engine generate", "platform " + platform.PathCommit, "service call"} {
		if !slices.Contains(names, want) {
			t.Errorf("the trace has no span %q; it has %q", want, names)
		}
	}
	for _, e := range h.Fleet.Engines {
		if !saw(ctx, e.Address, engine.PathGenerate, callersTrace) {
			t.Errorf("%s did not receive the caller's trace", e.ID)
		}
	}
	if !saw(ctx, h.Fleet.Services[0].Address, "/bales/certificates", callersTrace) {
		t.Error("the plain service did not receive the caller's trace")
	}
	if !saw(ctx, h.Fleet.PlatformAddress, platform.PathCommit, callersTrace) {
		t.Error("the platform did not receive the caller's trace")
	}
}

// TestOrderIsOneTrace finds the step of a rollout, its journal write, the
// question to the instances and the order at the engine in one trace.
func TestOrderIsOneTrace(t *testing.T) {
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	h := start(t, ctx, "")
	next := "name = \"next\"\n[[model]]\nname = \"" + scenario.ModelName + "\"\nversion = \"2\"\n"
	if err := h.Confirm(ctx, h.Fleet.Instances[0], next); err != nil {
		t.Fatal(err)
	}
	spans := readSpans(t, filepath.Join(h.Fleet.Dir, "control.json"))
	orders := 0
	for _, s := range spans {
		if s.Name != "engine order" {
			continue
		}
		orders++
		names := named(spans, s.SpanContext.TraceID)
		for _, want := range []string{"rollout step", "platform " + platform.PathCommit, "sf.v1.PeerService/InForce"} {
			if !slices.Contains(names, want) {
				t.Errorf("the order's trace has no span %q; it has %q", want, names)
			}
		}
		first, second := h.Fleet.Engines[0].Address, h.Fleet.Engines[1].Address
		if !saw(ctx, first, engine.PathOrder, s.SpanContext.TraceID) && !saw(ctx, second, engine.PathOrder, s.SpanContext.TraceID) {
			t.Error("no engine received the order's trace")
		}
	}
	if orders == 0 {
		t.Error("no order has a span")
	}
}

// TestSpansGoToACollector has an OTLP/HTTP receiver get the caller's trace.
func TestSpansGoToACollector(t *testing.T) {
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	id, err := hex.DecodeString(callersTrace)
	if err != nil {
		t.Fatal(err)
	}
	var found atomic.Bool
	collector := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, err := io.ReadAll(r.Body)
		if err == nil && r.URL.Path == "/v1/traces" && bytes.Contains(body, id) {
			found.Store(true)
		}
		w.WriteHeader(http.StatusOK)
	}))
	defer collector.Close()
	h := start(t, ctx, "otlp = \""+collector.URL+"/v1/traces\"\n")
	i := h.Fleet.Instances[0]
	chat := testcaller.Chat{Model: scenario.ModelName, Prompt: "p", MaxTokens: 4, Seed: 3, Header: traceHeader()}
	if answer, err := h.Caller.Stream(ctx, i.EntryAddress, chat, nil); err != nil || !answer.Done {
		t.Fatalf("%+v: %v", answer, err)
	}
	i.Entry.Signal(syscall.SIGTERM)
	<-i.Entry.Done()
	if !found.Load() {
		t.Error("the collector got no span of the caller's trace before the program ended")
	}
}
