package logging

import (
	"bytes"
	"strings"
	"sync"
	"testing"
)

// gate is an output that takes nothing until it is opened.
type gate struct {
	open chan struct{}
	mu   sync.Mutex // protects out
	out  bytes.Buffer
}

func (g *gate) Write(p []byte) (int, error) {
	<-g.open
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.out.Write(p)
}

func TestBoundedNeverBlocksAndCountsWhatItLeavesOut(t *testing.T) {
	g := &gate{open: make(chan struct{})}
	b := NewBounded(g, 1<<20)
	for range 3 * lineBuffer {
		if _, err := b.Write([]byte("line\n")); err != nil {
			t.Fatal(err)
		}
	}
	close(g.open)
	b.Close()
	if !strings.Contains(g.out.String(), "lines left out\" count=") {
		t.Error("no word of the lines left out")
	}
}

func TestBoundedBoundsTheLinesOfASecond(t *testing.T) {
	b := &Bounded{perSec: 2}
	got := []bool{b.allowed(7), b.allowed(7), b.allowed(7), b.allowed(8)}
	for i, want := range []bool{true, true, false, true} {
		if got[i] != want {
			t.Errorf("line %d: allowed %v, want %v", i, got[i], want)
		}
	}
}
