package relay

import (
	"context"
	"testing"
	"time"

	"github.com/pkg/errors"

	"sassafrasfield/internal/routes"
	"sassafrasfield/internal/upstreamstate"
)

// stuckSender is a fakeSender whose engines in stuck do not process prompts until they are cancelled.
type stuckSender struct {
	*fakeSender
	stuck map[string]bool
	// cancelled receives the engines at which the work on a prompt was ended.
	cancelled chan string
}

func newStuckSender(stuck ...string) *stuckSender {
	s := &stuckSender{fakeSender: &fakeSender{}, stuck: map[string]bool{}, cancelled: make(chan string, 10)}
	for _, id := range stuck {
		s.stuck[id] = true
	}
	return s
}

func (s *stuckSender) Prefill(ctx context.Context, req *Request, send Send) (KV, upstreamstate.Load, error) {
	kv, l, err := s.fakeSender.Prefill(ctx, req, send)
	if !s.stuck[send.To.ID] {
		return kv, l, err
	}
	<-ctx.Done()
	s.cancelled <- send.To.ID
	return KV{}, upstreamstate.Load{}, errors.WithMessage(ErrNoValidAnswer, ctx.Err().Error())
}

// newSlowRelay returns a relay with two prefill engines. Silence of an engine alone does not end a prefill.
func newSlowRelay(t *testing.T, sender Sender) *Relay {
	t.Helper()
	r := newFake(t, sender)
	r.settings.PrefillIdleTimeout = time.Minute
	r.SetRoutes(routes.NewTable(2, []routes.Route{
		{Name: "once", Host: "h", Prefix: "/once/", Kind: routes.Generation, MaxAttempts: 1, Objective: 800 * time.Millisecond, Timeout: 2 * time.Second, Shares: []routes.Share{{Service: "llm", Weight: 1}}},
	}, nil, routes.Limits{}))
	return r
}

// firstChoice returns the engine that a prompt goes to, and the other one.
func firstChoice(t *testing.T, req *Request) (first, other string) {
	t.Helper()
	f := &fakeSender{}
	if _, err := serve(newFake(t, f), req); err != nil {
		t.Fatal(err)
	}
	if f.calls[0].to == "pre-1" {
		return "pre-1", "pre-2"
	}
	return "pre-2", "pre-1"
}

// TestPromptMovesFromEngineThatDoesNotBegin guards against prompts that stay at an engine that does not process them
// until most of their deadline has passed, although another engine would. The retry that the move needs is paid, and the
// engine is not blamed.
func TestPromptMovesFromEngineThatDoesNotBegin(t *testing.T) {
	first, other := firstChoice(t, longPrompt("/once/1"))
	s := newStuckSender(first)
	r := newSlowRelay(t, s)
	withLargeBudget(r)
	moved := r.relocator.moved.Count()
	started := r.now()
	w, err := serve(r, longPrompt("/once/1"))
	if err != nil || w.Body.Len() == 0 {
		t.Fatalf("%v %q", err, w.Body.String())
	}
	if len(s.calls) != 3 || s.calls[0].to != first || s.calls[1].to != other || !s.calls[1].prefill || s.calls[2].prefill {
		t.Fatalf("calls %+v", s.calls)
	}
	if elapsed := r.now() - started; elapsed > 800*time.Millisecond {
		t.Errorf("answered after %v, which misses the objective", elapsed)
	}
	if got := <-s.cancelled; got != first {
		t.Errorf("the work was ended at %s", got)
	}
	if paid := s.calls[2].send.Attempts.Ledger(); paid.Paid() != 1 || paid.Retries() != 1 {
		t.Errorf("%d retries, %d paid", paid.Retries(), paid.Paid())
	}
	if r.relocator.moved.Count() != moved+1 {
		t.Error("the move was not counted")
	}
	for range 2 { // an engine that is blamed twice is ejected
		if _, err := serve(r, longPrompt("/once/1")); err != nil {
			t.Fatal(err)
		}
	}
	if last := s.calls[len(s.calls)-3]; last.to != first {
		t.Errorf("the engine that was too slow gets no more prompts: %+v", s.calls)
	}
}

// TestPromptStaysWithoutBudget guards against moves beyond the retry budget.
func TestPromptStaysWithoutBudget(t *testing.T) {
	first, _ := firstChoice(t, longPrompt("/once/1"))
	s := newStuckSender(first)
	r := newSlowRelay(t, s)
	_, err := serve(r, longPrompt("/once/1"))
	if outcomeOf(t, err) != NotRun || s.count() != 1 {
		t.Errorf("%v after %d sends", err, s.count())
	}
}

// TestHopelessPromptIsRefusedBeforeDeadline guards against callers that wait for their whole deadline for a prompt that
// no engine processes in time.
func TestHopelessPromptIsRefusedBeforeDeadline(t *testing.T) {
	s := newStuckSender("pre-1", "pre-2", "dec-1", "dec-2", "dec-3")
	r := newSlowRelay(t, s)
	withLargeBudget(r)
	started := r.now()
	_, err := serve(r, longPrompt("/once/1"))
	var refusal *Refusal
	if !errors.As(err, &refusal) || refusal.Outcome != NotRun || refusal.RetryIn <= 0 {
		t.Fatalf("%v, want a refusal with a retry delay", err)
	}
	if elapsed := r.now() - started; elapsed >= time.Second {
		t.Errorf("refused after %v, which is the deadline", elapsed)
	}
	if s.runs != 0 {
		t.Errorf("%d runs", s.runs)
	}
}

// TestPromptWithTooMuchWorkAheadIsRefusedAtOnce guards against prompts that are sent although the work ahead of them at
// each engine takes longer than their callers wait.
func TestPromptWithTooMuchWorkAheadIsRefusedAtOnce(t *testing.T) {
	s := newStuckSender()
	r := newSlowRelay(t, s)
	for i := range 400 { // 8000 tokens take about 0.15 s
		req := longPrompt("/once/1")
		req.ID = string(rune('a' + i))
		r.upstreams.PickPrefill(upstreamstate.PlacementRequest{ID: req.ID, Service: "llm", Prompt: *req.Prompt}, r.now())
	}
	started := r.now()
	_, err := serve(r, longPrompt("/once/1"))
	var refusal *Refusal
	if !errors.As(err, &refusal) || refusal.Outcome != NotRun || refusal.RetryIn < time.Second {
		t.Fatalf("%+v, want a refusal with a retry delay in which the work ahead ends", err)
	}
	if elapsed := r.now() - started; elapsed > 500*time.Millisecond || s.count() != 0 {
		t.Errorf("refused after %v and %d sends", elapsed, s.count())
	}
}

// TestEngineThatNeverAnswersIsEjected guards against an engine that answers nobody and is never blamed, because each of
// its prompts moves before the engine counts as silent. It then looks idle, and each further prompt costs a retry.
func TestEngineThatNeverAnswersIsEjected(t *testing.T) {
	first, _ := firstChoice(t, longPrompt("/once/1"))
	s := newStuckSender(first)
	r := newSlowRelay(t, s)
	r.settings.PrefillIdleTimeout = 650 * time.Millisecond
	withLargeBudget(r)
	for range 4 {
		if _, err := serve(r, longPrompt("/once/1")); err != nil {
			t.Fatal(err)
		}
	}
	if n := len(s.calls); n > 3*3+2 {
		t.Errorf("%d sends, want 3 for each of at most three requests, and 2 after the engine was ejected", n)
	}
}
