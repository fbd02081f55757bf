package rendezvous

import (
	"fmt"
	"slices"
	"testing"

	"pgregory.net/rapid"
)

func nodes(n int) []string {
	list := make([]string, n)
	for i := range list {
		list[i] = fmt.Sprintf("p%d", i)
	}
	return list
}

func firstRanked(key string, list []string) string {
	return slices.MinFunc(list, func(a, b string) int { return Compare(key, a, b) })
}

func TestRemovedNodeMovesOnlyItsKeys(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		key := rapid.StringN(1, 20, -1).Draw(t, "key")
		list := nodes(rapid.IntRange(2, 30).Draw(t, "nodes"))
		removed := rapid.IntRange(0, len(list)-1).Draw(t, "gone")
		before := firstRanked(key, list)
		if before == list[removed] {
			return
		}
		remaining := slices.Delete(slices.Clone(list), removed, removed+1)
		if after := firstRanked(key, remaining); after != before {
			t.Fatalf("the key moved from %s to %s after the removal of %s", before, after, list[removed])
		}
	})
}

func TestRanksAreATotalOrder(t *testing.T) {
	for i, a := range nodes(20) {
		for j, b := range nodes(20) {
			if got := Compare("k", a, b); (got == 0) != (i == j) || got != -Compare("k", b, a) {
				t.Fatalf("%s and %s: %d", a, b, got)
			}
		}
	}
}
