package logging

import (
	"bytes"
	"io"
	"strings"
	"sync"
	"testing"
)

// blockedWriter is an output whose writes block until open is closed.
type blockedWriter struct {
	open chan struct{}
	mu   sync.Mutex // protects out
	out  bytes.Buffer
}

func (w *blockedWriter) Write(p []byte) (int, error) {
	<-w.open
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.out.Write(p)
}

func TestBoundedNeverBlocksAndCountsDroppedLines(t *testing.T) {
	output := &blockedWriter{open: make(chan struct{})}
	b := NewBounded(output, 1<<20)
	for range 3 * lineBufferSize {
		if _, err := b.Write([]byte("line\n")); err != nil {
			t.Fatal(err)
		}
	}
	close(output.open)
	b.Close()
	if !strings.Contains(output.out.String(), "lines dropped\" count=") {
		t.Error("the count of dropped lines was not written")
	}
}

func TestBoundedLimitsLinesPerSecond(t *testing.T) {
	b := &Bounded{maxPerSecond: 2}
	got := []bool{b.allowed(7), b.allowed(7), b.allowed(7), b.allowed(8)}
	for i, want := range []bool{true, true, false, true} {
		if got[i] != want {
			t.Errorf("line %d: allowed %v, want %v", i, got[i], want)
		}
	}
}

// TestLinesAfterCloseEndNothing guards against a process that panics at its end because a connection or a request that outlives it
// still logs.
func TestLinesAfterCloseEndNothing(t *testing.T) {
	b := NewBounded(io.Discard, 1<<30)
	var writers sync.WaitGroup
	for range 8 {
		writers.Go(func() {
			for range 1000 {
				if _, err := b.Write([]byte("line\n")); err != nil {
					t.Error(err)
				}
			}
		})
	}
	b.Close()
	writers.Wait()
	b.Close()
}
