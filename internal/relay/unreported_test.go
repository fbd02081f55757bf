package relay

import (
	"context"
	"testing"

	"github.com/pkg/errors"

	"sassafrasfield/internal/upstreamstate"
)

// TestRunOfAnEngineThatRefusesToReportIsAwaited guards against a second run of a stream that begins while the first one may go on, because
// its engine refused to report.
func TestRunOfAnEngineThatRefusesToReportIsAwaited(t *testing.T) {
	refused := EngineRuns{Unreported: true}
	r := newFake(t, &fakeSender{engineRuns: func(context.Context, upstreamstate.Upstream) (EngineRuns, error) { return refused, nil }})
	began := r.now()
	e := r.endRun(engineRun{engine: r.upstreams.Upstream("dec-1"), request: "r1"}, runLeft{engineReached: true, because: errors.New("closed")})
	if err := e.await(context.Background()); err == nil && r.now()-began < stopRunAfter {
		t.Errorf("a run that was closed counts as ended after %s, without an answer of its engine or an order to stop", r.now()-began)
	}
	if state := refused.stateOf("r1", 3); state != runUnknown {
		t.Errorf("the run of a silent stream is %s", state)
	}
}
