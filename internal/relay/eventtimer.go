package relay

import (
	"context"
	"sync"
	"time"

	"sassafrasfield/internal/readlimit"
)

// eventTimer stops a stream of which an event takes too long from its first byte to its end, or is too large. A stream that
// trickles bytes but completes no event would otherwise hold its caller.
type eventTimer struct {
	cancel context.CancelFunc
	start  time.Time

	mu       sync.Mutex // protects all below
	event    readlimit.Event
	timer    *time.Timer
	exceeded error
}

// newEventTimer returns a running timer.
func newEventTimer(eventTime time.Duration, cancel context.CancelFunc) *eventTimer {
	limits := readlimit.StreamEvent()
	limits.MaxTime = eventTime
	t := &eventTimer{cancel: cancel, start: time.Now(), event: readlimit.NewEvent(limits)}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.timer = time.AfterFunc(time.Hour, t.expire)
	t.reset()
	return t
}

// reset restarts the time when an event begins, and stops it when none has. The lock is held.
func (t *eventTimer) reset() {
	if t.event.Begun() {
		t.timer.Reset(t.event.Deadline() - time.Since(t.start))
		return
	}
	t.timer.Stop()
}

// stop stops the time until the next complete event, so that it does not include a wait for the caller.
func (t *eventTimer) stop() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.timer.Stop()
}

// received records the length of the incomplete event, and whether events before it have just been completed. The
// error is a *readlimit.Exceeded.
func (t *eventTimer) received(partial int, completed bool) error {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.exceeded != nil {
		return t.exceeded
	}
	begunBefore := t.event.Begun()
	if err := t.event.Received(partial, completed, time.Since(t.start)); err != nil {
		return err
	}
	if completed || t.event.Begun() && !begunBefore {
		t.reset()
	}
	return nil
}

// expire stops the stream, unless the event was completed or this process noticed late that its time was over.
func (t *eventTimer) expire() {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.event.Begun() {
		return
	}
	now := time.Since(t.start)
	if now >= t.event.Deadline() { // otherwise another event has begun meanwhile
		t.exceeded = t.event.Expired(now)
	}
	if t.exceeded == nil {
		t.timer.Reset(t.event.Deadline() - now)
		return
	}
	t.cancel()
}
