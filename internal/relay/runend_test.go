package relay

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/pkg/errors"

	"sassafrasfield/internal/upstreamstate"
)

// workingEngine is an engine that works on one run, r1, until it is ordered to stop. It is safe for concurrent use.
type workingEngine struct {
	id string

	mu          sync.Mutex // protects the fields below
	unreachable bool
	stopped     bool
}

func (e *workingEngine) setUnreachable(unreachable bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.unreachable = unreachable
}

func (e *workingEngine) isStopped() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.stopped
}

// runs implements fakeSender.engineRuns. The other engines work on nothing.
func (e *workingEngine) runs(_ context.Context, engine upstreamstate.Upstream) (EngineRuns, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	switch {
	case engine.ID == e.id && e.unreachable:
		return EngineRuns{}, errors.New("no answer")
	case engine.ID == e.id && !e.stopped:
		return EngineRuns{Listed: true, Events: map[string]int{"r1": 2}}, nil
	default:
		return EngineRuns{Listed: true}, nil
	}
}

// stop implements fakeSender.stop.
func (e *workingEngine) stop(engine upstreamstate.Upstream, request string) (KV, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	switch {
	case engine.ID != e.id || request != "r1" || e.stopped:
		return KV{}, ErrNoSuchRun
	case e.unreachable:
		return KV{}, errors.New("no answer")
	}
	e.stopped = true
	return KV{Engine: engine, Handle: "h"}, nil
}

func awaitStop(t *testing.T, e *workingEngine, within time.Duration) {
	t.Helper()
	for began := time.Now(); !e.isStopped(); time.Sleep(time.Millisecond) {
		if time.Since(began) > within {
			t.Fatalf("not stopped after %s", within)
		}
	}
}

// stopWithin bounds the time from when an engine is reached again until it has stopped a run that was left.
const stopWithin = 400 * time.Millisecond

// TestRunOfAnUnreachedEngineIsStoppedOnceReached guards against a stream that goes on at another engine while the former one, which was
// not reached for a while, works on it.
func TestRunOfAnUnreachedEngineIsStoppedOnceReached(t *testing.T) {
	e := &workingEngine{unreachable: true}
	f := &pausingSender{fakeSender: &fakeSender{engineRuns: e.runs, stop: e.stop}, parts: []string{numberedEvents(1, 2), numberedEvents(3, 4)}, pause: time.Minute}
	r := newFake(t, notingSender{f, e})
	r.settings.StreamIdleTimeout = suspectAfter
	withLargeBudget(r)
	request := longPrompt("/resumable/1")
	request.WaitBudget = 10 * time.Second
	w, err := serve(r, request)
	if err != nil || w.Body.String() != numberedEvents(1, 2, 3, 4) || f.runs != 2 {
		t.Fatalf("%v, %q after %d runs", err, w.Body, f.runs)
	}
	if e.isStopped() {
		t.Fatal("stopped while it was not reached")
	}
	e.setUnreachable(false)
	awaitStop(t, e, stopWithin)
}

// notingSender notes the engine of the first run.
type notingSender struct {
	*pausingSender
	engine *workingEngine
}

func (s notingSender) Send(ctx context.Context, req *Request, send Send) (*Reply, error) {
	s.engine.mu.Lock()
	if s.engine.id == "" {
		s.engine.id = send.To.ID
	}
	s.engine.mu.Unlock()
	return s.pausingSender.Send(ctx, req, send)
}

// TestRunWhoseConnectionEndsIsStoppedBeforeTheNext guards against a stream that goes on at another engine while the former one works on
// it, because the end of its connection is taken for that of the run.
func TestRunWhoseConnectionEndsIsStoppedBeforeTheNext(t *testing.T) {
	for name, end := range map[string]error{
		"reset": syscall.ECONNRESET, "closed": io.ErrUnexpectedEOF, "no answer of the machine": syscall.ETIMEDOUT,
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			e := &workingEngine{}
			f := &fakeSender{engineRuns: e.runs, stop: e.stop}
			f.run = func(n int, s Send) (*Reply, error) {
				if n == 1 {
					e.mu.Lock()
					defer e.mu.Unlock()
					e.id = s.To.ID
					return reply(http.StatusOK, io.MultiReader(strings.NewReader(numberedEvents(1, 2)), failingReader{end})), nil
				}
				if !e.isStopped() && end != syscall.ETIMEDOUT {
					t.Error("another run begins while the former one goes on")
				}
				return events(numberedEvents(3, 4)), nil
			}
			r := newFake(t, f)
			withLargeBudget(r)
			w, err := serve(r, longPrompt("/resumable/1"))
			if err != nil || w.Body.String() != numberedEvents(1, 2, 3, 4) {
				t.Errorf("%v, %q", err, w.Body)
			}
			awaitStop(t, e, stopWithin)
		})
	}
}

// TestTakenUpRunOfAnUnreachedEngineIsStoppedOnceReached guards against a former run that works on after its caller took the stream up
// by another attempt, because its engine was not reached then.
func TestTakenUpRunOfAnUnreachedEngineIsStoppedOnceReached(t *testing.T) {
	e := &workingEngine{id: "dec-1", unreachable: true}
	r := newFake(t, &fakeSender{engineRuns: e.runs, stop: e.stop})
	request := takeUp("r2", "r1")
	first, err := r.newExchange(call("/resumable/1"))
	if err != nil {
		t.Fatal(err)
	}
	_, s := r.holdStream(context.Background(), first)
	r.releaseStream(s, &engineRun{engine: r.upstreams.Upstream("dec-1"), request: "r1", deadline: r.now() + time.Minute})
	next, err := r.newExchange(request)
	if err != nil {
		t.Fatal(err)
	}
	if result := r.claimHere(context.Background(), next.claim(), nil, time.Minute); result.Running != 0 || result.Superseded != 1 {
		t.Errorf("%+v", result)
	}
	e.setUnreachable(false)
	awaitStop(t, e, stopWithin)
}

// TestForwardedRunIsStoppedWhenItsForwarderLeaves guards against a stream that the forwarding instance has go on elsewhere while the
// engine, which does not notice that its connection was closed, works on it.
func TestForwardedRunIsStoppedWhenItsForwarderLeaves(t *testing.T) {
	e := &workingEngine{}
	f := &pausingSender{fakeSender: &fakeSender{engineRuns: e.runs, stop: e.stop}, parts: []string{numberedEvents(1, 2), numberedEvents(3, 4)}, pause: time.Minute}
	r := withOneVersion(newFake(t, notingSender{f, e}))
	ctx, leave := context.WithTimeout(context.Background(), suspectAfter)
	defer leave()
	_, err := r.ServeForwarded(ctx, &Forwarded{Request: longPrompt("/resumable/1"), Service: serviceHash("llm"), Timeout: time.Minute, Version: "v1"}, httptest.NewRecorder())
	if err == nil {
		t.Fatal("served")
	}
	awaitStop(t, e, time.Second)
}

// TestChecksOfAnUnreachedEngineEnd guards against an engine that is asked for a run after the deadline of the run.
func TestChecksOfAnUnreachedEngineEnd(t *testing.T) {
	e := &workingEngine{id: "dec-1", unreachable: true}
	r := newFake(t, &fakeSender{engineRuns: e.runs, stop: e.stop})
	done := make(chan struct{})
	go func() {
		defer close(done)
		r.stopOnceReached(engineRun{engine: r.upstreams.Upstream("dec-1"), request: "r1", deadline: r.now() + 50*time.Millisecond})
	}()
	select {
	case <-done:
	case <-time.After(10 * time.Second):
		t.Error("not ended")
	}
}
