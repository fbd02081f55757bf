package upstreamstate

import (
	"fmt"
	"testing"
	"time"

	"sassafrasfield/internal/config"
	"sassafrasfield/internal/placement"
)

// TestSampleDoesNotGrowWithEngines guards against choices whose time and memory grow with the fleet: 985 instances
// with 9,640 engines each weighed all of them three times for a request, and kept buffers for all.
func TestSampleDoesNotGrowWithEngines(t *testing.T) {
	for _, engines := range []int{600, 964, 9640, 19280} {
		s := newLargeState(engines)
		r := PlacementRequest{ID: "r", Service: "llm", Prompt: benchPrompt(1), Objective: time.Second}
		near, roles := map[string]int{}, map[config.Role]int{}
		selected := sample(s.byService["llm"], s.request(r, 0), nil)
		for _, n := range selected {
			near[n.Zone]++
			roles[n.Role]++
		}
		if len(selected) > 6*sampleSize || roles[config.RolePrefill] < sampleSize || roles[config.RoleDecode] < sampleSize/2 || near["z0"] < sampleSize/2 {
			t.Errorf("%d engines: %d selected, by zone %v, by role %v", engines, len(selected), near, roles)
		}
	}
}

// TestSamplesOfInstancesAgree guards against work that is spread thinly over a large fleet: instances of a zone that
// learned of the engines in another order must prefer the same ones.
func TestSamplesOfInstancesAgree(t *testing.T) {
	const engines = 9640
	a, b := newLargeState(engines), New(Settings{Zone: "z0"})
	for i := engines - 1; i >= 0; i-- {
		b.UpdateUpstream(a.Upstream(fmt.Sprint("engine-", i)))
	}
	req := &placement.Request{Zone: "z0"}
	first := map[string]bool{}
	for _, n := range sample(a.byService["llm"], req, nil) {
		first[n.ID] = true
	}
	second := sample(b.byService["llm"], req, nil)
	for _, n := range second {
		if !first[n.ID] {
			t.Errorf("only one instance prefers %s", n.ID)
		}
	}
	if len(second) != len(first) {
		t.Errorf("%d and %d engines", len(first), len(second))
	}
}

// TestCachedEngineIsChosenOutsideSample guards against prompts that are processed again although an engine that is
// not in the sample has their shared part cached.
func TestCachedEngineIsChosenOutsideSample(t *testing.T) {
	s := newLargeState(9640)
	r := PlacementRequest{ID: "r", Service: "llm", Prompt: benchPrompt(1), Objective: time.Second, RemainingWait: 6 * time.Second}
	req := s.request(r, 0)
	selected := map[string]bool{}
	for _, n := range sample(s.byService["llm"], req, nil) {
		selected[n.ID] = true
	}
	for i := range 9640 {
		n := s.nodes[fmt.Sprint("engine-", i)]
		if selected[n.ID] || n.Role != config.RolePrefill {
			continue
		}
		s.parts.record(PlacedPart{Engine: n.hash, Part: hashOf(r.Prompt.Parts[0].ID)}, 0)
		if chosen, _, ok := s.PickPrefill(r, 0); !ok || chosen.Engine.ID != n.ID {
			t.Errorf("chose %s, want %s", chosen.Engine.ID, n.ID)
		}
		return
	}
}

// TestCrowdedSampleIsLeft guards against a surge that waits at the sampled engines while all others are idle.
func TestCrowdedSampleIsLeft(t *testing.T) {
	s := newLargeState(9640)
	r := PlacementRequest{ID: "r", Service: "llm", Prompt: benchPrompt(1), Objective: time.Second, RemainingWait: 6 * time.Second}
	report := Report{}
	for _, n := range sample(s.byService["llm"], s.request(r, 0), nil) {
		report.Loads = append(report.Loads, EngineLoad{Engine: n.hash, Requests: 60, Backlog: time.Second, Utilization: 1})
	}
	s.ApplyReport(sourceName(1), report, 0)
	if chosen, _, ok := s.PickPrefill(r, 0); !ok || chosen.Engine.Aggregate.Backlog > 0 {
		t.Errorf("chose an engine with a backlog of %s", chosen.Engine.Aggregate.Backlog)
	}
	if chosen, ok := s.PickDecode(r, "z0", 0); !ok || chosen.Aggregate.Requests > 0 {
		t.Errorf("chose an engine with %d requests", chosen.Aggregate.Requests)
	}
}
