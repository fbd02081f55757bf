package relay

import (
	"context"
	"io"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/pkg/errors"

	"sassafrasfield/internal/placement"
)

// delayedEnd is a body whose end comes only after a time.
type delayedEnd struct {
	text io.Reader
	end  <-chan time.Time
}

func (b delayedEnd) Read(p []byte) (int, error) {
	n, err := b.text.Read(p)
	if err == io.EOF {
		<-b.end
	}
	return n, err
}

// endingAtDeadline returns a sender whose engines end their streams properly after the first event, once the time is over that
// the request gave them.
func endingAtDeadline() *fakeSender {
	return &fakeSender{run: func(_ int, s Send) (*Reply, error) {
		return reply(200, delayedEnd{strings.NewReader(numberedEvents(1)), time.After(s.Timeout)}), nil
	}}
}

// shortOfTime returns a request with a short prompt and little time.
func shortOfTime(path string) *Request {
	request := call(path)
	request.WaitBudget = 100 * time.Millisecond
	request.Prompt = &placement.Prompt{Tokens: 10, MaxOutput: 10, Parts: []placement.Part{{ID: "o", Tokens: 10}}}
	return request
}

// TestStreamThatEndsAtItsDeadlineIsNotComplete guards against a stream whose engine stopped because the time of the request was
// over, and that is passed on as complete.
func TestStreamThatEndsAtItsDeadlineIsNotComplete(t *testing.T) {
	for _, path := range []string{"/once/1", "/resumable/1"} {
		r := newFake(t, endingAtDeadline())
		w, err := serve(r, shortOfTime(path))
		if !errors.Is(err, ErrAnswerAborted) || w.Body.String() != numberedEvents(1) {
			t.Errorf("%s: %v, %q", path, err, w.Body.String())
		}
	}
}

// TestForwardedStreamThatEndsAtItsDeadlineIsNotComplete guards against the same at an instance that serves the stream for
// another one, which has no other sign of the end than the instance's.
func TestForwardedStreamThatEndsAtItsDeadlineIsNotComplete(t *testing.T) {
	r := newFake(t, endingAtDeadline())
	w := httptest.NewRecorder()
	_, err := r.ServeForwarded(context.Background(), &Forwarded{
		Request: shortOfTime("/resumable/1"), From: "other", Service: serviceHash("llm"), Timeout: 100 * time.Millisecond, ConfigVersion: 1,
	}, w)
	if !errors.Is(err, ErrAnswerAborted) || w.Body.String() != numberedEvents(1) {
		t.Errorf("%v, %q", err, w.Body.String())
	}
}
