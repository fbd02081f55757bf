package retry

import (
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// TestBudgetNeverExceedsItsRules checks that, whatever the order of events, a budget
// grants no more retries than its initial balance, the floor rate and the share of
// the successes add up to.
func TestBudgetNeverExceedsItsRules(t *testing.T) {
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
			t.Fatalf("%d retries granted, want at most %.3f", granted, bound)
		}
	})
}

// TestBudgetLimitsRetryStormAndRecovers checks that a retry storm without successes
// is limited to the floor rate. Later successes first make up for the negative
// balance that forced retries left, and then allow retries again.
func TestBudgetLimitsRetryStormAndRecovers(t *testing.T) {
	budget := NewBudget(Rules{Share: 0.1, Floor: 1, Max: 10}, 0)
	granted := 0
	for i := range 1000 {
		if budget.Take(time.Duration(i) * 10 * time.Millisecond) {
			granted++
		}
	}
	if granted > 11 {
		t.Fatalf("%d retries granted in 10 s without successes, want at most 11 at a floor of 1 per second", granted)
	}
	now := 10 * time.Second
	for range 3 {
		budget.ForceTake(now)
	}
	if budget.Take(now) {
		t.Fatal("a retry was granted while the balance was negative")
	}
	for range 45 {
		budget.Succeeded(now)
	}
	if !budget.Take(now) {
		t.Fatal("no retry granted after 45 successes, which pay for 4.5 retries, 3 of them owed")
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
				t.Fatalf("retry %d has a delay of %s, bound %s", i+1, d, bound*time.Millisecond)
			}
			seen[d] = true
		}
		if len(seen) < 90 {
			t.Fatalf("retry %d: only %d of 100 delays are distinct, want at least 90", i+1, len(seen))
		}
	}
	if d := Jittered(4*time.Second, rng); d < 4*time.Second || d > 6*time.Second {
		t.Fatalf("4s with jitter is %s, want 4s to 6s", d)
	}
}
