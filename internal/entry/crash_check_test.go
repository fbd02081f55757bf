package entry

import (
	"context"
	"testing"

	"github.com/pkg/errors"

	"sassafrasfield/internal/engine"
)

// scriptedEngine answers the questions for its state by a script.
type scriptedEngine struct {
	engine.Engine
	answers []error
	asked   int
}

func (e *scriptedEngine) Status(context.Context) (engine.Status, error) {
	e.asked++
	return engine.Status{}, e.answers[min(e.asked, len(e.answers))-1]
}

// TestAnEndIsSeenThoughTheWordOnItIsLate: the load is a machine so busy that its answer, or
// its refusal, does not come within one question's time; what does not come is no word.
func TestAnEndIsSeenThoughTheWordOnItIsLate(t *testing.T) {
	for name, c := range map[string]struct {
		answers []error
		ended   bool
		asked   int
	}{
		"refused at once":          {[]error{engine.ErrUnreachable}, true, 1},
		"refused after silence":    {[]error{engine.ErrBroken, engine.ErrBroken, engine.ErrUnreachable}, true, 3},
		"answers":                  {[]error{nil}, false, 1},
		"answers after silence":    {[]error{engine.ErrBroken, nil}, false, 2},
		"refuses what it is asked": {[]error{engine.ErrNotRun}, false, 1},
	} {
		e := &scriptedEngine{answers: c.answers}
		if got := hasEnded(context.Background(), e); got != c.ended || e.asked != c.asked {
			t.Errorf("%s: ended %t after %d questions, want %t after %d", name, got, e.asked, c.ended, c.asked)
		}
	}
}

// TestAnEngineWithoutAWordCountsAsLiving: the caller left before there was one.
func TestAnEngineWithoutAWordCountsAsLiving(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	e := &scriptedEngine{answers: []error{errors.WithMessage(engine.ErrBroken, "cancelled")}}
	if hasEnded(ctx, e) {
		t.Error("silence was taken for an end")
	}
}
