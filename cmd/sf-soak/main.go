// Command sf-soak runs real instances under random faults, one run per seed, and
// prints the violations that it found.
package main

import (
	"context"
	"fmt"
	"maps"
	"os"
	"path/filepath"
	"slices"
	"time"

	"github.com/alecthomas/kingpin/v2"

	"sassafrasfield/platform/soak"
)

func main() {
	app := kingpin.New("sf-soak", "Run instances on the stand-in platform under random faults.")
	bin := app.Flag("bin", "Folder of the built programs.").Default("bin").String()
	seeds := app.Flag("seeds", "How many seeds to run.").Default("10").Uint64()
	first := app.Flag("first", "The first seed; 0 draws it from the clock.").Default("0").Uint64()
	duration := app.Flag("for", "Time of faults in each run.").Default("10s").Duration()
	instances := app.Flag("instances", "Instances in each run.").Default("3").Int()
	streams := app.Flag("streams", "Run hunts of long streams, which callers take up, instead of all lanes.").Bool()
	zones := app.Flag("zones", "Availability zones in each hunt of long streams, with the given number of instances in each.").Default("1").Int()
	lanes := app.Flag("lane", "A lane of the runs, in place of all; may be repeated.").Enums(slices.Sorted(maps.Keys(soak.Lanes))...)
	faults := app.Flag("fault", "A fault of the hunts of long streams, in place of theirs; may be repeated.").Enums(slices.Sorted(maps.Keys(soak.StreamFaults))...)
	kingpin.MustParse(app.Parse(os.Args[1:]))
	if *first == 0 {
		*first = uint64(time.Now().UnixNano() % 1_000_000) // short, so that the seed is easy to type for a rerun
	}
	if *streams {
		os.Exit(runStreams(filepath.Clean(*bin), *first, *seeds, func(h *soak.StreamHunt) {
			h.Duration, h.Instances, h.Zones = *duration, *instances, *zones
			if len(*faults) > 0 {
				h.Faults = *faults
			}
		}))
	}
	os.Exit(run(*bin, *first, *seeds, *duration, *instances, *lanes))
}

// memoryLanes are those of callers that do not read, and of crowds. What an instance holds for them is far above what it needs under
// the other lanes, so they are in every second run only, and the bound on the memory of the lane of endless responses in the others.
var memoryLanes = []string{"memory", "crowds"}

// lanesOf returns the lanes of a seed: those that were named, or else all that go together.
func lanesOf(seed uint64, named []string) []string {
	if len(named) > 0 {
		return named
	}
	lanes := slices.Collect(maps.Keys(soak.Lanes))
	if seed%2 == 1 {
		lanes = slices.DeleteFunc(lanes, func(lane string) bool { return slices.Contains(memoryLanes, lane) })
	}
	return lanes
}

func run(bin string, first, seeds uint64, duration time.Duration, instances int, lanes []string) int {
	code := 0
	for seed := first; seed < first+seeds; seed++ {
		dir, err := os.MkdirTemp("", fmt.Sprintf("sf-soak-%d-", seed))
		if err != nil {
			fmt.Fprintln(os.Stderr, "sf-soak:", err)
			return 1
		}
		s := &soak.Soak{Seed: seed, Duration: duration, Instances: instances}
		for _, lane := range lanesOf(seed, lanes) {
			soak.Lanes[lane](s)
		}
		result, err := s.Run(context.Background(), filepath.Clean(bin), dir)
		if err != nil {
			fmt.Fprintf(os.Stderr, "sf-soak: seed %d: %v; logs are in %s\n", seed, err, dir)
			return 1
		}
		note := ""
		if result.MostlyRefused() {
			note = "; under a tenth served, so the run says little"
		}
		fmt.Printf("seed %d: %d of %d served, %d faults, %d broken%s\n", seed, result.Served, result.Total, len(result.Faults), len(result.Violations), note)
		for _, violation := range result.Violations {
			fmt.Printf("  %s\n", violation)
		}
		if len(result.Violations) > 0 {
			fmt.Printf("  logs: %s\n", dir)
			code = 1
			continue
		}
		_ = os.RemoveAll(dir) // only logs
	}
	return code
}

// runStreams runs all hunts of long streams for each seed.
func runStreams(bin string, first, seeds uint64, configure func(*soak.StreamHunt)) int {
	code := 0
	for seed := first; seed < first+seeds; seed++ {
		hunts := soak.StreamHunts()
		for _, name := range slices.Sorted(maps.Keys(hunts)) {
			dir, err := os.MkdirTemp("", fmt.Sprintf("sf-soak-%d-", seed))
			if err != nil {
				fmt.Fprintln(os.Stderr, "sf-soak:", err)
				return 1
			}
			h := hunts[name]
			h.Seed = seed
			configure(h)
			result, err := h.Run(context.Background(), bin, dir)
			if err != nil {
				fmt.Fprintf(os.Stderr, "sf-soak: seed %d: %v; logs are in %s\n", seed, err, dir)
				return 1
			}
			fmt.Printf("seed %d, %s: %s\n", seed, name, result)
			if len(result.Violations) == 0 {
				_ = os.RemoveAll(dir) // only logs
				continue
			}
			for _, violation := range result.Violations {
				fmt.Printf("  %s\n", violation)
			}
			fmt.Printf("  logs: %s\n", dir)
			code = 1
		}
	}
	return code
}
