package retry

import (
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// The budget never grants more retries than the share of successes, the floor
// and what was saved up allow, whatever the order of events.
func TestBudgetBound(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		rules := Rules{
			Share: rapid.Float64Range(0, 1).Draw(t, "share"),
			Floor: rapid.Float64Range(0, 5).Draw(t, "floor"),
			Max:   rapid.Float64Range(1, 20).Draw(t, "max"),
		}
		budget := NewBudget(rules, 0)
		now, granted, successes := time.Duration(0), 0, 0
		for range rapid.IntRange(0, 200).Draw(t, "steps") {
			now += time.Duration(rapid.Int64Range(0, int64(time.Second)).Draw(t, "passed"))
			if rapid.Bool().Draw(t, "success") {
				budget.Succeeded(now)
				successes++
				continue
			}
			if budget.Take(now) {
				granted++
			}
		}
		bound := rules.Floor*(1+now.Seconds()) + rules.Share*float64(successes) + 1e-6
		if float64(granted) > bound {
			t.Fatalf("%d retries granted, bound %.3f", granted, bound)
		}
	})
}

// A storm without successes gets the floor alone; successes pay for retries
// again, and debt of begun answers is paid first.
func TestBudgetStormAndRecovery(t *testing.T) {
	budget := NewBudget(Rules{Share: 0.1, Floor: 1, Max: 10}, 0)
	granted := 0
	for i := range 1000 {
		if budget.Take(time.Duration(i) * 10 * time.Millisecond) {
			granted++
		}
	}
	if granted > 11 {
		t.Fatalf("%d retries in a storm of 10 s with a floor of 1 a second", granted)
	}
	now := 10 * time.Second
	for range 3 {
		budget.ForceTake(now)
	}
	if budget.Take(now) {
		t.Fatal("a retry was granted in debt")
	}
	for range 45 {
		budget.Succeeded(now)
	}
	if !budget.Take(now) {
		t.Fatal("45 successes do not pay a debt of 3 and one retry")
	}
}

func TestDelayIsBoundedAndSpread(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 2))
	backoff := Backoff{Base: 20 * time.Millisecond, Max: 100 * time.Millisecond}
	bounds := []time.Duration{20, 40, 80, 100, 100}
	for i, bound := range bounds {
		seen := map[time.Duration]bool{}
		for range 100 {
			d := backoff.Delay(i+1, rng)
			if d < 0 || d > bound*time.Millisecond {
				t.Fatalf("retry %d waits %s, bound %s", i+1, d, bound*time.Millisecond)
			}
			seen[d] = true
		}
		if len(seen) < 90 {
			t.Fatalf("retry %d: only %d different waits of 100", i+1, len(seen))
		}
	}
	if d := Jittered(4*time.Second, rng); d < 4*time.Second || d > 6*time.Second {
		t.Fatalf("jittered to %s", d)
	}
}
