package versions

import (
	"context"
	"fmt"
	"strings"
	"testing"

	"sassafrasfield/internal/config"
	"sassafrasfield/internal/platform"
)

// fullSizeConfig returns a document of the size that the project is designed for: 1,900
// engines in 93 pools of 31 models in 3 regions, and 220 organisations.
func fullSizeConfig() *config.Config {
	doc := &config.Config{Version: 1, Intent: 1}
	for m := range 31 {
		name := fmt.Sprintf("model-%02d", m)
		doc.Models = append(doc.Models, config.Model{Name: name, Version: "2026-11-03", Adapters: []string{"house", "grades"}})
		for r := range 3 {
			doc.Pools = append(doc.Pools, config.Pool{Name: fmt.Sprintf("%s-r%d", name, r), Model: name, MinServing: 4})
		}
	}
	for e := range 1900 {
		pool := doc.Pools[e%len(doc.Pools)]
		state := config.EngineState{Model: pool.Model, Version: "2026-11-03", Adapters: []string{"house", "grades"}, Role: config.RoleMixed}
		doc.Engines = append(doc.Engines, config.Engine{
			ID: fmt.Sprintf("engine-%04d", e), Address: fmt.Sprintf("10.%d.%d.%d:8000", e/65000, e/250%250, e%250),
			Zone: fmt.Sprintf("zone-%02d", e%12), Pool: pool.Name, Fencing: config.FencingRefuse,
			Want: state, Loaded: state, Routing: config.RoutingServing, RoutingSince: int64(e),
		})
	}
	for o := range 220 {
		doc.Organisations = append(doc.Organisations, config.Organisation{
			Name: fmt.Sprintf("organisation-%03d", o), RequestsPerSecond: 50, Burst: 100,
			KeyHashes: []string{strings.Repeat(fmt.Sprintf("%04x", o*7919%65536), 16)},
		})
	}
	return doc
}

// BenchmarkRows measures the size of the log's rows for a document of full size: the whole
// document plain and compressed, the delta of a routing change of one engine, and the delta
// of an intent that changes a model's version. The measured time is that of a load and an append.
func BenchmarkRows(b *testing.B) {
	doc := fullSizeConfig()
	marked := doc.Clone()
	marked.SetRouting("engine-0007", config.RoutingDraining)
	intent := doc.Clone()
	for i := range intent.Engines {
		if e := &intent.Engines[i]; e.Want.Model == "model-03" {
			e.Want.Version = "2026-12-01"
		}
	}
	log := Log{Table: newFakeTable()}
	if err := log.Append(context.Background(), Head{}, doc, Entry{}, platform.Txn{}); err != nil {
		b.Fatal(err)
	}
	known := doc
	for b.Loop() {
		head, next, err := log.NewestFrom(context.Background(), known)
		if err != nil {
			b.Fatal(err)
		}
		next.Version++
		next.SetRouting("engine-0007", []config.Routing{config.RoutingDraining, config.RoutingServing}[next.Version%2])
		if err := log.Append(context.Background(), head, next, Entry{}, platform.Txn{}); err != nil {
			b.Fatal(err)
		}
		known = next
	}
	b.ReportMetric(float64(len(doc.Encode())), "whole-B")
	b.ReportMetric(float64(len(pack(doc))), "packed-B")
	b.ReportMetric(float64(len(pack(Diff(doc, marked)))), "mark-delta-B")
	b.ReportMetric(float64(len(pack(Diff(doc, intent)))), "intent-delta-B")
}
