package control

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"connectrpc.com/connect"

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
	// entriesThen is the number of entries that it knew when it got its configuration, by start.
	entriesThen []int32
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
		e.entriesThen = append(e.entriesThen, e.entries)
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

// TestEntryKnowsItsShareBeforeItServes guards against organisations that run their rate and their burst once for each entry
// after a start of all: an entry that has its configuration, and takes itself for the only one.
func TestEntryKnowsItsShareBeforeItServes(t *testing.T) {
	const entries, starts = 9, 4
	entry := &fakeEntry{}
	mux := http.NewServeMux()
	mux.Handle(sfv1connect.NewEntryServiceHandler(entry))
	server := httptest.NewServer(mux)
	defer server.Close()
	s := DefaultSettings()
	s.Instance, s.EntryLocal, s.Spread.ApplyEvery = "inst-1", strings.TrimPrefix(server.URL, "http://"), time.Millisecond
	d, err := New(s, slog.New(slog.NewTextHandler(io.Discard, nil)))
	if err != nil {
		t.Fatal(err)
	}
	var list []platform.Instance
	for i := range entries {
		list = append(list, platform.Instance{ID: fmt.Sprint("inst-", i+1), Kind: platform.KindOwn, State: platform.InstanceLive, Control: "127.0.0.1:1"})
	}
	d.members.adopt(list)
	d.holder.SetIfNewer(&config.Config{Version: 1})

	ctx, stop := context.WithCancel(context.Background())
	var loops sync.WaitGroup
	loops.Go(func() { d.entryLoop(ctx) })
	loops.Go(func() { d.demandLoop(ctx) })
	defer loops.Wait()
	defer stop()
	for start := 1; start <= starts; start++ {
		for deadline := time.Now().Add(10 * time.Second); len(entry.starts()) < start; time.Sleep(time.Millisecond) {
			if time.Now().After(deadline) {
				t.Fatal("the entry got no configuration")
			}
		}
		if got := entry.starts()[start-1]; got != entries {
			t.Errorf("start %d: the entry knew of %d entries when it got its configuration, want %d", start, got, entries)
		}
		entry.restart()
	}
}
