package relay

import (
	"context"
	"io"
	"sync"
	"time"

	"github.com/pkg/errors"
)

// Timing of the evidence that open answers give on the process that writes them.
const (
	// waitingFor is how long a read must have waited for bytes before it shows that its connection is open.
	waitingFor = 5 * time.Millisecond
	// endedTogetherWithin is the time within which the connections of a process end that the end of the process closes. Its
	// kernel closes them within a millisecond, but they may be read later.
	endedTogetherWithin = 5 * time.Millisecond
	// endsOfProcess is the number of such ends that are no coincidence: two answers may well be finished at the same time.
	endsOfProcess = 3
	// endsKept is how long the end of a connection is kept.
	endsKept = time.Second
)

// openAnswers holds the answers that this instance is reading, by the incarnation of their upstream. The end of a process
// ends all of its connections at the same time, so each of them tells something about the end of another one.
type openAnswers struct {
	mu         sync.Mutex // protects all below
	byUpstream map[uint32]*answersOf
	// sweptAt is when the upstreams without open answers and recent ends were last dropped.
	sweptAt time.Duration
}

// answersOf has the open answers of one incarnation of an upstream. The lock of openAnswers protects it.
type answersOf struct {
	open map[*trackedBody]bool
	// ends has when connections ended in a way in which the end of the process ends them, oldest first.
	ends []time.Duration
}

func newOpenAnswers() *openAnswers { return &openAnswers{byUpstream: map[uint32]*answersOf{}} }

// of returns the answers of an upstream. The lock is held.
func (o *openAnswers) of(upstream uint32) *answersOf {
	a, ok := o.byUpstream[upstream]
	if !ok {
		a = &answersOf{open: map[*trackedBody]bool{}}
		o.byUpstream[upstream] = a
	}
	return a
}

// recordEnd records that a connection ended as if its process had. The lock is held.
func (a *answersOf) recordEnd(now time.Duration) {
	for len(a.ends) > 0 && now-a.ends[0] > endsKept {
		a.ends = a.ends[1:]
	}
	a.ends = append(a.ends, now)
}

// recordCutOff records that an upstream's connection ended before an answer began.
func (o *openAnswers) recordCutOff(upstream uint32, now time.Duration) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.of(upstream).recordEnd(now)
	o.sweep(now)
}

// sweep drops the upstreams without open answers and recent ends. The lock is held.
func (o *openAnswers) sweep(now time.Duration) {
	if now-o.sweptAt < endsKept {
		return
	}
	o.sweptAt = now
	for upstream, a := range o.byUpstream {
		if len(a.open) == 0 && (len(a.ends) == 0 || now-a.ends[len(a.ends)-1] > endsKept) {
			delete(o.byUpstream, upstream)
		}
	}
}

// isAnyOpen reports whether an answer of an upstream is certainly not ended: its reader waits for more.
func (o *openAnswers) isAnyOpen(upstream uint32, now time.Duration) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	for body := range o.of(upstream).open {
		if body.reading && now-body.readingSince >= waitingFor {
			return true
		}
	}
	return false
}

// endedTogether reports whether so many connections of an upstream ended at the time of one of these ends that the end of
// its process must have ended them.
func (o *openAnswers) endedTogether(upstream uint32, at time.Duration) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	n := 0
	for _, end := range o.of(upstream).ends {
		if max(end-at, at-end) <= endedTogetherWithin {
			n++
		}
	}
	return n >= endsOfProcess
}

// trackedBody is the body of an answer that is one of the open answers until it ends or is closed.
type trackedBody struct {
	io.ReadCloser
	answers  *openAnswers
	upstream uint32
	now      func() time.Duration
	// ctx is that of the request: after its end, the connection was closed from here.
	ctx context.Context
	// unframed is set if the answer ends with its connection.
	unframed bool

	// reading is set while a read waits, since readingSince. The lock of answers protects both.
	reading      bool
	readingSince time.Duration
}

// track returns the reply with a body that is one of the open answers of its upstream.
func (o *openAnswers) track(ctx context.Context, upstream uint32, reply *Reply, now func() time.Duration) *Reply {
	body := &trackedBody{ReadCloser: reply.Body, answers: o, upstream: upstream, now: now, ctx: ctx, unframed: reply.Unframed}
	o.mu.Lock()
	defer o.mu.Unlock()
	o.of(upstream).open[body] = true
	reply.Body = body
	return reply
}

// Read implements io.Reader.
func (b *trackedBody) Read(p []byte) (int, error) {
	b.setReading(true)
	n, err := b.ReadCloser.Read(p)
	b.setReading(false)
	if err != nil {
		b.end(b.isProcessEnd(err))
	}
	return n, err
}

// isProcessEnd reports whether the end of the upstream's process ends a body with this error.
func (b *trackedBody) isProcessEnd(err error) bool {
	if errors.Is(err, io.EOF) {
		return b.unframed
	}
	return b.ctx.Err() == nil
}

func (b *trackedBody) setReading(reading bool) {
	now := b.now()
	b.answers.mu.Lock()
	defer b.answers.mu.Unlock()
	b.reading, b.readingSince = reading, now
}

// end removes the body from the open answers, once.
func (b *trackedBody) end(isProcessEnd bool) {
	now := b.now()
	b.answers.mu.Lock()
	defer b.answers.mu.Unlock()
	a := b.answers.of(b.upstream)
	if a.open[b] && isProcessEnd {
		a.recordEnd(now)
	}
	delete(a.open, b)
	b.answers.sweep(now)
}

// Close implements io.Closer.
func (b *trackedBody) Close() error {
	b.end(false)
	return b.ReadCloser.Close()
}
