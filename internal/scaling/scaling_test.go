package scaling

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"sassafrasfield/internal/routes"
)

// asMany has as many engines run as the deployment began with.
var asMany = Settings{EngineShare: 1, OnDemandAfter: lastingAfter, MaxConcurrentChanges: atOnce}

var limits = routes.ScaleLimits{Min: 1, Max: 30, Boot: 4 * time.Second, SpotPrice: 0.18}

func zones(engines ...EngineCounts) []Zone {
	list := make([]Zone, len(engines))
	for i, e := range engines {
		list[i] = Zone{Name: fmt.Sprint(i), Engines: e}
	}
	return list
}

// nextSteps are the next steps on the way to a number of engines.
func nextSteps(l routes.ScaleLimits, list []Zone, engines int) []EngineCounts {
	wants, total := asMany.plan(l, list, engines)
	return steps(l, list, wants, total)
}

// TestSpotEnginesTakeThePlaceOfLastingOnes: they are ordered first, and what they replace
// is ordered away once they are there. The load is a deployment that begins with 15 lasting
// engines in each of four zones; a spot engine costs 0.18 of a lasting one.
func TestSpotEnginesTakeThePlaceOfLastingOnes(t *testing.T) {
	begin := zones(EngineCounts{15, 0}, EngineCounts{15, 0}, EngineCounts{15, 0}, EngineCounts{15, 0})
	for i, next := range nextSteps(limits, begin, 60) {
		if next != (EngineCounts{15, 15}) {
			t.Errorf("zone %d: first step %v", i, next)
		}
	}
	for i, next := range nextSteps(limits, zones(EngineCounts{15, 15}, EngineCounts{15, 15}, EngineCounts{15, 15}, EngineCounts{15, 15}), 60) {
		if next != (EngineCounts{0, 15}) {
			t.Errorf("zone %d: second step %v", i, next)
		}
	}
}

// TestMoreSpotEnginesRunThanThereWereAtFirst, where that is set: the loss of one zone of four
// leaves nine in ten then.
func TestMoreSpotEnginesRunThanThereWereAtFirst(t *testing.T) {
	more := asMany
	more.EngineShare = 1.2
	wants, total := more.plan(limits, zones(EngineCounts{15, 0}, EngineCounts{15, 0}, EngineCounts{15, 0}, EngineCounts{15, 0}), 60)
	if total != 72 || wants[0] != (EngineCounts{0, 18}) {
		t.Errorf("%d, %v", total, wants)
	}
}

// TestOtherZonesReplaceWhatAZoneCannotHave: all spot engines of a zone were taken back and
// no more are to be had there. Once they are, the others' go again, and not before they
// are there.
func TestOtherZonesReplaceWhatAZoneCannotHave(t *testing.T) {
	list := zones(EngineCounts{0, 15}, EngineCounts{0, 15}, EngineCounts{0, 15}, EngineCounts{})
	list[3].SpotRefusedFor = time.Second
	nexts := nextSteps(limits, list, 60)
	if fmt.Sprint(nexts) != fmt.Sprint([]EngineCounts{{0, 20}, {0, 20}, {0, 20}, {0, 15}}) {
		t.Errorf("%v", nexts)
	}
	back := zones(EngineCounts{0, 20}, EngineCounts{0, 20}, EngineCounts{0, 20}, EngineCounts{})
	if nexts = nextSteps(limits, back, 60); nexts[0] != (EngineCounts{0, 20}) || nexts[3] != (EngineCounts{0, 15}) {
		t.Errorf("before they are there: %v", nexts)
	}
	there := zones(EngineCounts{0, 20}, EngineCounts{0, 20}, EngineCounts{0, 20}, EngineCounts{0, 15})
	if nexts = nextSteps(limits, there, 60); nexts[0] != (EngineCounts{0, 15}) || nexts[2] != (EngineCounts{0, 15}) {
		t.Errorf("once they are there: %v", nexts)
	}
}

// TestLastingEnginesHelpWhenNoSpotEngineIsToBeHad: not for a short while, in which they
// would hardly have started, unless most are lost.
func TestLastingEnginesHelpWhenNoSpotEngineIsToBeHad(t *testing.T) {
	for _, c := range []struct {
		after         time.Duration
		left, lasting int
	}{{time.Second, 10, 0}, {lastingAfter, 10, 5}, {time.Second, 0, 15}} {
		list := zones(EngineCounts{0, c.left}, EngineCounts{0, c.left})
		for i := range list {
			list[i].SpotRefusedFor = c.after
		}
		wants, _ := asMany.plan(limits, list, 30)
		for i, want := range wants {
			if want[OnDemand] != c.lasting {
				t.Errorf("%d left after %s, zone %d: %v", c.left, c.after, i, want)
			}
		}
	}
}

// TestALargeFleetIsReplacedByAndBy: the load is 3,000 engines in four zones, of which all
// are to be replaced. No look starts or sends away more than a hundred, all zones go
// alike, and in the end all are.
func TestALargeFleetIsReplacedByAndBy(t *testing.T) {
	large := limits
	large.Max = 2000
	list := zones(EngineCounts{750, 0}, EngineCounts{750, 0}, EngineCounts{750, 0}, EngineCounts{750, 0})
	wants, total := asMany.plan(large, list, 3000)
	for range 100 {
		nexts := paced(list, steps(large, list, wants, total), atOnce)
		for kind := range nexts[0] {
			changes := 0
			for i, next := range nexts {
				d := next[kind] - list[i].Engines[kind]
				changes += max(d, -d)
			}
			if changes > atOnce {
				t.Fatalf("%d at once", changes)
			}
			if d := nexts[0][kind] - nexts[3][kind]; d < -1 || d > 1 {
				t.Fatalf("%v", nexts)
			}
		}
		for i, next := range nexts {
			list[i].Engines = next
		}
	}
	for i, z := range list {
		if EngineCounts(z.Engines) != wants[i] {
			t.Errorf("zone %d has %v in the end, wanted %v", i, z.Engines, wants[i])
		}
	}
}

// TestStepsStayWithinTheLimits: whatever runs, no step orders more than the limits allow or
// than there is, nothing is ordered away while engines are missing, and steps that are
// carried out lead to what is wanted.
func TestStepsStayWithinTheLimits(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		l := routes.ScaleLimits{Min: rapid.IntRange(0, 3).Draw(t, "min"), SpotPrice: 0.18}
		l.Max = l.Min + rapid.IntRange(1, 20).Draw(t, "room")
		var list []Zone
		total := 0
		for i := range rapid.IntRange(1, 5).Draw(t, "zones") {
			lasting := rapid.IntRange(0, l.Max).Draw(t, "lasting")
			spot := rapid.IntRange(0, l.Max-lasting).Draw(t, "spot")
			list = append(list, Zone{Name: fmt.Sprint(i), Engines: EngineCounts{lasting, spot}})
			total += lasting + spot
		}
		engines := rapid.IntRange(1, 60).Draw(t, "engines")
		wants, wanted := asMany.plan(l, list, engines)
		for _, w := range wants {
			if w.sum() < l.Min || w.sum() > l.Max {
				t.Fatalf("%v is wanted", w)
			}
		}
		for round := range 10 {
			nexts := steps(l, list, wants, wanted)
			after, full := 0, false
			for i, next := range nexts {
				if next.sum() > max(l.Max, EngineCounts(list[i].Engines).sum()) {
					t.Fatalf("round %d, zone %d: %v", round, i, next)
				}
				after += next.sum()
				full = full || EngineCounts(list[i].Engines).sum() >= l.Max
				list[i].Engines = next
			}
			if !full && after < min(total, wanted) {
				t.Fatalf("round %d: %d engines after %d, wanted %d", round, after, total, wanted)
			}
			total = after
		}
		for i, z := range list {
			if EngineCounts(z.Engines) != wants[i] {
				t.Fatalf("zone %d has %v in the end, wanted %v", i, z.Engines, wants[i])
			}
		}
	})
}
