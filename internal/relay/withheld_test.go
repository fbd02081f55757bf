package relay

import (
	"bytes"
	"log/slog"
	"net/http"
	"strings"
	"testing"
)

// TestStatusOfARunIsNoPromise guards against callers of requests that must run at most once that are told by their
// upstream's status that nothing ran. Callers whose requests may run again get the answer unchanged.
func TestStatusOfARunIsNoPromise(t *testing.T) {
	for _, status := range []int{http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable} {
		f := &fakeSender{run: func(int, Send) (*Reply, error) { return reply(status, strings.NewReader("sorry")), nil }}
		r := newFake(t, f)
		for _, req := range []*Request{call("/unsafe/1"), longPrompt("/once/1")} {
			w, err := serve(r, req)
			if outcome := outcomeOf(t, err); outcome != Unknown || w.Body.Len() > 0 {
				t.Errorf("%s: status %d: outcome %v, body %q", req.Path, status, outcome, w.Body)
			}
		}
		if w, err := serve(r, call("/safe/1")); err != nil || w.Code != status || w.Body.String() != "sorry" {
			t.Errorf("safe: %v, status %d, want %d", err, w.Code, status)
		}
		if held := r.HeldBytes(); held != 0 {
			t.Errorf("status %d: %d bytes are still held", status, held)
		}
	}
	f := &fakeSender{run: func(int, Send) (*Reply, error) {
		return reply(http.StatusInternalServerError, strings.NewReader("sorry")), nil
	}}
	if w, err := serve(newFake(t, f), call("/unsafe/1")); err != nil || w.Code != http.StatusInternalServerError {
		t.Errorf("a status that promises nothing: %v, status %d", err, w.Code)
	}
}

// TestLogOfARefusalNamesItsSends guards against refusals of which the logs do not show whether an upstream or another
// instance had the request.
func TestLogOfARefusalNamesItsSends(t *testing.T) {
	for want, err := range map[string]error{
		`told="not run"`: ErrRefused, "told=unknown": ErrNoValidAnswer,
	} {
		r := newFake(t, &fakeSender{run: func(int, Send) (*Reply, error) { return nil, err }})
		var log bytes.Buffer
		r.log = slog.New(slog.NewTextHandler(&log, nil))
		if _, err := serve(r, call("/unsafe/1")); err == nil {
			t.Fatal("not refused")
		}
		for _, part := range []string{want, "sends=", "arrivals=", "runs=", "forwards=0"} {
			if !strings.Contains(log.String(), part) {
				t.Errorf("no %s in %s", part, log.String())
			}
		}
	}
}
