package relay

import (
	"context"
	"testing"
	"time"

	"github.com/pkg/errors"

	"sassafrasfield/internal/load"
	"sassafrasfield/internal/upstreamstate"
)

func TestLongPromptUsesSeparatePrefillAndDecodeEngines(t *testing.T) {
	f := &fakeSender{}
	w, err := serve(newFake(t, f), longPrompt("/once/1"))
	if err != nil || w.Body.String() != "id: 1\ndata: a\n\n" {
		t.Fatalf("%v %q", err, w.Body.String())
	}
	if len(f.calls) != 2 || !f.calls[0].prefill || f.calls[0].to[:3] != "pre" || f.calls[1].to[:3] != "dec" {
		t.Fatalf("calls %+v", f.calls)
	}
	if f.calls[1].send.KV.Handle != "h" {
		t.Error("the decode engine did not receive the handle of the KV cache")
	}
}

func TestShortPromptUsesOneEngine(t *testing.T) {
	f := &fakeSender{}
	if _, err := serve(newFake(t, f), call("/once/1")); err != nil {
		t.Fatal(err)
	}
	if len(f.calls) != 1 || f.calls[0].to[:3] != "dec" {
		t.Fatalf("calls %+v", f.calls)
	}
}

// TestStreamThatCannotBeResumedIsAborted guards against passing a truncated stream off as complete:
// an engine crashed, no engine was found to resume the stream, and the caller received what it had
// as if it were the whole answer.
func TestStreamThatCannotBeResumedIsAborted(t *testing.T) {
	f := &fakeSender{run: func(int, Send) (*Reply, error) { return truncated("id: 1\ndata: a\n\n"), nil }}
	f.prefill = func(n int, s Send) (KV, error) {
		if n > 1 {
			return KV{}, ErrRefused
		}
		return KV{Engine: s.To, Handle: "h"}, nil
	}
	w, err := serve(newFake(t, f), longPrompt("/resumable/1"))
	if !errors.Is(err, ErrAnswerAborted) {
		t.Fatalf("%v after %q; want ErrAnswerAborted", err, w.Body.String())
	}
}

func TestResumedStreamHasNoGapOrDuplicate(t *testing.T) {
	f := &fakeSender{}
	f.run = func(n int, s Send) (*Reply, error) {
		if n == 1 {
			return truncated("id: 1\ndata: a\n\nid: 2\nda"), nil
		}
		if s.LastEvent != "1" {
			t.Errorf("the second engine was asked to continue after %q", s.LastEvent)
		}
		return events("id: 2\ndata: b\n\n"), nil
	}
	r := newFake(t, f)
	withLargeBudget(r)
	w, err := serve(r, longPrompt("/resumable/1"))
	if want := "id: 1\ndata: a\n\nid: 2\ndata: b\n\n"; err != nil || w.Body.String() != want {
		t.Fatalf("%v %q", err, w.Body.String())
	}
}

func TestNonResumableStreamIsAbortedAndRunsOnce(t *testing.T) {
	f := &fakeSender{run: func(int, Send) (*Reply, error) { return truncated("id: 1\ndata: a\n\n"), nil }}
	r := newFake(t, f)
	withLargeBudget(r)
	if _, err := serve(r, longPrompt("/once/1")); !errors.Is(err, ErrAnswerAborted) {
		t.Fatalf("%v; want ErrAnswerAborted", err)
	}
	if f.runs != 1 {
		t.Errorf("%d runs", f.runs)
	}
}

func TestGenerationWithUnknownOutcomeIsNotRetried(t *testing.T) {
	f := &fakeSender{run: func(int, Send) (*Reply, error) { return nil, ErrNoValidAnswer }}
	r := newFake(t, f)
	withLargeBudget(r)
	_, err := serve(r, longPrompt("/once/1"))
	if outcome := outcomeOf(t, err); outcome != Unknown || f.runs != 1 {
		t.Errorf("outcome %v after %d runs", outcome, f.runs)
	}
}

func TestRefusedGenerationIsRetriedElsewhere(t *testing.T) {
	f := &fakeSender{run: func(n int, _ Send) (*Reply, error) {
		if n == 1 {
			return nil, ErrRefused
		}
		return events("id: 1\ndata: a\n\n"), nil
	}}
	r := newFake(t, f)
	withLargeBudget(r)
	if _, err := serve(r, longPrompt("/once/1")); err != nil {
		t.Fatal(err)
	}
	if f.runs != 2 {
		t.Errorf("%d runs", f.runs)
	}
}

func TestUnusedKVCacheIsFreed(t *testing.T) {
	f := &fakeSender{run: func(int, Send) (*Reply, error) { return nil, ErrNotSent }}
	r := newFake(t, f)
	_, err := serve(r, longPrompt("/once/1"))
	if outcomeOf(t, err) != NotRun {
		t.Fatal(err)
	}
	waitFor(t, func() bool {
		f.mu.Lock()
		defer f.mu.Unlock()
		return len(f.freed) == 1
	})
}

// silentSender never answers a prefill on the first engine that it is sent to.
type silentSender struct {
	fakeSender
	first string
}

func (s *silentSender) Prefill(ctx context.Context, req *Request, send Send) (KV, upstreamstate.Load, error) {
	if s.first == "" {
		s.first = send.To.ID
	}
	if s.first == send.To.ID {
		<-ctx.Done()
		return KV{}, upstreamstate.Load{}, ErrNoValidAnswer
	}
	return s.fakeSender.Prefill(ctx, req, send)
}

func TestPrefillMovesAwayFromSilentEngine(t *testing.T) {
	f := &silentSender{}
	r := newFake(t, f)
	withLargeBudget(r)
	if _, err := serve(r, longPrompt("/once/1")); err != nil {
		t.Fatal(err)
	}
	if f.prefills != 1 {
		t.Errorf("%d prefills elsewhere", f.prefills)
	}
}

func TestDisconnectedCallerIsNotAnswered(t *testing.T) {
	ctx, disconnect := context.WithCancel(context.Background())
	f := &fakeSender{run: func(int, Send) (*Reply, error) {
		disconnect()
		return nil, ErrNoValidAnswer
	}}
	r := newFake(t, f)
	withLargeBudget(r)
	err := r.Serve(ctx, longPrompt("/resumable/1"), nil)
	if !errors.Is(err, ErrCallerDisconnected) {
		t.Errorf("%v", err)
	}
}

func waitFor(t *testing.T, holds func() bool) {
	t.Helper()
	for !holds() {
		time.Sleep(time.Millisecond)
	}
}

// TestUnavailableEngineIsExcludedByAllInstances: an engine that changes its role refuses requests
// meanwhile. Each instance used to learn of it only from refusals of its own requests, and a request
// was refused by four such engines in a row.
func TestUnavailableEngineIsExcludedByAllInstances(t *testing.T) {
	f, g := &fakeSender{}, &fakeSender{}
	holder, other := newFake(t, f), newFake(t, g)
	for _, id := range []string{"dec-1", "dec-2"} { // two of eight may be unavailable
		holder.MarkUnavailable(id, time.Minute)
		holder.upstreams.RecordCall(id, load.CallSucceeded, holder.now()) // the requests there have ended
	}
	other.ApplyReport("instance holder", holder.OwnReport())
	for _, r := range []*Relay{holder, other} {
		if _, err := serve(r, shortPrompt("/once/1")); err != nil {
			t.Fatal(err)
		}
	}
	if f.calls[0].to != "dec-3" || g.calls[0].to != "dec-3" {
		t.Errorf("sent to %s and %s", f.calls[0].to, g.calls[0].to)
	}
}

func TestIsolatedInstanceReportsNoUnreachableUpstreams(t *testing.T) {
	r := newFake(t, &fakeSender{})
	for i, want := range []int{1, 2, 0} { // of eight upstreams
		r.upstreams.RecordCall([]string{"app-1", "app-2", "dec-1"}[i], load.CallUnreachable, r.now())
		if n := len(r.OwnReport().Unreachable); n != want {
			t.Errorf("%d reported with %d unreachable, want %d", n, i+1, want)
		}
	}
}
