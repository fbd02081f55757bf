package admit

import (
	"fmt"
	"testing"
	"time"
)

// engineModel simulates an engine that processes prompts in order of arrival.
// Predictions assume promptTime for each prompt; the engine takes slowness times
// as long.
type engineModel struct {
	busyUntil time.Duration
	slowness  time.Duration
}

const promptTime = 100 * time.Millisecond

func (e *engineModel) predict(now time.Duration) Prediction {
	wait := max(0, e.busyUntil-now)
	return Prediction{FirstToken: wait + promptTime, PrefillTime: promptTime, Engines: 1, Known: true}
}

// overloadResult is the result of simulateOverload.
type overloadResult struct {
	offered, inTime map[string]int // requests by organisation
	late            int            // admitted requests that missed their deadline
	longestWait     time.Duration  // of a request in the queue that was refused
}

// simulateOverload sends requests to one engine for a minute of simulated time.
// One organisation offers 4 times the load that the engine can process as
// predicted, another one 0.4 times.
func simulateOverload(backlog time.Duration, slowness time.Duration) overloadResult {
	const deadline = 450 * time.Millisecond
	g := NewGate(Rules{MaxQueue: 256, MaxWait: time.Second, PriorityCredit: 4000, EarlyRefusal: true, MaxBacklog: backlog})
	engine := &engineModel{slowness: slowness}
	o := overloadResult{offered: map[string]int{}, inTime: map[string]int{}}
	observations := map[time.Duration][]time.Duration{} // lateness of first tokens, by their arrival time
	waiting := map[string]Ticket{}
	send := func(t Ticket, now time.Duration) {
		expected := now + engine.predict(now).FirstToken
		engine.busyUntil = max(engine.busyUntil, now) + promptTime*engine.slowness
		observations[engine.busyUntil] = append(observations[engine.busyUntil], engine.busyUntil-expected)
		if engine.busyUntil <= t.Deadline {
			o.inTime[t.Organisation]++
		} else {
			o.late++
		}
	}
	for tick := range 12000 {
		now := time.Duration(tick) * 5 * time.Millisecond
		for _, late := range observations[now] {
			g.Observe(late, now)
		}
		predict := func(Ticket) Prediction { return engine.predict(now) }
		for i, organisation := range []string{"greedy", "modest"} {
			if tick%[]int{5, 50}[i] != 0 {
				continue
			}
			o.offered[organisation]++
			t := Ticket{
				ID: fmt.Sprint(organisation, tick), Organisation: organisation, Work: 500,
				Arrived: now, Deadline: now + deadline, PrefillTime: promptTime,
			}
			switch decision, _ := g.Arrive(t, engine.predict(now), now); decision {
			case Admitted:
				send(t, now)
			case Queued:
				waiting[t.ID] = t
			}
		}
		for _, r := range g.RefuseLate(now, predict) {
			o.longestWait = max(o.longestWait, now-waiting[r.ID].Arrived)
		}
		for _, t := range g.Grant(now, predict) {
			send(t, now)
		}
	}
	return o
}

// TestOverloadFairShares checks that, while one organisation overloads the
// engine, another one that offers less than its share is served in full and the
// engine stays busy. Without a bound on the engine's backlog, the organisation
// that sends the most requests gets the most service.
func TestOverloadFairShares(t *testing.T) {
	for _, backlog := range []time.Duration{0, 225 * time.Millisecond} {
		o := simulateOverload(backlog, 1)
		modest := float64(o.inTime["modest"]) / float64(o.offered["modest"])
		busy := float64(o.inTime["greedy"]+o.inTime["modest"]) * promptTime.Minutes()
		t.Logf("backlog %-5s modest in time %3.0f%%, greedy in time %d of %d, engine utilisation %.0f%%, longest wait before a refusal %s",
			backlog, 100*modest, o.inTime["greedy"], o.offered["greedy"], 100*busy, o.longestWait)
		if backlog > 0 && (modest < 0.9 || busy < 0.9) {
			t.Errorf("backlog %s: modest in time %.2f, engine utilisation %.2f, want at least 0.9 each", backlog, modest, busy)
		}
	}
}

// TestMarginAdaptsToSlowEngine checks that an engine that takes twice as long as
// predicted is sent fewer requests, so that most admitted requests still meet
// their deadline.
func TestMarginAdaptsToSlowEngine(t *testing.T) {
	o := simulateOverload(225*time.Millisecond, 2)
	inTime := o.inTime["greedy"] + o.inTime["modest"]
	t.Logf("%d in time, %d admitted but late", inTime, o.late)
	if o.late > inTime/10 || inTime < 200 {
		t.Errorf("%d in time of the 300 that the engine can process, %d admitted but late", inTime, o.late)
	}
}
