package roles

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"sassafrasfield/internal/config"
)

// pool simulates a pool and the rollout of its changes: an engine is out of service
// for 8 s and then has the other role.
type pool struct {
	settings Settings
	state    State
	bounds   Bounds
	engines  []Engine
	changing *Change
	doneAt   time.Duration // when the changing engine is back in service
	changed  bool
	at       time.Duration // of the last change
	changes  []time.Duration
}

func newPool(settings Settings, bounds Bounds, prefill, decode, mixed int) *pool {
	p := &pool{settings: settings, bounds: bounds}
	for i := range prefill + decode + mixed {
		role := config.RoleMixed
		switch {
		case i < prefill:
			role = config.RolePrefill
		case i < prefill+decode:
			role = config.RoleDecode
		}
		p.engines = append(p.engines, Engine{
			ID: fmt.Sprintf("e%02d", i), Role: role, Serving: true, Reported: true,
			PrefillRate: 8000, DecodeRate: 1600,
		})
	}
	return p
}

// observe passes one observation to Decide and carries out the decision.
func (p *pool) observe(now time.Duration, demand Demand, age time.Duration) Decision {
	if p.changing != nil && now >= p.doneAt {
		for i := range p.engines {
			if p.engines[i].ID == p.changing.Engine {
				p.engines[i].Role, p.engines[i].Serving, p.engines[i].Changing = p.changing.To, true, false
			}
		}
		p.changing = nil
	}
	obs := Observation{
		At: now - age, Demand: demand, Engines: p.engines, Bounds: p.bounds, Busy: p.changing != nil,
		ChangedAt: p.at, Changed: p.changed,
	}
	var decision Decision
	p.state, decision = Decide(p.settings, p.state, obs, now)
	if decision.Change != nil {
		p.begin(*decision.Change, now)
	}
	return decision
}

func (p *pool) begin(c Change, now time.Duration) {
	for i := range p.engines {
		if p.engines[i].ID == c.Engine {
			p.engines[i].Serving, p.engines[i].Changing = false, true
		}
	}
	p.changing, p.doneAt = &c, now+8*time.Second
	p.changed, p.at = true, now
	p.changes = append(p.changes, now)
}

// fullDemand returns a demand that all instances reported.
func fullDemand(prefill, decode float64) Demand {
	return Demand{Prefill: prefill, Decode: decode, Instances: 9, Asked: 9, Answered: 9}
}

// run observes a constant demand over a time span. It returns the last decision.
func (p *pool) run(from, to time.Duration, demand Demand) (last Decision) {
	for now := from; now < to; now += p.settings.Every {
		last = p.observe(now, demand, 0)
	}
	return last
}

var defaultBounds = Bounds{MinPrefill: 1, MaxPrefill: 8, MinDecode: 1, MinServing: 2, Weight: 0.5}

func TestSustainedSwingChangesRoles(t *testing.T) {
	p := newPool(Default(), defaultBounds, 4, 6, 0)
	p.run(0, time.Minute, fullDemand(20_000, 6000))
	if len(p.changes) != 0 {
		t.Fatalf("%d changes at a load that the pool can serve", len(p.changes))
	}
	p.run(time.Minute, 4*time.Minute, fullDemand(45_000, 4000))
	if n := countRoles(p.engines); n.prefill < 6 {
		t.Fatalf("%+v after a swing to long prompts, want 6 prefill engines or more", n)
	}
	if p.state.OutOfService() != 8*time.Second {
		t.Errorf("measured %s out of service, want 8s", p.state.OutOfService())
	}
}

func TestHigherWeightMakesFewerChanges(t *testing.T) {
	changes := map[float64]int{}
	for _, weight := range []float64{0, 5, 1000} {
		bounds := defaultBounds
		bounds.Weight = weight
		p := newPool(Default(), bounds, 8, 12, 0)
		p.run(0, 3*time.Minute, fullDemand(62_000, 9000))
		changes[weight] = len(p.changes)
	}
	if changes[0] == 0 || changes[5] > changes[0] || changes[1000] != 0 {
		t.Errorf("changes by weight: %v", changes)
	}
}

// TestShortSwingsDoNotCauseFlapping: a peak that is shorter than the dwell time causes
// at most one change, and its end causes none within the dwell time.
func TestShortSwingsDoNotCauseFlapping(t *testing.T) {
	p := newPool(Default(), defaultBounds, 4, 6, 0)
	for now := time.Duration(0); now < 10*time.Minute; now += p.settings.Every {
		demand := fullDemand(20_000, 6000)
		if now%(20*time.Second) >= 10*time.Second {
			demand = fullDemand(40_000, 9000)
		}
		p.observe(now, demand, 0)
	}
	if len(p.changes) > 2 {
		t.Errorf("%d changes over 30 swings of 10 s each, at %v", len(p.changes), p.changes)
	}
}

// TestSinglePeakMakesNoChange: a change that only one observation calls for is not made.
func TestSinglePeakMakesNoChange(t *testing.T) {
	p := newPool(Default(), defaultBounds, 4, 6, 0)
	p.run(0, time.Minute, fullDemand(20_000, 6000))
	if d := p.observe(time.Minute, fullDemand(35_000, 6000), 0); d.Reason != ReasonConfirming {
		t.Fatalf("%+v at the peak", d)
	}
	p.run(time.Minute+p.settings.Every, 3*time.Minute, fullDemand(20_000, 6000))
	if len(p.changes) != 0 {
		t.Errorf("changes at %v", p.changes)
	}
}

// TestSmallGainMakesNoChange: an engine that would add little goodput in another role
// keeps its role, even if a change costs nothing.
func TestSmallGainMakesNoChange(t *testing.T) {
	bounds := defaultBounds
	bounds.Weight = 0
	p := newPool(Default(), bounds, 4, 6, 0)
	p.run(0, 4*time.Minute, fullDemand(28_000, 6000)) // the pool can serve 27,200
	if len(p.changes) != 0 {
		t.Errorf("changes at %v", p.changes)
	}
	p.run(4*time.Minute, 8*time.Minute, fullDemand(36_000, 6000))
	if len(p.changes) == 0 {
		t.Error("no change for a large gain either")
	}
}

// TestOverloadedPoolChangesRoles: under heavy overload, one engine serves only a small
// part of the demand. The change must still be made.
func TestOverloadedPoolChangesRoles(t *testing.T) {
	p := newPool(Default(), defaultBounds, 2, 8, 0)
	p.run(0, 2*time.Minute, fullDemand(300_000, 100))
	if len(p.changes) == 0 {
		t.Error("no change")
	}
}

// TestForecastIsDamped: a rise is not extrapolated over the whole horizon.
func TestForecastIsDamped(t *testing.T) {
	var demand trend
	for i := range 10 {
		demand = demand.add(float64(10_000+1000*i), i)
	}
	if ahead := demand.at(30) - demand.level; ahead < 500 || ahead > 4000 {
		t.Errorf("the forecast rises by %.0f after a rise of 1000 each time, want 500 to 4000", ahead)
	}
}

func TestAllBoundsZeroForbidsChanges(t *testing.T) {
	p := newPool(Default(), Bounds{MinServing: 2}, 0, 8, 2)
	p.run(0, 2*time.Minute, fullDemand(30_000, 2000))
	if len(p.changes) != 0 {
		t.Errorf("%d changes", len(p.changes))
	}
	p.bounds.MinDecode = 1
	if p.run(2*time.Minute, 4*time.Minute, fullDemand(30_000, 2000)); len(p.changes) == 0 {
		t.Error("no change with a bound: the load does not call for one, so the test proves nothing")
	}
}

// TestOnlyDecodeEngineKeepsItsRole: no change takes the only engine that can decode
// out of service, even if the change costs nothing.
func TestOnlyDecodeEngineKeepsItsRole(t *testing.T) {
	p := newPool(Default(), Bounds{MaxPrefill: 4}, 2, 1, 0)
	p.run(0, 4*time.Minute, fullDemand(30_000, 100))
	for _, e := range p.engines {
		if e.ID == "e02" && e.Role != config.RoleDecode {
			t.Errorf("the only decode engine became %s", e.Role)
		}
	}
}

func TestDemandIsExtrapolatedToAllInstances(t *testing.T) {
	obs := Observation{Demand: Demand{Prefill: 800, Decode: 80, Instances: 10, Asked: 10, Answered: 8}}
	prefill, decode := estimateDemand(Default(), obs)
	if prefill != 1000 || decode != 100 {
		t.Errorf("%v and %v, want 1000 and 100", prefill, decode)
	}
}

// TestDecisionsRespectLimits varies the demand, the number of responses and the age of
// observations at random, and checks that each decision respects the bounds and the
// settings.
func TestDecisionsRespectLimits(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		settings := Default()
		settings.Dwell = rapid.SampledFrom([]time.Duration{0, settings.Dwell}).Draw(t, "dwell")
		bounds := Bounds{
			MinPrefill: rapid.IntRange(0, 3).Draw(t, "min prefill"), MinDecode: rapid.IntRange(0, 3).Draw(t, "min decode"),
			MinServing: rapid.IntRange(0, 9).Draw(t, "min serving"), Weight: rapid.SampledFrom([]float64{0, 0.5, 5}).Draw(t, "weight"),
		}
		bounds.MaxPrefill = bounds.MinPrefill + rapid.IntRange(0, 4).Draw(t, "more prefill")
		p := newPool(settings, bounds, rapid.IntRange(0, 5).Draw(t, "prefill"),
			rapid.IntRange(0, 5).Draw(t, "decode"), rapid.IntRange(0, 5).Draw(t, "mixed"))
		demand := fullDemand(1000, 1000)
		for i := range 120 {
			if i%15 == 0 {
				demand.Prefill = rapid.Float64Range(0, 120_000).Draw(t, "prefill demand")
				demand.Decode = rapid.Float64Range(0, 24_000).Draw(t, "decode demand")
			}
			demand.Answered = rapid.SampledFrom([]int{9, 9, 9, 9, 9, 9, 9, 9, 9, 7, 6, 0}).Draw(t, "answered")
			age := rapid.SampledFrom([]time.Duration{0, 0, 0, 0, 0, 0, 0, 0, 0, 0, time.Second, 11 * time.Second}).Draw(t, "age")
			p.observeAndCheck(t, time.Duration(i)*settings.Every, demand, age)
		}
	})
}

// observeAndCheck makes one observation and checks the decision, and that the same
// observation leads to the same decision again.
func (p *pool) observeAndCheck(t *rapid.T, now time.Duration, demand Demand, age time.Duration) {
	busy, repeated := p.changing != nil && now < p.doneAt, *p
	repeated.engines = append([]Engine{}, p.engines...)
	last, changed := p.at, p.changed
	decision := p.observe(now, demand, age)
	if other := repeated.observe(now, demand, age); fmt.Sprint(decision.Reason, decision.Gain, decision.Cost) != fmt.Sprint(other.Reason, other.Gain, other.Cost) || p.state != repeated.state {
		t.Fatalf("the same observation resulted in %+v and %+v", decision, other)
	}
	c := decision.Change
	if c == nil {
		return
	}
	switch {
	case busy:
		t.Fatalf("%+v while another change is in progress", *c)
	case p.bounds.ForbidsChanges():
		t.Fatalf("%+v, but the bounds forbid changes", *c)
	case age > p.settings.StaleAfter:
		t.Fatalf("%+v based on an observation from %s ago", *c, age)
	case demand.Answered < 7:
		t.Fatalf("%+v, but only %d of 9 instances responded", *c, demand.Answered)
	case changed && now-last < p.settings.Dwell:
		t.Fatalf("%+v only %s after the last change", *c, now-last)
	case countRoles(p.engines).total() < p.bounds.MinServing:
		t.Fatalf("%+v leaves %d serving, want %d", *c, countRoles(p.engines).total(), p.bounds.MinServing)
	}
	during := countRoles(p.engines)
	before, after := during.plus(c.From, 1), during.plus(c.To, 1)
	if v := after.violation(p.bounds); v > 0 && v >= before.violation(p.bounds) {
		t.Fatalf("%+v violates the bounds: %+v", *c, after)
	}
	if !after.servesBoth() || !during.servesBoth() {
		t.Fatalf("%+v leaves prefill or decode without an engine: %+v", *c, after)
	}
}
