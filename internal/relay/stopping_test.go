package relay

import (
	"context"
	"testing"
	"time"

	"github.com/pkg/errors"
)

// slowSender is a fakeSender whose upstreams answer after a time, unless their request is cancelled.
type slowSender struct {
	*fakeSender
	takes time.Duration
}

func (s slowSender) Send(ctx context.Context, req *Request, send Send) (*Reply, error) {
	reply, err := s.fakeSender.Send(ctx, req, send)
	if err != nil {
		return nil, err
	}
	select {
	case <-ctx.Done():
		return nil, WrapReadError(ctx.Err())
	case <-time.After(s.takes):
		return reply, nil
	}
}

// answering is a script of upstreams that answer every call.
func answering(int, Send) (*Reply, error) { return events(numberedEvents(1)), nil }

// TestRequestsAreAnsweredBeforeTheInstanceHasStopped guards against requests whose connections are closed without an answer at the end
// of the grace period, and against answers that say of a request that may have run that it did not.
func TestRequestsAreAnsweredBeforeTheInstanceHasStopped(t *testing.T) {
	const left = 100 * time.Millisecond
	for _, path := range []string{"/safe/1", "/unsafe/1", "/once/1", "/resumable/1"} {
		t.Run(path, func(t *testing.T) {
			t.Parallel()
			f := slowSender{&fakeSender{run: answering}, time.Hour}
			r := newFake(t, f)
			time.AfterFunc(20*time.Millisecond, func() { r.StopWithin(left) })
			began := time.Now()
			_, err := serve(r, longPrompt(path))
			if outcomeOf(t, err) != TimedOut {
				t.Errorf("answered with %v", err)
			}
			if f.runs != 1 {
				t.Errorf("%d runs", f.runs)
			}
			if took := time.Since(began); took > longPrompt(path).WaitBudget/2 {
				t.Errorf("answered after %s", took)
			}
		})
	}
}

// TestRequestThatArrivesTooLateIsRefused guards against requests that an instance takes while it stops although they cannot be answered
// before, and against refusals of those that can.
func TestRequestThatArrivesTooLateIsRefused(t *testing.T) {
	const usual = 300 * time.Millisecond
	for left, refused := range map[time.Duration]bool{usual / 3: true, 3 * usual: false} {
		f := slowSender{&fakeSender{run: answering}, usual}
		r := newFake(t, f)
		for range 3 {
			r.upstreams.RecordCallTime("app-1", usual)
		}
		r.StopWithin(left)
		_, err := serve(r, call("/unsafe/1"))
		if (err != nil) != refused {
			t.Errorf("%s left: %v", left, err)
		}
		if refused && (outcomeOf(t, err) != NotRun || f.count() != 0) {
			t.Errorf("%s left: %v after %d sends", left, err, f.count())
		}
	}
}

// TestForwardedRequestThatArrivesTooLateGoesElsewhere guards against callers that are refused because the instance that serves their
// request for another one stops.
func TestForwardedRequestThatArrivesTooLateGoesElsewhere(t *testing.T) {
	r := newFake(t, &fakeSender{})
	r.StopWithin(time.Nanosecond)
	_, err := r.ServeForwarded(context.Background(), &Forwarded{
		Request: call("/unsafe/1"), From: "other", Service: serviceHash("app"), Timeout: time.Second, ConfigVersion: 1,
	}, nil)
	var refusal *Refusal
	if !errors.As(err, &refusal) || refusal.Outcome != NotRun || !refusal.Elsewhere {
		t.Errorf("%v", err)
	}
}

// TestCallIsGivenUpForAnotherThatFits guards against an idempotent call that is given up, and sent again, although its upstream answers as
// soon as usual, or another one cannot answer in time; and against one that waits for a silent upstream.
func TestCallIsGivenUpForAnotherThatFits(t *testing.T) {
	for name, c := range map[string]struct {
		usual, takes time.Duration
		stops        bool
		wantSends    int
	}{
		"usual time unknown":                    {0, 600 * time.Millisecond, false, 2},
		"as long as usual":                      {600 * time.Millisecond, 600 * time.Millisecond, false, 1},
		"far longer than usual":                 {20 * time.Millisecond, 600 * time.Millisecond, false, 2},
		"usual time unknown, instance stops":    {0, 600 * time.Millisecond, true, 1},
		"far longer than usual, instance stops": {20 * time.Millisecond, 600 * time.Millisecond, true, 2},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f := slowSender{&fakeSender{run: answering}, c.takes}
			r := newFake(t, f)
			withLargeBudget(r)
			for range 3 {
				if c.usual > 0 {
					r.upstreams.RecordCallTime("app-1", c.usual)
				}
			}
			if c.stops {
				r.StopWithin(time.Second)
			}
			_, _ = serve(r, call("/safe/1")) // the second call may not be in time
			if f.count() != c.wantSends {
				t.Errorf("%d sends, want %d", f.count(), c.wantSends)
			}
		})
	}
}
