package idempotency

import (
	"bytes"
	"context"
	"log/slog"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/pkg/errors"

	"sassafrasfield/internal/platform"
	"sassafrasfield/internal/service"
	"sassafrasfield/internal/testservers"
)

// testBench is a platform with the runners of two instances and a service that counts its runs.
type testBench struct {
	platform *testservers.Platform
	client   *platform.Client
	first    *Runner
	second   *Runner
	runs     atomic.Int64
	body     []byte
	err      error
}

var certificate = service.Call{Method: "POST", Path: "/bales/certificates", Body: []byte(`{"lot": 1}`)}

func newTestBench(t *testing.T, settings Settings) *testBench {
	b := &testBench{platform: testservers.NewPlatform(1), body: []byte("issued")}
	server := httptest.NewServer(b.platform.Handler())
	t.Cleanup(server.Close)
	b.client = platform.NewClient(strings.TrimPrefix(server.URL, "http://"), 500*time.Millisecond)
	b.first = New(b.client, settings, "inst-1", slog.New(slog.DiscardHandler))
	b.second = New(b.client, settings, "inst-2", slog.New(slog.DiscardHandler))
	t.Cleanup(func() { b.platform.SetFaults(testservers.PlatformFaults{}); b.first.Wait(); b.second.Wait() })
	return b
}

func (b *testBench) run(context.Context) (service.Answer, error) {
	if b.err != nil {
		return service.Answer{}, b.err
	}
	b.runs.Add(1)
	return service.Answer{Status: 200, Body: b.body}, nil
}

func (b *testBench) do(r *Runner) (service.Answer, error) {
	return r.Do(context.Background(), Key("bales", "qoton", "k"), certificate, b.run)
}

// want makes the call on the runner and checks the outcome and the total number of runs.
func (b *testBench) want(t *testing.T, r *Runner, wanted error, runs int64) {
	t.Helper()
	answer, err := b.do(r)
	if !errors.Is(err, wanted) {
		t.Fatalf("error %v, want %v", err, wanted)
	}
	if err == nil && !bytes.Equal(answer.Body, b.body) {
		t.Fatalf("answer of %d bytes, want %d", len(answer.Body), len(b.body))
	}
	if got := b.runs.Load(); got != runs {
		t.Fatalf("%d runs, want %d", got, runs)
	}
}

func shortTimeouts() Settings {
	s := Default()
	s.ClaimTimeout, s.KeepWait, s.KeepTimeout = 400*time.Millisecond, 400*time.Millisecond, 5*time.Second
	return s
}

func TestRepeatGetsTheStoredAnswer(t *testing.T) {
	for _, size := range []int{10, 100 << 10} { // stored in the row, stored in the object store
		b := newTestBench(t, shortTimeouts())
		b.body = bytes.Repeat([]byte("x"), size)
		b.want(t, b.first, nil, 1)
		b.want(t, b.second, nil, 1)
		other := certificate
		other.Body = []byte(`{"lot": 2}`)
		_, err := b.second.Do(context.Background(), Key("bales", "qoton", "k"), other, b.run)
		if !errors.Is(err, ErrMismatch) {
			t.Fatalf("another call with the key: error %v, want ErrMismatch", err)
		}
	}
}

// TestLostTableReplies loses the replies to the first one, two and three writes, also with reads that are
// older than the claim. The runner must determine the outcome from the revision checks of the table.
func TestLostTableReplies(t *testing.T) {
	for _, stale := range []int{0, 150} {
		for lost := 1; lost <= 3; lost++ {
			b := newTestBench(t, shortTimeouts())
			b.platform.SetFaults(testservers.PlatformFaults{LoseReplies: lost, LosePrefix: Prefix, StaleReadMs: stale})
			b.want(t, b.first, nil, 1)
			b.platform.SetFaults(testservers.PlatformFaults{})
			b.first.Wait()
			b.want(t, b.second, nil, 1)
		}
	}
}

// TestRepeatWithStaleReadIsInProgress checks that a repeat gets ErrInProgress if its read does not return the
// row yet. The key is claimed, so ErrNotRun would be wrong.
func TestRepeatWithStaleReadIsInProgress(t *testing.T) {
	b := newTestBench(t, shortTimeouts())
	b.want(t, b.first, nil, 1)
	b.platform.SetFaults(testservers.PlatformFaults{StaleReadMs: 60000})
	b.want(t, b.second, ErrInProgress, 1)
}

func TestTableOutageRefusesTheCall(t *testing.T) {
	for _, faults := range []testservers.PlatformFaults{{Down: true}, {Stall: true}} {
		b := newTestBench(t, shortTimeouts())
		b.platform.SetFaults(faults)
		b.want(t, b.first, ErrNotRun, 0)
		// The stalled claim takes effect now and is withdrawn.
		b.platform.SetFaults(testservers.PlatformFaults{})
		b.first.Wait()
		b.want(t, b.second, nil, 1)
	}
}

// delayingTable delays commits while hold is set.
type delayingTable struct {
	Store
	mu   sync.Mutex // protects both below
	hold bool
	held []platform.Txn
}

func (h *delayingTable) Commit(ctx context.Context, txn platform.Txn) (int64, error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.hold {
		h.held = append(h.held, txn)
		return 0, platform.ErrUnknown
	}
	return h.Store.Commit(ctx, txn)
}

// deliver applies the delayed commits and stops delaying.
func (h *delayingTable) deliver() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.hold = false
	for _, txn := range h.held {
		_, _ = h.Store.Commit(context.Background(), txn) // its caller has already got ErrUnknown
	}
}

// TestUnconfirmedClaimIsWithdrawn delays the claim of a call that gets ErrNotRun until after the call has
// returned. The claim must be withdrawn, so that the key is free again.
func TestUnconfirmedClaimIsWithdrawn(t *testing.T) {
	b := newTestBench(t, shortTimeouts())
	table := &delayingTable{Store: b.client, hold: true}
	b.first.store = table
	b.want(t, b.first, ErrNotRun, 0)
	table.deliver()
	b.first.Wait()
	b.want(t, b.second, nil, 1)
}

// TestDelayedClaimIsRefused checks that a delayed claim write has no effect if it arrives after its call got
// ErrNotRun and the key was freed.
func TestDelayedClaimIsRefused(t *testing.T) {
	b := newTestBench(t, shortTimeouts())
	b.err = service.ErrNotRun
	b.want(t, b.first, ErrNotRun, 0)
	_, err := b.client.Commit(context.Background(), platform.Txn{
		Checks: []platform.Check{{Key: Key("bales", "qoton", "k")}},
		Writes: []platform.Write{{Key: Key("bales", "qoton", "k"), Value: []byte(`{"state":"claimed"}`)}},
	})
	if !errors.Is(err, platform.ErrConflict) {
		t.Fatalf("delayed claim: error %v, want ErrConflict", err)
	}
	b.err = nil
	b.want(t, b.second, nil, 1)
}

// TestOutageBeforeTheAnswerIsStored checks that the caller gets its answer although the table fails while
// the call runs, and that a repeat after the outage gets the same answer.
func TestOutageBeforeTheAnswerIsStored(t *testing.T) {
	b := newTestBench(t, shortTimeouts())
	answer, err := b.first.Do(context.Background(), Key("bales", "qoton", "k"), certificate, func(ctx context.Context) (service.Answer, error) {
		b.platform.SetFaults(testservers.PlatformFaults{Down: true})
		return b.run(ctx)
	})
	if err != nil || !bytes.Equal(answer.Body, b.body) {
		t.Fatalf("%q, %v", answer.Body, err)
	}
	b.platform.SetFaults(testservers.PlatformFaults{})
	b.first.Wait()
	b.want(t, b.second, nil, 1)
}

// TestRefusedCallReleasesTheKey checks that the key is free after a call that did not run, also if the reply
// to the release is lost.
func TestRefusedCallReleasesTheKey(t *testing.T) {
	b := newTestBench(t, shortTimeouts())
	b.err = service.ErrNotRun
	b.want(t, b.first, ErrNotRun, 0)
	b.platform.SetFaults(testservers.PlatformFaults{LoseReplies: 2, LosePrefix: Prefix})
	b.want(t, b.first, ErrNotRun, 0)
	b.first.Wait()
	b.platform.SetFaults(testservers.PlatformFaults{})
	b.err = nil
	b.want(t, b.second, nil, 1)
}

// TestClaimOfDeadRunnerIsSettled checks that a claim without an answer is in progress at first and unknown
// after SettleAfter, and that the call is not run again. If the runner was only slow, its answer replaces
// the unknown outcome.
func TestClaimOfDeadRunnerIsSettled(t *testing.T) {
	settings := shortTimeouts()
	settings.SettleAfter = 50 * time.Millisecond
	b := newTestBench(t, settings)
	resume, done := make(chan struct{}), make(chan struct{})
	claimed := make(chan struct{})
	go func() {
		defer close(done)
		_, _ = b.first.Do(context.Background(), Key("bales", "qoton", "k"), certificate, func(ctx context.Context) (service.Answer, error) {
			close(claimed)
			<-resume
			return b.run(ctx)
		})
	}()
	<-claimed
	b.want(t, b.second, ErrInProgress, 0)
	for {
		_, err := b.do(b.second)
		if errors.Is(err, ErrUnknown) {
			break
		}
		if !errors.Is(err, ErrInProgress) {
			t.Fatal(err)
		}
		time.Sleep(10 * time.Millisecond)
	}
	b.want(t, b.second, ErrUnknown, 0)
	close(resume)
	<-done
	b.want(t, b.second, nil, 1)
}

func TestSweepRemovesOnlyOldClaims(t *testing.T) {
	b := newTestBench(t, shortTimeouts())
	b.want(t, b.first, nil, 1)
	ctx := context.Background()
	if n, err := b.second.sweep(ctx, Prefix, time.Now()); n != 0 || err != nil {
		t.Fatalf("%d fresh rows removed, %v", n, err)
	}
	if n, err := b.second.sweep(ctx, Prefix, time.Now().Add(Default().Retention)); n != 1 || err != nil {
		t.Fatalf("%d old rows removed, %v", n, err)
	}
	b.want(t, b.second, nil, 2)
}

func TestClaimWatchIsBounded(t *testing.T) {
	w := newClaimWatch(time.Second)
	for n := range 3 * watchLimit {
		w.overdue(Key("s", "o", string(rune(n))), 1, 0)
	}
	if len(w.seen) > watchLimit {
		t.Fatalf("%d claims remembered", len(w.seen))
	}
}
