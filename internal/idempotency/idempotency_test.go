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

// bench is a platform with two instances' runners, and a service that counts.
type bench struct {
	platform *testservers.Platform
	client   *platform.Client
	first    *Runner
	second   *Runner
	runs     atomic.Int64
	body     []byte
	err      error
}

var certificate = service.Call{Method: "POST", Path: "/bales/certificates", Body: []byte(`{"lot": 1}`)}

func newBench(t *testing.T, settings Settings) *bench {
	b := &bench{platform: testservers.NewPlatform(1), body: []byte("issued")}
	server := httptest.NewServer(b.platform.Handler())
	t.Cleanup(server.Close)
	b.client = platform.NewClient(strings.TrimPrefix(server.URL, "http://"), 500*time.Millisecond)
	b.first = New(b.client, settings, "inst-1", slog.New(slog.DiscardHandler))
	b.second = New(b.client, settings, "inst-2", slog.New(slog.DiscardHandler))
	t.Cleanup(func() { b.platform.SetFaults(testservers.PlatformFaults{}); b.first.Wait(); b.second.Wait() })
	return b
}

func (b *bench) run(context.Context) (service.Answer, error) {
	if b.err != nil {
		return service.Answer{}, b.err
	}
	b.runs.Add(1)
	return service.Answer{Status: 200, Body: b.body}, nil
}

func (b *bench) do(r *Runner) (service.Answer, error) {
	return r.Do(context.Background(), Key("bales", "qoton", "k"), certificate, b.run)
}

// want checks a repeat's outcome and the number of runs.
func (b *bench) want(t *testing.T, r *Runner, wanted error, runs int64) {
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

func quick() Settings {
	s := Default()
	s.ClaimTimeout, s.KeepWait, s.KeepTimeout = 400*time.Millisecond, 400*time.Millisecond, 5*time.Second
	return s
}

func TestRepeatGetsTheKeptAnswer(t *testing.T) {
	for _, size := range []int{10, 100 << 10} { // in the row, in the object store
		b := newBench(t, quick())
		b.body = bytes.Repeat([]byte("x"), size)
		b.want(t, b.first, nil, 1)
		b.want(t, b.second, nil, 1)
		other := certificate
		other.Body = []byte(`{"lot": 2}`)
		_, err := b.second.Do(context.Background(), Key("bales", "qoton", "k"), other, b.run)
		if !errors.Is(err, ErrMismatch) {
			t.Fatalf("another call with the key: %v", err)
		}
	}
}

// TestLostReplies loses the reply of each write in turn, with reads that are
// older than the claim: the runner must find out by the table's checks.
func TestLostReplies(t *testing.T) {
	for _, stale := range []int{0, 150} {
		for lost := 1; lost <= 3; lost++ {
			b := newBench(t, quick())
			b.platform.SetFaults(testservers.PlatformFaults{LoseReplies: lost, LosePrefix: Prefix, StaleReadMs: stale})
			b.want(t, b.first, nil, 1)
			b.platform.SetFaults(testservers.PlatformFaults{})
			b.first.Wait()
			b.want(t, b.second, nil, 1)
		}
	}
}

// TestStaleRepeatIsInProgress: a row that a read does not show yet was claimed
// all the same, so "not run" would be false.
func TestStaleRepeatIsInProgress(t *testing.T) {
	b := newBench(t, quick())
	b.want(t, b.first, nil, 1)
	b.platform.SetFaults(testservers.PlatformFaults{StaleReadMs: 60000})
	b.want(t, b.second, ErrInProgress, 1)
}

func TestTableOutage(t *testing.T) {
	for _, faults := range []testservers.PlatformFaults{{Down: true}, {Stall: true}} {
		b := newBench(t, quick())
		b.platform.SetFaults(faults)
		b.want(t, b.first, ErrNotRun, 0)
		// What stalled takes effect now, and is withdrawn.
		b.platform.SetFaults(testservers.PlatformFaults{})
		b.first.Wait()
		b.want(t, b.second, nil, 1)
	}
}

// heldTable holds commits up on their way while it is told to.
type heldTable struct {
	Store
	mu   sync.Mutex // protects both below
	hold bool
	held []platform.Txn
}

func (h *heldTable) Commit(ctx context.Context, txn platform.Txn) (int64, error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.hold {
		h.held = append(h.held, txn)
		return 0, platform.ErrUnknown
	}
	return h.Store.Commit(ctx, txn)
}

// deliver lets what was held up take effect, and holds nothing up any more.
func (h *heldTable) deliver() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.hold = false
	for _, txn := range h.held {
		_, _ = h.Store.Commit(context.Background(), txn) // nobody waits for the reply
	}
}

// TestClaimInDoubtIsWithdrawn: the claim of a call that was told "not run"
// takes effect later. The key is free again soon after.
func TestClaimInDoubtIsWithdrawn(t *testing.T) {
	b := newBench(t, quick())
	table := &heldTable{Store: b.client, hold: true}
	b.first.store = table
	b.want(t, b.first, ErrNotRun, 0)
	table.deliver()
	b.first.Wait()
	b.want(t, b.second, nil, 1)
}

// TestLateClaimIsRefused: a claim that was held up on its way arrives after
// its call was told "not run" and the key was freed.
func TestLateClaimIsRefused(t *testing.T) {
	b := newBench(t, quick())
	b.err = service.ErrNotRun
	b.want(t, b.first, ErrNotRun, 0)
	_, err := b.client.Commit(context.Background(), platform.Txn{
		Checks: []platform.Check{{Key: Key("bales", "qoton", "k")}},
		Writes: []platform.Write{{Key: Key("bales", "qoton", "k"), Value: []byte(`{"state":"claimed"}`)}},
	})
	if !errors.Is(err, platform.ErrConflict) {
		t.Fatalf("the late claim: %v", err)
	}
	b.err = nil
	b.want(t, b.second, nil, 1)
}

// TestOutageBeforeTheAnswerIsKept: the caller gets its answer at once, and a
// repeat after the outage the same one.
func TestOutageBeforeTheAnswerIsKept(t *testing.T) {
	b := newBench(t, quick())
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

// TestRefusedCallReleasesTheKey: after a true "not run" the key is free, also
// when the reply of the release is lost.
func TestRefusedCallReleasesTheKey(t *testing.T) {
	b := newBench(t, quick())
	b.err = service.ErrNotRun
	b.want(t, b.first, ErrNotRun, 0)
	b.platform.SetFaults(testservers.PlatformFaults{LoseReplies: 2, LosePrefix: Prefix})
	b.want(t, b.first, ErrNotRun, 0)
	b.first.Wait()
	b.platform.SetFaults(testservers.PlatformFaults{})
	b.err = nil
	b.want(t, b.second, nil, 1)
}

// TestDeadRunnerIsSettled: a claim whose runner is gone is in progress at
// first and unknown after a bound, and is never run again. A runner that was
// only slow overrules that.
func TestDeadRunnerIsSettled(t *testing.T) {
	settings := quick()
	settings.SettleAfter = 50 * time.Millisecond
	b := newBench(t, settings)
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

func TestSweepRemovesOldClaimsAlone(t *testing.T) {
	b := newBench(t, quick())
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

func TestWatchIsBounded(t *testing.T) {
	w := newWatch(time.Second)
	for n := range 3 * watchLimit {
		w.overdue(Key("s", "o", string(rune(n))), 1, 0)
	}
	if len(w.seen) > watchLimit {
		t.Fatalf("%d claims remembered", len(w.seen))
	}
}
