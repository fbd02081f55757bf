package admit

import (
	"fmt"
	"testing"
	"time"
)

// engineModel is one engine that processes prompts in order of arrival, each
// in promptTime.
type engineModel struct {
	busyUntil time.Duration
}

const promptTime = 100 * time.Millisecond

func (e *engineModel) predict(now time.Duration) Prediction {
	wait := max(0, e.busyUntil-now)
	return Prediction{FirstToken: wait + promptTime, Own: promptTime, Engines: 1, Known: true}
}

// overload offers four times what the engine can do for one organisation and
// 0.4 times for another, for a minute. It returns the requests of each that
// were offered and that were in time, and the longest wait for a refusal.
func overload(backlog time.Duration) (offered, inTime map[string]int, longest time.Duration) {
	const deadline = 450 * time.Millisecond
	g := NewGate(Rules{MaxQueue: 256, MaxWait: time.Second, PriorityCredit: 4000, Early: true, Backlog: backlog})
	engine := &engineModel{}
	offered, inTime = map[string]int{}, map[string]int{}
	waiting := map[string]Ticket{}
	send := func(t Ticket, now time.Duration) {
		engine.busyUntil = max(engine.busyUntil, now) + promptTime
		if engine.busyUntil <= t.Deadline {
			inTime[t.Organisation]++
		}
	}
	for tick := range 12000 {
		now := time.Duration(tick) * 5 * time.Millisecond
		predict := func(Ticket) Prediction { return engine.predict(now) }
		for i, organisation := range []string{"greedy", "modest"} {
			if tick%[]int{5, 50}[i] != 0 {
				continue
			}
			offered[organisation]++
			t := Ticket{
				ID: fmt.Sprint(organisation, tick), Organisation: organisation, Work: 500,
				Arrived: now, Deadline: now + deadline, Own: promptTime,
			}
			switch decision, _ := g.Arrive(t, engine.predict(now), now); decision {
			case Admitted:
				send(t, now)
			case Queued:
				waiting[t.ID] = t
			}
		}
		for _, r := range g.Review(now, predict) {
			longest = max(longest, now-waiting[r.ID].Arrived)
		}
		for _, t := range g.Grant(now, predict) {
			send(t, now)
		}
	}
	return offered, inTime, longest
}

// Under overload by one organisation the other gets what it asks for, which is
// less than its share, and the engine is kept busy. Without the bound on the
// engine's backlog who comes most often gets most.
func TestOverloadFairShares(t *testing.T) {
	for _, backlog := range []time.Duration{0, 225 * time.Millisecond} {
		offered, inTime, longest := overload(backlog)
		modest := float64(inTime["modest"]) / float64(offered["modest"])
		busy := float64(inTime["greedy"]+inTime["modest"]) * promptTime.Minutes()
		t.Logf("backlog %-5s modest in time %3.0f%%, greedy in time %d of %d, engine's time in use %.0f%%, longest wait before a refusal %s",
			backlog, 100*modest, inTime["greedy"], offered["greedy"], 100*busy, longest)
		if backlog > 0 && (modest < 0.9 || busy < 0.9) {
			t.Errorf("backlog %s: modest in time %.2f, engine's time in use %.2f", backlog, modest, busy)
		}
	}
}
