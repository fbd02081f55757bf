package logging

import (
	"fmt"
	"io"
	"sync"
	"sync/atomic"
	"time"
)

// Bounded is a writer of log lines that never blocks its callers and limits the
// lines per second. It counts the lines that it drops and writes the count before
// the next line.
type Bounded struct {
	lines        chan []byte
	maxPerSecond int
	dropped      atomic.Int64
	// stop is closed by Close, done once the waiting lines were written.
	stop, done chan struct{}
	closeOnce  sync.Once

	mu            sync.Mutex // protects second and linesInSecond
	second        int64
	linesInSecond int
}

// lineBufferSize is the number of lines that may wait for the output.
const lineBufferSize = 512

// NewBounded returns a writer to w that accepts at most perSecond lines per
// second.
func NewBounded(w io.Writer, perSecond int) *Bounded {
	b := &Bounded{lines: make(chan []byte, lineBufferSize), maxPerSecond: perSecond, stop: make(chan struct{}), done: make(chan struct{})}
	go b.run(w)
	return b
}

// Write implements io.Writer. It always succeeds.
func (b *Bounded) Write(line []byte) (int, error) {
	if !b.allowed(time.Now().Unix()) {
		b.dropped.Add(1)
		return len(line), nil
	}
	copied := append([]byte(nil), line...)
	select {
	case b.lines <- copied:
	default:
		b.dropped.Add(1)
	}
	return len(line), nil
}

// allowed counts a line in its second and reports whether it is within the limit.
// A clock step starts a new second.
func (b *Bounded) allowed(second int64) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if second != b.second {
		b.second, b.linesInSecond = second, 0
	}
	b.linesInSecond++
	return b.linesInSecond <= b.maxPerSecond
}

func (b *Bounded) run(w io.Writer) {
	defer close(b.done)
	for {
		select {
		case line := <-b.lines:
			b.write(w, line)
		case <-b.stop:
			b.writeWaiting(w)
			return
		}
	}
}

// writeWaiting writes the lines that wait.
func (b *Bounded) writeWaiting(w io.Writer) {
	for {
		select {
		case line := <-b.lines:
			b.write(w, line)
		default:
			return
		}
	}
}

func (b *Bounded) write(w io.Writer, line []byte) {
	if n := b.dropped.Swap(0); n > 0 {
		fmt.Fprintf(w, "level=WARN msg=\"logging: lines dropped\" count=%d\n", n)
	}
	if _, err := w.Write(line); err != nil {
		b.dropped.Add(1) // the output is broken, so the error cannot be logged
	}
}

// Close writes the waiting lines and stops the writer. Later lines are dropped.
func (b *Bounded) Close() {
	b.closeOnce.Do(func() { close(b.stop) })
	<-b.done
}
