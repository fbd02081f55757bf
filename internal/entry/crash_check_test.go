package entry

import (
	"context"
	"strings"
	"testing"
	"time"

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

// TestPartsThatEnginesProcessedAreNotSuspected guards against a quarantine of what sound prompts share, because of engines
// that crash late in an answer, or of a single request that crashes several engines.
func TestPartsThatEnginesProcessedAreNotSuspected(t *testing.T) {
	comp := &completion{content: 1, parts: promptParts("m", strings.Repeat("shared text ", 20))}
	if len(comp.parts) != 2 {
		t.Fatalf("%d parts of three blocks", len(comp.parts))
	}
	for name, c := range map[string]struct {
		crashed  bool
		begunAt  time.Duration
		suspects int
	}{
		"not begun":      {false, 0, 3},
		"just begun":     {false, 10*time.Second - crashWindow/2, 3},
		"begun long ago": {false, 10*time.Second - crashWindow, 1},
		"second crash":   {true, 0, 1},
	} {
		comp.crashed = c.crashed
		g := &generation{comp: comp, begunAt: c.begunAt}
		if suspects := g.suspects(10 * time.Second); len(suspects) != c.suspects || suspects[0] != comp.content {
			t.Errorf("%s: %v", name, suspects)
		}
	}
	q := newQuarantines()
	q.recordServed(comp.parts...)
	for _, boot := range []string{"a", "b"} {
		for _, part := range comp.parts {
			q.recordCrash(part, boot)
		}
	}
	if s, blocked := q.blockedBy(comp); blocked {
		t.Errorf("%s was served just now, and is quarantined", s)
	}
}

// TestPartsAreSharedBeginnings guards against prompts that share a beginning and no part, and against parts that prompts
// or models do not share.
func TestPartsAreSharedBeginnings(t *testing.T) {
	shared := strings.Repeat("0123456789abcdef", 20) // five blocks
	a, b := promptParts("m", shared+strings.Repeat("a", 200)), promptParts("m", shared+strings.Repeat("b", 200))
	if len(a) != 4 || len(b) != 4 {
		t.Fatalf("%d and %d parts of eight blocks", len(a), len(b))
	}
	for i := range a {
		if same := i < 3; (a[i] == b[i]) != same { // of 1, 2, 4 and 8 blocks
			t.Errorf("part %d: %s and %s", i, a[i], b[i])
		}
	}
	if other := promptParts("other", shared); other[0] == a[0] {
		t.Error("parts of two models are the same")
	}
	if short := promptParts("m", "short"); len(short) != 0 {
		t.Errorf("%d parts of less than a block", len(short))
	}
}
