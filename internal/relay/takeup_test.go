package relay

import (
	"context"
	"io"
	"net/http/httptest"
	"slices"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/pkg/errors"

	"sassafrasfield/internal/pause"
	"sassafrasfield/internal/takeover"
	"sassafrasfield/internal/upstreamstate"
)

// workingEngines are engines whose first run of a stream is silent after its first two events, until its connection is closed.
type workingEngines struct {
	*fakeSender
	// noticesAfter is how long an engine works on, and lists the run, after that. lists is whether engines list their runs.
	noticesAfter time.Duration
	lists        bool
	// first has the events of the first run, before it is silent.
	first string

	mu      sync.Mutex // protects all below
	working []string   // requests
	stopped []string
	// overlaps counts the runs that began while another one was in progress.
	overlaps int
	// begun receives a value when the first run is silent.
	begun chan struct{}
	sends int
}

func newWorkingEngines() *workingEngines {
	e := &workingEngines{fakeSender: &fakeSender{}, first: numberedEvents(1, 2), lists: true, begun: make(chan struct{}, 1)}
	e.engineRuns = func(context.Context, upstreamstate.Upstream) (EngineRuns, error) {
		e.mu.Lock()
		defer e.mu.Unlock()
		runs := EngineRuns{Listed: e.lists, Events: map[string]int{}}
		for _, request := range e.working {
			runs.Events[request] = 2
		}
		return runs, nil
	}
	return e
}

func (e *workingEngines) Send(ctx context.Context, req *Request, _ Send) (*Reply, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.sends++
	if len(e.working) > 0 {
		e.overlaps++
	}
	if e.sends > 1 {
		return events(numberedEvents(3, 4)), nil
	}
	e.working = append(e.working, req.ID)
	body := &workedBody{text: e.first, ctx: ctx, silent: func() {
		select {
		case e.begun <- struct{}{}:
		default: // already known
		}
	}, closed: func() { time.AfterFunc(e.noticesAfter, func() { e.end(req.ID) }) }}
	return &Reply{Status: 200, Header: map[string][]string{}, Body: body}, nil
}

// end records that the engine does not work on a request any more.
func (e *workingEngines) end(request string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.working = slices.DeleteFunc(e.working, func(other string) bool { return other == request })
}

// stopOrdered has the engines stop runs when they are ordered to.
func (e *workingEngines) stopOrdered() {
	e.stop = func(engine upstreamstate.Upstream, request string) (KV, error) {
		e.end(request)
		e.mu.Lock()
		defer e.mu.Unlock()
		e.stopped = append(e.stopped, request)
		return KV{Engine: engine, Handle: "moved"}, nil
	}
}

func (e *workingEngines) overlapCount() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.overlaps
}

// workedBody has some events and is then silent until its request is cancelled.
type workedBody struct {
	text           string
	ctx            context.Context
	silent, closed func()
	once           sync.Once
}

func (b *workedBody) Read(p []byte) (int, error) {
	if b.text != "" {
		n := copy(p, b.text)
		b.text = b.text[n:]
		return n, nil
	}
	b.silent()
	<-b.ctx.Done()
	return 0, b.ctx.Err()
}

func (b *workedBody) Close() error {
	b.once.Do(b.closed)
	return nil
}

// beginStream has a caller begin a stream, and returns once it has the events of the first run. The result arrives on the channel.
func beginStream(t *testing.T, ctx context.Context, r *Relay, e *workingEngines) <-chan error {
	t.Helper()
	served := make(chan error, 1)
	first := longPrompt("/resumable/1")
	go func() { served <- r.Serve(ctx, first, httptest.NewRecorder()) }()
	select {
	case <-e.begun:
	case <-time.After(time.Minute):
		t.Fatal("the stream did not begin")
	}
	return served
}

// takeUpRequest returns the attempt that takes the stream up.
func takeUpRequest() *Request {
	again := longPrompt("/resumable/1")
	again.ID, again.Resumes, again.LastEvent = "r2", "r1", "2"
	return again
}

// TestTakenUpStreamEndsItsFormerRun guards against a run that goes on although its caller took the stream up, at engines that notice
// soon, late, and not at all that a connection was closed, and that do not list their runs.
func TestTakenUpStreamEndsItsFormerRun(t *testing.T) {
	for name, c := range map[string]struct {
		noticesAfter            time.Duration
		lists, leaves, canStop  bool
		stopped, served, unsure bool
	}{
		"noticed at once":                   {lists: true, served: true},
		"noticed late":                      {lists: true, noticesAfter: stopRunAfter / 2, served: true},
		"noticed too late, stopped":         {lists: true, noticesAfter: time.Hour, canStop: true, stopped: true, served: true},
		"noticed too late, not stopped":     {lists: true, noticesAfter: time.Hour},
		"not listed":                        {served: true, unsure: true},
		"caller left, noticed late":         {lists: true, leaves: true, noticesAfter: stopRunAfter / 2, served: true},
		"caller left, noticed not, stopped": {lists: true, leaves: true, noticesAfter: time.Hour, canStop: true, stopped: true, served: true},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			e := newWorkingEngines()
			e.noticesAfter, e.lists = c.noticesAfter, c.lists
			e.stop = func(upstreamstate.Upstream, string) (KV, error) { return KV{}, errors.New("not stopped") }
			if c.canStop {
				e.stopOrdered()
			}
			r := newFake(t, e)
			ctx, leave := context.WithCancel(context.Background())
			defer leave()
			first := beginStream(t, ctx, r, e)
			if c.leaves {
				leave()
				<-first
			}
			w, err := serve(r, takeUpRequest())
			if served := err == nil && w.Body.String() == numberedEvents(3, 4); served != c.served {
				t.Errorf("served %t: %v, %q", served, err, w.Body.String())
			}
			if !c.served && outcomeOf(t, err) != NotRun {
				t.Errorf("refused with %v", err)
			}
			if n := e.overlapCount(); n > 0 && !c.unsure {
				t.Errorf("%d runs began while another one was in progress", n)
			}
			if stopped := len(e.stopped) > 0; stopped != c.stopped {
				t.Errorf("stopped %t", stopped)
			}
			if !c.leaves && !errors.Is(<-first, ErrSuperseded) {
				t.Error("the first attempt does not end as superseded")
			}
		})
	}
}

// TestClaimOfAnotherInstanceEndsARun guards against a run that goes on although its caller took the stream up at another instance, and
// against callers of other organisations, or with other requests, that end it.
func TestClaimOfAnotherInstanceEndsARun(t *testing.T) {
	for name, c := range map[string]struct {
		change func(*takeover.Claim)
		ends   bool
	}{
		"same request":        {func(*takeover.Claim) {}, true},
		"another scope":       {func(c *takeover.Claim) { c.Scope++ }, false},
		"another stream":      {func(c *takeover.Claim) { c.Stream++ }, false},
		"a stale claim to it": {func(c *takeover.Claim) { c.Epoch = 0; c.LastEvent = 0; c.Attempt = 0 }, false},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			e := newWorkingEngines()
			r := newFake(t, e)
			ctx, leave := context.WithCancel(context.Background())
			defer leave()
			first := beginStream(t, ctx, r, e)
			x, err := r.newExchange(takeUpRequest())
			if err != nil {
				t.Fatal(err)
			}
			claim := x.claim()
			c.change(&claim)
			result := r.ClaimStream(ctx, claim)
			for result.Running > 0 {
				result = r.ClaimStream(ctx, claim)
			}
			select {
			case err := <-first:
				if !c.ends || !errors.Is(err, ErrSuperseded) {
					t.Errorf("ended with %v", err)
				}
			case <-time.After(100 * time.Millisecond):
				if c.ends {
					t.Error("the run goes on")
				}
			}
		})
	}
}

// TestRunThatIsLeftEndsBeforeTheNextBegins guards against an engine that goes on with a stream while the one before it has not noticed
// that its connection was closed.
func TestRunThatIsLeftEndsBeforeTheNextBegins(t *testing.T) {
	for name, c := range map[string]struct {
		noticesAfter time.Duration
		canStop      bool
		whole        bool
	}{
		"noticed late":      {stopRunAfter / 2, false, true},
		"stopped":           {time.Hour, true, true},
		"works on for good": {time.Hour, false, false},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			e := newWorkingEngines()
			e.noticesAfter, e.first = c.noticesAfter, numberedEvents(1, 2)+"data: without an id\n\n"
			e.stop = func(upstreamstate.Upstream, string) (KV, error) { return KV{}, errors.New("not stopped") }
			if c.canStop {
				e.stopOrdered()
			}
			r := newFake(t, e)
			withLargeBudget(r)
			w, err := serve(r, longPrompt("/resumable/1"))
			if whole := err == nil && w.Body.String() == numberedEvents(1, 2, 3, 4); whole != c.whole {
				t.Errorf("whole %t: %v, %q", whole, err, w.Body.String())
			}
			if n := e.overlapCount(); n > 0 {
				t.Errorf("%d runs began while another one was in progress", n)
			}
		})
	}
}

// TestRunMayBeInProgressAfterItsConnectionEnded guards against a wait for runs that an engine has ended itself or that it is not reached
// for, and against runs that count as ended because their connections have, or because their engines are not reached.
func TestRunMayBeInProgressAfterItsConnectionEnded(t *testing.T) {
	for name, c := range map[string]struct {
		known                runState
		err                  error
		want, reached, stops bool
	}{
		"out of sequence":                {"", ErrNoValidAnswer, true, true, false},
		"silent, engine says nothing":    {runUnknown, WrapReadError(context.Canceled), true, true, false},
		"silent, made more events":       {runAhead, WrapReadError(context.Canceled), true, true, false},
		"silent, engine does not answer": {runUnreached, WrapReadError(context.Canceled), true, false, false},
		"silent, engine has ended it":    {runEnded, WrapReadError(context.Canceled), false, true, false},
		"closed by the engine":           {"", WrapReadError(io.ErrUnexpectedEOF), true, true, true},
		"reset":                          {"", WrapReadError(syscall.ECONNRESET), true, true, true},
		"refused":                        {"", ErrRefused, false, true, false},
		"not sent":                       {"", ErrNotSent, false, true, false},
		"machine does not acknowledge":   {"", ErrUnacknowledged, true, false, false},
	} {
		if got := mayWorkOn(c.known, c.err); got != c.want {
			t.Errorf("%s: %t", name, got)
		}
		left := leftBecause(c.known, c.err)
		if stops := left.stopAfter() == 0; left.engineReached != c.reached || stops != c.stops {
			t.Errorf("%s: reached %t, ordered to stop at once %t", name, left.engineReached, stops)
		}
	}
}

// count returns the number of ids of attempts that are kept.
func (a *activeStreams) count() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.registry.Len()
}

// TestAttemptWhoseCallerLeftIsForgotten guards against attempts that are kept for good.
func TestAttemptWhoseCallerLeftIsForgotten(t *testing.T) {
	e := newWorkingEngines()
	r := newFake(t, e)
	ctx, leave := context.WithCancel(context.Background())
	first := beginStream(t, ctx, r, e)
	leave()
	<-first
	for r.streams.count() > 0 {
		if !pause.For(t.Context(), 10*time.Millisecond) {
			t.Fatal("still kept")
		}
	}
}
