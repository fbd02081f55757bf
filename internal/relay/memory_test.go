package relay

import (
	"bytes"
	"context"
	"io"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"github.com/pkg/errors"

	"sassafrasfield/internal/membudget"
)

// gatedWriter is a caller that reads nothing until its gate is opened.
type gatedWriter struct {
	*httptest.ResponseRecorder
	gate chan struct{}
}

func (w gatedWriter) Write(p []byte) (int, error) {
	<-w.gate
	return w.ResponseRecorder.Write(p)
}

// newBounded returns a relay that may hold the given number of bytes, whose upstreams answer with a body.
func newBounded(t *testing.T, bytes int64, body func() io.Reader) *Relay {
	t.Helper()
	r := newFake(t, &fakeSender{run: func(int, Send) (*Reply, error) { return reply(http.StatusOK, body()), nil }})
	r.memory = newMemory(membudget.Settings{Bytes: bytes}, slog.New(slog.DiscardHandler), r.now)
	return r
}

// serveGated serves a request of a caller that reads nothing until the gate is opened.
func serveGated(r *Relay, path string) (w gatedWriter, done chan error) {
	w, done = gatedWriter{httptest.NewRecorder(), make(chan struct{})}, make(chan error, 1)
	go func() { done <- r.Serve(context.Background(), call(path), w) }()
	return w, done
}

// TestAbortDuringWriteThatSucceedsEndsTheRequest guards against a request that never ends because its answer was aborted
// in the moment in which its caller read on: its reader waited for memory, its writer for the reader.
func TestAbortDuringWriteThatSucceedsEndsTheRequest(t *testing.T) {
	r := newBounded(t, 1, func() io.Reader { return bytes.NewReader(make([]byte, 1<<20)) })
	w, done := serveGated(r, "/unsafe/1")
	for aborted := r.memory.aborted.Count(); r.memory.aborted.Count() == aborted; {
		time.Sleep(5 * time.Millisecond)
	}
	close(w.gate)
	select {
	case err := <-done:
		if !errors.Is(err, ErrAnswerAborted) {
			t.Errorf("%v; want an aborted answer", err)
		}
	case <-time.After(10 * time.Second):
		t.Fatal("the request does not end")
	}
	if held := r.HeldBytes(); held != 0 {
		t.Errorf("%d bytes are held after the request", held)
	}
}

// TestAnswerIsReadAheadOfItsCaller guards against an answer that stays unread at its upstream, which would abort it,
// because its caller reads slowly; and against an answer that is changed by being read ahead.
func TestAnswerIsReadAheadOfItsCaller(t *testing.T) {
	want := make([]byte, 3<<20+17)
	for i := range want {
		want[i] = byte(i * 7 / 5)
	}
	var ended atomic.Bool
	r := newBounded(t, 64<<20, func() io.Reader {
		return io.MultiReader(bytes.NewReader(want), readerFunc(func([]byte) (int, error) {
			ended.Store(true)
			return 0, io.EOF
		}))
	})
	w, done := serveGated(r, "/unsafe/1")
	for end := time.Now().Add(5 * time.Second); !ended.Load(); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("the answer was not read to its end")
		}
	}
	close(w.gate)
	if err := <-done; err != nil || !bytes.Equal(w.Body.Bytes(), want) {
		t.Errorf("%v; %d bytes of %d, or others", err, w.Body.Len(), len(want))
	}
	if held := r.HeldBytes(); held != 0 {
		t.Errorf("%d bytes are held after the request", held)
	}
}

type readerFunc func([]byte) (int, error)

func (f readerFunc) Read(p []byte) (int, error) { return f(p) }

// TestAnswerIsNotReadAheadWithoutBound guards against answers that are held as a whole where no memory limit is set.
func TestAnswerIsNotReadAheadWithoutBound(t *testing.T) {
	var read atomic.Int64
	r := newBounded(t, 0, func() io.Reader {
		return io.LimitReader(readerFunc(func(p []byte) (int, error) {
			read.Add(int64(len(p)))
			return len(p), nil
		}), 4<<20)
	})
	w, done := serveGated(r, "/unsafe/1")
	time.Sleep(200 * time.Millisecond)
	if n := read.Load(); n > maxBufferedBytes+chunkBytes {
		t.Errorf("%d bytes were read of an answer whose caller does not read", n)
	}
	close(w.gate)
	if err := <-done; err != nil || w.Body.Len() != 4<<20 {
		t.Errorf("%v after %d bytes", err, w.Body.Len())
	}
}

// TestReadersGetTheirAnswersBeyondTheBound guards against callers that read and wait for the memory of others.
func TestReadersGetTheirAnswersBeyondTheBound(t *testing.T) {
	r := newBounded(t, 1, func() io.Reader { return bytes.NewReader(make([]byte, 2<<20)) })
	for range 20 {
		if w, err := serve(r, call("/safe/1")); err != nil || w.Body.Len() != 2<<20 {
			t.Errorf("%v after %d bytes", err, w.Body.Len())
		}
	}
}

// TestHeldBodiesAreReleased guards against bodies that count after their requests have ended.
func TestHeldBodiesAreReleased(t *testing.T) {
	r := newBounded(t, 1<<20, nil)
	first, second := r.HoldBody("a"), r.HoldBody("b")
	if err := first.Grow(800 << 10); err != nil {
		t.Fatal(err)
	}
	var refusal *Refusal
	if err := second.Grow(800 << 10); !errors.As(err, &refusal) || refusal.Outcome != NotRun || refusal.RetryIn <= 0 {
		t.Errorf("%v; want a refusal as not run, with a time to return", err)
	}
	if err := second.Grow(2 << 20); !errors.As(err, &refusal) || refusal.RetryIn != 0 {
		t.Errorf("%v; want a refusal without a time to return, because it never fits", err)
	}
	first.Release()
	if err := second.Grow(800 << 10); err != nil {
		t.Errorf("after the first body has ended: %v", err)
	}
	second.Release()
	if held := r.HeldBytes(); held != 0 {
		t.Errorf("%d bytes are held", held)
	}
}
