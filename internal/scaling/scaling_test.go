package scaling

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"sassafrasfield/internal/routes"
)

// sameCount runs as many engines as the deployment began with.
var sameCount = Settings{EngineShare: 1, OnDemandAfter: defaultOnDemandAfter, MaxConcurrentChanges: defaultMaxConcurrentChanges}

var limits = routes.ScaleLimits{Min: 1, Max: 30, BootTime: 4 * time.Second, SpotPrice: 0.18}

func zones(engines ...EngineCounts) []Zone {
	list := make([]Zone, len(engines))
	for i, e := range engines {
		list[i] = Zone{Name: fmt.Sprint(i), Engines: e}
	}
	return list
}

// planNext returns the numbers of engines to order next for a deployment that began with a
// number of engines.
func planNext(l routes.ScaleLimits, list []Zone, engines int) []EngineCounts {
	wanted, total := sameCount.plan(l, list, engines)
	return nextCounts(l, list, wanted, total)
}

// TestSpotEnginesReplaceOnDemandEngines: spot engines are ordered first, and the on-demand
// engines that they replace are removed once the spot engines are running. The
// deployment begins with 15 on-demand engines in each of four zones; a spot engine costs
// 0.18 of an on-demand one.
func TestSpotEnginesReplaceOnDemandEngines(t *testing.T) {
	begin := zones(EngineCounts{15, 0}, EngineCounts{15, 0}, EngineCounts{15, 0}, EngineCounts{15, 0})
	for i, next := range planNext(limits, begin, 60) {
		if next != (EngineCounts{15, 15}) {
			t.Errorf("zone %d: first step %v", i, next)
		}
	}
	for i, next := range planNext(limits, zones(EngineCounts{15, 15}, EngineCounts{15, 15}, EngineCounts{15, 15}, EngineCounts{15, 15}), 60) {
		if next != (EngineCounts{0, 15}) {
			t.Errorf("zone %d: second step %v", i, next)
		}
	}
}

// TestEngineShareRunsMoreEngines: with an EngineShare of 1.2, the loss of one of four zones
// leaves nine in ten of the initial engines.
func TestEngineShareRunsMoreEngines(t *testing.T) {
	more := sameCount
	more.EngineShare = 1.2
	wanted, total := more.plan(limits, zones(EngineCounts{15, 0}, EngineCounts{15, 0}, EngineCounts{15, 0}, EngineCounts{15, 0}), 60)
	if total != 72 || wanted[0] != (EngineCounts{0, 18}) {
		t.Errorf("%d, %v", total, wanted)
	}
}

// TestOtherZonesReplaceUnavailableSpotEngines: all spot engines of a zone were reclaimed and
// new ones are unavailable there. When they are available again, the replacements in the
// other zones must not be removed before the new engines are running.
func TestOtherZonesReplaceUnavailableSpotEngines(t *testing.T) {
	list := zones(EngineCounts{0, 15}, EngineCounts{0, 15}, EngineCounts{0, 15}, EngineCounts{})
	list[3].SpotRefusedFor = time.Second
	next := planNext(limits, list, 60)
	if fmt.Sprint(next) != fmt.Sprint([]EngineCounts{{0, 20}, {0, 20}, {0, 20}, {0, 15}}) {
		t.Errorf("%v", next)
	}
	available := zones(EngineCounts{0, 20}, EngineCounts{0, 20}, EngineCounts{0, 20}, EngineCounts{})
	if next = planNext(limits, available, 60); next[0] != (EngineCounts{0, 20}) || next[3] != (EngineCounts{0, 15}) {
		t.Errorf("before the new engines are running: %v", next)
	}
	running := zones(EngineCounts{0, 20}, EngineCounts{0, 20}, EngineCounts{0, 20}, EngineCounts{0, 15})
	if next = planNext(limits, running, 60); next[0] != (EngineCounts{0, 15}) || next[2] != (EngineCounts{0, 15}) {
		t.Errorf("once the new engines are running: %v", next)
	}
}

// TestOnDemandEnginesReplaceUnavailableSpotEngines: when no zone can get spot engines,
// on-demand engines replace them. They do not during a short shortage, in which they would
// barely have started, unless most engines are lost.
func TestOnDemandEnginesReplaceUnavailableSpotEngines(t *testing.T) {
	for _, c := range []struct {
		refusedFor     time.Duration
		left, onDemand int
	}{{time.Second, 10, 0}, {defaultOnDemandAfter, 10, 5}, {time.Second, 0, 15}} {
		list := zones(EngineCounts{0, c.left}, EngineCounts{0, c.left})
		for i := range list {
			list[i].SpotRefusedFor = c.refusedFor
		}
		wanted, _ := sameCount.plan(limits, list, 30)
		for i, counts := range wanted {
			if counts[OnDemand] != c.onDemand {
				t.Errorf("%d left after %s, zone %d: %v", c.left, c.refusedFor, i, counts)
			}
		}
	}
}

// TestLargeFleetIsReplacedGradually: all of 3,000 engines in four zones are to be replaced.
// No step starts or shuts down more than a hundred, all zones advance equally, and in the
// end all engines are replaced.
func TestLargeFleetIsReplacedGradually(t *testing.T) {
	large := limits
	large.Max = 2000
	list := zones(EngineCounts{750, 0}, EngineCounts{750, 0}, EngineCounts{750, 0}, EngineCounts{750, 0})
	wanted, total := sameCount.plan(large, list, 3000)
	for range 100 {
		next := limitChanges(list, nextCounts(large, list, wanted, total), defaultMaxConcurrentChanges)
		for kind := range next[0] {
			changes := 0
			for i, counts := range next {
				d := counts[kind] - list[i].Engines[kind]
				changes += max(d, -d)
			}
			if changes > defaultMaxConcurrentChanges {
				t.Fatalf("%d concurrent changes", changes)
			}
			if d := next[0][kind] - next[3][kind]; d < -1 || d > 1 {
				t.Fatalf("%v", next)
			}
		}
		for i, counts := range next {
			list[i].Engines = counts
		}
	}
	for i, z := range list {
		if EngineCounts(z.Engines) != wanted[i] {
			t.Errorf("zone %d has %v in the end, wanted %v", i, z.Engines, wanted[i])
		}
	}
}

// TestStepsStayWithinLimits starts from random numbers of engines. No step may order more
// engines than the limits allow (or than are running, if that is more) or remove engines
// while others are missing, and the steps must lead to the wanted engines.
func TestStepsStayWithinLimits(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		l := routes.ScaleLimits{Min: rapid.IntRange(0, 3).Draw(t, "min"), SpotPrice: 0.18}
		l.Max = l.Min + rapid.IntRange(1, 20).Draw(t, "room")
		var list []Zone
		total := 0
		for i := range rapid.IntRange(1, 5).Draw(t, "zones") {
			onDemand := rapid.IntRange(0, l.Max).Draw(t, "lasting")
			spot := rapid.IntRange(0, l.Max-onDemand).Draw(t, "spot")
			list = append(list, Zone{Name: fmt.Sprint(i), Engines: EngineCounts{onDemand, spot}})
			total += onDemand + spot
		}
		engines := rapid.IntRange(1, 60).Draw(t, "engines")
		wanted, wantedTotal := sameCount.plan(l, list, engines)
		for _, counts := range wanted {
			if counts.sum() < l.Min || counts.sum() > l.Max {
				t.Fatalf("%v is wanted", counts)
			}
		}
		for round := range 10 {
			next := nextCounts(l, list, wanted, wantedTotal)
			after, full := 0, false
			for i, counts := range next {
				if counts.sum() > max(l.Max, EngineCounts(list[i].Engines).sum()) {
					t.Fatalf("round %d, zone %d: %v", round, i, counts)
				}
				after += counts.sum()
				full = full || EngineCounts(list[i].Engines).sum() >= l.Max
				list[i].Engines = counts
			}
			if !full && after < min(total, wantedTotal) {
				t.Fatalf("round %d: %d engines after %d, wanted %d", round, after, total, wantedTotal)
			}
			total = after
		}
		for i, z := range list {
			if EngineCounts(z.Engines) != wanted[i] {
				t.Fatalf("zone %d has %v in the end, wanted %v", i, z.Engines, wanted[i])
			}
		}
	})
}
