package upstreamstate

import (
	"fmt"
	"strconv"
	"testing"
	"time"

	"sassafrasfield/internal/config"
	"sassafrasfield/internal/estimate"
	"sassafrasfield/internal/load"
	"sassafrasfield/internal/placement"
	"sassafrasfield/internal/routes"
)

// Sizes of the benchmarks: the first customers' fleet, the largest fleet served today, and two
// sizes on the way to the target of docs/CAPACITY.md.
var (
	benchEngines = []int{18, 78, 600, 3000}
	benchSources = []int{9, 195, 400}
)

// newLargeState returns a State with the given number of engines in six zones; 13 in 18 of them are prefill
// engines.
func newLargeState(engines int) *State {
	s := New(Settings{
		Zone: "z0", Placement: placement.DefaultSettings(), Prior: estimate.DefaultPrior(), Outliers: load.DefaultOutlierRules(), Seed: 1,
	})
	s.SetRoutes(routes.NewTable(1, nil, []routes.Service{{Name: "llm", Engine: &routes.EngineLimits{
		Slots: 64, KVTokens: 440000, TransferTime: 760, EventTokens: 1,
	}}}, routes.Limits{}), 0)
	for i := range engines {
		role := config.RoleDecode
		if i%18 < 13 {
			role = config.RolePrefill
		}
		s.UpdateUpstream(Upstream{ID: "engine-" + strconv.Itoa(i), Service: "llm", Address: "a", Zone: zoneOf(i), Role: role})
	}
	return s
}

func zoneOf(i int) string { return "z" + strconv.Itoa(i%6) }

// sourceReport is the report of one of many instances: a few requests in progress and the prompt
// parts that it placed.
func sourceReport(source, engines int) Report {
	var r Report
	for i := range 4 {
		engine := hashOf("engine-" + strconv.Itoa((source*7+i*13)%engines))
		r.Loads = append(r.Loads, EngineLoad{Engine: engine, Requests: 1, Backlog: 30 * time.Millisecond, Utilization: 0.1})
		r.Placed = append(r.Placed, PlacedPart{Engine: engine, Part: hashOf("part-" + strconv.Itoa((source+i)%500))})
	}
	return r
}

func sourceName(i int) string { return InstanceSourcePrefix + strconv.Itoa(i) }

func benchPrompt(i int) placement.Prompt {
	return placement.Prompt{Tokens: 17000, MaxOutput: 600, Parts: []placement.Part{
		{ID: "part-" + strconv.Itoa(i%500), Tokens: 13300}, {ID: "own", Tokens: 3700},
	}}
}

// benchPlacement places prompts. With reports set, a report of another instance is applied before
// each placement.
func benchPlacement(b *testing.B, engines, sources int, reports bool) {
	s := newLargeState(engines)
	for i := range sources {
		s.ApplyReport(sourceName(i), sourceReport(i, engines), 0)
	}
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		if reports {
			s.ApplyReport(sourceName(i%sources), sourceReport(i%sources, engines), 0)
		}
		request := PlacementRequest{ID: "r", Service: "llm", Prompt: benchPrompt(i), Objective: time.Second, RemainingWait: 6 * time.Second}
		prefill, order, ok := s.PickPrefill(request, 0)
		if !ok {
			b.Fatal("no engine")
		}
		s.PromptDone(prefill.Engine.ID, prefill.BusyTime, order)
		s.RequestDone(prefill.Engine.ID, "r", 0)
	}
}

func BenchmarkPlacement(b *testing.B) {
	for _, engines := range benchEngines {
		for _, sources := range benchSources {
			b.Run(fmt.Sprintf("engines=%d/sources=%d", engines, sources), func(b *testing.B) {
				benchPlacement(b, engines, sources, false)
			})
		}
	}
}

func BenchmarkPlacementAmongReports(b *testing.B) {
	for _, engines := range benchEngines {
		for _, sources := range benchSources {
			b.Run(fmt.Sprintf("engines=%d/sources=%d", engines, sources), func(b *testing.B) {
				benchPlacement(b, engines, sources, true)
			})
		}
	}
}

func BenchmarkApplyReport(b *testing.B) {
	for _, sources := range benchSources {
		b.Run(fmt.Sprintf("sources=%d", sources), func(b *testing.B) {
			s := newLargeState(78)
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				s.ApplyReport(sourceName(i%sources), sourceReport(i%sources, 78), 0)
			}
		})
	}
}

func BenchmarkOwnReport(b *testing.B) {
	for _, engines := range benchEngines {
		b.Run(fmt.Sprintf("engines=%d", engines), func(b *testing.B) {
			s := newLargeState(engines)
			s.PickPrefill(PlacementRequest{ID: "r", Service: "llm", Prompt: benchPrompt(1), Objective: time.Second, RemainingWait: time.Second}, 0)
			b.ReportAllocs()
			for b.Loop() {
				s.OwnReport(0)
			}
		})
	}
}
