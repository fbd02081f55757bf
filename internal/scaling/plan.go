package scaling

import (
	"math"
	"time"

	"sassafrasfield/internal/routes"
)

// EngineCounts is how many engines of each kind a zone is to have.
type EngineCounts [2]int

func (w EngineCounts) sum() int { return w[OnDemand] + w[Spot] }

// plan returns what each zone is to have for a number of engines in all, and how many that
// are together, those not counted that replace others which cannot be had.
func (s Settings) plan(limits routes.ScaleLimits, zones []Zone, engines int) (wants []EngineCounts, total int) {
	wants = make([]EngineCounts, len(zones))
	if len(zones) == 0 {
		return wants, 0
	}
	each := int(math.Ceil(float64(engines) * s.EngineShare / float64(len(zones))))
	each = min(max(each, limits.Min), limits.Max)
	for i := range zones {
		wants[i] = s.split(each)
	}
	s.replace(limits, zones, wants)
	return wants, each * len(zones)
}

// spotIsCheaper tells whether spot engines are to do the work. Where they are not, engines
// are left as they are: no other reason to order some is known.
func spotIsCheaper(limits routes.ScaleLimits) bool {
	return limits.SpotPrice > 0 && limits.SpotPrice < 1
}

// split returns the kinds of a zone's engines: spot ones do the work, but for the reserve.
func (s Settings) split(engines int) EngineCounts {
	lasting := min(s.OnDemandReserve, engines)
	return EngineCounts{OnDemand: lasting, Spot: engines - lasting}
}

// replace has other zones run the spot engines that a zone has not and cannot have, as far
// as their limits go. What no zone can have, lasting engines do, once it lasts for long or
// when less than half of all is left.
func (s Settings) replace(limits routes.ScaleLimits, zones []Zone, wants []EngineCounts) {
	missing, long := 0, true
	here, wanted := 0, 0
	var others []int
	for i, z := range zones {
		here += EngineCounts(z.Engines).sum()
		wanted += wants[i].sum()
		if z.SpotRefusedFor <= 0 {
			others = append(others, i)
			continue
		}
		missing += max(0, wants[i][Spot]-z.Engines[Spot])
		long = long && z.SpotRefusedFor >= s.OnDemandAfter
	}
	kind := Spot
	if len(others) == 0 && (long || here < wanted/2) {
		kind, others = OnDemand, all(zones)
	}
	spread(limits, wants, others, kind, missing)
}

func all(zones []Zone) []int {
	list := make([]int, len(zones))
	for i := range zones {
		list[i] = i
	}
	return list
}

// spread gives engines of a kind to zones by turns, as long as one has room.
func spread(limits routes.ScaleLimits, wants []EngineCounts, to []int, kind Kind, engines int) {
	for engines > 0 {
		given := false
		for _, i := range to {
			if engines > 0 && wants[i].sum() < limits.Max {
				wants[i][kind]++
				engines--
				given = true
			}
		}
		if !given {
			return
		}
	}
}

// steps are the next numbers to order, on the way to what is wanted: what is missing comes
// first, and nothing is ordered away before what replaces it is there, in whichever zone,
// but where a zone is full.
// Both kinds together stay within the limits of a zone at each step.
func steps(limits routes.ScaleLimits, zones []Zone, wants []EngineCounts, total int) []EngineCounts {
	nexts := make([]EngineCounts, len(zones))
	surplus := -total
	for _, z := range zones {
		surplus += EngineCounts(z.Engines).sum()
	}
	for i, z := range zones {
		for kind := range wants[i] {
			nexts[i][kind] = max(z.Engines[kind], wants[i][kind])
		}
	}
	move(nexts, wants, surplus, -1)
	for i, z := range zones {
		makeRoom(limits, z, wants[i], &nexts[i])
		nexts[i] = within(limits, z, nexts[i])
	}
	return nexts
}

// paced cuts steps to so many engines that start, and so many that leave, at a time, by
// turns in all zones. The next ones follow as these come and go. With 3,000 replaced at
// once before 302 instances, the busiest instance took 379 MB, and a configuration was in
// force after 1.5 s.
func paced(zones []Zone, nexts []EngineCounts, atOnce int) []EngineCounts {
	steps := make([]EngineCounts, len(zones))
	for i, z := range zones {
		steps[i] = z.Engines
	}
	move(steps, nexts, atOnce, 1)
	move(steps, nexts, atOnce, -1)
	return steps
}

// move brings steps nearer to what is next by one engine after another, in one direction.
func move(steps, nexts []EngineCounts, engines, by int) {
	for moved := true; moved; {
		moved = false
		for i := range steps {
			for kind := range steps[i] {
				if engines > 0 && (nexts[i][kind]-steps[i][kind])*by > 0 {
					steps[i][kind] += by
					engines--
					moved = true
				}
			}
		}
	}
}

// makeRoom orders engines of the wrong kind away where a zone is full of them: the right
// ones could not come else.
func makeRoom(limits routes.ScaleLimits, zone Zone, want EngineCounts, next *EngineCounts) {
	if EngineCounts(zone.Engines).sum() < limits.Max || next.sum() <= limits.Max {
		return
	}
	for kind := range next {
		wrong := next[kind] - want[kind]
		next[kind] -= min(max(wrong, 0), next.sum()-limits.Max)
	}
}

// within cuts what both kinds together have too much, of the kind that grows.
func within(limits routes.ScaleLimits, zone Zone, next EngineCounts) EngineCounts {
	over := next.sum() - limits.Max
	for _, kind := range []Kind{Spot, OnDemand} {
		grows := next[kind] - zone.Engines[kind]
		cut := min(max(over, 0), max(grows, 0))
		next[kind] -= cut
		over -= cut
	}
	return next
}

// lastingAfter is how long spot engines are to be had in no zone until lasting ones take
// their place, which cost several times as much and take as long to start as the wait.
const lastingAfter = 10 * time.Second

// atOnce is how many engines start at a time, and how many leave: their entries change
// within seconds, and each change goes to all instances.
const atOnce = 100
