package placement

import (
	"testing"
	"time"

	"sassafrasfield/internal/config"
)

// surge simulates prompts of one size on one engine, which processes deferred prompts last. Prompts first
// arrive below the engine's capacity, then in a short burst above it, then at about its capacity. On the days
// of docs/NEW-CUSTOMER.md, prompts arrived at three times their mean rate for some seconds, and a burst of
// 0.6 s made every prompt of the next four seconds late. It returns the share of prompts that met their
// objective and the share that missed their deadline.
func surge(t *testing.T, order func(c Costs, req *Request, p Prefill, draw float64) QueueOrder) (onTime, missed float64) {
	t.Helper()
	const (
		work, objective, waitBudget = 20 * time.Millisecond, 200 * time.Millisecond, 2 * time.Second
		tick                        = time.Millisecond
	)
	// arrivals per tick; the capacity of the engine is 0.05
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
	var normal, deferred []time.Duration // arrival times
	var busyUntil time.Duration
	total, inTime, late := 0, 0, 0
	for now := time.Duration(0); now < 8*time.Second; now += tick {
		if rng.Float64() < rate(now) {
			backlog := time.Duration(len(normal)+len(deferred)) * work
			p := Prefill{BusyTime: work, Engine: Candidate{Engine: &config.Engine{Loaded: config.EngineState{Role: config.RolePrefill}},
				Aggregate: AggregateLoad{Backlog: backlog, DeferredBacklog: time.Duration(len(deferred)) * work, Utilization: rate(now) / tick.Seconds() * work.Seconds()}}}
			req := &Request{Objective: objective, RemainingWait: waitBudget}
			total++
			if order(Costs{Settings: DefaultSettings()}, req, p, rng.Float64()) == QueueDeferred {
				deferred = append(deferred, now)
			} else {
				normal = append(normal, now)
			}
		}
		if now < busyUntil || len(normal)+len(deferred) == 0 {
			continue
		}
		queue := &normal
		if len(normal) == 0 {
			queue = &deferred
		}
		elapsed := now + work - (*queue)[0]
		*queue = (*queue)[1:]
		busyUntil = now + work
		if elapsed <= objective {
			inTime++
		}
		if elapsed > waitBudget {
			late++
		}
	}
	return float64(inTime) / float64(total), float64(late+len(deferred)) / float64(total)
}

func TestDeferringKeepsMostPromptsOnTimeInASurge(t *testing.T) {
	inOrder, missed := surge(t, func(Costs, *Request, Prefill, float64) QueueOrder { return QueueNormal })
	if inOrder > 0.4 || missed > 0 {
		t.Errorf("in order: %.2f on time, %.2f missed; want a surge that exceeds the capacity", inOrder, missed)
	}
	deferring, missed := surge(t, Costs.QueueOrder)
	if deferring < inOrder+0.3 || missed > 0.05 {
		t.Errorf("deferring: %.2f on time, %.2f missed; in order %.2f on time", deferring, missed, inOrder)
	}
}

func TestNoPromptIsDeferredWithoutAWait(t *testing.T) {
	prefill := Prefill{BusyTime: 20 * time.Millisecond, Engine: Candidate{Aggregate: AggregateLoad{Backlog: 50 * time.Millisecond, DeferredBacklog: 50 * time.Millisecond, Utilization: 1}}}
	for _, objective := range []time.Duration{0, 200 * time.Millisecond} {
		if got := (Costs{Settings: DefaultSettings()}).QueueOrder(&Request{Objective: objective, RemainingWait: time.Second}, prefill, 0.99); got != QueueNormal {
			t.Errorf("objective %s: %s", objective, got)
		}
	}
}

func TestPromptThatMissesItsObjectiveIsDeferred(t *testing.T) {
	prefill := Prefill{BusyTime: 20 * time.Millisecond, Engine: Candidate{Aggregate: AggregateLoad{Backlog: 300 * time.Millisecond}}}
	if got := (Costs{Settings: DefaultSettings()}).QueueOrder(&Request{Objective: 200 * time.Millisecond, RemainingWait: time.Second}, prefill, 0); got != QueueDeferred {
		t.Errorf("got the queue order %s", got)
	}
}
