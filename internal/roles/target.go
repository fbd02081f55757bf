package roles

import (
	"slices"

	"sassafrasfield/internal/config"
)

// Target is a wanted split: how many engines should be in the prefill role.
type Target struct {
	// PrefillShare of the engines in the prefill role.
	PrefillShare float64 `json:"share"`
	// MinDecode is the fewest engines that must be left to generate.
	MinDecode int `json:"min_decode"`
}

// DefaultTarget is the split of a service that nothing is known of: for each of three
// customers' mixes, 13 of 18 engines served within 0.003 of the best fixed split that
// was tried, or were the best (docs/NEW-CUSTOMER.md).
func DefaultTarget() Target {
	return Target{PrefillShare: 0.72, MinDecode: 2}
}

// with returns the target with so many of the engines in prefill.
func (t Target) with(prefill, total int) Target {
	t.PrefillShare = float64(prefill) / float64(total)
	return t
}

// PrefillCount is the wanted number of prefill engines among n.
func (t Target) PrefillCount(n int) int {
	want := int(t.PrefillShare*float64(n) + 0.5)
	return max(0, min(want, n-t.MinDecode))
}

// Changes returns the orders that bring the engines to the wanted split, at
// most `most` of them. Engines of the zone that has most of the role that is to
// shrink go first, so that each zone keeps both roles.
func (t Target) Changes(engines []Engine, most int) []Change {
	from, to := config.RoleDecode, config.RolePrefill
	missing := t.PrefillCount(len(engines)) - CountPrefill(engines)
	if missing < 0 {
		from, to, missing = to, from, -missing
	}
	left := slices.Clone(engines)
	var changes []Change
	for range min(missing, most) {
		i := pick(left, from)
		if i < 0 {
			break
		}
		changes = append(changes, Change{Engine: left[i].ID, From: from, To: to})
		left[i].Role = to
	}
	return changes
}

// CountPrefill counts the engines in the prefill role.
func CountPrefill(engines []Engine) int { return withRole(engines, config.RolePrefill) }

func withRole(engines []Engine, role config.Role) int {
	n := 0
	for _, e := range engines {
		if e.Role == role {
			n++
		}
	}
	return n
}

// pick returns the engine with the role that should leave it first: one of the
// zone with the largest share of that role, the least busy there, then by id.
func pick(engines []Engine, role config.Role) int {
	with, all := map[string]int{}, map[string]int{}
	for _, e := range engines {
		all[e.Zone]++
		if e.Role == role {
			with[e.Zone]++
		}
	}
	share := func(e Engine) float64 { return float64(with[e.Zone]) / float64(all[e.Zone]) }
	best := -1
	for i, e := range engines {
		if e.Role != role {
			continue
		}
		if best < 0 || before(e, engines[best], share(e), share(engines[best])) {
			best = i
		}
	}
	return best
}

func before(a, b Engine, shareA, shareB float64) bool {
	switch {
	case shareA != shareB:
		return shareA > shareB
	case a.Running != b.Running:
		return a.Running < b.Running
	default:
		return a.ID < b.ID
	}
}
