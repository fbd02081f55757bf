package relay

import (
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"sassafrasfield/internal/upstreamstate"
)

func TestIdempotentCallIsRetried(t *testing.T) {
	f := &fakeSender{run: func(n int, _ Send) (*Reply, error) {
		if n == 1 {
			return nil, ErrNoValidAnswer
		}
		return reply(http.StatusOK, strings.NewReader("whole")), nil
	}}
	r := newFake(t, f)
	withLargeBudget(r)
	w, err := serve(r, call("/safe/1"))
	if err != nil || w.Body.String() != "whole" || f.runs != 2 {
		t.Errorf("%v %q after %d runs", err, w.Body.String(), f.runs)
	}
	if f.calls[0].to == f.calls[1].to {
		t.Error("both were sent to the same upstream")
	}
}

func TestTruncatedAnswerIsRetried(t *testing.T) {
	f := &fakeSender{run: func(n int, _ Send) (*Reply, error) {
		if n == 1 {
			return truncated("half"), nil
		}
		return reply(http.StatusOK, strings.NewReader("whole")), nil
	}}
	r := newFake(t, f)
	withLargeBudget(r)
	w, err := serve(r, call("/safe/1"))
	if err != nil || w.Body.String() != "whole" {
		t.Errorf("%v %q", err, w.Body.String())
	}
}

func TestNonIdempotentCallWithUnknownOutcomeIsNotRetried(t *testing.T) {
	f := &fakeSender{run: func(int, Send) (*Reply, error) { return nil, ErrNoValidAnswer }}
	r := newFake(t, f)
	withLargeBudget(r)
	_, err := serve(r, call("/unsafe/1"))
	if outcome := outcomeOf(t, err); outcome != Unknown || f.runs != 1 {
		t.Errorf("outcome %v after %d runs", outcome, f.runs)
	}
}

func TestNonIdempotentCallThatDidNotRunIsRetried(t *testing.T) {
	for _, notRun := range []error{ErrNotSent, ErrRefused, ErrAddressReassigned} {
		f := &fakeSender{run: func(n int, _ Send) (*Reply, error) {
			if n == 1 {
				return nil, notRun
			}
			return reply(http.StatusOK, strings.NewReader("whole")), nil
		}}
		r := newFake(t, f)
		withLargeBudget(r)
		if _, err := serve(r, call("/unsafe/1")); err != nil || f.runs != 2 {
			t.Errorf("%v: %v after %d runs", notRun, err, f.runs)
		}
	}
}

func TestFailureIsForwardedIfNoAttemptIsLeft(t *testing.T) {
	f := &fakeSender{run: func(int, Send) (*Reply, error) {
		return reply(http.StatusInternalServerError, strings.NewReader("sorry")), nil
	}}
	r := newFake(t, f)
	withLargeBudget(r)
	w, err := serve(r, call("/safe/1"))
	if err != nil || w.Code != http.StatusInternalServerError || f.runs != 2 {
		t.Errorf("%v, status %d after %d runs", err, w.Code, f.runs)
	}
}

func TestNoRetryWithoutBudget(t *testing.T) {
	f := &fakeSender{run: func(int, Send) (*Reply, error) { return nil, ErrRefused }}
	r := newFake(t, f)
	r.SetBudget(BudgetSettings{})
	r.budgets.forService("app", 0).SpendLocal(false, 0)
	_, err := serve(r, call("/safe/1"))
	if outcome := outcomeOf(t, err); outcome != NotRun || f.runs != 1 {
		t.Errorf("outcome %v after %d sends", outcome, f.runs)
	}
}

func TestDrainingUpstreamReceivesNothing(t *testing.T) {
	f := &fakeSender{}
	r := newFake(t, f)
	for _, id := range []string{"app-1", "app-2"} {
		r.UpdateUpstream(upstreamstate.Upstream{ID: id, Service: "app", Address: id, Zone: "a", Draining: true})
	}
	r.RemoveUpstream("app-3")
	_, err := serve(r, call("/safe/1"))
	if outcome := outcomeOf(t, err); outcome != NotRun || f.count() != 0 {
		t.Errorf("outcome %v after %d sends", outcome, f.count())
	}
}

func TestNothingIsServedWithoutConfiguration(t *testing.T) {
	r := New(DefaultSettings(), &fakeSender{}, newFake(t, &fakeSender{}).log)
	_, err := serve(r, call("/safe/1"))
	if outcomeOf(t, err) != NotRun {
		t.Error(err)
	}
}

func TestUnknownPathHasNoRoute(t *testing.T) {
	_, err := serve(newFake(t, &fakeSender{}), call("/elsewhere/1"))
	if outcomeOf(t, err) != NoRoute {
		t.Error(err)
	}
}

func TestRouteTimeoutBoundsRequest(t *testing.T) {
	f := &fakeSender{}
	req := call("/safe/1")
	req.WaitBudget = time.Hour
	if _, err := serve(newFake(t, f), req); err != nil {
		t.Fatal(err)
	}
	if within := f.calls[0].send.Timeout; within > time.Second {
		t.Errorf("an upstream got a timeout of %s for a request of one second", within)
	}
}

func TestClosedRelayRunsNothing(t *testing.T) {
	f := &fakeSender{}
	r := newFake(t, f)
	r.Close()
	_, err := serve(r, call("/unsafe/1"))
	if outcome := outcomeOf(t, err); outcome != NotRun || f.count() != 0 {
		t.Errorf("outcome %v after %d sends", outcome, f.count())
	}
}

// TestLongAnswerIsNotGivenUp guards against an answer that breaks off, as another upstream would be tried if it had not begun.
func TestLongAnswerIsNotGivenUp(t *testing.T) {
	body, write := io.Pipe()
	f := &fakeSender{run: func(int, Send) (*Reply, error) {
		return &Reply{Status: http.StatusOK, Header: http.Header{}, Body: body}, nil
	}}
	r := newFake(t, pipedSender{f})
	go func() {
		_, _ = write.Write(make([]byte, maxBufferedBytes))
		time.Sleep(600 * time.Millisecond) // longer than an attempt may take
		_, _ = write.Write([]byte("rest"))
		_ = write.Close()
	}()
	w, err := serve(r, call("/safe/1"))
	if err != nil || w.Body.Len() != maxBufferedBytes+len("rest") || f.count() != 1 {
		t.Errorf("%d bytes, %v after %d sends", w.Body.Len(), err, f.count())
	}
}
