package load

import (
	"slices"

	"sassafrasfield/internal/rendezvous"
)

// Subset returns at most size of the ids, which are the upstreams that the instance uses: those with the
// highest hash of instance and id (rendezvous hashing). Instances get different subsets, and a change of the
// ids changes few members of a subset. Size 0 returns all ids.
func Subset(instance string, ids []string, size int) []string {
	if size <= 0 || len(ids) <= size {
		return ids
	}
	ranked := slices.Clone(ids)
	slices.SortFunc(ranked, func(a, b string) int { return rendezvous.Compare(instance, a, b) })
	return ranked[:size]
}
