package roles

import (
	"fmt"
	"testing"

	"pgregory.net/rapid"

	"sassafrasfield/internal/config"
)

// engineList returns engines of both roles, alternating between two zones.
func engineList(prefill, decode int) []Engine {
	var list []Engine
	for i := range prefill {
		list = append(list, Engine{ID: fmt.Sprintf("p%d", i), Zone: zoneOf(i), Role: config.RolePrefill})
	}
	for i := range decode {
		list = append(list, Engine{ID: fmt.Sprintf("d%d", i), Zone: zoneOf(i), Role: config.RoleDecode})
	}
	return list
}

func zoneOf(i int) string { return string(rune('a' + i%2)) }

func apply(list []Engine, change Change) {
	for i := range list {
		if list[i].ID == change.Engine {
			list[i].Role = change.To
		}
	}
}

// TestChangesReachTargetAndStop applies the proposed changes until there are none. It
// checks that the engines then have the wanted split and keep the minimum for decode.
func TestChangesReachTargetAndStop(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		list := engineList(rapid.IntRange(0, 20).Draw(t, "prefill"), rapid.IntRange(0, 20).Draw(t, "decode"))
		target := DefaultTarget()
		for range 2 * len(list) {
			changes := target.Changes(list, 1)
			if len(changes) == 0 {
				break
			}
			apply(list, changes[0])
		}
		prefill := countRole(list, config.RolePrefill)
		if want := target.PrefillCount(len(list)); prefill != want {
			t.Fatalf("%d of %d engines in prefill, want %d", prefill, len(list), want)
		}
		if len(list) > target.MinDecode && len(list)-prefill < target.MinDecode {
			t.Fatalf("only %d of %d engines in decode", len(list)-prefill, len(list))
		}
	})
}

func TestEachZoneKeepsBothRoles(t *testing.T) {
	list := engineList(0, 18)
	for _, change := range referenceTarget().Changes(list, 18) {
		apply(list, change)
	}
	decodeByZone := map[string]int{}
	for _, e := range list {
		if e.Role == config.RoleDecode {
			decodeByZone[e.Zone]++
		}
	}
	if decodeByZone["a"] < 3 || decodeByZone["b"] < 3 {
		t.Errorf("decode engines by zone: %v", decodeByZone)
	}
}

// TestEachVersionKeepsEnginesThatGenerate guards against streams that no engine can continue although two of their
// version serve: the split of a service was reached with the engines of one version alone.
func TestEachVersionKeepsEnginesThatGenerate(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		target := DefaultTarget()
		counts := map[string]int{}
		var list []Engine
		for _, version := range []string{"v1", "v2", "v3"} {
			counts[version] = rapid.IntRange(0, 12).Draw(t, version)
			for i := range counts[version] {
				role := rapid.SampledFrom([]config.Role{config.RolePrefill, config.RoleDecode}).Draw(t, "role")
				list = append(list, Engine{ID: fmt.Sprintf("%s-%d", version, i), Zone: zoneOf(i), Version: version, Role: role})
			}
		}
		orders := 0
		for range 2 * len(list) {
			changes := target.Changes(list, 1)
			if len(changes) == 0 {
				break
			}
			apply(list, changes[0])
			orders++
		}
		if orders > len(list) {
			t.Fatalf("%d orders for %d engines", orders, len(list))
		}
		prefill := map[string]int{}
		for _, e := range list {
			if e.Role == config.RolePrefill {
				prefill[e.Version]++
			}
		}
		for version, n := range counts {
			if decode := n - prefill[version]; decode < min(target.MinDecode, n) {
				t.Fatalf("%s: %d of %d engines in decode", version, decode, n)
			}
			if wanted := target.PrefillCount(n); prefill[version] < wanted-maxSplitOffset || prefill[version] > wanted+maxSplitOffset {
				t.Fatalf("%s: %d of %d engines in prefill, want %d", version, prefill[version], n, wanted)
			}
		}
	})
}

// TestReplacedEnginesCauseFewOrders guards against role changes at each step of an update that replaces the engines one
// after the other, each by one in the same role.
func TestReplacedEnginesCauseFewOrders(t *testing.T) {
	target, list := DefaultTarget(), engineList(13, 5)
	orders := 0
	for i := range list {
		list[i].Version = "v2"
		for changes := target.Changes(list, 1); len(changes) > 0; changes = target.Changes(list, 1) {
			apply(list, changes[0])
			orders++
		}
	}
	t.Logf("%d orders", orders)
	if orders > len(list) {
		t.Errorf("%d orders for %d engines", orders, len(list))
	}
}
