package plan

import (
	"slices"
	"strings"
	"testing"

	"sassafrasfield/internal/config"
)

func versionState(version string) config.EngineState {
	return config.EngineState{Model: "m", Version: version, Role: config.RoleMixed}
}

// newConfig returns a configuration whose engines all serve version 1.
func newConfig(minServing int, ids ...string) *config.Config {
	doc := &config.Config{
		Version: 7, Intent: 3,
		Models:        []config.Model{{Name: "m", Version: "1", WeightBytes: 100}},
		Pools:         []config.Pool{{Name: "p", Model: "m", MinServing: minServing}},
		Organisations: []config.Organisation{{Name: "qoton"}, {Name: "agedim"}},
	}
	for i, id := range ids {
		doc.Engines = append(doc.Engines, config.Engine{
			ID: id, Zone: []string{"hall-a", "hall-b"}[i%2], Pool: "p", Want: versionState("1"), Loaded: versionState("1"), Routing: config.RoutingServing,
		})
	}
	return doc
}

func setWantedVersion(doc *config.Config, version string, ids ...string) {
	for _, id := range ids {
		doc.Engine(id).Want = versionState(version)
	}
}

func TestBuild(t *testing.T) {
	costs := Costs{ChangeSeconds: 5, LoadSeconds: 1, WeightRate: 10}
	cases := []struct {
		name       string
		minServing int
		base       func(*config.Config)
		change     func(*config.Config)
		kinds      []Kind
		effect     Effect
		// out is the OutSeconds of the last step. warning and refusal are parts of the expected ones, of
		// which there is at most one each.
		out              float64
		warning, refusal string
	}{
		{
			name: "version change", minServing: 2, kinds: []Kind{KindChange, KindChange, KindChange, KindChange},
			change: func(d *config.Config) { setWantedVersion(d, "2", "a", "b", "c", "d") },
			effect: Effect{Model: "m", Before: 4, Lowest: 3, After: 4}, out: 15,
		},
		{
			name: "floor leaves none to spare", minServing: 4, kinds: []Kind{KindChange},
			change: func(d *config.Config) { setWantedVersion(d, "2", "a") },
			effect: Effect{Model: "m", Before: 4, Lowest: 4, After: 4}, out: 15, refusal: "none to spare",
		},
		{
			name: "withdrawal below the floor", minServing: 4, kinds: []Kind{KindWithdraw},
			change: func(d *config.Config) { d.Engine("a").Leave = true },
			effect: Effect{Model: "m", Before: 4, Lowest: 3, After: 3}, refusal: "fewer than its min_serving",
		},
		{
			name: "replacement adds before it takes away", minServing: 4, kinds: []Kind{KindReturn, KindWithdraw},
			change: func(d *config.Config) {
				d.Engine("a").Leave = true
				d.Engines = append(d.Engines, config.Engine{ID: "e", Zone: "hall-a", Pool: "p", Want: versionState("1"), Routing: config.RoutingOut})
			},
			effect: Effect{Model: "m", Before: 4, Lowest: 4, After: 4},
		},
		{
			name: "a zone is left empty", kinds: []Kind{KindWithdraw, KindWithdraw},
			change: func(d *config.Config) { d.Engine("b").Leave, d.Engine("d").Leave = true, true },
			effect: Effect{Model: "m", Before: 4, Lowest: 2, After: 2}, warning: "zone hall-b is left without",
		},
		{
			name: "callers lose a model", kinds: []Kind{KindConfigure},
			change: func(d *config.Config) { d.Models[0].Callers = []string{"qoton"} },
			effect: Effect{Model: "m", Before: 4, Lowest: 4, After: 4}, warning: "organisation agedim loses model m",
		},
		{
			name: "another plan changes the engine", kinds: []Kind{KindWithdraw},
			base:   func(d *config.Config) { d.Engine("a").Want, d.Engine("a").Plan = versionState("2"), "other" },
			change: func(d *config.Config) { d.Engine("a").Leave = true },
			effect: Effect{Model: "m", Before: 4, Lowest: 3, After: 3}, refusal: "being changed by plan other",
		},
		{
			name: "a serving engine can't get another address", kinds: []Kind{KindConfigure},
			change: func(d *config.Config) { d.Engine("a").Address = "10.0.0.1:1" },
			effect: Effect{Model: "m", Before: 4, Lowest: 4, After: 4}, refusal: "let it leave first",
		},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			from := newConfig(c.minServing, "a", "b", "c", "d")
			if c.base != nil {
				c.base(from)
			}
			to := from.Clone()
			c.change(to)
			p := Build(from, to, costs)
			var kinds []Kind
			for _, step := range p.Steps {
				kinds = append(kinds, step.Kind)
			}
			if !slices.Equal(kinds, c.kinds) || p.Effects[0] != c.effect || p.Steps[len(kinds)-1].OutSeconds != c.out {
				t.Errorf("steps %+v, effects %+v", p.Steps, p.Effects)
			}
			checkFindings(t, "warnings", p.Warnings, c.warning)
			checkFindings(t, "refusals", p.Refusals, c.refusal)
		})
	}
}

func checkFindings(t *testing.T, kind string, got []string, want string) {
	t.Helper()
	if (want == "" && len(got) > 0) || (want != "" && (len(got) != 1 || !strings.Contains(got[0], want))) {
		t.Errorf("%s %q, want %q", kind, got, want)
	}
}

// TestCancelRevertsStepsThatHaveNotStarted cancels a plan with one completed step, one that has started and
// one that has not.
func TestCancelRevertsStepsThatHaveNotStarted(t *testing.T) {
	from := newConfig(0, "a", "b", "c")
	to := from.Clone()
	setWantedVersion(to, "2", "a", "b", "c")
	p := Build(from, to, Costs{})
	p.ID, p.State, p.Version = "x", StateConfirmed, 8
	p.ClaimEngines(to)
	to.Version = 8
	to.Engine("a").Loaded, to.Engine("a").Plan = versionState("2"), ""
	to.Engine("b").Routing = config.RoutingDraining
	if got := p.ProgressIn(to).Steps; !slices.Equal(got, []StepState{StepDone, StepRunning, StepWaiting}) {
		t.Errorf("before: %v", got)
	}
	if !p.Cancel(to) {
		t.Fatal("nothing to cancel")
	}
	if !to.Engine("b").Want.Equal(versionState("2")) || !to.Engine("c").Want.Equal(versionState("1")) || len(RunningIDs(to)) != 0 {
		t.Errorf("engines %+v", to.Engines)
	}
	if got := p.ProgressIn(to); got.State != "cancelled" || !slices.Equal(got.Steps, []StepState{StepDone, StepRunning, StepCancelled}) {
		t.Errorf("after: %+v", got)
	}
}
