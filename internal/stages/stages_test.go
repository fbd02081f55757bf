package stages

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"sassafrasfield/internal/config"
)

func engines(prefill, decode int) []Engine {
	var list []Engine
	for i := range prefill {
		list = append(list, Engine{ID: fmt.Sprintf("p%d", i), Zone: zone(i), Role: config.RolePrefill})
	}
	for i := range decode {
		list = append(list, Engine{ID: fmt.Sprintf("d%d", i), Zone: zone(i), Role: config.RoleDecode})
	}
	return list
}

func zone(i int) string { return string(rune('a' + i%2)) }

var long = Prompt{Tokens: 17000, Output: 100, Parts: []Part{{"shared", 13000}, {"own", 4000}}}

func begin(t *testing.T, p Prompt, list []Engine) Start {
	t.Helper()
	start, ok := DefaultSettings().Begin(p, list)
	if !ok {
		t.Fatal("no engine")
	}
	return start
}

func with(list []Engine, id string, change func(*Engine)) []Engine {
	for i := range list {
		if list[i].ID == id {
			change(&list[i])
		}
	}
	return list
}

func TestAllInstancesChooseTheSameEngineForAPart(t *testing.T) {
	first := begin(t, long, engines(11, 7)).Engine.ID
	list := engines(11, 7)
	for i := range list { // another order, as another instance may have it
		j := len(list) - 1 - i
		if i < j {
			list[i], list[j] = list[j], list[i]
		}
	}
	if got := begin(t, long, list).Engine.ID; got != first {
		t.Errorf("%s and %s", first, got)
	}
}

func TestAnEngineThatGoesMovesOnlyItsParts(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		key := rapid.StringN(1, 20, -1).Draw(t, "key")
		list := engines(rapid.IntRange(2, 30).Draw(t, "engines"), 0)
		gone := rapid.IntRange(0, len(list)-1).Draw(t, "gone")
		before := Rank(key, list)[0].ID
		if before == list[gone].ID {
			return
		}
		left := append(append([]Engine{}, list[:gone]...), list[gone+1:]...)
		if after := Rank(key, left)[0].ID; after != before {
			t.Fatalf("moved from %s to %s when %s went", before, after, list[gone].ID)
		}
	})
}

func TestABusyEngineIsPassedOver(t *testing.T) {
	first := begin(t, long, engines(3, 1)).Engine.ID
	list := with(engines(3, 1), first, func(e *Engine) { e.Ahead, e.Cached = time.Minute, 13000 })
	start := begin(t, long, list)
	if start.Engine.ID == first {
		t.Error("the busy engine was chosen")
	}
	if start.Source.ID != first {
		t.Errorf("the shared part is fetched from %q, want %s", start.Source.ID, first)
	}
}

func TestAPartIsNotCopiedForAShortWait(t *testing.T) {
	first := begin(t, long, engines(3, 1)).Engine.ID
	list := with(engines(3, 1), first, func(e *Engine) { e.Ahead, e.Cached = 300*time.Millisecond, 13000 })
	if got := begin(t, long, list).Engine.ID; got != first {
		t.Errorf("%s was chosen, which lacks the part", got)
	}
}

func TestTheSourceIsTheNearestThatHasMost(t *testing.T) {
	list := engines(1, 4) // d0 and d2 are in zone a with p0
	for _, id := range []string{"d1", "d2"} {
		list = with(list, id, func(e *Engine) { e.Cached = 13000 })
	}
	if got := begin(t, long, list).Source.ID; got != "d2" {
		t.Errorf("source %q, want d2", got)
	}
}

func TestAShortPromptGoesStraightToADecodeEngine(t *testing.T) {
	start := begin(t, Prompt{Tokens: 1000, Output: 10}, engines(3, 2))
	if !start.Direct() || start.Engine.Role != config.RoleDecode {
		t.Errorf("%+v", start.Engine)
	}
}

func TestWithoutPrefillEnginesADecodeEngineDoesAll(t *testing.T) {
	if start := begin(t, long, engines(0, 2)); !start.Direct() {
		t.Errorf("%+v", start.Engine)
	}
	if _, ok := DefaultSettings().Begin(long, nil); ok {
		t.Error("an engine was found among none")
	}
}

func TestADoubtfulEngineIsTakenLast(t *testing.T) {
	first := begin(t, long, engines(2, 1)).Engine.ID
	list := with(engines(2, 1), first, func(e *Engine) { e.Doubtful = true })
	if got := begin(t, long, list).Engine.ID; got == first {
		t.Error("the doubtful engine was chosen")
	}
	for i := range list {
		list[i].Doubtful = true
	}
	begin(t, long, list)
}

func TestDecodeStaysNearTheKVCacheUnlessCrowded(t *testing.T) {
	list := engines(0, 4)
	chosen, _ := DefaultSettings().Decode(long, "a", list)
	if chosen.Zone != "a" {
		t.Errorf("zone %s", chosen.Zone)
	}
	for _, id := range []string{"d0", "d2"} {
		list = with(list, id, func(e *Engine) { e.Requests = 60 })
	}
	if chosen, _ = DefaultSettings().Decode(long, "a", list); chosen.Zone != "b" {
		t.Errorf("zone %s, though its engines are crowded", chosen.Zone)
	}
}

func TestSharedKeyIsTheLastPartThatOthersShare(t *testing.T) {
	for _, c := range []struct {
		parts  []Part
		key    string
		shared int
	}{
		{nil, "", 0},
		{[]Part{{"own", 10}}, "own", 0},
		{[]Part{{"a", 10}, {"own", 5}}, "a", 10},
		{[]Part{{"a", 10}, {"b", 20}, {"own", 5}}, "b", 30},
	} {
		p := Prompt{Parts: c.parts, Tokens: 100}
		if p.SharedKey() != c.key || p.SharedTokens() != c.shared {
			t.Errorf("%v: key %q, %d shared tokens", c.parts, p.SharedKey(), p.SharedTokens())
		}
	}
}

// TestChangesReachTheTargetAndStay applies the changes until there are none.
func TestChangesReachTheTargetAndStay(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		list := engines(rapid.IntRange(0, 20).Draw(t, "prefill"), rapid.IntRange(0, 20).Draw(t, "decode"))
		target := DefaultTarget()
		for range 2 * len(list) {
			changes := target.Changes(list, 1)
			if len(changes) == 0 {
				break
			}
			list = with(list, changes[0].Engine, func(e *Engine) { e.Role = changes[0].To })
		}
		prefill := count(list, config.RolePrefill)
		if want := target.Count(len(list)); prefill != want {
			t.Fatalf("%d of %d engines prefill, want %d", prefill, len(list), want)
		}
		if len(list) > target.MinDecode && len(list)-prefill < target.MinDecode {
			t.Fatalf("only %d of %d engines decode", len(list)-prefill, len(list))
		}
	})
}

func TestEachZoneKeepsBothRoles(t *testing.T) {
	list := engines(0, 18)
	for _, change := range DefaultTarget().Changes(list, 18) {
		list = with(list, change.Engine, func(e *Engine) { e.Role = change.To })
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

func TestAnEngineOfTheOwnZoneIsPreferredAmongEquals(t *testing.T) {
	s := DefaultSettings()
	for _, zone := range []string{"a", "b"} {
		s.Zone = zone
		chosen, _ := s.Decode(Prompt{Tokens: 3000}, zone, engines(0, 4))
		start, _ := s.Begin(Prompt{Tokens: 1000}, engines(2, 4))
		if chosen.Zone != zone || start.Engine.Zone != zone {
			t.Errorf("zone %s: decode in %s, direct in %s", zone, chosen.Zone, start.Engine.Zone)
		}
	}
}
