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

// Sizes of the benchmarks: the first customers' fleet, the largest one that is
// served, and two on the way to the target of docs/CAPACITY.md.
var (
	benchEngines = []int{18, 78, 600, 3000}
	benchSources = []int{9, 195, 400}
)

// largePicture knows engines of which 13 in 18 process prompts, in six zones.
func largePicture(engines int) *State {
	p := New(Settings{
		Zone: "z0", Placement: placement.DefaultSettings(), Prior: estimate.DefaultPrior(), Outliers: load.DefaultOutlierRules(), Seed: 1,
	})
	p.SetRoutes(routes.NewTable(1, nil, []routes.Service{{Name: "llm", Engine: &routes.EngineLimits{
		Slots: 64, KVTokens: 440000, TransferTime: 760, EventTokens: 1,
	}}}, routes.Limits{}), 0)
	for i := range engines {
		role := config.RoleDecode
		if i%18 < 13 {
			role = config.RolePrefill
		}
		p.UpdateUpstream(Upstream{ID: "engine-" + strconv.Itoa(i), Service: "llm", Address: "a", Zone: zoneOf(i), Role: role})
	}
	return p
}

func zoneOf(i int) string { return "z" + strconv.Itoa(i%6) }

// sourceReport is what one of many instances has under way: a few requests, and
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

// benchPlacement places prompts; with reports, another instance tells of its load
// before each.
func benchPlacement(b *testing.B, engines, sources int, reports bool) {
	p := largePicture(engines)
	for i := range sources {
		p.ApplyReport(sourceName(i), sourceReport(i, engines), 0)
	}
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		if reports {
			p.ApplyReport(sourceName(i%sources), sourceReport(i%sources, engines), 0)
		}
		ask := PlacementRequest{ID: "r", Service: "llm", Prompt: benchPrompt(i), Objective: time.Second, RemainingWait: 6 * time.Second}
		start, turn, ok := p.PickPrefill(ask, 0)
		if !ok {
			b.Fatal("no engine")
		}
		p.PromptDone(start.Engine.ID, start.BusyTime, turn)
		p.RequestDone(start.Engine.ID, "r", 0)
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

func BenchmarkTakeReport(b *testing.B) {
	for _, sources := range benchSources {
		b.Run(fmt.Sprintf("sources=%d", sources), func(b *testing.B) {
			p := largePicture(78)
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				p.ApplyReport(sourceName(i%sources), sourceReport(i%sources, 78), 0)
			}
		})
	}
}

func BenchmarkOwnReport(b *testing.B) {
	for _, engines := range benchEngines {
		b.Run(fmt.Sprintf("engines=%d", engines), func(b *testing.B) {
			p := largePicture(engines)
			p.PickPrefill(PlacementRequest{ID: "r", Service: "llm", Prompt: benchPrompt(1), Objective: time.Second, RemainingWait: time.Second}, 0)
			b.ReportAllocs()
			for b.Loop() {
				p.OwnReport(0)
			}
		})
	}
}
