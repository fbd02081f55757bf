package relay

import (
	"cmp"
	"context"
	"io"
	"sync"
	"testing"
	"time"

	"github.com/pkg/errors"

	"sassafrasfield/internal/upstreamstate"
)

// TestSilentStreamIsLostOnlyForAReason guards against a stream that is given up because it is silent, and against one that is
// awaited although it is known to bring nothing more.
func TestSilentStreamIsLostOnlyForAReason(t *testing.T) {
	const suspect = time.Second
	for name, c := range map[string]struct {
		silence streamSilence
		want    bool
	}{
		"nothing known, long":         {streamSilence{lasted: time.Minute, run: runUnknown}, false},
		"works on, long":              {streamSilence{lasted: time.Minute, run: runGoesOn}, false},
		"unreached, not yet suspect":  {streamSilence{lasted: suspect - 1, run: runUnreached}, false},
		"unreached":                   {streamSilence{lasted: suspect, run: runUnreached}, true},
		"ended":                       {streamSilence{lasted: suspect, run: runEnded}, true},
		"ahead once":                  {streamSilence{lasted: suspect, run: runAhead, ahead: 1}, false},
		"ahead twice":                 {streamSilence{lasted: suspect, run: runAhead, ahead: 2}, true},
		"a late event in two parts":   {streamSilence{lasted: suspect, run: runGoesOn, strayReads: 2}, false},
		"bytes that complete nothing": {streamSilence{lasted: suspect, run: runGoesOn, strayReads: maxStrayReads}, true},
	} {
		c.silence.suspectAfter = suspect
		if got := c.silence.isLost(); got != c.want {
			t.Errorf("%s: lost %t", name, got)
		}
	}
}

// TestStateOfRun guards against a run that waits for its place and is taken for ended, and against one that the engine
// dropped and is taken for one that goes on.
func TestStateOfRun(t *testing.T) {
	for name, c := range map[string]struct {
		runs EngineRuns
		want runState
	}{
		"the engine does not list runs": {EngineRuns{}, runUnknown},
		"listed":                        {EngineRuns{Listed: true, Events: map[string]int{"r": 5}}, runGoesOn},
		"listed, older than the stream": {EngineRuns{Listed: true, Events: map[string]int{"r": 3}}, runGoesOn},
		"listed with events under way":  {EngineRuns{Listed: true, Events: map[string]int{"r": 6}}, runAhead},
		"not listed, some wait":         {EngineRuns{Listed: true, Waiting: 1}, runGoesOn},
		"not listed, none waits":        {EngineRuns{Listed: true, Events: map[string]int{"other": 9}}, runEnded},
		"another start has the address": {EngineRuns{Ended: true}, runEnded},
	} {
		if got := c.runs.stateOf("r", 5); got != c.want {
			t.Errorf("%s: %s instead of %s", name, got, c.want)
		}
	}
}

// pausingBody is a stream that pauses between two parts, or until its request is cancelled.
type pausingBody struct {
	parts []string
	pause time.Duration
	ctx   context.Context
	n     int
}

func (b *pausingBody) Read(p []byte) (int, error) {
	if b.n == len(b.parts) {
		return 0, io.EOF
	}
	if b.n > 0 {
		select {
		case <-b.ctx.Done():
			return 0, b.ctx.Err()
		case <-time.After(b.pause):
		}
	}
	n := copy(p, b.parts[b.n])
	b.n++
	return n, nil
}

func (b *pausingBody) Close() error { return nil }

// pausingSender is a fakeSender whose first run pauses.
type pausingSender struct {
	*fakeSender
	parts []string
	pause time.Duration
	// later is the answer of the other runs; events 3 and 4 if empty.
	later string

	mu   sync.Mutex // protects runs
	runs int
}

func (s *pausingSender) Send(ctx context.Context, _ *Request, send Send) (*Reply, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.runs++
	if s.runs > 1 {
		return events(cmp.Or(s.later, numberedEvents(3, 4))), nil
	}
	return &Reply{Status: 200, Header: map[string][]string{}, Body: &pausingBody{parts: s.parts, pause: s.pause, ctx: ctx}}, nil
}

const (
	// suspectAfter and pauseOfTests are the times of the tests below.
	suspectAfter = 500 * time.Millisecond
	pauseOfTests = 1200 * time.Millisecond
)

// serveSilent serves a stream of four events that pauses after the second one, and returns the number of runs. The engine
// says runs and err about itself.
func serveSilent(t *testing.T, path string, parts []string, budget bool, runs EngineRuns, err error) (text string, sends int, serveErr error) {
	t.Helper()
	f := &pausingSender{fakeSender: &fakeSender{}, parts: parts, pause: pauseOfTests}
	f.engineRuns = func(context.Context, upstreamstate.Upstream) (EngineRuns, error) { return runs, err }
	r := newFake(t, f)
	r.settings.StreamIdleTimeout = suspectAfter
	if budget {
		withLargeBudget(r)
	}
	request := longPrompt(path)
	request.WaitBudget = 10 * time.Second
	w, serveErr := serve(r, request)
	return w.Body.String(), f.runs, serveErr
}

// TestSilentStreamOfAWorkingEngineIsAwaited guards against streams that are broken off during a pause of their engine, or go
// on elsewhere while it works on them.
func TestSilentStreamOfAWorkingEngineIsAwaited(t *testing.T) {
	whole := numberedEvents(1, 2, 3, 4)
	between := []string{numberedEvents(1, 2), numberedEvents(3, 4)}
	within := []string{whole[:len(whole)/2+3], whole[len(whole)/2+3:]}
	refused := errors.New("no answer")
	for name, c := range map[string]struct {
		path   string
		parts  []string
		budget bool
		runs   EngineRuns
		err    error
	}{
		"says nothing of its runs":               {path: "/resumable/1", parts: between, budget: true},
		"lists the run":                          {path: "/resumable/1", parts: between, budget: true, runs: EngineRuns{Listed: true, Events: map[string]int{"r1": 2}}},
		"has requests wait":                      {path: "/resumable/1", parts: between, budget: true, runs: EngineRuns{Listed: true, Waiting: 3}},
		"within an event":                        {path: "/resumable/1", parts: within, budget: true},
		"within an event, may run once":          {path: "/once/1", parts: within, budget: true},
		"does not answer, no retry is left":      {path: "/resumable/1", parts: between, err: refused},
		"does not answer, the run may not go on": {path: "/once/1", parts: between, budget: true, err: refused},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			if text, runs, err := serveSilent(t, c.path, c.parts, c.budget, c.runs, c.err); err != nil || text != whole || runs != 1 {
				t.Errorf("%v, %q after %d runs", err, text, runs)
			}
		})
	}
}

// TestLostStreamGoesOnBeforeItsCallerLeaves guards against streams of engines that are known to bring nothing more, and that
// are awaited although another engine could go on.
func TestLostStreamGoesOnBeforeItsCallerLeaves(t *testing.T) {
	for name, c := range map[string]struct {
		runs EngineRuns
		err  error
	}{
		"does not answer":                 {err: errors.New("no answer")},
		"another start has its address":   {runs: EngineRuns{Ended: true}},
		"has dropped the run":             {runs: EngineRuns{Listed: true}},
		"made events that did not arrive": {runs: EngineRuns{Listed: true, Events: map[string]int{"r1": 4}}},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			began := time.Now()
			text, runs, err := serveSilent(t, "/resumable/1", []string{numberedEvents(1, 2), numberedEvents(3, 4)}, true, c.runs, c.err)
			if err != nil || text != numberedEvents(1, 2, 3, 4) || runs != 2 || time.Since(began) >= pauseOfTests {
				t.Errorf("%v, %q after %d runs and %s", err, text, runs, time.Since(began))
			}
		})
	}
}

// TestSilentStreamOfALeavingEngineIsAwaited guards against streams that an engine still finishes and that are given up as it
// takes no requests any more.
func TestSilentStreamOfALeavingEngineIsAwaited(t *testing.T) {
	r := newFake(t, &fakeSender{engineRuns: func(context.Context, upstreamstate.Upstream) (EngineRuns, error) {
		return EngineRuns{Ended: true}, nil
	}})
	u := r.upstreams.Upstream("dec-1")
	if state := r.runState(context.Background(), "r1", u, 2); state != runEnded {
		t.Errorf("%s, before it was known to leave", state)
	}
	r.RemoveUpstream(u.ID)
	if state := r.runState(context.Background(), "r1", u, 2); state != runUnknown {
		t.Errorf("%s, once it was known to leave", state)
	}
}

// TestSilentForwardedStreamIsLeftOnlyIfItsInstanceIsGone guards against forwarded streams that are given up while their
// engine pauses, and against those that are awaited from an instance that does not answer.
func TestSilentForwardedStreamIsLeftOnlyIfItsInstanceIsGone(t *testing.T) {
	for name, c := range map[string]struct {
		checkErr     error
		wantForwards int
	}{"it answers": {nil, 1}, "it does not answer": {errors.New("no answer"), 2}} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			forwarder := &fakeForwarder{}
			forwarder.answer = func(n int, _ *Forwarded) (*Reply, error) {
				if n > 1 {
					return events(numberedEvents(3, 4)), nil
				}
				body := &pausingBody{parts: []string{numberedEvents(1, 2), numberedEvents(3, 4)}, pause: pauseOfTests, ctx: forwarder.ctx}
				return &Reply{Status: 200, Header: map[string][]string{}, Body: body, CheckPeer: func(context.Context) error { return c.checkErr }}, nil
			}
			r := withoutPath(t, &fakeSender{}, forwarder)
			r.settings.StreamIdleTimeout = suspectAfter
			request := longPrompt("/resumable/1")
			request.WaitBudget = 10 * time.Second
			w, err := serve(r, request)
			if err != nil || w.Body.String() != numberedEvents(1, 2, 3, 4) || len(forwarder.requests) != c.wantForwards {
				t.Errorf("%v, %q after %d forwards", err, w.Body.String(), len(forwarder.requests))
			}
		})
	}
}

// TestStreamIsNotLostWhileItIsPassedOn guards against a check that begins as events are passed on to a slow caller, and that
// counts the wait for the caller as silence of the engine.
func TestStreamIsNotLostWhileItIsPassedOn(t *testing.T) {
	checks := 0
	w := &silenceWatch{
		suspectAfter: time.Hour, stopStream: func() { t.Error("the stream was stopped") }, report: func(streamSilence, bool) {},
		check: func(context.Context, int) runState {
			checks++
			return runUnreached
		},
		mayLeave: func(context.Context) bool { return true },
	}
	w.start(0)
	w.pause()
	w.suspectAfter = 0
	w.run() // as by a timer that had fired before
	w.stop()
	if checks > 0 {
		t.Errorf("%d checks", checks)
	}
}
