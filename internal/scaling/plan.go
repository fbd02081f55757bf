package scaling

import (
	"math"
	"time"

	"sassafrasfield/internal/routes"
)

// EngineCounts is a number of engines in a zone, by kind.
type EngineCounts [2]int

func (c EngineCounts) sum() int { return c[OnDemand] + c[Spot] }

// plan returns the wanted engines of each zone, if the deployment began with the given
// number of engines. total is the sum over all zones without the replacements for spot
// engines that are unavailable in another zone.
func (s Settings) plan(limits routes.ScaleLimits, zones []Zone, engines int) (wanted []EngineCounts, total int) {
	wanted = make([]EngineCounts, len(zones))
	if len(zones) == 0 {
		return wanted, 0
	}
	perZone := int(math.Ceil(float64(engines) * s.EngineShare / float64(len(zones))))
	perZone = min(max(perZone, limits.Min), limits.Max)
	for i := range zones {
		wanted[i] = s.splitKinds(perZone)
	}
	s.replaceUnavailable(limits, zones, wanted)
	return wanted, perZone * len(zones)
}

// spotIsCheaper reports whether spot engines should do the work. Otherwise the running
// engines are left as they are, because lower cost is the only reason to order others.
func spotIsCheaper(limits routes.ScaleLimits) bool {
	return limits.SpotPrice > 0 && limits.SpotPrice < 1
}

// splitKinds divides a zone's engines into kinds: all but the on-demand reserve are spot
// engines.
func (s Settings) splitKinds(engines int) EngineCounts {
	onDemand := min(s.OnDemandReserve, engines)
	return EngineCounts{OnDemand: onDemand, Spot: engines - onDemand}
}

// replaceUnavailable replaces spot engines that a zone is missing and cannot get. Other
// zones run them, within their limits. If no zone can get spot engines, on-demand engines
// replace them once that has lasted for OnDemandAfter, or if less than half of the wanted
// engines are running.
func (s Settings) replaceUnavailable(limits routes.ScaleLimits, zones []Zone, wanted []EngineCounts) {
	missing, longRefused := 0, true
	running, total := 0, 0
	var available []int
	for i, z := range zones {
		running += EngineCounts(z.Engines).sum()
		total += wanted[i].sum()
		if z.SpotRefusedFor <= 0 {
			available = append(available, i)
			continue
		}
		missing += max(0, wanted[i][Spot]-z.Engines[Spot])
		longRefused = longRefused && z.SpotRefusedFor >= s.OnDemandAfter
	}
	kind := Spot
	if len(available) == 0 && (longRefused || running < total/2) {
		kind, available = OnDemand, allIndexes(zones)
	}
	distribute(limits, wanted, available, kind, missing)
}

func allIndexes(zones []Zone) []int {
	list := make([]int, len(zones))
	for i := range zones {
		list[i] = i
	}
	return list
}

// distribute adds engines of a kind to the zones with the given indexes, round-robin, up to
// the limit of each zone.
func distribute(limits routes.ScaleLimits, wanted []EngineCounts, indexes []int, kind Kind, engines int) {
	for engines > 0 {
		added := false
		for _, i := range indexes {
			if engines > 0 && wanted[i].sum() < limits.Max {
				wanted[i][kind]++
				engines--
				added = true
			}
		}
		if !added {
			return
		}
	}
}

// nextCounts returns the numbers of engines to order next on the way to the wanted ones.
// Missing engines are ordered first. Engines are removed only after their replacements are
// running, in any zone, except in a zone that is full. The sum of both kinds stays within
// the limits of a zone at each step.
func nextCounts(limits routes.ScaleLimits, zones []Zone, wanted []EngineCounts, total int) []EngineCounts {
	next := make([]EngineCounts, len(zones))
	surplus := -total
	for _, z := range zones {
		surplus += EngineCounts(z.Engines).sum()
	}
	for i, z := range zones {
		for kind := range wanted[i] {
			next[i][kind] = max(z.Engines[kind], wanted[i][kind])
		}
	}
	moveTowards(next, wanted, surplus, -1)
	for i, z := range zones {
		makeRoom(limits, z, wanted[i], &next[i])
		next[i] = clampToMax(limits, z, next[i])
	}
	return next
}

// limitChanges limits the next counts to maxChanges engines that start and maxChanges that
// shut down, taken round-robin from all zones. Further changes follow once these are done.
// When 3,000 engines were replaced at once with 302 instances, the busiest instance used
// 379 MB, and a configuration took 1.5 s to take effect.
func limitChanges(zones []Zone, next []EngineCounts, maxChanges int) []EngineCounts {
	limited := make([]EngineCounts, len(zones))
	for i, z := range zones {
		limited[i] = z.Engines
	}
	moveTowards(limited, next, maxChanges, 1)
	moveTowards(limited, next, maxChanges, -1)
	return limited
}

// moveTowards changes counts towards target in steps of one engine, at most `engines`
// steps, round-robin over zones and kinds. The direction is 1 to only add engines, and -1
// to only remove them.
func moveTowards(counts, target []EngineCounts, engines, direction int) {
	for moved := true; moved; {
		moved = false
		for i := range counts {
			for kind := range counts[i] {
				if engines > 0 && (target[i][kind]-counts[i][kind])*direction > 0 {
					counts[i][kind] += direction
					engines--
					moved = true
				}
			}
		}
	}
}

// makeRoom removes engines of the wrong kind in a zone that is full. Otherwise their
// replacements could not start.
func makeRoom(limits routes.ScaleLimits, zone Zone, wanted EngineCounts, next *EngineCounts) {
	if EngineCounts(zone.Engines).sum() < limits.Max || next.sum() <= limits.Max {
		return
	}
	for kind := range next {
		excess := next[kind] - wanted[kind]
		next[kind] -= min(max(excess, 0), next.sum()-limits.Max)
	}
}

// clampToMax reduces the kinds that grow until the sum of both is within the zone's limit.
func clampToMax(limits routes.ScaleLimits, zone Zone, next EngineCounts) EngineCounts {
	excess := next.sum() - limits.Max
	for _, kind := range []Kind{Spot, OnDemand} {
		growth := next[kind] - zone.Engines[kind]
		cut := min(max(excess, 0), max(growth, 0))
		next[kind] -= cut
		excess -= cut
	}
	return next
}

// defaultOnDemandAfter is the default of Settings.OnDemandAfter. On-demand engines cost
// several times as much as spot engines, and take as long to start as this wait.
const defaultOnDemandAfter = 10 * time.Second

// defaultMaxConcurrentChanges is the default of Settings.MaxConcurrentChanges. The entry of
// each changing engine is updated within seconds, and each update is sent to all instances.
const defaultMaxConcurrentChanges = 100
