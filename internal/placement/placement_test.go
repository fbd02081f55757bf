package placement

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"sassafrasfield/internal/config"
	"sassafrasfield/internal/engine"
	"sassafrasfield/internal/load"
)

func rng() *rand.Rand { return rand.New(rand.NewPCG(1, 2)) }

// newEngines returns n engines that serve model m, each with a report of an idle engine.
func newEngines(n int) (*load.Table, []Candidate) {
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
		"out of routing":        {change: func(c *Candidate) { c.Engine.Routing = config.RoutingDraining }},
		"draining by operators": {change: func(c *Candidate) { c.Draining = true }},
		"draining by platform":  {req: Request{Draining: map[string]bool{"e0": true}}},
		"failed this request":   {req: Request{Excluded: map[string]bool{"e0": true}}},
		"other model":           {change: func(c *Candidate) { c.Engine.Loaded.Model = "n" }},
		"other version":         {req: Request{Version: "2"}},
		"adapter not loaded":    {req: Request{Adapter: "b"}},
		"prefill role":          {change: func(c *Candidate) { c.Engine.Loaded.Role = config.RolePrefill }},
		"decode role": {
			req:    Request{Phase: PhasePrefill},
			change: func(c *Candidate) { c.Engine.Loaded.Role = config.RoleDecode },
		},
	}
	for name, tc := range cases {
		_, candidates := newEngines(1)
		if tc.change != nil {
			tc.change(&candidates[0])
		}
		if got := schedule(t, PolicyCharge, tc.req, candidates); got != "none" {
			t.Errorf("%s: the engine was chosen", name)
		}
	}
	_, candidates := newEngines(1)
	candidates[0].Engine.Loaded.Role = config.RolePrefill
	if got := schedule(t, PolicyCharge, Request{Adapter: "a", Version: "1", Phase: PhasePrefill}, candidates); got != "e0" {
		t.Errorf("got %s, want the engine that fits", got)
	}
}

func TestEjectionIsIgnoredWhenMostUpstreamsFail(t *testing.T) {
	table, candidates := newEngines(10)
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

func TestPoliciesUseTheirOwnLoadView(t *testing.T) {
	table, candidates := newEngines(2)
	// According to the reports e0 is less loaded. With the instance's own placements, which the reports do
	// not count yet, e1 is.
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
		t.Errorf("got %s: the placement is still charged after its stream ended", got)
	}
}

func TestLongQueueOutweighsPrefixHint(t *testing.T) {
	table, candidates := newEngines(2)
	prefix := []uint64{1, 2, 3, 4, 5}
	table.CacheEvents("e1", engine.CacheEvents{Boot: "b", Events: []engine.CacheEvent{
		{Seq: 1, Block: 1, Stored: true}, {Seq: 2, Block: 2, Stored: true}, {Seq: 3, Block: 3, Stored: true},
	}})
	req := Request{Prompt: Prompt{Tokens: 80}, Prefix: prefix}
	if got := schedule(t, PolicyChargePrefix, req, candidates); got != "e1" {
		t.Errorf("got %s, want the engine with the cached prefix", got)
	}
	table.Place("e1", load.Placement{ID: "r", PrefillTokens: 4000, At: time.Second})
	if got := schedule(t, PolicyChargePrefix, req, candidates); got != "e0" {
		t.Errorf("got %s: a small cache hit outweighed a long queue", got)
	}
}

func TestOwnZoneIsPreferredUnlessItsMemoryIsFull(t *testing.T) {
	table, candidates := newEngines(3)
	candidates[1].Zone = "near"
	req := Request{Prompt: Prompt{Tokens: 10}, Blocks: 60, Zone: "near"}
	if got := schedule(t, PolicyCharge, req, candidates); got != "e1" {
		t.Errorf("got %s, want the engine of the own zone", got)
	}
	table.Place("e1", load.Placement{ID: "r", Blocks: 60, At: time.Second})
	if got := schedule(t, PolicyCharge, req, candidates); got == "e1" {
		t.Error("chose an engine without room in its KV memory")
	}
}

func TestNearBestSpreadsInstancesWithTheSameReports(t *testing.T) {
	table, candidates := newEngines(5)
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
		t.Errorf("two choices picked loaded engines: %v", two)
	}
}

// TestPartIDsAreBounded guards against log lines as long as a prompt has parts.
func TestPartIDsAreBounded(t *testing.T) {
	p := Prompt{Parts: []Part{{ID: "a", Tokens: 1}, {ID: "b"}}}
	if ids := p.PartIDs(); ids != "a,b" {
		t.Errorf("%q", ids)
	}
	p.Parts = make([]Part, 1000)
	for n := range p.Parts {
		p.Parts[n].ID = strings.Repeat("x", 1000)
	}
	if ids := p.PartIDs(); len(ids) > 500 {
		t.Errorf("%d bytes", len(ids))
	}
}
