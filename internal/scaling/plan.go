package scaling

import (
	"math"

	"sassafrasfield/internal/routes"
)

// Want is how many engines of each kind a zone is to have.
type Want [2]int

// plan returns what each zone is to have for a number of engines in all.
func (s Settings) plan(limits routes.ScaleLimits, zones []Zone, engines int) []Want {
	wants := make([]Want, len(zones))
	if len(zones) == 0 {
		return wants
	}
	each := int(math.Ceil(float64(engines) * s.Share / float64(len(zones))))
	each = min(max(each, limits.Min), limits.Max)
	for i := range zones {
		wants[i] = s.split(limits, each)
	}
	return wants
}

// split returns the kinds of a zone's engines. Where spot engines cost less, they do the
// work, but for the reserve.
func (s Settings) split(limits routes.ScaleLimits, engines int) Want {
	if limits.SpotPrice <= 0 || limits.SpotPrice >= 1 {
		return Want{Lasting: engines}
	}
	lasting := min(max(s.Reserve, limits.Min), engines)
	return Want{Lasting: lasting, Spot: engines - lasting}
}

// step is the next number to order of each kind in a zone, on the way to what is wanted:
// what is missing comes first, and nothing is ordered away before what replaces it is
// there. Both kinds together stay within the limits at each step.
func step(limits routes.ScaleLimits, zone Zone, want Want) Want {
	next := Want{}
	total := want[Lasting] + want[Spot]
	for kind := range next {
		here := zone.Engines[kind]
		next[kind] = max(here, want[kind])
	}
	there := zone.Engines[Lasting] + zone.Engines[Spot]
	if there >= total {
		for kind := range next {
			surplus := min(next[kind]-want[kind], there-total)
			if surplus > 0 {
				next[kind] -= surplus
				there -= surplus
			}
		}
	}
	return within(limits, zone, next)
}

// within cuts what both kinds together have too much, of the kind that grows.
func within(limits routes.ScaleLimits, zone Zone, next Want) Want {
	over := next[Lasting] + next[Spot] - limits.Max
	for _, kind := range []Kind{Spot, Lasting} {
		grows := next[kind] - zone.Engines[kind]
		cut := min(max(over, 0), max(grows, 0))
		next[kind] -= cut
		over -= cut
	}
	return next
}
