package relay

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/pkg/errors"
)

// TestStreamThatMayNotBeResumedIsNotTakenUp guards against a caller that has events of one run and gets the rest of
// another one, on a route whose streams cannot be resumed.
func TestStreamThatMayNotBeResumedIsNotTakenUp(t *testing.T) {
	for _, lastEvent := range []string{"1", "0", "-1", "99999999999999999999", "x", "1, 2"} {
		f := &fakeSender{}
		req := call("/once/1")
		req.LastEvent, req.Resumes = lastEvent, "r0"
		w, err := serve(newFake(t, f), req)
		if f.count() != 0 || err == nil {
			t.Errorf("after %q: %d sends, answered %q, %v", lastEvent, f.count(), w.Body, err)
			continue
		}
		if outcome := outcomeOf(t, err); outcome != NotRun {
			t.Errorf("after %q: outcome %v", lastEvent, outcome)
		}
	}
}

// TestForwardedStreamThatMayNotBeResumedIsNotTakenUp guards against the same at the instance that a request is forwarded to.
func TestForwardedStreamThatMayNotBeResumedIsNotTakenUp(t *testing.T) {
	f := &fakeSender{}
	req := call("/once/1")
	req.LastEvent = "1"
	_, err := newFake(t, f).ServeForwarded(context.Background(), &Forwarded{Request: req, Service: serviceHash("llm"), Timeout: time.Second, Version: "v1"}, httptest.NewRecorder())
	if err == nil || outcomeOf(t, err) != NotRun || f.count() != 0 {
		t.Errorf("%v after %d sends", err, f.count())
	}
}

// TestStreamBrokenOffBeforeItsFirstEventIsWhole guards against a stream whose header was sent before its engine crashed,
// and that gets pieces of both runs.
func TestStreamBrokenOffBeforeItsFirstEventIsWhole(t *testing.T) {
	const whole = "id: 1\ndata: a\n\nid: 2\ndata: b\n\n"
	f := &fakeSender{run: func(n int, s Send) (*Reply, error) {
		if n == 1 {
			return truncated("id: 1\nda"), nil
		}
		if s.LastEvent != "" {
			t.Errorf("goes on after %q", s.LastEvent)
		}
		return events(whole), nil
	}}
	r := newFake(t, f)
	withLargeBudget(r)
	if w, err := serve(r, call("/resumable/1")); err != nil || w.Body.String() != whole {
		t.Errorf("%q, %v", w.Body, err)
	}
	f.runs = 0
	if w, err := serve(r, call("/once/1")); !errors.Is(err, ErrAnswerAborted) || w.Body.Len() != 0 || f.runs != 1 {
		t.Errorf("%q, %v, %d runs", w.Body, err, f.runs)
	}
}

// TestForwardedStreamKeepsItsID guards against the rest of a stream that another instance serves as that of an earlier one,
// and so at another service.
func TestForwardedStreamKeepsItsID(t *testing.T) {
	forwarder := &fakeForwarder{answer: func(n int, _ *Forwarded) (*Reply, error) {
		if n == 1 {
			return truncated("id: 1\ndata: a\n\n"), nil
		}
		return events("id: 2\ndata: b\n\n"), nil
	}}
	req := call("/resumable/1")
	req.Resumes = "r0" // without an event of it
	r := withoutPath(t, &fakeSender{}, forwarder)
	if _, err := serve(r, req); err != nil || len(forwarder.requests) != 2 {
		t.Fatalf("%v, %d forwarded", err, len(forwarder.requests))
	}
	for _, f := range forwarder.requests {
		if f.Request.streamID() != req.ID {
			t.Errorf("after %q: stream %q", f.Request.LastEvent, f.Request.streamID())
		}
	}
}

// TestForwardedStreamThatIsTakenUpIsNotForwardedAgain guards against an instance that has another one go on with a stream which its
// caller has taken up by another attempt.
func TestForwardedStreamThatIsTakenUpIsNotForwardedAgain(t *testing.T) {
	forwarder := &fakeForwarder{answer: func(int, *Forwarded) (*Reply, error) {
		return reply(http.StatusOK, io.MultiReader(strings.NewReader("id: 1\ndata: a\n\n"), failingReader{ErrSuperseded})), nil
	}}
	if _, err := serve(withoutPath(t, &fakeSender{}, forwarder), call("/resumable/1")); !errors.Is(err, ErrSuperseded) || len(forwarder.requests) != 1 {
		t.Errorf("%v, %d forwarded", err, len(forwarder.requests))
	}
}

// failingReader fails with an error.
type failingReader struct{ err error }

func (r failingReader) Read([]byte) (int, error) { return 0, r.err }

// pipedSender is a fakeSender whose answers are closed when their requests are cancelled.
type pipedSender struct{ *fakeSender }

func (s pipedSender) Send(ctx context.Context, req *Request, send Send) (*Reply, error) {
	reply, err := s.fakeSender.Send(ctx, req, send)
	if err == nil {
		body := reply.Body
		context.AfterFunc(ctx, func() { _ = body.Close() }) // a pipe returns no error
	}
	return reply, err
}

// TestCallerReturnsWhileItsAnswerIsWritten guards against two answers to one caller of which one gets events of the other, or that
// both go on.
func TestCallerReturnsWhileItsAnswerIsWritten(t *testing.T) {
	first, write := io.Pipe()
	f := &fakeSender{run: func(n int, s Send) (*Reply, error) {
		if n == 1 {
			return &Reply{Status: http.StatusOK, Header: http.Header{}, Body: first}, nil
		}
		if s.LastEvent != "1" {
			t.Errorf("goes on after %q", s.LastEvent)
		}
		return events("id: 2\ndata: again\n\n"), nil
	}}
	r := withOneVersion(newFake(t, pipedSender{f}))
	began := make(chan *httptest.ResponseRecorder)
	go func() {
		w, err := serve(r, call("/resumable/1"))
		if !errors.Is(err, ErrSuperseded) {
			t.Errorf("first answer ends with %v", err)
		}
		began <- w
	}()
	if _, err := io.WriteString(write, "id: 1\ndata: a\n\n"); err != nil {
		t.Fatal(err)
	}
	w, err := serve(r, takeUp("r2", "r1"))
	if err != nil || w.Body.String() != "id: 2\ndata: again\n\n" {
		t.Errorf("second answer %q, %v", w.Body, err)
	}
	if _, err := io.WriteString(write, "id: 2\ndata: b\n\n"); err == nil {
		t.Error("the first run is read on")
	}
	if w := <-began; w.Body.String() != "id: 1\ndata: a\n\n" {
		t.Errorf("first answer %q", w.Body)
	}
}

// TestEventsWithoutIDsAreNotRepeated guards against a second run that begins at the start although the caller has events,
// as these had no id to go on after.
func TestEventsWithoutIDsAreNotRepeated(t *testing.T) {
	t.Run("own", func(t *testing.T) {
		f := &fakeSender{run: func(n int, _ Send) (*Reply, error) {
			if n == 1 {
				return truncated("data: a\n\n"), nil
			}
			return events("data: a\n\ndata: b\n\n"), nil
		}}
		r := newFake(t, f)
		withLargeBudget(r)
		w, err := serve(r, call("/resumable/1"))
		checkNotRepeated(t, w, err)
	})
	t.Run("forwarded", func(t *testing.T) {
		forwarder := &fakeForwarder{answer: func(n int, _ *Forwarded) (*Reply, error) {
			if n == 1 {
				return truncated("data: a\n\n"), nil
			}
			return events("data: a\n\ndata: b\n\n"), nil
		}}
		w, err := serve(withoutPath(t, &fakeSender{}, forwarder), call("/resumable/1"))
		checkNotRepeated(t, w, err)
	})
}

func checkNotRepeated(t *testing.T, w *httptest.ResponseRecorder, err error) {
	t.Helper()
	if strings.Count(w.Body.String(), "data: a") > 1 || !errors.Is(err, ErrAnswerAborted) {
		t.Errorf("%q, %v", w.Body, err)
	}
}
