package relay

import (
	"context"
	"sync"
	"time"

	"sassafrasfield/internal/pause"
	"sassafrasfield/internal/upstreamstate"
)

// Timing of the checks of an engine that is not reached and may work on a run that was left. Another run may have begun, so the
// engine has to be told within some hundred milliseconds once it is reached again.
const (
	// minReachInterval is the time between the first two checks. It grows by reachBackoff with each check, up to maxReachInterval.
	minReachInterval = 100 * time.Millisecond
	reachBackoff     = 1.25
	maxReachInterval = time.Second
)

// stopOnceReached has an engine that was not reached stop a run that was left, as soon as it is reached again and until the deadline of
// the run. Nothing waits for it.
func (r *Relay) stopOnceReached(run engineRun) {
	r.meters.runEnds.unreached.Inc(1)
	began := r.now()
	ctx, cancel := context.WithTimeout(context.Background(), run.deadline-began)
	defer cancel()
	ways := []func(context.Context, engineRun) runState{r.orderStopUntilAnswered, r.stopAfterAnswer}
	ends := make(chan runState, len(ways))
	for _, stop := range ways {
		go func() { ends <- stop(ctx, run) }()
	}
	state := runUnreached
	for range ways {
		if state = <-ends; state != runUnreached {
			break
		}
	}
	if state == runEnded {
		r.meters.runEnds.reached.Inc(1)
	}
	r.log.Info("relay: run of an unreached engine", "request", run.request, "engine", run.engine.ID, "run", state, "took", r.now()-began)
}

// orderStopUntilAnswered orders an engine to stop a run until it answers. An order may be held on the way, and is the first that the
// engine gets when the path is back.
func (r *Relay) orderStopUntilAnswered(ctx context.Context, run engineRun) runState {
	for !r.BackingOff(run.engine) {
		if r.stopRun(ctx, run) {
			return runEnded
		}
		if !pause.For(ctx, minReachInterval) {
			break
		}
	}
	return runUnreached
}

// stopAfterAnswer has an engine stop a run once it answers a check. An order that was sent before may be lost, and its connection wait
// for seconds before it sends it again.
func (r *Relay) stopAfterAnswer(ctx context.Context, run engineRun) runState {
	for closed := r.now(); r.awaitEngine(ctx, run.engine); {
		state, _, _ := r.awaitRunEnd(run, closed, 0)
		if state == runEnded || state == runUnknown {
			return state
		}
	}
	return runUnreached
}

// awaitEngine returns true once an engine answers, or false if the context ends first. A check without an answer does not delay the
// next one, as its packets may have been lost before the engine was reached again.
func (r *Relay) awaitEngine(ctx context.Context, engine upstreamstate.Upstream) bool {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	answered := make(chan struct{})
	answer := sync.OnceFunc(func() { close(answered) })
	interval := minReachInterval
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return false
		case <-answered:
			return true
		case <-timer.C:
		}
		since := r.now() - interval/2
		go func() {
			if _, err := r.askRuns(ctx, engine, since); err == nil && ctx.Err() == nil {
				answer()
			}
		}()
		timer.Reset(interval)
		interval = min(time.Duration(float64(interval)*reachBackoff), maxReachInterval)
	}
}
