package placement

import (
	"testing"
	"time"

	"sassafrasfield/internal/config"
	"sassafrasfield/internal/load"
)

// Guards against candidates of several zones in one reservation request, of which only one zone's hub knows the load,
// and against a copy price on the engine that has the shared part.
func TestPrefillChoicesAreOfOneZone(t *testing.T) {
	prompt := Prompt{Tokens: 5000, Parts: []Part{{ID: "shared", Tokens: 4000}, {ID: "own", Tokens: 1000}}}
	req := &Request{Prompt: prompt, Costs: Costs{EngineTimes: EngineTimes{TokenTime: 10_000, FetchTime: 1_000, CacheTokens: 400_000}, Settings: DefaultSettings()}}
	engine := &config.Engine{Loaded: config.EngineState{Role: config.RolePrefill}}
	var candidates []Candidate
	for _, id := range []string{"a0", "a1", "a2", "b0", "b1", "b2"} {
		candidates = append(candidates, Candidate{ID: id, Zone: id[:1], Engine: engine, Load: &load.Upstream{}})
	}
	candidates[4].Aggregate.CachedTokens = 4000
	scheduler := NewDisaggregatedScheduler()
	choices := scheduler.PrefillChoices(req, candidates, 2, "")
	if len(choices) != 2 || choices[0].Engine.ID != "b1" || choices[1].Engine.Zone != "b" || choices[0].Copy != 0 {
		t.Errorf("%+v", choices)
	}
	for _, c := range scheduler.PrefillChoices(req, candidates, 16, "b") {
		if c.Engine.Zone != "a" || c.BusyTime < 10*time.Millisecond {
			t.Errorf("%+v", c)
		}
	}
}
