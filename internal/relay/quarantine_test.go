package relay

import (
	"io"
	"testing"
	"time"

	"github.com/pkg/errors"

	"sassafrasfield/internal/bootclock"
	"sassafrasfield/internal/quarantine"
	"sassafrasfield/internal/upstreamstate"
)

// crashingSender returns a sender on which each upstream crashes at the first request that it runs,
// and cuts that request off.
func crashingSender() *fakeSender {
	f := &fakeSender{crashed: map[string]bool{}}
	f.run = func(_ int, s Send) (*Reply, error) {
		if f.crashed[s.To.ID] {
			return nil, ErrNotSent
		}
		f.crashed[s.To.ID] = true
		return nil, WrapReadError(io.EOF)
	}
	return f
}

// allChecked reports whether the crash checks of all upstreams that cut requests off have ended.
func (q *quarantineState) allChecked() bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	return len(q.interrupted) == 0
}

// waitForCrashes waits until a number of crashes count against a content.
func waitForCrashes(r *Relay, content quarantine.Subject, crashes int) {
	for {
		r.quarantine.mu.Lock()
		n := r.quarantine.table.Crashes(content)
		r.quarantine.mu.Unlock()
		if n >= crashes {
			return
		}
		time.Sleep(time.Millisecond)
	}
}

// TestContentThatCrashesUpstreamsIsRefused guards against sending a content again that crashed two
// upstreams. It arrives under another id each time, for engines and for plain services.
func TestContentThatCrashesUpstreamsIsRefused(t *testing.T) {
	for _, path := range []string{"/once/1", "/resumable/1", "/safe/1", "/unsafe/1"} {
		f := crashingSender()
		r := newFake(t, f)
		withLargeBudget(r)
		content := call(path).Content()
		for n := range 2 {
			_, _ = serve(r, call(path)) // it crashes an upstream or two
			waitForCrashes(r, content, n+1)
		}
		sends := f.count()
		_, err := serve(r, call(path))
		var refusal *Refusal
		if !errors.As(err, &refusal) || refusal.Outcome != NotRun || refusal.RetryIn != 0 || f.count() != sends {
			t.Errorf("%s: %v after %d more sends; want a refusal without a retry delay", path, err, f.count()-sends)
		}
		f.run = nil
		if _, err := serve(r, call(path+"2")); err != nil {
			t.Errorf("%s: another content: %v", path, err)
		}
	}
}

// TestContentIsServedIfUpstreamKeepsRunning guards against quarantining requests whose answers were
// cut off by upstreams that did not crash.
func TestContentIsServedIfUpstreamKeepsRunning(t *testing.T) {
	f := crashingSender()
	f.run = func(int, Send) (*Reply, error) { return nil, WrapReadError(io.EOF) } // none has crashed
	r := newFake(t, f)
	withLargeBudget(r)
	for range 3 {
		_, _ = serve(r, call("/resumable/1")) // it is cut off by two upstreams
	}
	if f.runs < 6 {
		t.Fatalf("%d runs", f.runs)
	}
	for !r.quarantine.allChecked() {
		time.Sleep(time.Millisecond)
	}
	f.run = nil
	if _, err := serve(r, call("/resumable/1")); err != nil {
		t.Errorf("refused, though no upstream crashed: %v", err)
	}
}

// TestServedContentIsNotQuarantined guards against quarantining a request that was on a crashing
// upstream by chance. It is retried elsewhere, and once it was served, crashes from before do not
// count.
func TestServedContentIsNotQuarantined(t *testing.T) {
	f := crashingSender()
	first := f.run
	f.run = func(n int, s Send) (*Reply, error) {
		if n%2 == 1 {
			return first(n, s)
		}
		return events("id: 1\ndata: a\n\n"), nil
	}
	r := newFake(t, f)
	withLargeBudget(r)
	for n := range 5 {
		req := call("/resumable/1")
		if _, err := serve(r, req); err != nil {
			t.Fatalf("request %d: %v", n, err)
		}
		time.Sleep(5 * time.Millisecond) // the crash is known only after the request was served
	}
}

// TestInstancesShareObservedCrashes: two instances each observe one crash, and all three then
// refuse the content. Only the two that observed a crash persist the quarantine.
func TestInstancesShareObservedCrashes(t *testing.T) {
	first, second, third := newFake(t, crashingSender()), newFake(t, crashingSender()), newFake(t, crashingSender())
	content := call("/once/1").Content()
	for n, r := range []*Relay{first, second} {
		crash := quarantine.Crash{Subject: content, Upstream: upstreamstate.Upstream{ID: string(rune('a' + n))}.Incarnation()}
		r.RecordCrash(crash)
	}
	for _, from := range []*Relay{first, second} {
		crashes := from.OwnReport().Evidence.Crashes
		if len(crashes) != 1 {
			t.Fatalf("%d crashes are reported", len(crashes))
		}
		for _, to := range []*Relay{first, second, third} {
			to.ApplyReport(upstreamstate.InstanceSourcePrefix+"x", upstreamstate.Report{Evidence: quarantine.Evidence{Crashes: crashes}})
		}
	}
	for n, r := range []*Relay{first, second, third} {
		if _, err := serve(r, call("/once/1")); outcomeOf(t, err) != NotRun {
			t.Errorf("instance %d: %v", n, err)
		}
		if unpersisted := len(r.Unpersisted()); (unpersisted == 1) != (r != third) {
			t.Errorf("instance %d has %d quarantines to persist", n, unpersisted)
		}
	}
}

// TestPersistedQuarantineIsApplied checks that an instance quarantines a content that another one
// persisted, until it is released.
func TestPersistedQuarantineIsApplied(t *testing.T) {
	r := newFake(t, &fakeSender{})
	req := call("/unsafe/1")
	r.Quarantine(req.Content(), 1)
	if _, err := serve(r, req); outcomeOf(t, err) != NotRun {
		t.Errorf("%v", err)
	}
	r.Release(req.Content())
	if _, err := serve(r, req); err != nil {
		t.Errorf("refused after it was released: %v", err)
	}
}

// TestServedContentIsReleasedForAll checks that a content that is served after its quarantine
// expired has its row removed, and that what is persisted already is not written again.
func TestServedContentIsReleasedForAll(t *testing.T) {
	r := newFake(t, &fakeSender{})
	req := call("/unsafe/1")
	expired := bootclock.Now() - time.Minute // its first quarantine has expired
	r.quarantine.table.Quarantine(req.Content(), 1, expired)
	if _, err := serve(r, req); err != nil {
		t.Fatalf("refused after its quarantine expired: %v", err)
	}
	unpersisted := r.Unpersisted()
	if times, ok := unpersisted[req.Content()]; !ok || times != 0 {
		t.Errorf("%v is to be persisted; want its release", unpersisted)
	}
	r.MarkPersisted(unpersisted)
	r.Quarantine(req.Content(), 1) // a wrong decision of another instance
	if unpersisted := r.Unpersisted(); len(unpersisted) != 1 {
		t.Error("the wrong quarantine is not released")
	}
	if _, err := serve(r, req); err != nil {
		t.Errorf("refused by a wrong quarantine: %v", err)
	}
	r.MarkPersisted(r.Unpersisted())
	if remaining := r.Unpersisted(); len(remaining) != 0 {
		t.Errorf("%v is to be persisted again", remaining)
	}
}

// TestContentQuarantinedDuringPrefillIsNotRun checks that no answer is generated if the content is
// quarantined while its prompt is processed.
func TestContentQuarantinedDuringPrefillIsNotRun(t *testing.T) {
	f := &fakeSender{}
	r := newFake(t, f)
	req := longPrompt("/once/1")
	f.prefill = func(_ int, s Send) (KV, error) {
		r.Quarantine(req.Content(), 1)
		return KV{Engine: s.To, Handle: "h"}, nil
	}
	_, err := serve(r, req)
	if outcomeOf(t, err) != NotRun || f.runs != 0 {
		t.Errorf("%v after %d runs", err, f.runs)
	}
	for f.freedCount() == 0 { // nobody will fetch its KV cache
		time.Sleep(time.Millisecond)
	}
}

// TestCrashCheckIsRepeated guards against missing a crash because of a lost packet or a machine
// that is slow to answer, so that the content would go on to crash upstreams.
func TestCrashCheckIsRepeated(t *testing.T) {
	f := crashingSender()
	f.inconclusive = 2
	r := newFake(t, f)
	withLargeBudget(r)
	_, _ = serve(r, call("/once/1"))
	waitForCrashes(r, call("/once/1").Content(), 1)
}

// TestHubPersistsQuarantinesOfOthers guards against a quarantine that is lost with a restart of all instances, because those
// that saw its crashes had ended before they could persist it.
func TestHubPersistsQuarantinesOfOthers(t *testing.T) {
	const content, stored, observed = 7, 8, 9
	r := newFake(t, &fakeSender{})
	r.Quarantine(stored, 1)
	for _, upstream := range []uint32{1, 2} {
		r.applyEvidence(quarantine.Evidence{Crashes: []quarantine.Crash{{Subject: content, Upstream: upstream}}}, true)
		r.RecordCrash(quarantine.Crash{Subject: observed, Upstream: upstream})
	}
	r.MarkPersisted(r.Unpersisted())
	if r.ExpireQuarantines(false); len(r.Unpersisted()) != 0 {
		t.Errorf("an instance that is no hub persists %v", r.Unpersisted())
	}
	if r.ExpireQuarantines(true); len(r.Unpersisted()) != 1 || r.Unpersisted()[content] != 1 {
		t.Errorf("the hub persists %v, want the content that no row lists", r.Unpersisted())
	}
	r.MarkPersisted(r.Unpersisted())
	if r.ExpireQuarantines(true); len(r.Unpersisted()) != 0 {
		t.Errorf("the hub persists %v again", r.Unpersisted())
	}
	r.Release(stored)
	r.Quarantine(content, 1)
	if r.ExpireQuarantines(true); len(r.Unpersisted()) != 0 {
		t.Errorf("the hub persists %v, though one was released and the other is stored", r.Unpersisted())
	}
}
