package placement

import (
	"fmt"
	"testing"
	"time"

	"sassafrasfield/internal/config"
	"sassafrasfield/internal/load"
)

// newSplitEngines returns engines of both roles, alternating between two zones.
func newSplitEngines(prefill, decode int) []Candidate {
	table := load.NewTable()
	var list []Candidate
	add := func(id string, i int, role config.Role) {
		list = append(list, Candidate{
			ID: id, Zone: string(rune('a' + i%2)), Load: table.Upstream(id),
			Engine: &config.Engine{ID: id, Loaded: config.EngineState{Role: role}},
		})
	}
	for i := range prefill {
		add(fmt.Sprintf("p%d", i), i, config.RolePrefill)
	}
	for i := range decode {
		add(fmt.Sprintf("d%d", i), i, config.RoleDecode)
	}
	return list
}

var longPrompt = Prompt{Tokens: 17000, MaxOutput: 100, Parts: []Part{{"shared", 13000}, {"own", 4000}}}

var scheduler = NewDisaggregatedScheduler()

// costs describe the engines of a large mixture-of-experts model.
var costs = Costs{
	EngineTimes: EngineTimes{
		TokenTime: 16300, PairTime: 0.525, Overhead: 90 * time.Millisecond, FetchTime: 760, HandOver: 50 * time.Millisecond, SlotTime: time.Second,
		Slots: 64, CacheTokens: 467273,
	},
	Settings: DefaultSettings(),
}

func pickPrefill(t *testing.T, p Prompt, list []Candidate) Prefill {
	t.Helper()
	start, ok := scheduler.PickPrefill(&Request{Prompt: p, Costs: costs}, list, rng())
	if !ok {
		t.Fatal("no engine")
	}
	return start
}

func pickDecodeIn(t *testing.T, zone string, p Prompt, list []Candidate) Candidate {
	t.Helper()
	chosen, ok := scheduler.PickDecode(&Request{Prompt: p, Costs: costs, Zone: zone, KVZone: zone}, list, rng())
	if !ok {
		t.Fatal("no engine")
	}
	return chosen
}

func modify(list []Candidate, id string, change func(*Candidate)) []Candidate {
	for i := range list {
		if list[i].ID == id {
			change(&list[i])
		}
	}
	return list
}

func TestAllInstancesChooseTheSameEngineForASharedPart(t *testing.T) {
	first := pickPrefill(t, longPrompt, newSplitEngines(11, 7)).Engine.ID
	list := newSplitEngines(11, 7)
	for i := range list { // another instance may list the engines in another order
		j := len(list) - 1 - i
		if i < j {
			list[i], list[j] = list[j], list[i]
		}
	}
	if got := pickPrefill(t, longPrompt, list).Engine.ID; got != first {
		t.Errorf("chose %s, and %s with the engines in reverse order", first, got)
	}
}

func TestBusyEngineIsNotChosen(t *testing.T) {
	first := pickPrefill(t, longPrompt, newSplitEngines(3, 1)).Engine.ID
	list := modify(newSplitEngines(3, 1), first, func(c *Candidate) { c.Aggregate.Backlog, c.Aggregate.CachedTokens = time.Minute, 13000 })
	start := pickPrefill(t, longPrompt, list)
	if start.Engine.ID == first {
		t.Error("the busy engine was chosen")
	}
	if start.Source.ID != first {
		t.Errorf("the shared part is fetched from %q, want %s", start.Source.ID, first)
	}
}

func TestSharedPartIsNotCopiedForAShortWait(t *testing.T) {
	first := pickPrefill(t, longPrompt, newSplitEngines(3, 1)).Engine.ID
	list := modify(newSplitEngines(3, 1), first, func(c *Candidate) { c.Aggregate.Backlog, c.Aggregate.CachedTokens = 300*time.Millisecond, 13000 })
	if got := pickPrefill(t, longPrompt, list).Engine.ID; got != first {
		t.Errorf("chose %s, which does not have the shared part cached", got)
	}
}

func TestFetchSourceIsTheNearestEngineWithMostCachedTokens(t *testing.T) {
	list := newSplitEngines(1, 4) // d0 and d2 are in zone a with p0
	for _, id := range []string{"d1", "d2"} {
		list = modify(list, id, func(c *Candidate) { c.Aggregate.CachedTokens = 13000 })
	}
	if got := pickPrefill(t, longPrompt, list).Source.ID; got != "d2" {
		t.Errorf("source %q, want d2", got)
	}
	list = modify(list, "d2", func(c *Candidate) { c.Suspect = true })
	if got := pickPrefill(t, longPrompt, list).Source.ID; got != "d1" {
		t.Errorf("source %q while d2 is suspect, want d1", got)
	}
}

func TestShortPromptGoesToADecodeEngine(t *testing.T) {
	start := pickPrefill(t, Prompt{Tokens: 1000, MaxOutput: 10}, newSplitEngines(3, 2))
	if !start.Direct() || start.Engine.Engine.Loaded.Role != config.RoleDecode {
		t.Errorf("%+v", start.Engine)
	}
}

// TestShortPromptsAvoidBusyDecodeEngines checks that short prompts go to prefill engines when prompts use
// most of the decode engines' time. Otherwise the prefill engines would be idle meanwhile.
func TestShortPromptsAvoidBusyDecodeEngines(t *testing.T) {
	short := Prompt{Tokens: 1500, MaxOutput: 25}
	for _, c := range []struct {
		utilization float64
		direct      bool
	}{{0, true}, {0.15, true}, {0.8, false}, {2, false}} {
		list := newSplitEngines(3, 2)
		for i := range list {
			if list[i].role() == config.RoleDecode {
				list[i].Aggregate.Utilization = c.utilization
			}
		}
		if start := pickPrefill(t, short, list); start.Direct() != c.direct {
			t.Errorf("decode engines with a utilization of %g: direct %t", c.utilization, start.Direct())
		}
	}
}

func TestDecodeEngineProcessesThePromptWithoutPrefillEngines(t *testing.T) {
	if start := pickPrefill(t, longPrompt, newSplitEngines(0, 2)); !start.Direct() {
		t.Errorf("%+v", start.Engine)
	}
	if _, ok := scheduler.PickPrefill(&Request{Prompt: longPrompt, Costs: costs}, nil, rng()); ok {
		t.Error("an engine was chosen although there is none")
	}
}

func TestSuspectEngineIsChosenLast(t *testing.T) {
	first := pickPrefill(t, longPrompt, newSplitEngines(2, 1)).Engine.ID
	list := modify(newSplitEngines(2, 1), first, func(c *Candidate) { c.Suspect = true })
	if got := pickPrefill(t, longPrompt, list).Engine.ID; got == first {
		t.Error("the suspect engine was chosen")
	}
	for i := range list {
		list[i].Suspect = true
	}
	pickPrefill(t, longPrompt, list)
}

func TestDrainingAndExcludedEnginesAreNotChosen(t *testing.T) {
	list := modify(newSplitEngines(2, 2), "p0", func(c *Candidate) { c.Draining = true })
	req := &Request{Prompt: longPrompt, Costs: costs, Excluded: map[string]bool{"p1": true, "d0": true}}
	if start, ok := scheduler.PickPrefill(req, list, rng()); !ok || start.Engine.ID != "d1" {
		t.Errorf("got %q, %t: want the remaining engine d1", start.Engine.ID, ok)
	}
	if chosen, ok := scheduler.PickDecode(req, list, rng()); !ok || chosen.ID != "d1" {
		t.Errorf("got %q, %t: want the remaining engine d1", chosen.ID, ok)
	}
}

func TestDecodeStaysInTheZoneOfTheKVCacheUnlessItsEnginesAreFull(t *testing.T) {
	list := newSplitEngines(0, 4)
	request := &Request{Prompt: longPrompt, Costs: costs, KVZone: "a"}
	if chosen, _ := scheduler.PickDecode(request, list, rng()); chosen.Zone != "a" {
		t.Errorf("zone %s", chosen.Zone)
	}
	for _, id := range []string{"d0", "d2"} {
		list = modify(list, id, func(c *Candidate) { c.Aggregate.Requests = 60 })
	}
	if chosen, _ := scheduler.PickDecode(request, list, rng()); chosen.Zone != "b" {
		t.Errorf("zone %s, although its engines are almost full", chosen.Zone)
	}
}

func TestOwnZoneIsPreferredAmongEquals(t *testing.T) {
	for _, zone := range []string{"a", "b"} {
		chosen := pickDecodeIn(t, zone, Prompt{Tokens: 3000}, newSplitEngines(0, 4))
		start, _ := scheduler.PickPrefill(&Request{Prompt: Prompt{Tokens: 1000}, Costs: costs, Zone: zone}, newSplitEngines(2, 4), rng())
		if chosen.Zone != zone || start.Engine.Zone != zone {
			t.Errorf("zone %s: decode in %s, direct in %s", zone, chosen.Zone, start.Engine.Zone)
		}
	}
}

func TestCallGoesToTheLeastBusyUpstreamWithPreferenceForTheOwnZone(t *testing.T) {
	for _, tc := range []struct {
		near, far int
		want      string
	}{{0, 0, "near"}, {2, 0, "near"}, {4, 0, "far"}, {9, 4, "far"}} {
		table := load.NewTable()
		list := []Candidate{
			{ID: "near", Zone: "a", Load: table.Upstream("near"), Aggregate: AggregateLoad{Requests: tc.near}},
			{ID: "far", Zone: "b", Load: table.Upstream("far"), Aggregate: AggregateLoad{Requests: tc.far}},
		}
		if c, _ := NewAggregateServiceScheduler().Schedule(&Request{Zone: "a"}, list, rng()); c.ID != tc.want {
			t.Errorf("%d near, %d far: %s", tc.near, tc.far, c.ID)
		}
		list = modify(list, tc.want, func(c *Candidate) { c.Suspect = true })
		if c, _ := NewAggregateServiceScheduler().Schedule(&Request{Zone: "a"}, list, rng()); c.ID == tc.want {
			t.Errorf("%d near, %d far: the suspect upstream is chosen", tc.near, tc.far)
		}
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
