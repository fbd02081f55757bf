package relay

import (
	"fmt"
	"io"
	"net/http"
	"testing"
	"time"

	"github.com/pkg/errors"

	"sassafrasfield/internal/bootclock"
	"sassafrasfield/internal/placement"
	"sassafrasfield/internal/quarantine"
)

// promptWith returns a request whose prompt has the given parts, and no other request's content.
func promptWith(path string, n int, parts ...string) *Request {
	req := call(fmt.Sprintf("%s%d", path, n))
	req.ID = fmt.Sprintf("r%d", n)
	req.Prompt = &placement.Prompt{Tokens: 1000, MaxOutput: 10}
	for _, id := range append(parts, fmt.Sprintf("own%d", n)) {
		req.Prompt.Parts = append(req.Prompt.Parts, placement.Part{ID: id, Tokens: 1000 / (len(parts) + 1)})
	}
	return req
}

// crashingStreams returns a sender on which each engine begins to answer and crashes. crash tells which runs do so.
func crashingStreams(crash func(run int) bool) *fakeSender {
	f := &fakeSender{crashed: map[string]bool{}}
	f.run = func(n int, s Send) (*Reply, error) {
		if f.crashed[s.To.ID] {
			return nil, ErrNotSent
		}
		if !crash(n) {
			return events("id: 2\ndata: b\n\n"), nil
		}
		f.crashed[s.To.ID] = true
		return truncated("id: 1\ndata: a\n\n"), nil
	}
	return f
}

// partCrashes returns how many crashes count against a part.
func partCrashes(r *Relay, id string) int {
	r.quarantine.mu.Lock()
	defer r.quarantine.mu.Unlock()
	return r.quarantine.table.Crashes(quarantine.PartOf("llm", id))
}

// isServed reports whether a part is known to have been served.
func isServed(r *Relay, id string) bool {
	r.quarantine.mu.Lock()
	defer r.quarantine.mu.Unlock()
	_, known := r.quarantine.table.SinceServed(quarantine.PartOf("llm", id), bootclock.Now())
	return known
}

// waitUntil waits until a condition holds.
func waitUntil(t *testing.T, condition string, holds func() bool) {
	t.Helper()
	for deadline := time.Now().Add(10 * time.Second); !holds(); time.Sleep(time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatalf("never held: %s", condition)
		}
	}
}

// TestPartThatCrashesEnginesIsRefused guards against sending on requests that have a part of their prompts in common with
// those under which two engines crashed, although no two of them are alike. Requests that have their other parts are
// served.
func TestPartThatCrashesEnginesIsRefused(t *testing.T) {
	for _, path := range []string{"/once/", "/resumable/"} {
		f := crashingStreams(func(int) bool { return true })
		r := newFake(t, f)
		withLargeBudget(r)
		spacing := quarantine.DefaultSettings().Parts.Spacing
		for n := range 2 {
			_, _ = serve(r, promptWith(path, n, "shared", "dead")) // it crashes an engine
			waitUntil(t, "the crash counts", func() bool { return partCrashes(r, "dead") == n+1 })
			time.Sleep(spacing)
		}
		sends := f.count()
		_, err := serve(r, promptWith(path, 2, "dead", "other"))
		var refusal *Refusal
		if !errors.As(err, &refusal) || refusal.Outcome != NotRun || refusal.RetryIn != 0 || f.count() != sends {
			t.Errorf("%s: %v after %d more sends; want a refusal without a retry delay", path, err, f.count()-sends)
		}
		f.run = nil
		if _, err := serve(r, promptWith(path, 3, "other")); err != nil {
			t.Errorf("%s: a request without the part: %v", path, err)
		}
	}
}

// TestRequestThatMayCrashTheNextEngineIsNotRepeated guards against a request that crashes one engine after another by
// itself, as it is resumed. Those whose parts were served go on, and so do those that their engine had not begun to
// answer.
func TestRequestThatMayCrashTheNextEngineIsNotRepeated(t *testing.T) {
	for _, path := range []string{"/once/", "/resumable/"} { // the first may continue at the copy of its run
		f := crashingStreams(func(run int) bool { return run%2 == 1 })
		r := newFake(t, f)
		withLargeBudget(r)
		if _, err := serve(r, promptWith(path, 1, "new")); !errors.Is(err, ErrAnswerAborted) || f.runs != 1 {
			t.Errorf("%s: %v after %d runs; want one run", path, err, f.runs)
		}
	}
	f := crashingStreams(func(run int) bool { return run%2 == 1 })
	r := newFake(t, f)
	withLargeBudget(r)
	r.recordServedSubjects(nil, []quarantine.Subject{quarantine.PartOf("llm", "known")})
	if w, err := serve(r, promptWith("/resumable/", 2, "known")); err != nil || f.runs != 2 {
		t.Errorf("all parts were served: %v after %d runs, %q", err, f.runs, w.Body.String())
	}
	f = &fakeSender{crashed: map[string]bool{}}
	f.run = func(n int, s Send) (*Reply, error) {
		if n == 1 {
			f.crashed[s.To.ID] = true
			return nil, WrapReadError(io.EOF)
		}
		return events("id: 1\ndata: a\n\n"), nil
	}
	r = newFake(t, f)
	withLargeBudget(r)
	if _, err := serve(r, promptWith("/resumable/", 3, "new2")); err != nil || f.runs != 2 {
		t.Errorf("its engine had not begun: %v after %d runs", err, f.runs)
	}
}

// slowEvents is an answer with pauses between its events.
type slowEvents struct {
	events int
	pause  time.Duration
	sent   int
}

func (s *slowEvents) Read(p []byte) (int, error) {
	if s.sent == s.events {
		return 0, io.ErrUnexpectedEOF
	}
	time.Sleep(s.pause)
	s.sent++
	return copy(p, fmt.Sprintf("id: %d\ndata: a\n\n", s.sent)), nil
}

// TestEngineThatGeneratesForLongSpeaksForParts guards against blaming the parts of requests that their engine had been
// answering for long when it crashed, as nearly all that a crash cuts off are.
func TestEngineThatGeneratesForLongSpeaksForParts(t *testing.T) {
	f := &fakeSender{crashed: map[string]bool{}}
	f.run = func(_ int, s Send) (*Reply, error) {
		f.crashed[s.To.ID] = true
		return reply(http.StatusOK, &slowEvents{events: 14, pause: crashWindow / 10}), nil
	}
	r := newFake(t, f)
	_, _ = serve(r, promptWith("/once/", 1, "long"))
	waitUntil(t, "the crash is recorded", func() bool { return len(r.OwnReport().Evidence.Crashes) > 0 })
	if !isServed(r, "long") || partCrashes(r, "long") != 0 {
		t.Errorf("served %t, %d crashes", isServed(r, "long"), partCrashes(r, "long"))
	}
	short := &fakeSender{run: func(int, Send) (*Reply, error) {
		return reply(http.StatusOK, &slowEvents{events: 3, pause: time.Millisecond}), nil
	}}
	r = newFake(t, short)
	_, _ = serve(r, promptWith("/once/", 2, "short"))
	if isServed(r, "short") {
		t.Error("an answer that broke off as it began speaks for a part")
	}
}

// TestEventsReadLateDoNotTellThatEngineLives guards against an instance that was suspended while an engine crashed, and
// takes the events that it reads after that for a sign of life.
func TestEventsReadLateDoNotTellThatEngineLives(t *testing.T) {
	w := aliveWatch{began: time.Second}
	for n, at := range []time.Duration{0, 10 * time.Millisecond, 3 * time.Second, 3*time.Second + time.Millisecond} {
		if w.addEvent(time.Second + at) {
			t.Errorf("event %d tells that the engine lives", n)
		}
	}
	if !w.addEvent(time.Second + 3*time.Second + crashWindow/2) {
		t.Error("no event ever tells that the engine lives")
	}
}
