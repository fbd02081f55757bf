package relay

import (
	"context"
	"math/rand/v2"
	"strconv"
	"sync"
	"time"

	"github.com/rcrowley/go-metrics"

	"sassafrasfield/internal/upstreamstate"
)

// silenceMeters counts the requests to engines for their runs, and the checks of silent streams by what followed: awaited
// ones may go on, left ones go on elsewhere, and stuck ones are lost, but nothing can take them on yet.
type silenceMeters struct {
	checks, awaited, left, stuck metrics.Counter
}

func newSilenceMeters() silenceMeters {
	return silenceMeters{
		checks: counter("engine_run_checks"), awaited: counter("silent_streams_awaited"),
		left: counter("silent_streams_left"), stuck: counter("silent_streams_stuck"),
	}
}

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

// checkOf returns the newest check of an engine, and whether it is a new one that the caller has to make.
func (c *engineChecks) checkOf(engine uint32, now time.Duration) (check *engineCheck, isNew bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if check, ok := c.byEngine[engine]; ok && now-check.began < silenceCheckTimeout {
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

// askRuns asks an engine for its runs, unless it was asked just before. The error means that the engine did not answer.
func (r *Relay) askRuns(ctx context.Context, engine upstreamstate.Upstream) (EngineRuns, error) {
	check, isNew := r.engineChecks.checkOf(engine.Incarnation(), r.now())
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

// runState returns the state of a run, of which events up to a number arrived and whose connection is open.
func (r *Relay) runState(ctx context.Context, request string, engine upstreamstate.Upstream, arrived int) runState {
	runs, err := r.askRuns(ctx, engine)
	switch {
	case err != nil:
		return runUnreached
	case runs.Ended && r.leaves(engine): // it takes no requests, but may finish its answers
		return runUnknown
	default:
		return runs.stateOf(request, arrived)
	}
}

// watchSilence returns the watch over the stream of a run on an engine, or nil if no other engine may go on with it.
func (g *generation) watchSilence(engine upstreamstate.Upstream, stopStream context.CancelFunc) *silenceWatch {
	return g.newSilenceWatch(engine.ID, stopStream, func(ctx context.Context, arrived int) runState {
		return g.relay.runState(ctx, g.req.ID, engine, arrived)
	})
}

// watchForwarded is watchSilence for a stream that another instance passes on. That instance watches the engine, so the
// stream is lost only if the instance does not answer.
func (g *generation) watchForwarded(reply *Reply, stopStream context.CancelFunc) *silenceWatch {
	return g.newSilenceWatch(g.via, stopStream, func(ctx context.Context, _ int) runState {
		ctx, cancel := context.WithTimeout(ctx, silenceCheckTimeout)
		defer cancel()
		if reply.CheckPeer != nil && reply.CheckPeer(ctx) != nil {
			return runUnreached
		}
		return runUnknown
	})
}

func (g *generation) newSilenceWatch(from string, stopStream context.CancelFunc, check func(context.Context, int) runState) *silenceWatch {
	if !g.attempts.MayRunElsewhere() {
		return nil
	}
	return &silenceWatch{
		suspectAfter: g.relay.settings.StreamIdleTimeout, check: check, stopStream: stopStream,
		mayLeave: func(ctx context.Context) bool { return g.mayLeave(ctx, from) },
		report:   func(s streamSilence, left bool) { g.reportSilence(from, s, left) },
	}
}

// mayLeave reports whether another engine may go on with the stream now, and pays for that.
func (g *generation) mayLeave(ctx context.Context, from string) bool {
	r := g.relay
	return r.checkSend(g.exchange) == nil && r.canContinue(g.exchange, from) && g.attempts.Pay(ctx, g.budget, false, r.now())
}

// reportSilence logs and counts a check of a silent stream.
func (g *generation) reportSilence(from string, s streamSilence, left bool) {
	m := g.relay.meters.silence
	switch {
	case left:
		m.left.Inc(1)
	case s.isLost():
		m.stuck.Inc(1)
	default:
		m.awaited.Inc(1)
	}
	g.relay.log.Info("relay: stream is silent", "request", g.req.ID, "from", from, "for", s.lasted, "run", s.run, "ahead", s.ahead,
		"stray_reads", s.strayReads, "caller_waits", g.route.WaitBudget, "lost", s.isLost(), "left", left)
}

// eventNumber returns the number of an event by its id; 0 if it has none.
func eventNumber(id string) int {
	number, err := strconv.Atoi(id)
	if err != nil {
		return 0
	}
	return number
}

// jitteredLeaveRetry returns the time until the next attempt to leave a lost run.
func jitteredLeaveRetry() time.Duration {
	return leaveRetryInterval/2 + rand.N(leaveRetryInterval)
}
