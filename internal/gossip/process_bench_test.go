package gossip_test

import (
	"context"
	"fmt"
	"os"
	"strconv"
	"strings"
	"testing"
	"time"

	"sassafrasfield/internal/config"
	"sassafrasfield/internal/platform"
	"sassafrasfield/internal/testfleet"
	"sassafrasfield/internal/versions"
)

// ticksPerSecond of the times in /proc/<pid>/stat (USER_HZ on Linux).
const ticksPerSecond = 100

// BenchmarkControlProcess measures the processor time and memory of nine real
// sf-control processes. Run it with -benchtime 1x.
func BenchmarkControlProcess(b *testing.B) {
	for _, engines := range []int{0, 400, 1900} {
		for _, perMinute := range []int{0, 10} {
			b.Run(fmt.Sprintf("engines=%d/changes=%d", engines, perMinute), func(b *testing.B) {
				for range b.N {
					measureControls(b, engines, perMinute)
				}
			})
		}
	}
}

func measureControls(b *testing.B, engines, perMinute int) {
	const instances, window = 9, 18 * time.Second
	bin, err := testfleet.Bin()
	if err != nil {
		b.Fatal(err)
	}
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Minute)
	defer cancel()
	fleet := testfleet.New(bin, b.TempDir())
	defer fleet.Stop()
	if err := fleet.StartPlatform(ctx); err != nil {
		b.Fatal(err)
	}
	for i := range instances {
		instance, err := fleet.AddInstance(ctx, fmt.Sprintf("inst-%d", i), "zone")
		if err != nil {
			b.Fatal(err)
		}
		instance.Entry.Kill() // measure only the distribution of configuration
	}
	change(ctx, b, fleet, engines)
	time.Sleep(4 * time.Second) // exclude the start from the measurement
	before := processorSeconds(b, fleet)
	end := time.Now().Add(window)
	for perMinute > 0 && time.Now().Before(end) {
		change(ctx, b, fleet, engines)
		time.Sleep(time.Minute / time.Duration(perMinute))
	}
	time.Sleep(time.Until(end))
	used := processorSeconds(b, fleet) - before
	b.ReportMetric(100*used/instances/window.Seconds(), "%core/daemon")
	b.ReportMetric(residentMegabytes(b, fleet)/instances, "MB/daemon")
	b.ReportMetric(0, "ns/op")
}

// change writes the next version to the table.
func change(ctx context.Context, b *testing.B, fleet *testfleet.Fleet, engines int) {
	log := versions.Log{Table: fleet.PlatformClient()}
	head, err := log.Head(ctx)
	if err != nil {
		b.Fatal(err)
	}
	doc := &config.Config{Version: head.Version + 1}
	for e := range engines {
		state := config.EngineState{Model: fmt.Sprintf("model-%02d", e%31), Version: "2026-11-30", Adapters: []string{"grades", "fields"}, Role: config.RoleMixed}
		doc.Engines = append(doc.Engines, config.Engine{
			ID: fmt.Sprintf("engine-%04d", e), Address: fmt.Sprintf("10.%d.%d.%d:8000", e%3, e/250, e%250),
			Zone: fmt.Sprintf("zone-%02d", e%12), Pool: fmt.Sprintf("model-%02d-r%d", e%31, e%3), Fencing: config.FencingRefuse,
			Want: state, Loaded: state, Routing: config.RoutingServing, RoutingSince: doc.Version - int64(e%7),
		})
	}
	if err := log.Append(ctx, head, doc, versions.Entry{}, platform.Txn{}); err != nil {
		b.Fatal(err)
	}
}

// processorSeconds returns the total processor time of all sf-control processes.
func processorSeconds(b *testing.B, fleet *testfleet.Fleet) float64 {
	ticks := 0.0
	for _, i := range fleet.Instances {
		fields := strings.Fields(procFile(b, i.Control, "stat"))
		for _, field := range fields[13:15] { // utime and stime; the process name contains no blanks
			n, err := strconv.ParseFloat(field, 64)
			if err != nil {
				b.Fatal(err)
			}
			ticks += n
		}
	}
	return ticks / ticksPerSecond
}

func residentMegabytes(b *testing.B, fleet *testfleet.Fleet) float64 {
	kilobytes := 0.0
	for _, i := range fleet.Instances {
		_, after, _ := strings.Cut(procFile(b, i.Control, "status"), "VmRSS:")
		n, err := strconv.ParseFloat(strings.Fields(after)[0], 64)
		if err != nil {
			b.Fatal(err)
		}
		kilobytes += n
	}
	return kilobytes / 1024
}

func procFile(b *testing.B, p *testfleet.Process, name string) string {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/%s", p.Pid(), name))
	if err != nil {
		b.Fatal(err)
	}
	return string(data)
}
