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
