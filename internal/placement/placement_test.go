package placement

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"sassafrasfield/internal/config"
	"sassafrasfield/internal/engine"
	"sassafrasfield/internal/load"
)

func rng() *rand.Rand { return rand.New(rand.NewPCG(1, 2)) }

// fleet has n engines that serve model m, each with an idle report.
func fleet(n int) (*load.Table, []Candidate) {
	table := load.NewTable()
	var candidates []Candidate
	for i := range n {
		id := fmt.Sprintf("e%d", i)
		table.Reported(id, engine.Report{Boot: "b", Seq: 1, PrefillRate: 1000, KVBlocksFree: 100, KVBlocksTotal: 100}, time.Second)
		candidates = append(candidates, Candidate{
			ID: id, Zone: "far", Load: table.Upstream(id),
			Engine: &config.Engine{ID: id, Routing: config.RoutingServing, Loaded: config.EngineState{
				Model: "m", Version: "1", Adapters: []string{"a"}, Role: config.RoleMixed,
			}},
		})
	}
	return table, candidates
}

func schedule(t *testing.T, policy Policy, req Request, candidates []Candidate) string {
	t.Helper()
	req.Model, req.Now = "m", time.Second
	c, ok := NewScheduler(policy, PickBest).Schedule(&req, candidates, rng())
	if !ok {
		return "none"
	}
	return c.ID
}

func TestStrictFiltersNeverYield(t *testing.T) {
	cases := map[string]struct {
		req    Request
		change func(*Candidate)
	}{
		"out of routing":       {change: func(c *Candidate) { c.Engine.Routing = config.RoutingDraining }},
		"leaving by operators": {change: func(c *Candidate) { c.Draining = true }},
		"leaving by platform":  {req: Request{Draining: map[string]bool{"e0": true}}},
		"failed this request":  {req: Request{Excluded: map[string]bool{"e0": true}}},
		"other model":          {change: func(c *Candidate) { c.Engine.Loaded.Model = "n" }},
		"other version":        {req: Request{Version: "2"}},
		"adapter not loaded":   {req: Request{Adapter: "b"}},
		"role for prompts":     {change: func(c *Candidate) { c.Engine.Loaded.Role = config.RolePrefill }},
		"role for answers": {
			req:    Request{Phase: PhasePrefill},
			change: func(c *Candidate) { c.Engine.Loaded.Role = config.RoleDecode },
		},
	}
	for name, tc := range cases {
		_, candidates := fleet(1)
		if tc.change != nil {
			tc.change(&candidates[0])
		}
		if got := schedule(t, PolicyCharge, tc.req, candidates); got != "none" {
			t.Errorf("%s: chosen all the same", name)
		}
	}
	_, candidates := fleet(1)
	candidates[0].Engine.Loaded.Role = config.RolePrefill
	if got := schedule(t, PolicyCharge, Request{Adapter: "a", Version: "1", Phase: PhasePrefill}, candidates); got != "e0" {
		t.Errorf("an engine that fits is not chosen: %s", got)
	}
}

func TestEjectionYieldsWhenMostFail(t *testing.T) {
	table, candidates := fleet(10)
	eject := func(n int) {
		for i := range n {
			for range table.Outliers.Failures {
				table.Failed(candidates[i].ID, time.Second)
			}
		}
	}
	chosen := func() map[string]bool {
		seen := map[string]bool{}
		random := rng()
		for range 400 {
			c, _ := NewScheduler(PolicyCharge, PickBest).Schedule(&Request{Model: "m", Now: time.Second}, candidates, random)
			seen[c.ID] = true
		}
		return seen
	}
	eject(7)
	if seen := chosen(); len(seen) != 3 || seen["e0"] {
		t.Fatalf("chosen with 7 of 10 ejected: %v", seen)
	}
	eject(8)
	if seen := chosen(); len(seen) != 10 {
		t.Fatalf("chosen with 8 of 10 ejected: %v, want all", seen)
	}
	candidates[9].Suspect = true
	eject(0)
	if seen := chosen(); len(seen) != 10 {
		t.Fatalf("chosen with 9 of 10 failing: %v, want all", seen)
	}
}

func TestPoliciesSeeTheirOwnPartOfTheLoad(t *testing.T) {
	table, candidates := fleet(2)
	// By the report e0 is the better one; the entry's own placements, which the
	// report does not count yet, say e1.
	table.Reported("e1", engine.Report{Boot: "b", Seq: 2, Running: 1, PrefillTokens: 100, PrefillRate: 1000}, time.Second)
	table.Place("e0", load.Placement{ID: "r", PrefillTokens: 5000, At: time.Second})
	for policy, want := range map[Policy]string{PolicyReport: "e0", PolicyLocal: "e1", PolicyCharge: "e1"} {
		if got := schedule(t, policy, Request{Prompt: Prompt{Tokens: 10}}, candidates); got != want {
			t.Errorf("%s chose %s, want %s", policy, got, want)
		}
	}
	table.Started("e0", "r")
	table.End("e0", "r", time.Second)
	if got := schedule(t, PolicyCharge, Request{Prompt: Prompt{Tokens: 10}}, candidates); got != "e0" {
		t.Errorf("the charge outlived its stream: %s", got)
	}
}

func TestPrefixHintsWinUntilTheQueueCostsMore(t *testing.T) {
	table, candidates := fleet(2)
	prefix := []uint64{1, 2, 3, 4, 5}
	table.CacheEvents("e1", engine.CacheEvents{Boot: "b", Events: []engine.CacheEvent{
		{Seq: 1, Block: 1, Stored: true}, {Seq: 2, Block: 2, Stored: true}, {Seq: 3, Block: 3, Stored: true},
	}})
	req := Request{Prompt: Prompt{Tokens: 80}, Prefix: prefix}
	if got := schedule(t, PolicyChargePrefix, req, candidates); got != "e1" {
		t.Errorf("the engine with the cached prefix is not chosen: %s", got)
	}
	table.Place("e1", load.Placement{ID: "r", PrefillTokens: 4000, At: time.Second})
	if got := schedule(t, PolicyChargePrefix, req, candidates); got != "e0" {
		t.Errorf("a long queue was preferred for a small hit: %s", got)
	}
}

func TestMemoryAndZone(t *testing.T) {
	table, candidates := fleet(3)
	candidates[1].Zone = "near"
	req := Request{Prompt: Prompt{Tokens: 10}, Blocks: 60, Zone: "near"}
	if got := schedule(t, PolicyCharge, req, candidates); got != "e1" {
		t.Errorf("the own zone is not preferred: %s", got)
	}
	table.Place("e1", load.Placement{ID: "r", Blocks: 60, At: time.Second})
	if got := schedule(t, PolicyCharge, req, candidates); got == "e1" {
		t.Error("placed where the memory has no room")
	}
}

func TestNearBestSpreadsEntriesWithTheSamePicture(t *testing.T) {
	table, candidates := fleet(5)
	for i := 2; i < 5; i++ {
		table.Reported(candidates[i].ID, engine.Report{Boot: "b", Seq: 2, PrefillTokens: 9000, PrefillRate: 1000}, time.Second)
	}
	table.Reported("e1", engine.Report{Boot: "b", Seq: 2, PrefillTokens: 5, PrefillRate: 1000}, time.Second)
	counts := map[string]int{}
	random := rng()
	for range 1000 {
		c, _ := NewScheduler(PolicyCharge, PickNearBest).Schedule(&Request{Model: "m", Now: time.Second}, candidates, random)
		counts[c.ID]++
	}
	if counts["e0"] < 400 || counts["e1"] < 400 || counts["e0"]+counts["e1"] != 1000 {
		t.Errorf("choices: %v", counts)
	}
	two := map[string]int{}
	for range 1000 {
		c, _ := NewScheduler(PolicyCharge, PickTwoChoices).Schedule(&Request{Model: "m", Now: time.Second}, candidates, random)
		two[c.ID]++
	}
	if two["e2"]+two["e3"]+two["e4"] > 500 {
		t.Errorf("two choices took loaded engines: %v", two)
	}
}
