package entry

import (
	"context"
	"testing"

	"github.com/pkg/errors"

	"sassafrasfield/internal/engine"
)

// scriptedEngine returns the scripted results to status requests.
type scriptedEngine struct {
	engine.Engine
	answers []error
	calls   int
}

func (e *scriptedEngine) Status(context.Context) (engine.Status, error) {
	e.calls++
	return engine.Status{}, e.answers[min(e.calls, len(e.answers))-1]
}

// TestCrashDetectedDespiteInconclusiveProbes covers a machine so busy that neither a response nor a
// refused connection comes within the timeout of one probe. Such a probe is inconclusive and must be
// repeated.
func TestCrashDetectedDespiteInconclusiveProbes(t *testing.T) {
	for name, c := range map[string]struct {
		answers []error
		crashed bool
		probes  int
	}{
		"refused connection":                {[]error{engine.ErrUnreachable}, true, 1},
		"refused connection after timeouts": {[]error{engine.ErrBroken, engine.ErrBroken, engine.ErrUnreachable}, true, 3},
		"answers":                           {[]error{nil}, false, 1},
		"response after a timeout":          {[]error{engine.ErrBroken, nil}, false, 2},
		"refused request":                   {[]error{engine.ErrNotRun}, false, 1},
	} {
		e := &scriptedEngine{answers: c.answers}
		if got := hasCrashed(context.Background(), e); got != c.crashed || e.calls != c.probes {
			t.Errorf("%s: crashed %t after %d probes, want %t after %d", name, got, e.calls, c.crashed, c.probes)
		}
	}
}

// TestEngineCountsAsAliveWithoutProbeResult covers a caller that disconnects before a probe is conclusive.
func TestEngineCountsAsAliveWithoutProbeResult(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	e := &scriptedEngine{answers: []error{errors.WithMessage(engine.ErrBroken, "cancelled")}}
	if hasCrashed(ctx, e) {
		t.Error("an engine without a probe result counts as crashed")
	}
}
