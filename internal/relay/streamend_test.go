package relay

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/pkg/errors"

	"sassafrasfield/internal/stream"
	"sassafrasfield/internal/upstreamstate"
)

// numberedEvents returns events with the given ids, one for each.
func numberedEvents(ids ...int) string {
	var text strings.Builder
	for _, id := range ids {
		fmt.Fprintf(&text, "id: %d\ndata: piece %d\n\n", id, id)
	}
	return text.String()
}

// unframed returns an answer with neither a length nor chunks.
func unframed(status int, text string) *Reply {
	r := reply(status, strings.NewReader(text))
	r.Unframed = true
	return r
}

// endingSender returns a sender whose first run ends with its connection, because its upstream ends. Later runs go on after
// the last event of the caller, up to the third.
func endingSender(firstAnswer string) *fakeSender {
	f := &fakeSender{crashed: map[string]bool{}}
	f.run = func(n int, s Send) (*Reply, error) {
		if n == 1 {
			f.crashed[s.To.ID] = true
			return unframed(http.StatusOK, firstAnswer), nil
		}
		if s.LastEvent == "" {
			return events(numberedEvents(1, 2, 3)), nil
		}
		return events(numberedEvents(2, 3)), nil
	}
	return f
}

// TestResumableStreamWhoseEngineEndedGoesOn guards against a stream without framing whose engine's process ended between two
// events and that is passed on as complete.
func TestResumableStreamWhoseEngineEndedGoesOn(t *testing.T) {
	f := endingSender(numberedEvents(1))
	r := newFake(t, f)
	withLargeBudget(r)
	request := longPrompt("/resumable/1")
	request.Prompt.Parts = request.Prompt.Parts[1:] // a part that others share would be suspected of the crash
	w, err := serve(r, request)
	if err != nil || w.Body.String() != numberedEvents(1, 2, 3) {
		t.Errorf("%v, %q after %d runs", err, w.Body.String(), f.runs)
	}
}

// TestNonResumableStreamWhoseEngineEndedIsAborted guards against the same on a route whose streams may not go on: the caller
// must see that the stream broke off.
func TestNonResumableStreamWhoseEngineEndedIsAborted(t *testing.T) {
	f := endingSender(numberedEvents(1))
	r := newFake(t, f)
	for _, id := range []string{"dec-2", "dec-3"} { // leaves no engine for a copy
		r.RemoveUpstream(id)
	}
	withLargeBudget(r)
	if w, err := serve(r, longPrompt("/once/1")); !errors.Is(err, ErrAnswerAborted) {
		t.Errorf("%v, %q after %d runs", err, w.Body.String(), f.runs)
	}
}

// TestAnswerWhoseUpstreamEndedIsNotWhole guards against the first part of an answer without framing, whose upstream's
// process ended, that is passed on as the whole answer.
func TestAnswerWhoseUpstreamEndedIsNotWhole(t *testing.T) {
	const whole = "whole"
	answers := func(f *fakeSender, first string) func(int, Send) (*Reply, error) {
		return func(n int, s Send) (*Reply, error) {
			if n == 1 {
				f.crashed[s.To.ID] = true
				return unframed(http.StatusOK, first), nil
			}
			return reply(http.StatusOK, strings.NewReader(whole)), nil
		}
	}
	t.Run("idempotent", func(t *testing.T) {
		f := &fakeSender{crashed: map[string]bool{}}
		f.run = answers(f, "ha")
		r := newFake(t, f)
		withLargeBudget(r)
		if w, err := serve(r, call("/safe/1")); err != nil || w.Body.String() != whole {
			t.Errorf("%v, %q after %d runs", err, w.Body.String(), f.runs)
		}
	})
	t.Run("not idempotent", func(t *testing.T) {
		f := &fakeSender{crashed: map[string]bool{}}
		f.run = answers(f, "ha")
		r := newFake(t, f)
		withLargeBudget(r)
		w, err := serve(r, call("/unsafe/1"))
		if err == nil || outcomeOf(t, err) != Unknown || f.runs != 1 {
			t.Errorf("%v, %q after %d runs", err, w.Body.String(), f.runs)
		}
	})
	t.Run("larger than what is buffered", func(t *testing.T) {
		f := &fakeSender{crashed: map[string]bool{}}
		f.run = answers(f, strings.Repeat("x", 2*maxBufferedBytes))
		r := newFake(t, f)
		withLargeBudget(r)
		if _, err := serve(r, call("/unsafe/1")); !errors.Is(err, ErrAnswerAborted) {
			t.Errorf("%v after %d runs; the answer's end is not known", err, f.runs)
		}
	})
}

// TestUnframedAnswerOfLivingUpstreamIsWhole guards against answers without framing that are taken for broken off although
// their upstream lives on.
func TestUnframedAnswerOfLivingUpstreamIsWhole(t *testing.T) {
	for path, text := range map[string]string{"/resumable/1": numberedEvents(1, 2), "/once/1": numberedEvents(1, 2), "/safe/1": "whole", "/unsafe/1": "whole"} {
		f := &fakeSender{run: func(int, Send) (*Reply, error) { return unframed(http.StatusOK, text), nil }}
		r := newFake(t, f)
		withLargeBudget(r)
		request := call(path)
		if strings.HasPrefix(text, "id:") {
			request = longPrompt(path)
		}
		if w, err := serve(r, request); err != nil || w.Body.String() != text || f.runs != 1 {
			t.Errorf("%s: %v, %q after %d runs", path, err, w.Body.String(), f.runs)
		}
	}
}

// TestStreamHasEachEventOnceInOrder guards against events that an engine repeats, swaps or does not number, or leaves out where it goes
// on, and that are passed on as they come, in its first run and in one that continues a stream.
func TestStreamHasEachEventOnceInOrder(t *testing.T) {
	const withoutID, malformedID = "data: piece 2\n\n", "id: two\ndata: piece 2\n\n"
	for name, second := range map[string]string{
		"repeated":               numberedEvents(2, 2, 3),
		"left out":               numberedEvents(3),
		"left out, others after": numberedEvents(3, 4, 5),
		"swapped":                numberedEvents(3, 2),
		"from the start":         numberedEvents(1, 2, 3),
		"without an id":          withoutID + numberedEvents(3),
		"malformed id":           malformedID + numberedEvents(3),
	} {
		if !strings.HasPrefix(name, "left out") { // see TestStreamsOfAnyIncreasingIDsAreServed
			t.Run("first run, "+name, func(t *testing.T) {
				f := &fakeSender{run: func(n int, s Send) (*Reply, error) {
					if n == 1 {
						return events(numberedEvents(1) + second), nil
					}
					return events(remainingEvents(s.LastEvent)), nil
				}}
				expectThreeEvents(t, f)
			})
		}
		t.Run("continuing run, "+name, func(t *testing.T) {
			f := &fakeSender{run: func(n int, s Send) (*Reply, error) {
				switch n {
				case 1:
					return truncated(numberedEvents(1)), nil
				case 2:
					return events(second), nil
				default:
					return events(remainingEvents(s.LastEvent)), nil
				}
			}}
			expectThreeEvents(t, f)
		})
	}
}

// remainingEvents returns the events of a stream of three after the last one that the caller has.
func remainingEvents(last string) string {
	return map[string]string{"": numberedEvents(1, 2, 3), "1": numberedEvents(2, 3), "2": numberedEvents(3)}[last]
}

// expectThreeEvents serves a resumable stream. It may break off, but not with events that are out of order.
func expectThreeEvents(t *testing.T, f *fakeSender) {
	t.Helper()
	r := newFake(t, f)
	withLargeBudget(r)
	w, err := serve(r, longPrompt("/resumable/1"))
	whole := numberedEvents(1, 2, 3)
	if err == nil && w.Body.String() != whole || !strings.HasPrefix(whole, w.Body.String()) {
		t.Errorf("%v, %q after %d runs", err, w.Body.String(), f.runs)
	}
}

// increasingIDs are ids with which engines may number the events of a stream.
var increasingIDs = map[string][]int{
	"from one": {1, 2, 3, 4, 5, 6}, "from zero": {0, 1, 2, 3, 4, 5}, "from seven": {7, 8, 9, 10, 11, 12}, "even steps": {10, 20, 30, 40, 50, 60},
	"even steps from zero": {0, 4, 8, 12, 16, 20}, "uneven steps": {3, 4, 9, 10, 15, 16}, "a larger step at the end": {1, 2, 3, 4, 5, 9},
}

// TestStreamsOfAnyIncreasingIDsAreServed guards against streams that are cut off because their engine does not number the events 1, 2, 3.
func TestStreamsOfAnyIncreasingIDsAreServed(t *testing.T) {
	for name, ids := range increasingIDs {
		t.Run(name, func(t *testing.T) {
			for _, path := range []string{"/once/1", "/resumable/1"} {
				f := &fakeSender{run: func(int, Send) (*Reply, error) { return events(numberedEvents(ids...)), nil }}
				if w, err := serve(newFake(t, f), longPrompt(path)); err != nil || w.Body.String() != numberedEvents(ids...) || f.runs != 1 {
					t.Errorf("%s: %v, %q after %d runs", path, err, w.Body, f.runs)
				}
			}
			forwarder := &fakeForwarder{answer: answered(numberedEvents(ids...))}
			if w, err := serve(withoutPath(t, &fakeSender{}, forwarder), longPrompt("/resumable/1")); err != nil || w.Body.String() != numberedEvents(ids...) {
				t.Errorf("forwarded: %v, %q", err, w.Body)
			}
		})
	}
}

// TestStreamsOfAnyIncreasingIDsGoOn guards against a stream that does not go on at another engine, or for a caller that takes it up,
// because its ids are not 1, 2, 3, and against one that goes on although events are left out.
func TestStreamsOfAnyIncreasingIDsGoOn(t *testing.T) {
	for name, ids := range increasingIDs {
		if name == "uneven steps" {
			continue // whether events are left out cannot always be known
		}
		whole := numberedEvents(ids...)
		for had := 1; had < len(ids)-2; had++ {
			t.Run(fmt.Sprintf("%s, after %d", name, had), func(t *testing.T) {
				t.Parallel()
				first := numberedEvents(ids[:had]...)
				for skipped := range 2 {
					f := &fakeSender{run: func(n int, s Send) (*Reply, error) {
						if n == 1 {
							return truncated(first), nil
						}
						last, err := strconv.Atoi(s.LastEvent)
						if err != nil {
							t.Error(err)
						}
						return events(numberedEvents(ids[slices.Index(ids, last)+1+skipped:]...)), nil
					}}
					r := newFake(t, f)
					withLargeBudget(r)
					w, err := serve(r, longPrompt("/resumable/1"))
					checkJoined(t, "goes on", skipped, w.Body.String(), first, whole, err)

					f = &fakeSender{run: func(int, Send) (*Reply, error) { return events(numberedEvents(ids[had+skipped:]...)), nil }}
					request := longPrompt("/resumable/1")
					request.ID, request.Resumes, request.LastEvent = "r2", "r1", fmt.Sprint(ids[had-1])
					w, err = serve(withOneVersion(newFake(t, f)), request)
					checkJoined(t, "taken up", skipped, first+w.Body.String(), first, whole, err)
				}
			})
		}
	}
}

// checkJoined checks what a caller has of a stream after two runs of which the second one skipped events at first.
func checkJoined(t *testing.T, how string, skipped int, text, first, whole string, err error) {
	t.Helper()
	switch {
	case skipped == 0 && (err != nil || text != whole):
		t.Errorf("%s: %v, %q", how, err, text)
	case skipped > 0 && (err == nil || !strings.HasPrefix(first, text)):
		t.Errorf("%s, an event is left out: %v, %q", how, err, text)
	}
}

// TestEventsThatArrivedAreCounted guards against an engine whose events do not arrive and that is not noticed, because the ids of the
// events that arrived are higher than their number.
func TestEventsThatArrivedAreCounted(t *testing.T) {
	f := &pausingSender{fakeSender: &fakeSender{}, parts: []string{numberedEvents(10, 20), numberedEvents(30, 40)}, pause: pauseOfTests}
	f.engineRuns = func(context.Context, upstreamstate.Upstream) (EngineRuns, error) {
		return EngineRuns{Listed: true, Events: map[string]int{"r1": 4}}, nil
	}
	f.later = numberedEvents(30, 40)
	r := newFake(t, f)
	r.settings.StreamIdleTimeout = suspectAfter
	withLargeBudget(r)
	request := longPrompt("/resumable/1")
	request.WaitBudget = 10 * time.Second
	w, err := serve(r, request)
	if err != nil || w.Body.String() != numberedEvents(10, 20, 30, 40) || f.runs != 2 {
		t.Errorf("%v, %q after %d runs", err, w.Body, f.runs)
	}
}

// TestRunThatEndsBehindItsCallerIsNotWhole guards against a run that begins anew in place of going on, ends before the last
// event that the caller has, and is taken for the rest of the stream.
func TestRunThatEndsBehindItsCallerIsNotWhole(t *testing.T) {
	f := &fakeSender{run: func(n int, _ Send) (*Reply, error) {
		switch n {
		case 1:
			return truncated(numberedEvents(1, 2, 3, 4)), nil
		case 2:
			return events(numberedEvents(1, 2)), nil
		default:
			return events(numberedEvents(5, 6)), nil
		}
	}}
	r := newFake(t, f)
	withLargeBudget(r)
	if w, err := serve(r, longPrompt("/resumable/1")); err == nil && w.Body.String() != numberedEvents(1, 2, 3, 4, 5, 6) {
		t.Errorf("%v, %q after %d runs", err, w.Body.String(), f.runs)
	}
}

// repeatingBody is a stream that repeats its first event until it is closed.
type repeatingBody struct{ closed chan struct{} }

func (b repeatingBody) Read(p []byte) (int, error) {
	select {
	case <-b.closed:
		return 0, io.ErrUnexpectedEOF
	case <-time.After(10 * time.Millisecond):
		return copy(p, numberedEvents(1)), nil
	}
}

// TestRepeatedEventsAreNoProgress guards against an engine that only repeats events and holds its caller until the deadline.
func TestRepeatedEventsAreNoProgress(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	body := repeatingBody{make(chan struct{})}
	stop := context.AfterFunc(ctx, func() { close(body.closed) })
	defer stop()
	defer cancel()
	forwarder := newEventForwarder(httptest.NewRecorder(), stream.NewSequence("", stream.Steps{}), cancel)
	forwarder.watch = &silenceWatch{
		suspectAfter: 100 * time.Millisecond, stopStream: cancel, report: func(streamSilence, bool) {},
		check:    func(context.Context, int) runState { return runUnknown },
		mayLeave: func(context.Context) bool { return true },
	}
	if err := forwarder.forward(body); err == nil || forwarder.lastEvent() != "1" {
		t.Errorf("%v after event %q", err, forwarder.lastEvent())
	}
}

// TestCallersLastEventEjectsNoEngine guards against callers that have healthy engines ejected by naming a last event that
// no engine can go on after.
func TestCallersLastEventEjectsNoEngine(t *testing.T) {
	var log logBuffer
	f := &fakeSender{run: func(int, Send) (*Reply, error) { return events("id: -4\ndata: a\n\n"), nil }}
	r := newFake(t, f)
	withLargeBudget(r)
	r.log = slog.New(slog.NewTextHandler(&log, nil))
	for n := range 10 {
		request := numbered(longPrompt("/resumable/1"), n)
		request.LastEvent = "-5"
		_, _ = serve(r, request)
	}
	if f.runs == 0 || strings.Contains(log.String(), "send failed") {
		t.Errorf("after %d runs: %s", f.runs, log.String())
	}
}

// TestCallerThatLeavesDuringTheEndCheckBlamesNobody guards against upstreams that are taken for crashed because their caller
// left while the end of their answer was checked.
func TestCallerThatLeavesDuringTheEndCheckBlamesNobody(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	f := &fakeSender{run: func(int, Send) (*Reply, error) { return unframed(http.StatusOK, "whole"), nil }}
	f.alive = func(context.Context) (bool, error) {
		cancel()
		return false, errors.New("no result")
	}
	r := newFake(t, f)
	err := r.Serve(ctx, call("/unsafe/1"), httptest.NewRecorder())
	if !errors.Is(err, ErrCallerDisconnected) || f.crashChecks > 0 {
		t.Errorf("%v, %d crash checks", err, f.crashChecks)
	}
}

// TestStreamWithoutEventsIsNotWhole guards against a stream that ends before its first event and is passed on as complete: it
// begins at another engine where the route allows it, and else its caller sees that it broke off.
func TestStreamWithoutEventsIsNotWhole(t *testing.T) {
	emptyFirst := func(n int, _ Send) (*Reply, error) {
		if n == 1 {
			return events(""), nil
		}
		return events(numberedEvents(1, 2)), nil
	}
	t.Run("resumable", func(t *testing.T) {
		f := &fakeSender{run: emptyFirst}
		r := newFake(t, f)
		withLargeBudget(r)
		if w, err := serve(r, longPrompt("/resumable/1")); err != nil || w.Body.String() != numberedEvents(1, 2) {
			t.Errorf("%v, %q after %d runs", err, w.Body.String(), f.runs)
		}
	})
	t.Run("not resumable", func(t *testing.T) {
		f := &fakeSender{run: emptyFirst}
		if w, err := serve(newFake(t, f), longPrompt("/once/1")); !errors.Is(err, ErrAnswerAborted) || f.runs != 1 {
			t.Errorf("%v, %q after %d runs", err, w.Body.String(), f.runs)
		}
	})
	t.Run("passed on by another instance", func(t *testing.T) {
		forwarder := &fakeForwarder{answer: func(n int, _ *Forwarded) (*Reply, error) { return emptyFirst(n, Send{}) }}
		if w, err := serve(withoutPath(t, &fakeSender{}, forwarder), call("/once/1")); !errors.Is(err, ErrAnswerAborted) {
			t.Errorf("%v, %q", err, w.Body.String())
		}
	})
}

// TestStreamWithoutFurtherEventsIsWhole guards against a stream that is broken off though its caller has all its events, or
// asked for the head of the answer alone.
func TestStreamWithoutFurtherEventsIsWhole(t *testing.T) {
	for name, change := range map[string]func(*Request){
		"the caller has the last event": func(r *Request) { r.LastEvent = "2" },
		"HEAD":                          func(r *Request) { r.Method = http.MethodHead },
	} {
		f := &fakeSender{run: func(int, Send) (*Reply, error) { return events(""), nil }}
		request := longPrompt("/resumable/1")
		change(request)
		if w, err := serve(newFake(t, f), request); err != nil || w.Code != http.StatusOK || f.runs != 1 {
			t.Errorf("%s: %v, status %d after %d runs", name, err, w.Code, f.runs)
		}
	}
}
