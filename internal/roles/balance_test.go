package roles

import (
	"math"
	"testing"
	"time"

	"pgregory.net/rapid"

	"sassafrasfield/internal/config"
)

// sheet is the balance with the steps of the engines that the mixes below were
// measured with.
func sheet() SplitPolicy {
	b := DefaultSplitPolicy()
	b.StepMillis, b.StepMillisPerRequest = 4.55, 0.181
	b.Slots = 64
	return b
}

// started is the split that the mixes below were measured from.
func started() Target { return Target{PrefillShare: 11.0 / 18, MinDecode: 2} }

// used is a measurement that counts.
func used(prompts, generations, direct float64) Workload {
	return Workload{PrefillLoad: prompts, Generations: generations, DirectPrefillLoad: direct, span: DefaultSplitPolicy().SmoothingTime}
}

// follow looks at the same use for a minute, or until the target moves.
func follow(u Workload, prefill, total int) Target {
	target := started()
	target.PrefillShare = float64(prefill) / float64(total)
	before := target
	var f TargetTracker
	for range 60 {
		if f, target = f.Update(sheet(), target, u, prefill, total, time.Second); target != before {
			break
		}
	}
	return target
}

// TestASwingIsNotFollowed looks at a use that a shorter while would move the
// target for.
func TestASwingIsNotFollowed(t *testing.T) {
	target := started()
	var f TargetTracker
	for range 10 {
		for range 4 {
			f, target = f.Update(sheet(), target, used(1.2, 172, 0.6), 11, 18, time.Second)
		}
		for range 10 {
			f, target = f.Update(sheet(), target, used(4.3, 73, 0.8), 11, 18, time.Second)
		}
	}
	if target != started() {
		t.Errorf("%+v", target)
	}
}

// TestTheTargetFollowsTheMix has what was measured with fixed splits of 18
// engines; the splits that are wanted served best there, or lie a step towards
// those that did.
func TestTheTargetFollowsTheMix(t *testing.T) {
	for _, c := range []struct {
		name                         string
		prompts, generations, direct float64
		prefill                      int
		least, most                  int
	}{
		{"as on the sheet", 4.3, 73, 0.8, 11, 10, 11},
		{"as on the sheet, few prefill", 4.3, 60, 0.8, 8, 10, 10},
		{"as on the sheet, many prefill", 4.2, 106, 0.8, 13, 10, 11},
		{"long prompts", 6.1, 32, 0.8, 11, 13, 13},
		{"long prompts, few prefill", 6.3, 22, 0.8, 5, 7, 7},
		{"long answers", 1.2, 172, 0.6, 11, 8, 8},
		{"long answers, less prefill", 1.3, 137, 0.6, 8, 5, 5},
		{"longer answers", 0.7, 268, 0.7, 11, 8, 8},
		{"longer answers, less prefill", 0.7, 220, 0.6, 8, 5, 5},
		{"more than there is", 20, 40, 0.8, 9, 11, 11},
		{"idle", 0.1, 4, 0.1, 11, 11, 11},
	} {
		target := follow(used(c.prompts, c.generations, c.direct), c.prefill, 18)
		if n := target.PrefillCount(18); n < c.least || n > c.most {
			t.Errorf("%s: %d of 18 in prefill, want %d to %d", c.name, n, c.least, c.most)
		}
	}
}

func TestTheTargetStaysUntilEnoughWasMeasured(t *testing.T) {
	u := used(1, 200, 0)
	u.span = DefaultSplitPolicy().SmoothingTime / 2
	if got := follow(u, 11, 18); got.PrefillCount(18) != 11 {
		t.Errorf("%+v", got)
	}
}

// TestTheTargetLeavesBothRoles follows any use.
func TestTheTargetLeavesBothRoles(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		total := rapid.IntRange(3, 100).Draw(t, "engines")
		prefill := rapid.IntRange(0, total).Draw(t, "prefill")
		u := used(rapid.Float64Range(0, 2*float64(total)).Draw(t, "prompts"), rapid.Float64Range(0, 6400).Draw(t, "generations"), rapid.Float64Range(0, float64(total-prefill)).Draw(t, "direct"))
		target := follow(u, prefill, total)
		if n := target.PrefillCount(total); prefill > 0 && n < 1 || prefill < total && total-n < min(target.MinDecode, total-prefill) {
			t.Fatalf("%d of %d in prefill, %d before", n, total, prefill)
		}
	})
}

// TestEnginesOnTheirWayTellNothing: replaced engines came back to generate, and 7
// of 18 were left in prefill where 11 were wanted. A move by two from there was
// below the target (incident inc-c669).
func TestEnginesOnTheirWayTellNothing(t *testing.T) {
	target := started()
	var f TargetTracker
	for range 60 {
		f, target = f.Update(sheet(), target, used(4.3, 60, 0.8), 7, 18, time.Second)
	}
	if target != started() {
		t.Errorf("%+v", target)
	}
}

func TestUseIsSmoothed(t *testing.T) {
	engines := []Engine{
		{ID: "p", Role: config.RolePrefill, PrefillUtilization: 0.7}, {ID: "q", Role: config.RolePrefill, PrefillUtilization: 0.3, Running: 1},
		{ID: "d", Role: config.RoleDecode, Running: 8, PrefillUtilization: 0.5},
	}
	const over = 6 * time.Second
	var u Workload
	for range 100 {
		u = u.Add(engines, 100*time.Millisecond, over)
	}
	if u.span != over || math.Abs(u.PrefillLoad-1) > 1e-9 || math.Abs(u.Generations-8) > 1e-9 || math.Abs(u.DirectPrefillLoad-0.5) > 1e-9 {
		t.Errorf("%+v", u)
	}
	after := u.Add(nil, over, over)
	if after.PrefillLoad > 0.7 || after.PrefillLoad < 0.3 {
		t.Errorf("%g after as long without prompts", after.PrefillLoad)
	}
}
