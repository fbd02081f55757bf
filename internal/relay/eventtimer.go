package relay

import (
	"context"
	"sync"
	"time"

	"sassafrasfield/internal/readlimit"
)

// eventTimer stops a stream that passes without a complete event for too long, and one of which an event is too large.
// A stream that trickles bytes but completes no event would otherwise hold its caller.
type eventTimer struct {
	// idle is how long the stream may pass without a complete event; 0 means no bound, except that an event that has
	// begun must be completed in time.
	idle   time.Duration
	cancel context.CancelFunc
	start  time.Time

	mu       sync.Mutex // protects all below
	event    readlimit.Event
	timer    *time.Timer
	exceeded error
}

// newEventTimer returns a running timer.
func newEventTimer(idle time.Duration, cancel context.CancelFunc) *eventTimer {
	t := &eventTimer{idle: idle, cancel: cancel, start: time.Now(), event: readlimit.NewEvent(readlimit.StreamEvent())}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.timer = time.AfterFunc(time.Hour, t.expire)
	t.reset()
	return t
}

// reset restarts the time, as after a complete event and when an event begins. The lock is held.
func (t *eventTimer) reset() {
	switch {
	case t.idle > 0:
		t.timer.Reset(t.idle)
	case t.event.Begun():
		t.timer.Reset(t.event.Deadline() - time.Since(t.start))
	default:
		t.timer.Stop()
	}
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

// expire stops the stream, unless this process noticed late that its time was over.
func (t *eventTimer) expire() {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.event.Begun() {
		t.exceeded = t.event.Expired(time.Since(t.start))
		if t.exceeded == nil {
			t.timer.Reset(t.event.Deadline() - time.Since(t.start))
			return
		}
	}
	t.cancel()
}
