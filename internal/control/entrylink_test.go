package control

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"connectrpc.com/connect"

	"sassafrasfield/internal/bootclock"
	"sassafrasfield/internal/config"
	sfv1 "sassafrasfield/internal/gen/sf/v1"
	"sassafrasfield/internal/gen/sf/v1/sfv1connect"
	"sassafrasfield/internal/platform"
)

// fakeEntry is the sf-entry of an instance. It records whether it knew how many entries there are when it got its
// configuration.
type fakeEntry struct {
	sfv1connect.UnimplementedEntryServiceHandler

	mu      sync.Mutex // protects all below
	version int64
	entries int32
	// entriesThen is the number of entries that it knew when it got its configuration, by start, drainingThen the upstreams
	// that it knew to be draining.
	entriesThen  []int32
	drainingThen [][]string
}

// restart restarts the entry.
func (e *fakeEntry) restart() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.version, e.entries = 0, 0
}

func (e *fakeEntry) starts() []int32 {
	e.mu.Lock()
	defer e.mu.Unlock()
	return append([]int32{}, e.entriesThen...)
}

func (e *fakeEntry) Apply(_ context.Context, request *connect.Request[sfv1.ApplyRequest]) (*connect.Response[sfv1.ApplyResponse], error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.version == 0 && len(request.Msg.Document) > 0 {
		e.version = request.Msg.Version
		e.entriesThen, e.drainingThen = append(e.entriesThen, e.entries), append(e.drainingThen, request.Msg.Leaving)
	}
	return connect.NewResponse(&sfv1.ApplyResponse{Version: e.version, Clock: 1}), nil
}

func (e *fakeEntry) Demand(context.Context, *connect.Request[sfv1.DemandRequest]) (*connect.Response[sfv1.DemandResponse], error) {
	return connect.NewResponse(&sfv1.DemandResponse{}), nil
}

func (e *fakeEntry) Share(_ context.Context, request *connect.Request[sfv1.ShareRequest]) (*connect.Response[sfv1.ShareResponse], error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.entries = request.Msg.Entries
	return connect.NewResponse(&sfv1.ShareResponse{}), nil
}

// awaitStart waits until the entry got its configuration after the nth start.
func (e *fakeEntry) awaitStart(t *testing.T, n int) {
	t.Helper()
	for deadline := time.Now().Add(10 * time.Second); len(e.starts()) < n; time.Sleep(time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatal("the entry got no configuration")
		}
	}
}

// newDaemonWithEntry returns a daemon with version 1 of the configuration and without an instance list, and its entry.
func newDaemonWithEntry(t *testing.T) (*Daemon, *fakeEntry) {
	t.Helper()
	entry, mux := &fakeEntry{}, http.NewServeMux()
	mux.Handle(sfv1connect.NewEntryServiceHandler(entry))
	server := httptest.NewServer(mux)
	t.Cleanup(server.Close)
	s := DefaultSettings()
	s.Instance, s.EntryLocal, s.Spread.ApplyEvery = "inst-1", strings.TrimPrefix(server.URL, "http://"), time.Millisecond
	d, err := New(s, slog.New(slog.NewTextHandler(io.Discard, nil)))
	if err != nil {
		t.Fatal(err)
	}
	d.holder.SetIfNewer(&config.Config{Version: 1})
	return d, entry
}

// setList sets the instance list, as if the platform had returned it.
func (d *Daemon) setList(list []platform.Instance) {
	requestedAt := bootclock.Now()
	d.members.adopt(list)
	d.onInstanceList(requestedAt)
}

// runLoops runs loops of a daemon until the test ends.
func runLoops(t *testing.T, list ...func(context.Context)) {
	ctx, stop := context.WithCancel(context.Background())
	var loops sync.WaitGroup
	for _, loop := range list {
		loops.Go(func() { loop(ctx) })
	}
	t.Cleanup(func() { stop(); loops.Wait() })
}

// TestEntryKnowsItsShareBeforeItServes guards against organisations that run their rate and their burst once for each entry
// after a start of all: an entry that has its configuration, and takes itself for the only one.
func TestEntryKnowsItsShareBeforeItServes(t *testing.T) {
	const entries, starts = 9, 4
	d, entry := newDaemonWithEntry(t)
	var list []platform.Instance
	for i := range entries {
		list = append(list, platform.Instance{ID: fmt.Sprint("inst-", i+1), Kind: platform.KindOwn, State: platform.InstanceLive, Control: "127.0.0.1:1"})
	}
	d.setList(list)
	runLoops(t, d.entryLoop, d.demandLoop)
	for start := 1; start <= starts; start++ {
		entry.awaitStart(t, start)
		if got := entry.starts()[start-1]; got != entries {
			t.Errorf("start %d: the entry knew of %d entries when it got its configuration, want %d", start, got, entries)
		}
		entry.restart()
	}
}

// TestEntryKnowsDrainingUpstreamsBeforeItServes guards against requests to an upstream that drains after a start of all: an
// sf-control that has not read the instance list has its entry serve as if no upstream drained.
func TestEntryKnowsDrainingUpstreamsBeforeItServes(t *testing.T) {
	const slowList = 200 * time.Millisecond
	d, entry := newDaemonWithEntry(t)
	runLoops(t, d.entryLoop)
	for begin := time.Now(); time.Since(begin) < slowList && len(entry.starts()) == 0; {
		time.Sleep(time.Millisecond)
	}
	d.setList([]platform.Instance{{ID: "old", Kind: platform.KindUpstream, State: platform.InstanceShuttingDown}})
	entry.awaitStart(t, 1)
	if got := entry.drainingThen[0]; !slices.Equal(got, []string{"old"}) {
		t.Errorf("when the entry got its configuration, the draining upstreams were %q, want old", got)
	}
}

// TestEntryServesWithoutInstanceList guards against an entry that never serves because the platform's list is not available.
func TestEntryServesWithoutInstanceList(t *testing.T) {
	d, entry := newDaemonWithEntry(t)
	runLoops(t, d.entryLoop)
	entry.awaitStart(t, 1)
}
