package relay

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/pkg/errors"
	"github.com/rcrowley/go-metrics"

	"sassafrasfield/internal/config"
	"sassafrasfield/internal/pause"
	"sassafrasfield/internal/upstreamstate"
)

// Timing of the check that a run has ended that was left. Most engines end it when its connection closes; some notice late, some
// work on, and an engine that is not reached hears nothing of it.
const (
	// runEndCheckInterval is the time between two checks.
	runEndCheckInterval = 50 * time.Millisecond
	// stopRunAfter is how long an engine may still list a run before it is ordered to stop it. Reports are some hundred
	// milliseconds old, but an order to stop a run that has ended says so.
	stopRunAfter = 100 * time.Millisecond
	// stopRunTimeout bounds an order to stop a run. Its memory is copied before the answer.
	stopRunTimeout = time.Second
	// runEndTimeout bounds all checks of one run at an engine that answers.
	runEndTimeout = 3 * time.Second
)

// errRunGoesOn: the former run of a stream goes on, so no other one may begin.
var errRunGoesOn = errors.New("relay: the former run goes on")

// engineRun is a run at an engine.
type engineRun struct {
	engine  upstreamstate.Upstream
	request string
	// deadline is when the engine stops the run at the latest, on the relay's clock.
	deadline time.Duration
}

// runLeft says why a run was left.
type runLeft struct {
	// engineReached is set unless the engine did not answer just before.
	engineReached bool
	// closedByEngine is set if the connection was closed at the engine's side, so that the engine has noticed it.
	closedByEngine bool
	because        error
}

// leftBecause returns why a run was left, given what was known of it before its connection ended with an error of WrapReadError.
func leftBecause(known runState, err error) runLeft {
	return runLeft{
		engineReached:  known != runUnreached && !errors.Is(err, ErrUnacknowledged),
		closedByEngine: errors.Is(err, ErrCutOff), because: err,
	}
}

// stopAfter returns how long the engine may list the run before it is ordered to stop it.
func (l runLeft) stopAfter() time.Duration {
	if l.closedByEngine {
		return 0
	}
	return stopRunAfter
}

// endingRun is a run that was left.
type endingRun struct {
	engineRun
	// ended is closed once the engine does not work on the run any more, or is not reached. goesOn is set before if the engine
	// was still working on it after runEndTimeout.
	ended  chan struct{}
	goesOn bool
}

// runEndMeters counts the runs that were left and of which their engines were asked, those that were ordered to stop, those that
// went on nevertheless, and those whose engines were not reached: all, and the ones that were known to have ended before their
// deadlines.
type runEndMeters struct{ awaited, stopped, wentOn, unreached, reached metrics.Counter }

func newRunEndMeters() runEndMeters {
	return runEndMeters{
		awaited: counter("run_ends_awaited"), stopped: counter("runs_stopped"), wentOn: counter("runs_that_went_on"),
		unreached: counter("runs_left_unreached"), reached: counter("runs_left_unreached_ended"),
	}
}

// endRun begins to wait for the end of a run that was left. If its engine is not reached, the run does not count as ended, but
// nothing waits for it: it is stopped as soon as the engine is reached.
func (r *Relay) endRun(run engineRun, left runLeft) *endingRun {
	e := &endingRun{engineRun: run, ended: make(chan struct{})}
	r.meters.runEnds.awaited.Inc(1)
	go func() {
		began := r.now()
		state, checks, stopped := runUnreached, 0, false
		if left.engineReached {
			state, checks, stopped = r.awaitRunEnd(run, began, left.stopAfter())
		}
		e.goesOn = state == runGoesOn
		if e.goesOn {
			r.meters.runEnds.wentOn.Inc(1)
		}
		close(e.ended)
		r.log.Info("relay: run left", "request", run.request, "engine", run.engine.ID, "run", state, "checks", checks, "stopped", stopped,
			"took", r.now()-began, "because", left.because)
		if state == runUnreached {
			r.stopOnceReached(run)
		}
	}()
	return e
}

// await waits for the end of the run. The error is errRunGoesOn, or that of the context.
func (e *endingRun) await(ctx context.Context) error {
	select {
	case <-e.ended:
	case <-ctx.Done():
		return ctx.Err()
	}
	if e.goesOn {
		return errRunGoesOn
	}
	return nil
}

// awaitRunEnd waits until an engine does not work on a run that was left at a time, for runEndTimeout at most. It returns what the
// engine says of the run in the end, the number of checks, and whether the run was ordered to stop.
func (r *Relay) awaitRunEnd(run engineRun, closed, stopAfter time.Duration) (state runState, checks int, stopped bool) {
	ctx, cancel := context.WithTimeout(context.Background(), runEndTimeout)
	defer cancel()
	for {
		checks++
		state = r.closedRunState(ctx, run, closed)
		if state != runGoesOn && state != runUnreported {
			return state, checks, stopped
		}
		if r.now()-closed >= stopAfter && r.stopRun(ctx, run) {
			return runEnded, checks, true
		}
		if !pause.For(ctx, runEndCheckInterval) {
			return state, checks, stopped
		}
	}
}

// closedRunState returns the state of a run that was left at a time.
func (r *Relay) closedRunState(ctx context.Context, run engineRun, closed time.Duration) runState {
	if r.BackingOff(run.engine) {
		return runUnknown // it must not be sent a request
	}
	runs, err := r.askRuns(ctx, run.engine, max(closed, r.now()-runEndCheckInterval/2))
	switch _, listed := runs.Events[run.request]; {
	case err != nil:
		return runUnreached
	case runs.Ended:
		return runEnded
	case runs.Unreported:
		return runUnreported
	case listed:
		return runGoesOn
	case !runs.Listed, runs.Waiting > 0:
		return runUnknown
	default:
		return runEnded
	}
}

// stopRun orders an engine to stop a run, and reports whether the engine does not work on it any more. The order is one to move the
// run's memory to another engine; it is dropped there.
func (r *Relay) stopRun(ctx context.Context, run engineRun) bool {
	to, ok := r.anotherEngine(run.engine)
	if !ok {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, stopRunTimeout)
	defer cancel()
	kv, err := r.sender.Stop(ctx, run.engine, run.request, to)
	if err != nil && !errors.Is(err, ErrNoSuchRun) {
		r.log.Info("relay: run not stopped", "request", run.request, "engine", run.engine.ID, "error", err)
		return false
	}
	r.meters.runEnds.stopped.Inc(1)
	if kv.Handle != "" {
		r.freeLater(run.request, kv)
	}
	return true
}

// anotherEngine returns an engine, other than the given one, that generates for the same service.
func (r *Relay) anotherEngine(than upstreamstate.Upstream) (upstreamstate.Upstream, bool) {
	list := slices.DeleteFunc(r.upstreams.Upstreams(than.Service), func(u upstreamstate.Upstream) bool {
		return u.Address == than.Address || u.Role != config.RoleDecode || u.Draining || u.Version != than.Version
	})
	if len(list) == 0 {
		return upstreamstate.Upstream{}, false
	}
	return list[rand.IntN(len(list))], true
}
