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

// callerTraceID is the trace id that the caller in the tests sends.
const callerTraceID = "4bf92f3577b34da6a3ce929d0e0e4736"

// exportedSpan has the fields of one line of a span file that the tests read.
type exportedSpan struct {
	Name        string
	SpanContext struct{ TraceID, SpanID string }
	Parent      struct{ TraceID, SpanID string }
}

func readSpans(t *testing.T, path string) []exportedSpan {
	t.Helper()
	data, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	var spans []exportedSpan
	decoder := json.NewDecoder(bytes.NewReader(data))
	for {
		var s exportedSpan
		if decoder.Decode(&s) != nil { // the last line may be incomplete
			return spans
		}
		spans = append(spans, s)
	}
}

// spanNames returns the names of the spans of a trace.
func spanNames(spans []exportedSpan, traceID string) []string {
	var names []string
	for _, s := range spans {
		if s.SpanContext.TraceID == traceID {
			names = append(names, s.Name)
		}
	}
	return names
}

// receivedTrace reports whether the test server at address received a call at the path with the trace id.
func receivedTrace(ctx context.Context, address, path, traceID string) bool {
	var seen []testservers.SeenTrace
	if testfleet.Post(ctx, address, testservers.PathTraces, nil, &seen) != nil {
		return false
	}
	return slices.ContainsFunc(seen, func(s testservers.SeenTrace) bool {
		return s.Path == path && strings.Contains(s.Traceparent, traceID)
	})
}

// startFleet starts a fleet with one instance and confirms the first intent. The programs write their spans
// to files. A non-empty entryTrace replaces the trace settings of sf-entry.
func startFleet(t *testing.T, ctx context.Context, entryTrace string) *scenario.Harness {
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
	return http.Header{"Traceparent": []string{"00-" + callerTraceID + "-00f067aa0ba902b7-01"}}
}

// TestRequestSharesTheCallersTrace checks that the caller's trace id is propagated to the entry, the engines
// (also on a retry), the platform and a plain service.
func TestRequestSharesTheCallersTrace(t *testing.T) {
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	h := startFleet(t, ctx, "")
	at := h.Fleet.Instances[0].EntryAddress
	chat := testcaller.Chat{Model: scenario.ModelName, Prompt: "which bales share a field?", MaxTokens: 12, Seed: 3, Header: traceHeader()}
	for _, e := range h.Fleet.Engines {
		if err := testfleet.Post(ctx, e.Address, testservers.PathFault, testservers.EngineFaults{BreakAfter: 2}, nil); err != nil {
			t.Fatal(err)
		}
	}
	_, _ = h.Caller.Stream(ctx, at, chat, nil) // both engines break off
	header := traceHeader()
	header.Set("Idempotency-Key", "certificate-1")
	res, err := h.Caller.Post(ctx, at, "/bales/certificates", header, []byte(`{}`))
	if err != nil {
		t.Fatal(err)
	}
	res.Body.Close()

	spans := readSpans(t, filepath.Join(h.Fleet.Dir, "entry.json"))
	names := spanNames(spans, callerTraceID)
	for _, want := range []string{"entry POST", "engine generate", "platform " + platform.PathCommit, "service call"} {
		if !slices.Contains(names, want) {
			t.Errorf("the trace has no span %q; it has %q", want, names)
		}
	}
	for _, e := range h.Fleet.Engines {
		if !receivedTrace(ctx, e.Address, engine.PathGenerate, callerTraceID) {
			t.Errorf("%s did not receive the caller's trace", e.ID)
		}
	}
	if !receivedTrace(ctx, h.Fleet.Services[0].Address, "/bales/certificates", callerTraceID) {
		t.Error("the plain service did not receive the caller's trace")
	}
	if !receivedTrace(ctx, h.Fleet.PlatformAddress, platform.PathCommit, callerTraceID) {
		t.Error("the platform did not receive the caller's trace")
	}
}

// TestOrderSharesTheRolloutTrace checks that the step of a rollout, its journal write, the query to the
// instances and the order to the engine are in one trace.
func TestOrderSharesTheRolloutTrace(t *testing.T) {
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	h := startFleet(t, ctx, "")
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
		names := spanNames(spans, s.SpanContext.TraceID)
		for _, want := range []string{"rollout step", "platform " + platform.PathCommit, "sf.v1.PeerService/InForce"} {
			if !slices.Contains(names, want) {
				t.Errorf("the order's trace has no span %q; it has %q", want, names)
			}
		}
		first, second := h.Fleet.Engines[0].Address, h.Fleet.Engines[1].Address
		if !receivedTrace(ctx, first, engine.PathOrder, s.SpanContext.TraceID) && !receivedTrace(ctx, second, engine.PathOrder, s.SpanContext.TraceID) {
			t.Error("no engine received the order's trace")
		}
	}
	if orders == 0 {
		t.Error("no order has a span")
	}
}

// TestSpansReachACollector checks that an OTLP/HTTP collector receives the caller's trace before sf-entry has
// shut down.
func TestSpansReachACollector(t *testing.T) {
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	id, err := hex.DecodeString(callerTraceID)
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
	h := startFleet(t, ctx, "otlp = \""+collector.URL+"/v1/traces\"\n")
	i := h.Fleet.Instances[0]
	chat := testcaller.Chat{Model: scenario.ModelName, Prompt: "p", MaxTokens: 4, Seed: 3, Header: traceHeader()}
	if answer, err := h.Caller.Stream(ctx, i.EntryAddress, chat, nil); err != nil || !answer.Done {
		t.Fatalf("%+v: %v", answer, err)
	}
	i.Entry.Signal(syscall.SIGTERM)
	<-i.Entry.Done()
	if !found.Load() {
		t.Error("the collector received no span of the caller's trace before the program exited")
	}
}
