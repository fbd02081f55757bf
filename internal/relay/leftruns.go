package relay

import (
	"context"
	"time"

	"github.com/rcrowley/go-metrics"

	"sassafrasfield/internal/pause"
	"sassafrasfield/internal/upstreamstate"
)

// leftRunCheck is when the engine of a run that was left is asked whether it works on.
const leftRunCheck = 400 * time.Millisecond

// leftRunMeters counts the runs that were left while their engines may have worked on them, and those that went on.
type leftRunMeters struct{ left, wentOn metrics.Counter }

func newLeftRunMeters() leftRunMeters {
	return leftRunMeters{left: counter("runs_left"), wentOn: counter("runs_left_that_went_on")}
}

// watchLeftRun logs whether the engine of a run that was left works on it.
func (r *Relay) watchLeftRun(request string, engine upstreamstate.Upstream, because error) {
	r.meters.leftRuns.left.Inc(1)
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), leftRunCheck+silenceCheckTimeout)
		defer cancel()
		if !pause.For(ctx, leftRunCheck) {
			return
		}
		state := r.runState(ctx, request, engine, 0)
		if state == runAhead || state == runGoesOn {
			r.meters.leftRuns.wentOn.Inc(1)
		}
		r.log.Info("relay: run left", "request", request, "engine", engine.ID, "after", leftRunCheck, "run", state, "because", because)
	}()
}
