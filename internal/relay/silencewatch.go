package relay

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"
)

// Timing of the checks of a silent stream.
const (
	// silenceCheckTimeout bounds one check. The first one begins so long before a stream is suspected.
	silenceCheckTimeout = 400 * time.Millisecond
	// leaveRetryInterval is the time between two attempts to leave a lost run, for which the retry budget was exhausted or no
	// engine was left.
	leaveRetryInterval = 75 * time.Millisecond
)

// silenceWatch looks for the reason if a stream makes no progress for long. It stops a stream that is lost once another
// engine may go on with it; until then the stream is left open, as nothing is gained by breaking it off.
type silenceWatch struct {
	suspectAfter time.Duration
	// check returns the state of the run, given the number of events that arrived. It returns early if the context ends.
	check func(ctx context.Context, arrived int) runState
	// mayLeave reports whether another engine may go on with the stream now, and pays for it. What it changes is not used
	// elsewhere before stop has returned.
	mayLeave func(ctx context.Context) bool
	// stopStream ends the stream's reader.
	stopStream context.CancelFunc
	// report records a check and whether the stream was left.
	report func(s streamSilence, left bool)

	ctx    context.Context
	cancel context.CancelFunc
	// checking is held while a check is made.
	checking sync.Mutex

	mu    sync.Mutex // protects all below
	timer *time.Timer
	// since is when the last progress was made. progress differs after each one. paused is set while it is passed on.
	since    time.Time
	progress int
	paused   bool
	// arrived is the number of events that arrived.
	arrived int
	ahead   int
	// strayReads counts the reads without progress after suspectAfter.
	strayReads int
}

// start begins to watch a stream of which a number of events have arrived.
func (w *silenceWatch) start(arrived int) {
	w.ctx, w.cancel = context.WithCancel(context.Background())
	w.mu.Lock()
	defer w.mu.Unlock()
	w.since, w.arrived = time.Now(), arrived
	w.timer = time.AfterFunc(w.firstCheck(), w.run)
}

func (w *silenceWatch) firstCheck() time.Duration {
	return max(0, w.suspectAfter-silenceCheckTimeout)
}

// pause stops the watch while the progress is passed on, so that the silence does not include a wait for the caller.
func (w *silenceWatch) pause() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.timer.Stop()
	w.paused = true
	w.progress++
}

// resume restarts the watch after pause, when a number of events have arrived.
func (w *silenceWatch) resume(arrived int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.paused = false
	w.since, w.arrived, w.ahead, w.strayReads = time.Now(), arrived, 0, 0
	w.timer.Reset(w.firstCheck())
}

// noteRead records that bytes came that are no progress: a part of an event, or an event that the caller has.
func (w *silenceWatch) noteRead() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if time.Since(w.since) >= w.suspectAfter {
		w.strayReads++
	}
}

// stop ends the watch. No check is made when it returns.
func (w *silenceWatch) stop() {
	w.cancel()
	w.mu.Lock()
	w.timer.Stop()
	w.progress++
	w.mu.Unlock()
	w.checking.Lock()
	defer w.checking.Unlock()
}

// run checks the stream once, and stops it or plans the next check.
func (w *silenceWatch) run() {
	w.checking.Lock()
	defer w.checking.Unlock()
	w.mu.Lock()
	progress, arrived, paused := w.progress, w.arrived, w.paused
	w.mu.Unlock()
	if paused {
		return // resume plans the next check
	}
	began := time.Now()
	state := w.check(w.ctx, arrived)
	s, ok := w.silence(progress, state)
	if !ok {
		return
	}
	next := silenceCheckTimeout - time.Since(began)
	left := false
	if s.isLost() {
		next = jitteredLeaveRetry()
		left = w.mayLeave(w.ctx)
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.progress != progress || w.ctx.Err() != nil {
		return
	}
	w.report(s, left)
	if left {
		w.stopStream()
		return
	}
	w.timer.Reset(max(next, w.suspectAfter-time.Since(w.since)))
}

// silence returns the silence after a check, unless the stream has made progress or ended since it began.
func (w *silenceWatch) silence(progress int, state runState) (streamSilence, bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.progress != progress || w.ctx.Err() != nil {
		return streamSilence{}, false
	}
	w.ahead++
	if state != runAhead {
		w.ahead = 0
	}
	return streamSilence{lasted: time.Since(w.since), suspectAfter: w.suspectAfter, run: state, ahead: w.ahead, strayReads: w.strayReads}, true
}

// jitteredLeaveRetry returns the time until the next attempt to leave a lost run.
func jitteredLeaveRetry() time.Duration {
	return leaveRetryInterval/2 + rand.N(leaveRetryInterval)
}
