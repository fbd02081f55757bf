package relay

import (
	"context"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/pkg/errors"

	"sassafrasfield/internal/attempt"
	"sassafrasfield/internal/load"
)

// fakeForwarder answers forwarded requests from a script and records them.
type fakeForwarder struct {
	// answer answers the nth request; nil means that no instance is known.
	answer func(n int, f *Forwarded) (*Reply, error)

	mu       sync.Mutex // protects all below
	requests []Forwarded
	// ctx is the context of the newest request.
	ctx context.Context
}

func (f *fakeForwarder) Available(uint32) bool { return f.answer != nil }

func (f *fakeForwarder) Forward(ctx context.Context, r *Forwarded, excluded map[string]bool) (string, *Reply, error) {
	f.mu.Lock()
	f.requests, f.ctx = append(f.requests, *r), ctx
	n := len(f.requests)
	f.mu.Unlock()
	name := []string{"", "peer-1", "peer-2", "peer-3", "peer-4", "peer-5"}[n]
	if excluded[name] {
		return "", nil, ErrNoInstance
	}
	reply, err := f.answer(n, r)
	return name, reply, err
}

// withoutPath returns a relay whose path to both services is lost.
func withoutPath(t *testing.T, sender *fakeSender, f *fakeForwarder) *Relay {
	t.Helper()
	r := newFake(t, sender)
	r.SetForwarder(f)
	withLargeBudget(r)
	for _, u := range r.upstreams.AllUpstreams() {
		r.recordPathFailure(u, 0, r.now())
	}
	if len(r.paths.lostServices()) != 2 {
		t.Fatalf("lost: %v", r.paths.lostServices())
	}
	return r
}

func answered(text string) func(int, *Forwarded) (*Reply, error) {
	return func(int, *Forwarded) (*Reply, error) { return events(text), nil }
}

// TestRequestsAreForwardedWithoutPath guards against first attempts that fail at an instance without a path to the
// upstreams.
func TestRequestsAreForwardedWithoutPath(t *testing.T) {
	for _, path := range []string{"/safe/1", "/unsafe/1", "/once/1", "/resumable/1"} {
		sender, forwarder := &fakeSender{}, &fakeForwarder{answer: answered("id: 1\ndata: a\n\n")}
		r := withoutPath(t, sender, forwarder)
		w, err := serve(r, call(path))
		if err != nil || w.Body.String() != "id: 1\ndata: a\n\n" || len(forwarder.requests) != 1 || sender.count() != 0 {
			t.Errorf("%s: %q, %v; forwarded %d times, sent %d times", path, w.Body, err, len(forwarder.requests), sender.count())
		}
		if f := forwarder.requests[0]; f.ConfigVersion != 1 || f.Timeout <= 0 || f.Timeout > time.Second {
			t.Errorf("%s: %+v", path, f)
		}
	}
}

// TestForwardedRequestIsServedHere guards against a loop: what another instance forwarded is sent to an upstream or
// refused, also where the path is lost here too.
func TestForwardedRequestIsServedHere(t *testing.T) {
	sender, forwarder := &fakeSender{}, &fakeForwarder{answer: answered("")}
	r := newFake(t, sender)
	r.SetForwarder(forwarder)
	f := &Forwarded{Request: call("/safe/1"), From: "peer", Service: serviceHash("app"), Timeout: time.Second, ConfigVersion: 1}
	history, err := r.ServeForwarded(context.Background(), f, httptest.NewRecorder())
	if err != nil || sender.count() != 1 || history.Arrivals != 1 {
		t.Errorf("%v, sent %d times, %+v", err, sender.count(), history)
	}
	var losing *Relay // loses its path with the first send
	sender = &fakeSender{run: func(int, Send) (*Reply, error) {
		for _, u := range losing.upstreams.AllUpstreams() {
			losing.recordPathFailure(u, 0, losing.now())
		}
		return nil, ErrConnectTimeout
	}}
	losing = newFake(t, sender)
	losing.SetForwarder(forwarder)
	withLargeBudget(losing)
	if _, err = losing.ServeForwarded(context.Background(), f, httptest.NewRecorder()); err == nil || len(forwarder.requests) != 0 {
		t.Errorf("%v, forwarded %d times", err, len(forwarder.requests))
	}
	lost := withoutPath(t, &fakeSender{}, forwarder)
	_, err = lost.ServeForwarded(context.Background(), f, httptest.NewRecorder())
	var refusal *Refusal
	if !errors.As(err, &refusal) || refusal.Outcome != NotRun || !refusal.Elsewhere || len(forwarder.requests) != 0 {
		t.Errorf("%v, forwarded %d times", err, len(forwarder.requests))
	}
}

// TestForwardedRequestIsRejectedIfAnotherInstanceCanServeIt guards against requests that are served by an older
// configuration, by a stopping instance, or by one that has taken on too many.
func TestForwardedRequestIsRejectedIfAnotherInstanceCanServeIt(t *testing.T) {
	for name, change := range map[string]func(*Relay, *Forwarded){
		"older configuration": func(_ *Relay, f *Forwarded) { f.ConfigVersion = 2 },
		"stopping":            func(r *Relay, _ *Forwarded) { r.Close() },
		"too many":            func(r *Relay, _ *Forwarded) { r.settings.MaxForwarded = 0 },
	} {
		sender := &fakeSender{}
		r := newFake(t, sender)
		f := &Forwarded{Request: call("/unsafe/1"), Timeout: time.Second, ConfigVersion: 1}
		change(r, f)
		_, err := r.ServeForwarded(context.Background(), f, httptest.NewRecorder())
		var refusal *Refusal
		if !errors.As(err, &refusal) || refusal.Outcome != NotRun || !refusal.Elsewhere || sender.count() != 0 {
			t.Errorf("%s: %v, sent %d times", name, err, sender.count())
		}
	}
}

// TestForwardedRequestKeepsItsHistory guards against runs and retries beyond the bounds, because the instance that
// serves a forwarded request does not know what the first one sent and paid.
func TestForwardedRequestKeepsItsHistory(t *testing.T) {
	sender := &fakeSender{run: func(int, Send) (*Reply, error) { return nil, ErrNoValidAnswer }}
	r := newFake(t, sender) // its budget allows no retry
	f := &Forwarded{Request: call("/safe/1"), Timeout: time.Second, ConfigVersion: 1, History: attempt.History{Arrivals: 1, Runs: 1, Paid: 1}}
	history, err := r.ServeForwarded(context.Background(), f, httptest.NewRecorder())
	if outcomeOf(t, err) != Unknown || sender.count() != 1 || history.Runs != 2 || history.Arrivals != 2 {
		t.Errorf("a paid second run: %v, sent %d times, %+v", err, sender.count(), history)
	}
	f.History.Paid = 0
	if _, err = r.ServeForwarded(context.Background(), f, httptest.NewRecorder()); outcomeOf(t, err) != Unknown || sender.count() != 1 {
		t.Errorf("an unpaid second run: %v, sent %d times", err, sender.count())
	}
}

// TestLostReplyOfForwardedRequest guards against an unsafe call that runs twice, and against refusals that say "not
// run" though the other instance may have run the request.
func TestLostReplyOfForwardedRequest(t *testing.T) {
	lost := func(n int, _ *Forwarded) (*Reply, error) {
		if n == 1 {
			return nil, errors.WithMessage(ErrNoValidAnswer, "connection lost")
		}
		return events("id: 1\ndata: a\n\n"), nil
	}
	for path, repeatable := range map[string]bool{"/safe/1": true, "/resumable/1": true, "/unsafe/1": false, "/once/1": false} {
		forwarder := &fakeForwarder{answer: lost}
		r := withoutPath(t, &fakeSender{}, forwarder)
		_, err := serve(r, call(path))
		if repeatable {
			if err != nil || len(forwarder.requests) != 2 {
				t.Errorf("%s: %v after %d forwards", path, err, len(forwarder.requests))
				continue
			}
			if h := forwarder.requests[1].History; h.Runs != 1 || h.Arrivals != 1 || h.Paid != 1 {
				t.Errorf("%s: %+v", path, h)
			}
			continue
		}
		if len(forwarder.requests) != 1 || outcomeOf(t, err) != Unknown {
			t.Errorf("%s: %v after %d forwards", path, err, len(forwarder.requests))
		}
	}
}

// TestRejectedForwardGoesToAnotherInstance guards against a request that ends at the first instance that cannot
// serve it. A refusal that concerns the request itself is final, and the caller gets it as it is.
func TestRejectedForwardGoesToAnotherInstance(t *testing.T) {
	refuse := func(refusal *Refusal) (*Reply, error) {
		return nil, &PeerRefusal{Refusal: refusal, History: attempt.History{Arrivals: 1}}
	}
	forwarder := &fakeForwarder{answer: func(n int, _ *Forwarded) (*Reply, error) {
		if n < 3 {
			return refuse(&Refusal{Outcome: NotRun, Reason: "no path", Elsewhere: true})
		}
		return events("id: 1\ndata: a\n\n"), nil
	}}
	r := withoutPath(t, &fakeSender{}, forwarder)
	if _, err := serve(r, call("/unsafe/1")); err != nil || len(forwarder.requests) != 3 {
		t.Errorf("%v after %d forwards", err, len(forwarder.requests))
	}
	if h := forwarder.requests[2].History; h.Arrivals != 1 || h.Paid != 1 {
		t.Errorf("what an instance did is not passed on: %+v", h)
	}
	final := &fakeForwarder{answer: func(int, *Forwarded) (*Reply, error) {
		return refuse(&Refusal{Outcome: NotRun, Reason: "limits", RetryIn: 700 * time.Millisecond})
	}}
	r = withoutPath(t, &fakeSender{}, final)
	_, err := serve(r, call("/unsafe/1"))
	var refusal *Refusal
	if !errors.As(err, &refusal) || refusal.RetryIn != 700*time.Millisecond || len(final.requests) != 1 {
		t.Errorf("%v after %d forwards", err, len(final.requests))
	}
}

// TestRefusalAfterRunIsNotCalledNotRun guards against "not run" for a request that an instance before may have run.
func TestRefusalAfterRunIsNotCalledNotRun(t *testing.T) {
	forwarder := &fakeForwarder{answer: func(n int, _ *Forwarded) (*Reply, error) {
		if n == 1 {
			return nil, ErrNoValidAnswer
		}
		return nil, &PeerRefusal{Refusal: &Refusal{Outcome: NotRun, Reason: "quarantined"}}
	}}
	r := withoutPath(t, &fakeSender{}, forwarder)
	if _, err := serve(r, call("/safe/1")); outcomeOf(t, err) != Unknown || len(forwarder.requests) != 2 {
		t.Errorf("%v after %d forwards", err, len(forwarder.requests))
	}
}

// TestForwardedStreamIsResumed guards against streams that break off with the instance that passes them on.
func TestForwardedStreamIsResumed(t *testing.T) {
	forwarder := &fakeForwarder{answer: func(n int, _ *Forwarded) (*Reply, error) {
		if n == 1 {
			return truncated("id: 1\ndata: a\n\n"), nil
		}
		return events("id: 2\ndata: b\n\n"), nil
	}}
	r := withoutPath(t, &fakeSender{}, forwarder)
	w, err := serve(r, call("/resumable/1"))
	if err != nil || w.Body.String() != "id: 1\ndata: a\n\nid: 2\ndata: b\n\n" || forwarder.requests[1].Request.LastEvent != "1" {
		t.Errorf("%q, %v, %+v", w.Body, err, forwarder.requests)
	}
	once := &fakeForwarder{answer: func(int, *Forwarded) (*Reply, error) { return truncated("id: 1\ndata: a\n\n"), nil }}
	r = withoutPath(t, &fakeSender{}, once)
	if _, err := serve(r, call("/once/1")); !errors.Is(err, ErrAnswerAborted) || len(once.requests) != 1 {
		t.Errorf("%v after %d forwards", err, len(once.requests))
	}
}

// TestWithoutInstanceRequestsAreSentAsBefore guards against requests that wait for an instance that does not exist:
// where all instances have lost their paths, each one tries the upstreams and refuses at once when many are silent.
func TestWithoutInstanceRequestsAreSentAsBefore(t *testing.T) {
	for name, forwarder := range map[string]*fakeForwarder{
		"none known": {}, "none left": {answer: func(int, *Forwarded) (*Reply, error) { return nil, ErrNoInstance }},
	} {
		sender := &fakeSender{run: func(int, Send) (*Reply, error) { return nil, ErrConnectTimeout }}
		r := withoutPath(t, sender, forwarder)
		_, err := serve(r, call("/unsafe/1"))
		if outcomeOf(t, err) != NotRun || sender.count() == 0 || len(forwarder.requests) > 1 {
			t.Errorf("%s: %v, sent %d times, forwarded %d times", name, err, sender.count(), len(forwarder.requests))
		}
	}
}

// TestReportNamesServicesWithoutPath guards against requests that are forwarded to instances without a path, and
// against upstreams that others avoid because of such an instance.
func TestReportNamesServicesWithoutPath(t *testing.T) {
	r := withoutPath(t, &fakeSender{}, &fakeForwarder{})
	r.upstreams.RecordCall("app-1", load.CallUnreachable, r.now())
	report := r.OwnReport()
	if len(report.Unreached) != 2 || len(report.Unreachable) != 0 {
		t.Errorf("%+v", report)
	}
	quiet := newFake(t, &fakeSender{}).OwnReport()
	if quiet.Unreached != nil {
		t.Errorf("on a quiet day: %+v", quiet)
	}
}

// TestPathIsProbedUntilItIsBack guards against an instance that goes on to forward, or never stops probing.
func TestPathIsProbedUntilItIsBack(t *testing.T) {
	sender := &fakeSender{inconclusive: 4}
	r := withoutPath(t, sender, &fakeForwarder{answer: answered("")})
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go r.ProbePaths(ctx)
	for len(r.paths.lostServices()) > 0 {
		time.Sleep(time.Millisecond)
	}
	if _, err := serve(r, call("/safe/1")); err != nil || sender.count() != 1 {
		t.Errorf("%v, sent %d times", err, sender.count())
	}
}

// TestCallerReceivesForwardedHeader guards against answers without the upstream's own status and fields.
func TestCallerReceivesForwardedHeader(t *testing.T) {
	forwarder := &fakeForwarder{answer: func(int, *Forwarded) (*Reply, error) {
		answer := reply(500, strings.NewReader("failed"))
		answer.Header.Set("X-Stamp", "s")
		return answer, nil
	}}
	for _, path := range []string{"/unsafe/1", "/once/1"} {
		w, err := serve(withoutPath(t, &fakeSender{}, forwarder), call(path))
		if err != nil || w.Code != 500 || w.Header().Get("X-Stamp") != "s" || w.Body.String() != "failed" {
			t.Errorf("%s: %d %v %q, %v", path, w.Code, w.Header(), w.Body, err)
		}
	}
}
