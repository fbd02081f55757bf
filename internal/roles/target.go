package roles

import (
	"maps"
	"slices"

	"sassafrasfield/internal/config"
)

// Target is the wanted split of a service's engines between prefill and decode.
type Target struct {
	// PrefillShare is the share of the engines in the prefill role.
	PrefillShare float64 `json:"share"`
	// MinDecode is the minimum number of engines that remain for decode.
	MinDecode int `json:"min_decode"`
}

// DefaultTarget returns the split for a service whose workload is unknown. For each
// of three customers' mixes, 13 prefill engines of 18 served within 0.003 of the
// best fixed split that was tried, or were the best (docs/NEW-CUSTOMER.md).
func DefaultTarget() Target {
	return Target{PrefillShare: 0.72, MinDecode: 2}
}

// WithPrefill returns the target with the given number of prefill engines.
func (t Target) WithPrefill(prefill, total int) Target {
	t.PrefillShare = float64(prefill) / float64(total)
	return t
}

// PrefillCount returns the wanted number of prefill engines among n.
func (t Target) PrefillCount(n int) int {
	wanted := int(t.PrefillShare*float64(n) + 0.5)
	return max(0, min(wanted, n-t.MinDecode))
}

// Changes returns the role changes that bring the engines to the wanted split, at
// most limit of them. It takes engines first from the zone with the largest share
// of the role that shrinks, so that each zone keeps both roles.
//
// Engines of different software versions do not continue each other's streams, so
// each version gets a split of its own. While there are several versions, a split
// that is off by one engine stays: engines are being replaced one after the other.
func (t Target) Changes(engines []Engine, limit int) []Change {
	versions := byVersion(engines)
	if len(versions) == 1 {
		return t.changesOf(engines, limit, 0)
	}
	var changes []Change
	for _, list := range versions {
		changes = append(changes, t.changesOf(list, limit-len(changes), maxSplitOffset)...)
	}
	return changes
}

// byVersion returns the engines of each software version, in the order of the
// versions.
func byVersion(engines []Engine) [][]Engine {
	lists := map[string][]Engine{}
	for _, e := range engines {
		lists[e.Version] = append(lists[e.Version], e)
	}
	var sorted [][]Engine
	for _, version := range slices.Sorted(maps.Keys(lists)) {
		sorted = append(sorted, lists[version])
	}
	return sorted
}

// changesOf returns the role changes of the engines of one version. A split that is
// off by tolerated engines stays if enough engines remain for decode.
func (t Target) changesOf(engines []Engine, limit, tolerated int) []Change {
	from, to := config.RoleDecode, config.RolePrefill
	missing := t.PrefillCount(len(engines)) - CountPrefill(engines)
	enoughDecode := len(engines)-CountPrefill(engines) >= min(t.MinDecode, len(engines))
	if enoughDecode && missing <= tolerated && missing >= -tolerated {
		return nil
	}
	if missing < 0 {
		from, to, missing = to, from, -missing
	}
	planned := slices.Clone(engines)
	var changes []Change
	for range min(missing, limit) {
		i := nextToChange(planned, from)
		if i < 0 {
			break
		}
		changes = append(changes, Change{Engine: planned[i].ID, From: from, To: to})
		planned[i].Role = to
	}
	return changes
}

// CountPrefill returns the number of engines in the prefill role.
func CountPrefill(engines []Engine) int { return countRole(engines, config.RolePrefill) }

func countRole(engines []Engine, role config.Role) int {
	n := 0
	for _, e := range engines {
		if e.Role == role {
			n++
		}
	}
	return n
}

// nextToChange returns the index of the engine that should give up a role first, or
// -1 if none has it. It prefers the zone with the largest share of the role, then
// the fewest running streams, then the lowest ID.
func nextToChange(engines []Engine, role config.Role) int {
	inRole, all := map[string]int{}, map[string]int{}
	for _, e := range engines {
		all[e.Zone]++
		if e.Role == role {
			inRole[e.Zone]++
		}
	}
	share := func(e Engine) float64 { return float64(inRole[e.Zone]) / float64(all[e.Zone]) }
	best := -1
	for i, e := range engines {
		if e.Role != role {
			continue
		}
		if best < 0 || changesBefore(e, engines[best], share(e), share(engines[best])) {
			best = i
		}
	}
	return best
}

func changesBefore(a, b Engine, shareA, shareB float64) bool {
	switch {
	case shareA != shareB:
		return shareA > shareB
	case a.Running != b.Running:
		return a.Running < b.Running
	default:
		return a.ID < b.ID
	}
}
