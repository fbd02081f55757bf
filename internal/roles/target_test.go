package roles

import (
	"fmt"
	"testing"

	"pgregory.net/rapid"

	"sassafrasfield/internal/config"
)

// split has engines of both roles, in two zones by turns.
func split(prefill, decode int) []Engine {
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

// TestChangesReachTheTargetAndStay applies the changes until there are none.
func TestChangesReachTheTargetAndStay(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		list := split(rapid.IntRange(0, 20).Draw(t, "prefill"), rapid.IntRange(0, 20).Draw(t, "decode"))
		target := DefaultTarget()
		for range 2 * len(list) {
			changes := target.Changes(list, 1)
			if len(changes) == 0 {
				break
			}
			apply(list, changes[0])
		}
		prefill := withRole(list, config.RolePrefill)
		if want := target.PrefillCount(len(list)); prefill != want {
			t.Fatalf("%d of %d engines prefill, want %d", prefill, len(list), want)
		}
		if len(list) > target.MinDecode && len(list)-prefill < target.MinDecode {
			t.Fatalf("only %d of %d engines decode", len(list)-prefill, len(list))
		}
	})
}

func TestEachZoneKeepsBothRoles(t *testing.T) {
	list := split(0, 18)
	for _, change := range started().Changes(list, 18) {
		apply(list, change)
	}
	with := map[string]int{}
	for _, e := range list {
		if e.Role == config.RoleDecode {
			with[e.Zone]++
		}
	}
	if with["a"] < 3 || with["b"] < 3 {
		t.Errorf("decode engines by zone: %v", with)
	}
}
