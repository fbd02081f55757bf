package relay

import (
	"context"

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
		g.leftAs = s.run // read once the watch has stopped
		m.left.Inc(1)
	case s.isLost():
		m.stuck.Inc(1)
	default:
		m.awaited.Inc(1)
	}
	g.relay.log.Info("relay: stream is silent", "request", g.req.ID, "from", from, "for", s.lasted, "run", s.run, "ahead", s.ahead,
		"stray_reads", s.strayReads, "caller_waits", g.route.WaitBudget, "lost", s.isLost(), "left", left)
}
