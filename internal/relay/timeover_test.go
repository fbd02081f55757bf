package relay

import (
	"context"
	"net/http/httptest"
	"testing"
	"time"
)

// TestRequestWhoseTimeIsOverBeforeItsFirstSendIsRefused guards against a request that is sent nowhere and ends without an error,
// so that its caller gets a whole and empty answer with status 200.
func TestRequestWhoseTimeIsOverBeforeItsFirstSendIsRefused(t *testing.T) {
	for _, path := range []string{"/once/1", "/resumable/1", "/safe/1", "/unsafe/1"} {
		f := &fakeSender{}
		r := newFake(t, f)
		request := shortOfTime(path)
		request.WaitBudget = time.Nanosecond
		w, err := serve(r, request)
		if err == nil {
			t.Errorf("%s: no error, %d bytes after %d sends", path, w.Body.Len(), f.count())
		} else if outcomeOf(t, err) != NotRun || f.count() != 0 {
			t.Errorf("%s: %v after %d sends", path, err, f.count())
		}
	}
}

// TestForwardedRequestWhoseTimeIsOverIsRefused guards against the same at an instance that serves a request for another one: that
// one would take the request for one that may have run.
func TestForwardedRequestWhoseTimeIsOverIsRefused(t *testing.T) {
	f := &fakeSender{}
	r := newFake(t, f)
	_, err := r.ServeForwarded(context.Background(), &Forwarded{
		Request: shortOfTime("/once/1"), From: "other", Service: serviceHash("llm"), Timeout: time.Nanosecond, ConfigVersion: 1,
	}, httptest.NewRecorder())
	if err == nil {
		t.Errorf("no error after %d sends", f.count())
	} else if outcomeOf(t, err) != NotRun || f.count() != 0 {
		t.Errorf("%v after %d sends", err, f.count())
	}
}
