package relay

import (
	"context"
	"sync"
	"time"

	"sassafrasfield/internal/upstreamstate"
)

// engineChecks asks engines for their runs. Streams that are silent at the same time share the answer of their engine. It is
// safe for concurrent use.
type engineChecks struct {
	mu sync.Mutex // protects byEngine
	// byEngine has the newest check of each incarnation of an engine.
	byEngine map[uint32]*engineCheck
}

// engineCheck is one request to an engine for its runs.
type engineCheck struct {
	began time.Duration
	// done is closed when the result is set.
	done chan struct{}
	runs EngineRuns
	err  error
}

func newEngineChecks() *engineChecks { return &engineChecks{byEngine: map[uint32]*engineCheck{}} }

// checkOf returns the newest check of an engine that did not begin before a time, and whether it is a new one that the caller
// has to make.
func (c *engineChecks) checkOf(engine uint32, notBefore, now time.Duration) (check *engineCheck, isNew bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if check, ok := c.byEngine[engine]; ok && check.began >= notBefore {
		return check, false
	}
	for other, check := range c.byEngine {
		if now-check.began >= silenceCheckTimeout {
			delete(c.byEngine, other)
		}
	}
	check = &engineCheck{began: now, done: make(chan struct{})}
	c.byEngine[engine] = check
	return check, true
}

// askRuns asks an engine for its runs, unless it was asked since a time. The error means that the engine did not answer.
func (r *Relay) askRuns(ctx context.Context, engine upstreamstate.Upstream, since time.Duration) (EngineRuns, error) {
	check, isNew := r.engineChecks.checkOf(engine.Incarnation(), since, r.now())
	if isNew {
		go func() { // not bound to this stream, as others wait for it too
			ctx, cancel := context.WithTimeout(context.Background(), silenceCheckTimeout)
			defer cancel()
			check.runs, check.err = r.askRunsNow(ctx, engine)
			close(check.done)
		}()
	}
	select {
	case <-ctx.Done():
		return EngineRuns{}, nil
	case <-check.done:
		return check.runs, check.err
	}
}

func (r *Relay) askRunsNow(ctx context.Context, engine upstreamstate.Upstream) (EngineRuns, error) {
	r.meters.silence.checks.Inc(1)
	if r.BackingOff(engine) { // it must not be sent a request
		_, err := r.sender.Alive(ctx, engine, "")
		return EngineRuns{}, err
	}
	return r.sender.Runs(ctx, engine)
}

// runState returns the state of a run of which a number of events arrived and whose connection is open.
func (r *Relay) runState(ctx context.Context, request string, engine upstreamstate.Upstream, arrived int) runState {
	runs, err := r.askRuns(ctx, engine, r.now()-silenceCheckTimeout)
	switch {
	case err != nil:
		return runUnreached
	case runs.Ended && r.leaves(engine): // it takes no requests, but may finish its answers
		return runUnknown
	default:
		return runs.stateOf(request, arrived)
	}
}
