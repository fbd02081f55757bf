package admit

import (
	"fmt"
	"testing"
	"time"
)

// engineModel is one engine that processes prompts in order of arrival. It
// predicts promptTime for each and takes slowness times that.
type engineModel struct {
	busyUntil time.Duration
	slowness  time.Duration
}

const promptTime = 100 * time.Millisecond

func (e *engineModel) predict(now time.Duration) Prediction {
	wait := max(0, e.busyUntil-now)
	return Prediction{FirstToken: wait + promptTime, PrefillTime: promptTime, Engines: 1, Known: true}
}

// outcome of an overload, by organisation.
type outcome struct {
	offered, inTime map[string]int
	late            int           // admitted, and not in time
	longest         time.Duration // wait for a refusal
}

// overload offers four times what the engine is said to do for one organisation
// and 0.4 times for another, for a minute.
func overload(backlog time.Duration, slowness time.Duration) outcome {
	const deadline = 450 * time.Millisecond
	g := NewGate(Rules{MaxQueue: 256, MaxWait: time.Second, PriorityCredit: 4000, EarlyRefusal: true, MaxBacklog: backlog})
	engine := &engineModel{slowness: slowness}
	o := outcome{offered: map[string]int{}, inTime: map[string]int{}}
	observations := map[time.Duration][]time.Duration{} // by the time they come
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
			o.longest = max(o.longest, now-waiting[r.ID].Arrived)
		}
		for _, t := range g.Grant(now, predict) {
			send(t, now)
		}
	}
	return o
}

// Under overload by one organisation the other gets what it asks for, which is
// less than its share, and the engine is kept busy. Without the bound on the
// engine's backlog who comes most often gets most.
func TestOverloadFairShares(t *testing.T) {
	for _, backlog := range []time.Duration{0, 225 * time.Millisecond} {
		o := overload(backlog, 1)
		modest := float64(o.inTime["modest"]) / float64(o.offered["modest"])
		busy := float64(o.inTime["greedy"]+o.inTime["modest"]) * promptTime.Minutes()
		t.Logf("backlog %-5s modest in time %3.0f%%, greedy in time %d of %d, engine's time in use %.0f%%, longest wait before a refusal %s",
			backlog, 100*modest, o.inTime["greedy"], o.offered["greedy"], 100*busy, o.longest)
		if backlog > 0 && (modest < 0.9 || busy < 0.9) {
			t.Errorf("backlog %s: modest in time %.2f, engine's time in use %.2f", backlog, modest, busy)
		}
	}
}

// An engine that takes twice as long as its report says is given less: most of
// what is admitted is in time all the same.
func TestMarginLearnsSlowness(t *testing.T) {
	o := overload(225*time.Millisecond, 2)
	inTime := o.inTime["greedy"] + o.inTime["modest"]
	t.Logf("in time %d, admitted and late %d", inTime, o.late)
	if o.late > inTime/10 || inTime < 200 {
		t.Errorf("%d in time of 300 that the engine can do, %d admitted and late", inTime, o.late)
	}
}
