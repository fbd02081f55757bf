package logging

import (
	"fmt"
	"io"
	"sync"
	"sync/atomic"
	"time"
)

// Bounded is a writer of log lines that never blocks its callers and bounds the
// lines a second. What it leaves out is counted, and the count is written as
// soon as there is room.
type Bounded struct {
	lines   chan []byte
	perSec  int
	dropped atomic.Int64
	done    chan struct{}
	closing sync.Once

	mu     sync.Mutex // protects second and inSec
	second int64
	inSec  int
}

// lineBuffer is how many lines may wait for the output.
const lineBuffer = 512

// NewBounded returns a writer to w that takes at most perSecond lines a second.
func NewBounded(w io.Writer, perSecond int) *Bounded {
	b := &Bounded{lines: make(chan []byte, lineBuffer), perSec: perSecond, done: make(chan struct{})}
	go b.run(w)
	return b
}

// Write implements io.Writer. It always succeeds.
func (b *Bounded) Write(line []byte) (int, error) {
	if !b.allowed(time.Now().Unix()) {
		b.dropped.Add(1)
		return len(line), nil
	}
	kept := append([]byte(nil), line...)
	select {
	case b.lines <- kept:
	default:
		b.dropped.Add(1)
	}
	return len(line), nil
}

// allowed counts the line in its second. A clock that steps begins a second.
func (b *Bounded) allowed(second int64) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if second != b.second {
		b.second, b.inSec = second, 0
	}
	b.inSec++
	return b.inSec <= b.perSec
}

func (b *Bounded) run(w io.Writer) {
	defer close(b.done)
	for line := range b.lines {
		if n := b.dropped.Swap(0); n > 0 {
			fmt.Fprintf(w, "level=WARN msg=\"logging: lines left out\" count=%d\n", n)
		}
		if _, err := w.Write(line); err != nil {
			b.dropped.Add(1) // nobody reads; there is nowhere to say so
		}
	}
}

// Close writes what waits. Lines after it are lost.
func (b *Bounded) Close() {
	b.closing.Do(func() { close(b.lines) })
	<-b.done
}
