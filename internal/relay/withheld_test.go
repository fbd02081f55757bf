package relay

import (
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
