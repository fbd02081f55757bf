package admit

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"
)

const maxWork = 1000.0

// TestQueueServesOrganisationsByShare checks that organisations that always have
// tickets waiting are served in proportion to their shares. Whatever priorities
// and sizes they declare, none is ahead of another by more than one ticket plus
// the priority credit.
func TestQueueServesOrganisationsByShare(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		credit := rapid.Float64Range(0, 3000).Draw(t, "credit")
		q := NewQueue(credit)
		n := rapid.IntRange(2, 6).Draw(t, "organisations")
		shares := make([]float64, n)
		served := make([]float64, n)
		push := func(i int) {
			q.Push(Ticket{
				ID: "t", Organisation: fmt.Sprint(i), Share: shares[i],
				Priority: rapid.IntRange(0, MaxPriority).Draw(t, "priority"),
				Work:     rapid.Float64Range(1, maxWork).Draw(t, "work"),
			})
		}
		for i := range n {
			shares[i] = rapid.Float64Range(0.5, 4).Draw(t, "share")
			push(i)
			push(i)
		}
		for range rapid.IntRange(1, 150).Draw(t, "pops") {
			ticket, ok := q.Pop()
			if !ok {
				t.Fatal("the queue is empty, but every organisation has tickets waiting")
			}
			var i int
			fmt.Sscan(ticket.Organisation, &i)
			served[i] += ticket.Work
			push(i)
		}
		for i := range n {
			for j := range n {
				ahead := served[i]/shares[i] - served[j]/shares[j]
				if bound := (credit+maxWork)/shares[i] + 1e-6; ahead > bound {
					t.Fatalf("organisation %d is %.0f ahead of organisation %d, bound %.0f", i, ahead, j, bound)
				}
			}
		}
	})
}

// TestQueueDoesNotStarveAnOrganisation checks that an organisation that joins a
// queue full of another's urgent tickets is served before the other has used its
// priority credit twice.
func TestQueueDoesNotStarveAnOrganisation(t *testing.T) {
	q := NewQueue(2000)
	for range 200 {
		q.Push(Ticket{ID: "g", Organisation: "greedy", Priority: MaxPriority, Work: 500})
	}
	for range 20 {
		q.Pop()
	}
	q.Push(Ticket{ID: "m", Organisation: "modest", Work: 500})
	for i := range 200 {
		if ticket, _ := q.Pop(); ticket.Organisation == "modest" {
			if i > 6 {
				t.Fatalf("the modest organisation was served after %d urgent tickets, want at most 6", i)
			}
			return
		}
	}
	t.Fatal("the modest organisation was never served")
}

// TestGateInvariants applies random events to a Gate. It checks that each ticket
// gets exactly one decision, that the queue and the requests in flight stay
// within their bounds, and that after RefuseLate no waiting ticket is predicted
// to miss its deadline.
func TestGateInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		rules := Rules{
			MaxQueue: rapid.IntRange(0, 8).Draw(t, "queue"), MaxWait: time.Second,
			PriorityCredit: 1000, EarlyRefusal: true,
		}
		g := NewGate(rules)
		limit := rapid.IntRange(1, 4).Draw(t, "limit")
		g.SetLimit(limit)
		now, engineWait := time.Duration(0), time.Duration(0)
		waiting := map[string]Ticket{}
		admitted := 0
		predict := func(ticket Ticket) Prediction {
			return Prediction{FirstToken: engineWait + ticket.PrefillTime, PrefillTime: ticket.PrefillTime, Known: true}
		}
		refuse := func(refusals []Refusal) {
			for _, r := range refusals {
				if _, ok := waiting[r.ID]; !ok {
					t.Fatalf("ticket %s was refused, but was not waiting", r.ID)
				}
				delete(waiting, r.ID)
			}
		}
		grant := func() {
			for _, ticket := range g.Grant(now, predict) {
				if _, ok := waiting[ticket.ID]; !ok {
					t.Fatalf("ticket %s was granted, but was not waiting", ticket.ID)
				}
				delete(waiting, ticket.ID)
				admitted++
			}
		}
		for i := range rapid.IntRange(1, 120).Draw(t, "steps") {
			now += time.Duration(rapid.Int64Range(0, int64(200*time.Millisecond)).Draw(t, "passed"))
			switch rapid.IntRange(0, 3).Draw(t, "step") {
			case 0, 1:
				ticket := drawTicket(t, i, now)
				waiting[ticket.ID] = ticket
				decision, refusals := g.Arrive(ticket, predict(ticket), now)
				refuse(refusals)
				if _, still := waiting[ticket.ID]; still == (decision == Refused) {
					t.Fatalf("decision %d contradicts refusals %v", decision, refusals)
				}
				if decision == Admitted {
					delete(waiting, ticket.ID)
					admitted++
				}
			case 2:
				if admitted > 0 {
					admitted--
					g.Done(time.Duration(rapid.Int64Range(0, int64(time.Second)).Draw(t, "took")))
					grant()
				}
			case 3:
				engineWait = time.Duration(rapid.Int64Range(0, int64(2*time.Second)).Draw(t, "ahead"))
				refuse(g.RefuseLate(now, predict))
				grant()
				for _, ticket := range waiting {
					if now >= g.WaitDeadline(ticket) || now+predict(ticket).FirstToken > ticket.Deadline {
						t.Fatalf("ticket %s still waits at %s, but can't meet its deadline", ticket.ID, now)
					}
				}
			}
			if g.Waiting() != len(waiting) || g.Waiting() > rules.MaxQueue {
				t.Fatalf("gate reports %d waiting, want %d, bound %d", g.Waiting(), len(waiting), rules.MaxQueue)
			}
			if g.InFlight() != admitted || admitted > limit {
				t.Fatalf("gate reports %d in flight, want %d, limit %d", g.InFlight(), admitted, limit)
			}
		}
	})
}

func drawTicket(t *rapid.T, i int, now time.Duration) Ticket {
	prefillTime := time.Duration(rapid.Int64Range(0, int64(300*time.Millisecond)).Draw(t, "own"))
	return Ticket{
		ID: fmt.Sprint(i), Organisation: rapid.SampledFrom([]string{"a", "b"}).Draw(t, "organisation"),
		Priority: rapid.IntRange(MinPriority, MaxPriority).Draw(t, "priority"), Work: 100, Arrived: now, PrefillTime: prefillTime,
		Deadline: now + time.Duration(rapid.Int64Range(0, int64(2*time.Second)).Draw(t, "deadline")),
	}
}

func TestPredict(t *testing.T) {
	busy := EngineLoad{QueuedPrefillTokens: 5000, PrefillRate: 10000, Running: 4, BlocksFree: 60, BlocksTotal: 100}
	full := EngineLoad{PrefillRate: 10000, Running: 8, Waiting: 3, BlocksFree: 50, BlocksTotal: 100}
	check := func(name string, got, want time.Duration) {
		t.Helper()
		if got != want {
			t.Errorf("%s: %s, want %s", name, got, want)
		}
	}
	check("queued prefill", Predict([]EngineLoad{busy}, 1000, time.Second).FirstToken, 600*time.Millisecond)
	check("full batch", Predict([]EngineLoad{full}, 1000, time.Second).FirstToken, 600*time.Millisecond)
	check("best of two engines", Predict([]EngineLoad{busy, {PrefillRate: 5000}}, 1000, 0).FirstToken, 200*time.Millisecond)
	if Predict([]EngineLoad{{}}, 1000, 0).Known {
		t.Error("the prediction is known although no engine has reported")
	}
}

// TestConcurrencyLimit checks that a single entry's limit is its requests in
// flight plus the free slots, and that an entry without requests gets an equal
// share of all slots.
func TestConcurrencyLimit(t *testing.T) {
	engines := []EngineLoad{{Running: 9, BlocksFree: 100, BlocksTotal: 1000}}
	if got := ConcurrencyLimit(engines, 9, 1); got != 10 {
		t.Errorf("one entry, 9 slots used and 1 free: limit %d, want 10", got)
	}
	if got := ConcurrencyLimit(engines, 0, 5); got != 2 {
		t.Errorf("one of 5 entries, none of 10 slots used by it: limit %d, want 2", got)
	}
	engines[0].Waiting = 5
	if got := ConcurrencyLimit(engines, 9, 1); got != 9 {
		t.Errorf("one entry, 9 slots used and 5 streams waiting: limit %d, want 9", got)
	}
	if got := ConcurrencyLimit([]EngineLoad{{BlocksFree: 10, BlocksTotal: 10}}, 3, 1); got != 0 {
		t.Errorf("idle engine: limit %d, want 0 (none)", got)
	}
}
