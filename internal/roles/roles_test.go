package roles

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"sassafrasfield/internal/config"
)

// pool is a pool as the rollout would carry changes out: an engine is out of
// service for a while and then has the other role.
type pool struct {
	settings Settings
	state    State
	bounds   Bounds
	engines  []Engine
	changing *Change
	back     time.Duration
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

// look offers one observation and carries out what is decided.
func (p *pool) look(now time.Duration, demand Demand, age time.Duration) Decision {
	if p.changing != nil && now >= p.back {
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
	p.changing, p.back = &c, now+8*time.Second
	p.changed, p.at = true, now
	p.changes = append(p.changes, now)
}

func all(prefill, decode float64) Demand {
	return Demand{Prefill: prefill, Decode: decode, Instances: 9, Asked: 9, Answered: 9}
}

// hold offers the same demand for a while.
func (p *pool) hold(from, to time.Duration, demand Demand) (last Decision) {
	for now := from; now < to; now += p.settings.Every {
		last = p.look(now, demand, 0)
	}
	return last
}

var usual = Bounds{MinPrefill: 1, MaxPrefill: 8, MinDecode: 1, MinServing: 2, Weight: 0.5}

func TestSwingIsFollowed(t *testing.T) {
	p := newPool(Default(), usual, 4, 6, 0)
	p.hold(0, time.Minute, all(20_000, 6000))
	if len(p.changes) != 0 {
		t.Fatalf("%d changes at a load that all engines serve", len(p.changes))
	}
	p.hold(time.Minute, 4*time.Minute, all(45_000, 4000))
	if n := count(p.engines); n.prefill < 6 {
		t.Fatalf("%+v after a swing to long prompts, want 6 prefill engines or more", n)
	}
	if p.state.OutOfService() != 8*time.Second {
		t.Errorf("measured cost %s, want 8s", p.state.OutOfService())
	}
}

func TestWeightHoldsChangesBack(t *testing.T) {
	changes := map[float64]int{}
	for _, weight := range []float64{0, 5, 1000} {
		bounds := usual
		bounds.Weight = weight
		p := newPool(Default(), bounds, 8, 12, 0)
		p.hold(0, 3*time.Minute, all(62_000, 9000))
		changes[weight] = len(p.changes)
	}
	if changes[0] == 0 || changes[5] > changes[0] || changes[1000] != 0 {
		t.Errorf("changes by weight: %v", changes)
	}
}

// TestSwingBackDoesNotFlap: a peak shorter than the dwell is answered by one
// change at most, and its end by none within the dwell.
func TestSwingBackDoesNotFlap(t *testing.T) {
	p := newPool(Default(), usual, 4, 6, 0)
	for now := time.Duration(0); now < 10*time.Minute; now += p.settings.Every {
		demand := all(20_000, 6000)
		if now%(20*time.Second) >= 10*time.Second {
			demand = all(40_000, 9000)
		}
		p.look(now, demand, 0)
	}
	if len(p.changes) > 2 {
		t.Errorf("%d changes over 30 swings of 10 s each, at %v", len(p.changes), p.changes)
	}
}

// TestOnePeakIsNotEnough: what a single observation calls for is not done.
func TestOnePeakIsNotEnough(t *testing.T) {
	p := newPool(Default(), usual, 4, 6, 0)
	p.hold(0, time.Minute, all(20_000, 6000))
	if d := p.look(time.Minute, all(35_000, 6000), 0); d.Reason != ReasonConfirming {
		t.Fatalf("%+v at the peak", d)
	}
	p.hold(time.Minute+p.settings.Every, 3*time.Minute, all(20_000, 6000))
	if len(p.changes) != 0 {
		t.Errorf("changes at %v", p.changes)
	}
}

// TestSmallGainIsNoReason: an engine that would be of little use in another
// role stays, even when a change costs nothing.
func TestSmallGainIsNoReason(t *testing.T) {
	bounds := usual
	bounds.Weight = 0
	p := newPool(Default(), bounds, 4, 6, 0)
	p.hold(0, 4*time.Minute, all(28_000, 6000)) // 27,200 are served
	if len(p.changes) != 0 {
		t.Errorf("changes at %v", p.changes)
	}
	p.hold(4*time.Minute, 8*time.Minute, all(36_000, 6000))
	if len(p.changes) == 0 {
		t.Error("no change for a large gain either")
	}
}

// TestOverloadIsAReasonToo: far above what the pool serves, an engine's worth
// is a small part of the demand, and the change is worth it all the same.
func TestOverloadIsAReasonToo(t *testing.T) {
	p := newPool(Default(), usual, 2, 8, 0)
	p.hold(0, 2*time.Minute, all(300_000, 100))
	if len(p.changes) == 0 {
		t.Error("no change")
	}
}

// TestForecastIsDamped: a rise is not carried on for the whole horizon.
func TestForecastIsDamped(t *testing.T) {
	var f trend
	for i := range 10 {
		f = f.add(float64(10_000+1000*i), i)
	}
	if ahead := f.at(30) - f.level; ahead < 500 || ahead > 4000 {
		t.Errorf("the forecast rises by %.0f after a rise of 1000 each time, want 500 to 4000", ahead)
	}
}

func TestAllBoundsZeroForbidsChanges(t *testing.T) {
	p := newPool(Default(), Bounds{MinServing: 2}, 0, 8, 2)
	p.hold(0, 2*time.Minute, all(30_000, 2000))
	if len(p.changes) != 0 {
		t.Errorf("%d changes", len(p.changes))
	}
	p.bounds.MinDecode = 1
	if p.hold(2*time.Minute, 4*time.Minute, all(30_000, 2000)); len(p.changes) == 0 {
		t.Error("no change with a bound: the load calls for none, so nothing was tested")
	}
}

// TestLastEngineOfAKindStays: no change takes the only engine that can decode
// out of service, even at no cost.
func TestLastEngineOfAKindStays(t *testing.T) {
	p := newPool(Default(), Bounds{MaxPrefill: 4}, 2, 1, 0)
	p.hold(0, 4*time.Minute, all(30_000, 100))
	for _, e := range p.engines {
		if e.ID == "e02" && e.Role != config.RoleDecode {
			t.Errorf("the only decode engine became %s", e.Role)
		}
	}
}

func TestScaledUpByWhoAnswered(t *testing.T) {
	obs := Observation{Demand: Demand{Prefill: 800, Decode: 80, Instances: 10, Asked: 10, Answered: 8}}
	prefill, decode := pressure(Default(), obs)
	if prefill != 1000 || decode != 100 {
		t.Errorf("%v and %v, want 1000 and 100", prefill, decode)
	}
}

// TestPolicyKeepsItsPromises lets demand, answers and age vary at random, and
// checks each decision.
func TestPolicyKeepsItsPromises(t *testing.T) {
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
		demand := all(1000, 1000)
		for i := range 120 {
			if i%15 == 0 {
				demand.Prefill = rapid.Float64Range(0, 120_000).Draw(t, "prefill demand")
				demand.Decode = rapid.Float64Range(0, 24_000).Draw(t, "decode demand")
			}
			demand.Answered = rapid.SampledFrom([]int{9, 9, 9, 9, 9, 9, 9, 9, 9, 7, 6, 0}).Draw(t, "answered")
			age := rapid.SampledFrom([]time.Duration{0, 0, 0, 0, 0, 0, 0, 0, 0, 0, time.Second, 11 * time.Second}).Draw(t, "age")
			p.checked(t, time.Duration(i)*settings.Every, demand, age)
		}
	})
}

// checked looks once and checks what was decided.
func (p *pool) checked(t *rapid.T, now time.Duration, demand Demand, age time.Duration) {
	busy, again := p.changing != nil && now < p.back, *p
	again.engines = append([]Engine{}, p.engines...)
	last, changed := p.at, p.changed
	decision := p.look(now, demand, age)
	if other := again.look(now, demand, age); fmt.Sprint(decision.Reason, decision.Gain, decision.Cost) != fmt.Sprint(other.Reason, other.Gain, other.Cost) || p.state != again.state {
		t.Fatalf("the same look gave %+v and %+v", decision, other)
	}
	c := decision.Change
	if c == nil {
		return
	}
	switch {
	case busy:
		t.Fatalf("%+v while another change is under way", *c)
	case p.bounds.ForbidsChanges():
		t.Fatalf("%+v though the bounds forbid all", *c)
	case age > p.settings.StaleAfter:
		t.Fatalf("%+v on an observation of %s ago", *c, age)
	case demand.Answered < 7:
		t.Fatalf("%+v though %d of 9 answered", *c, demand.Answered)
	case changed && now-last < p.settings.Dwell:
		t.Fatalf("%+v %s after the last change", *c, now-last)
	case count(p.engines).total() < p.bounds.MinServing:
		t.Fatalf("%+v leaves %d serving, want %d", *c, count(p.engines).total(), p.bounds.MinServing)
	}
	during := count(p.engines)
	before, after := during.plus(c.From, 1), during.plus(c.To, 1)
	if v := after.violation(p.bounds); v > 0 && v >= before.violation(p.bounds) {
		t.Fatalf("%+v leaves the bounds: %+v", *c, after)
	}
	if !after.capable() || !during.capable() {
		t.Fatalf("%+v leaves a kind of work without engine: %+v", *c, after)
	}
}
