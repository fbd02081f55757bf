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

// ender ends each upstream that runs a content, and cuts the requests that it has.
func ender() *fakeSender {
	f := &fakeSender{ended: map[string]bool{}}
	f.run = func(_ int, s Send) (*Reply, error) {
		if f.ended[s.To.ID] {
			return nil, ErrNotSent
		}
		f.ended[s.To.ID] = true
		return nil, WrapReadError(io.EOF)
	}
	return f
}

// answered tells whether it is known of all upstreams that cut requests off what became of
// them.
func (c *quarantineState) answered() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.interrupted) == 0
}

// endsSoon waits until so many ends count against a content.
func endsSoon(r *Relay, content quarantine.Content, ends int) {
	for {
		r.quarantine.mu.Lock()
		n := r.quarantine.table.Ends(content)
		r.quarantine.mu.Unlock()
		if n >= ends {
			return
		}
		time.Sleep(time.Millisecond)
	}
}

// TestAContentThatEndsUpstreamsIsRefusedAtOnce: it comes under another id each time, to
// engines and to plain services.
func TestAContentThatEndsUpstreamsIsRefusedAtOnce(t *testing.T) {
	for _, path := range []string{"/once/1", "/resumable/1", "/safe/1", "/unsafe/1"} {
		f := ender()
		r := newFake(t, f)
		plentiful(r)
		content := call(path).Content()
		for n := range 2 {
			_, _ = serve(r, call(path)) // it ends an upstream or two
			endsSoon(r, content, n+1)
		}
		sends := f.count()
		_, err := serve(r, call(path))
		var refusal *Refusal
		if !errors.As(err, &refusal) || refusal.Outcome != NotRun || refusal.RetryIn != 0 || f.count() != sends {
			t.Errorf("%s: %v after %d more sends; want a refusal that tells no time to come back", path, err, f.count()-sends)
		}
		f.run = nil
		if _, err := serve(r, call(path+"2")); err != nil {
			t.Errorf("%s: another content: %v", path, err)
		}
	}
}

// TestWhoeverIsCutOffByAnUpstreamThatLivesIsServed: answers that break off while their
// upstream lives on do not count against the request.
func TestWhoeverIsCutOffByAnUpstreamThatLivesIsServed(t *testing.T) {
	f := ender()
	f.run = func(int, Send) (*Reply, error) { return nil, WrapReadError(io.EOF) } // none has ended
	r := newFake(t, f)
	plentiful(r)
	for range 3 {
		_, _ = serve(r, call("/resumable/1")) // it is cut off by two upstreams
	}
	if f.runs < 6 {
		t.Fatalf("%d runs", f.runs)
	}
	for !r.quarantine.answered() {
		time.Sleep(time.Millisecond)
	}
	f.run = nil
	if _, err := serve(r, call("/resumable/1")); err != nil {
		t.Errorf("refused, though no upstream ended: %v", err)
	}
}

// TestWhoeverWasThereByChanceIsServed: a request whose upstream ended under it goes on at
// another, and what it did before does not count once it was served.
func TestWhoeverWasThereByChanceIsServed(t *testing.T) {
	f := ender()
	first := f.run
	f.run = func(n int, s Send) (*Reply, error) {
		if n%2 == 1 {
			return first(n, s)
		}
		return events("id: 1\ndata: a\n\n"), nil
	}
	r := newFake(t, f)
	plentiful(r)
	for n := range 5 {
		req := call("/resumable/1")
		if _, err := serve(r, req); err != nil {
			t.Fatalf("request %d: %v", n, err)
		}
		time.Sleep(5 * time.Millisecond) // the word on the upstream's end comes after it was served
	}
}

// TestInstancesShareWhatTheySaw: each saw one end, and neither the content again. Only
// those that saw one keep it for all.
func TestInstancesShareWhatTheySaw(t *testing.T) {
	first, second, third := newFake(t, ender()), newFake(t, ender()), newFake(t, ender())
	content := call("/once/1").Content()
	for n, r := range []*Relay{first, second} {
		end := quarantine.End{Content: content, Upstream: upstreamstate.Upstream{ID: string(rune('a' + n))}.Incarnation()}
		r.RecordCrash(end)
	}
	for _, from := range []*Relay{first, second} {
		ends := from.OwnReport().Ends
		if len(ends) != 1 {
			t.Fatalf("%d ends are told of", len(ends))
		}
		for _, to := range []*Relay{first, second, third} {
			to.ApplyReport(upstreamstate.BesidePrefix+"x", upstreamstate.Report{Ends: ends})
		}
	}
	for n, r := range []*Relay{first, second, third} {
		if _, err := serve(r, call("/once/1")); wordOf(t, err) != NotRun {
			t.Errorf("instance %d: %v", n, err)
		}
		if kept := len(r.Unpersisted()); (kept == 1) != (r != third) {
			t.Errorf("instance %d keeps %d for all", n, kept)
		}
	}
}

// TestAnInstanceTakesAnothersWord: by the row that was kept for all, and until that is
// removed.
func TestAnInstanceTakesAnothersWord(t *testing.T) {
	r := newFake(t, &fakeSender{})
	req := call("/unsafe/1")
	r.Quarantine(req.Content(), 1)
	if _, err := serve(r, req); wordOf(t, err) != NotRun {
		t.Errorf("%v", err)
	}
	r.Release(req.Content())
	if _, err := serve(r, req); err != nil {
		t.Errorf("refused after it was released: %v", err)
	}
}

// TestWhatWasServedIsReleasedByAll: a content that was let through again and is served has
// its row removed, and one that is kept already is not written again.
func TestWhatWasServedIsReleasedByAll(t *testing.T) {
	r := newFake(t, &fakeSender{})
	req := call("/unsafe/1")
	long := bootclock.Now() - time.Minute // its first term is over
	r.quarantine.table.SetApart(req.Content(), 1, long)
	if _, err := serve(r, req); err != nil {
		t.Fatalf("refused after its term: %v", err)
	}
	unkept := r.Unpersisted()
	if times, ok := unkept[req.Content()]; !ok || times != 0 {
		t.Errorf("%v is to be kept; want its release", unkept)
	}
	r.MarkPersisted(unkept)
	r.Quarantine(req.Content(), 1) // another instance's word, and wrong
	if unkept := r.Unpersisted(); len(unkept) != 1 {
		t.Error("the wrong word stays")
	}
	if _, err := serve(r, req); err != nil {
		t.Errorf("refused by a wrong word: %v", err)
	}
	r.MarkPersisted(r.Unpersisted())
	if left := r.Unpersisted(); len(left) != 0 {
		t.Errorf("%v is to be kept again", left)
	}
}

// TestAPromptThatWaitedIsNotRun: its content was set apart while its prompt was processed.
func TestAPromptThatWaitedIsNotRun(t *testing.T) {
	f := &fakeSender{}
	r := newFake(t, f)
	req := longPrompt("/once/1")
	f.prefill = func(_ int, s Send) (KV, error) {
		r.Quarantine(req.Content(), 1)
		return KV{Engine: s.To, Handle: "h"}, nil
	}
	_, err := serve(r, req)
	if wordOf(t, err) != NotRun || f.runs != 0 {
		t.Errorf("%v after %d runs", err, f.runs)
	}
	for f.freedCount() == 0 { // nobody will fetch its KV cache
		time.Sleep(time.Millisecond)
	}
}

// TestAnEndIsSeenThoughNoWordOnItComesAtFirst: a lost packet, or a machine that is slow to
// answer, must not have a content go on that ends upstreams.
func TestAnEndIsSeenThoughNoWordOnItComesAtFirst(t *testing.T) {
	f := ender()
	f.silent = 2
	r := newFake(t, f)
	plentiful(r)
	_, _ = serve(r, call("/once/1"))
	endsSoon(r, call("/once/1").Content(), 1)
}
