package relay

import (
	"context"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/pkg/errors"
)

// TestRequestWithoutTimeLeftIsRefused guards against a request whose time is over before it is sent for the first time, and that
// ends without an error and without an answer: its caller gets an empty 200.
func TestRequestWithoutTimeLeftIsRefused(t *testing.T) {
	for _, path := range []string{"/safe/1", "/unsafe/1", "/once/1", "/resumable/1"} {
		f := &fakeSender{}
		request := call(path)
		request.WaitBudget = time.Nanosecond
		w := httptest.NewRecorder()
		err := newFake(t, f).Serve(context.Background(), request, w)
		var refusal *Refusal
		if !errors.As(err, &refusal) || refusal.Outcome != NotRun || f.count() > 0 {
			t.Errorf("%s: %v, status %d, %d sends", path, err, w.Code, f.count())
		}
	}
}
