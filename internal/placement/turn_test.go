package placement

import (
	"testing"
	"time"

	"sassafrasfield/internal/config"
)

// Pattern: prompts come at three times their mean for some seconds, more than their
// engine can process; then about as many as it can. Grounds: on the new customer's
// days, a burst of 0.6 s left every prompt of the next four seconds late.

// surge plays prompts of one size on one engine, which takes those that do not yield
// first. It returns the parts of them that were on time and that came to their
// deadline.
func surge(t *testing.T, turn func(c Costs, req *Request, s Prefill, draw float64) QueueOrder) (onTime, missed float64) {
	t.Helper()
	const (
		work, objective, patience = 20 * time.Millisecond, 200 * time.Millisecond, 2 * time.Second
		tick                      = time.Millisecond
	)
	// prompts a tick: the engine bears 0.05
	rate := func(now time.Duration) float64 {
		switch {
		case now < time.Second:
			return 0.03
		case now < 1600*time.Millisecond:
			return 0.11
		default:
			return 0.047
		}
	}
	rng := rng()
	var next, yields []time.Duration // when they came
	var busyUntil time.Duration
	total, good, late := 0, 0, 0
	for now := time.Duration(0); now < 8*time.Second; now += tick {
		if rng.Float64() < rate(now) {
			ahead := time.Duration(len(next)+len(yields)) * work
			s := Prefill{BusyTime: work, Engine: Candidate{Engine: &config.Engine{Loaded: config.EngineState{Role: config.RolePrefill}},
				Aggregate: AggregateLoad{Backlog: ahead, DeferredBacklog: time.Duration(len(yields)) * work, Utilization: rate(now) / tick.Seconds() * work.Seconds()}}}
			req := &Request{Objective: objective, RemainingWait: patience}
			total++
			if turn(Costs{Settings: DefaultSettings()}, req, s, rng.Float64()) == QueueDeferred {
				yields = append(yields, now)
			} else {
				next = append(next, now)
			}
		}
		if now < busyUntil || len(next)+len(yields) == 0 {
			continue
		}
		queue := &next
		if len(next) == 0 {
			queue = &yields
		}
		took := now + work - (*queue)[0]
		*queue = (*queue)[1:]
		busyUntil = now + work
		if took <= objective {
			good++
		}
		if took > patience {
			late++
		}
	}
	return float64(good) / float64(total), float64(late+len(yields)) / float64(total)
}

func TestASurgeLeavesMostPromptsOnTime(t *testing.T) {
	inOrder, missed := surge(t, func(Costs, *Request, Prefill, float64) QueueOrder { return QueueNormal })
	if inOrder > 0.4 || missed > 0 {
		t.Errorf("in order: %.2f on time, %.2f missed; the surge is none", inOrder, missed)
	}
	turns, missed := surge(t, Costs.QueueOrder)
	if turns < inOrder+0.3 || missed > 0.05 {
		t.Errorf("with turns: %.2f on time, %.2f missed; in order %.2f on time", turns, missed, inOrder)
	}
}

func TestNoPromptYieldsWithoutAWait(t *testing.T) {
	start := Prefill{BusyTime: 20 * time.Millisecond, Engine: Candidate{Aggregate: AggregateLoad{Backlog: 50 * time.Millisecond, DeferredBacklog: 50 * time.Millisecond, Utilization: 1}}}
	for _, objective := range []time.Duration{0, 200 * time.Millisecond} {
		if got := (Costs{Settings: DefaultSettings()}).QueueOrder(&Request{Objective: objective, RemainingWait: time.Second}, start, 0.99); got != QueueNormal {
			t.Errorf("objective %s: %s", objective, got)
		}
	}
}

func TestAPromptThatIsLateAnywayYields(t *testing.T) {
	start := Prefill{BusyTime: 20 * time.Millisecond, Engine: Candidate{Aggregate: AggregateLoad{Backlog: 300 * time.Millisecond}}}
	if got := (Costs{Settings: DefaultSettings()}).QueueOrder(&Request{Objective: 200 * time.Millisecond, RemainingWait: time.Second}, start, 0); got != QueueDeferred {
		t.Errorf("%s", got)
	}
}
