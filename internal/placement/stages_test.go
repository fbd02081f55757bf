package placement

import (
	"fmt"
	"testing"
	"time"

	"sassafrasfield/internal/config"
	"sassafrasfield/internal/load"
)

// split has engines of both roles, in two zones by turns.
func split(prefill, decode int) []Candidate {
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

var long = Prompt{Tokens: 17000, MaxOutput: 100, Parts: []Part{{"shared", 13000}, {"own", 4000}}}

var stages = NewDisaggregatedScheduler()

// costs are those of a large mixture-of-experts model's engines.
var costs = Costs{
	EngineTimes: EngineTimes{
		TokenTime: 16300, PairTime: 0.525, Overhead: 90 * time.Millisecond, FetchTime: 760, HandOver: 50 * time.Millisecond, SlotTime: time.Second,
		Slots: 64, CacheTokens: 467273,
	},
	Settings: DefaultSettings(),
}

func begin(t *testing.T, p Prompt, list []Candidate) Prefill {
	t.Helper()
	start, ok := stages.PickPrefill(&Request{Prompt: p, Costs: costs}, list, rng())
	if !ok {
		t.Fatal("no engine")
	}
	return start
}

func generateIn(t *testing.T, zone string, p Prompt, list []Candidate) Candidate {
	t.Helper()
	chosen, ok := stages.PickDecode(&Request{Prompt: p, Costs: costs, Zone: zone, KVZone: zone}, list, rng())
	if !ok {
		t.Fatal("no engine")
	}
	return chosen
}

func with(list []Candidate, id string, change func(*Candidate)) []Candidate {
	for i := range list {
		if list[i].ID == id {
			change(&list[i])
		}
	}
	return list
}

func TestAllInstancesChooseTheSameEngineForAPart(t *testing.T) {
	first := begin(t, long, split(11, 7)).Engine.ID
	list := split(11, 7)
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

func TestABusyEngineIsPassedOver(t *testing.T) {
	first := begin(t, long, split(3, 1)).Engine.ID
	list := with(split(3, 1), first, func(c *Candidate) { c.Aggregate.Backlog, c.Aggregate.CachedTokens = time.Minute, 13000 })
	start := begin(t, long, list)
	if start.Engine.ID == first {
		t.Error("the busy engine was chosen")
	}
	if start.Source.ID != first {
		t.Errorf("the shared part is fetched from %q, want %s", start.Source.ID, first)
	}
}

func TestAPartIsNotCopiedForAShortWait(t *testing.T) {
	first := begin(t, long, split(3, 1)).Engine.ID
	list := with(split(3, 1), first, func(c *Candidate) { c.Aggregate.Backlog, c.Aggregate.CachedTokens = 300*time.Millisecond, 13000 })
	if got := begin(t, long, list).Engine.ID; got != first {
		t.Errorf("%s was chosen, which lacks the part", got)
	}
}

func TestTheSourceIsTheNearestThatHasMost(t *testing.T) {
	list := split(1, 4) // d0 and d2 are in zone a with p0
	for _, id := range []string{"d1", "d2"} {
		list = with(list, id, func(c *Candidate) { c.Aggregate.CachedTokens = 13000 })
	}
	if got := begin(t, long, list).Source.ID; got != "d2" {
		t.Errorf("source %q, want d2", got)
	}
	list = with(list, "d2", func(c *Candidate) { c.Suspect = true })
	if got := begin(t, long, list).Source.ID; got != "d1" {
		t.Errorf("source %q while d2 is doubtful, want d1", got)
	}
}

func TestAShortPromptGoesStraightToADecodeEngine(t *testing.T) {
	start := begin(t, Prompt{Tokens: 1000, MaxOutput: 10}, split(3, 2))
	if !start.Direct() || start.Engine.Engine.Loaded.Role != config.RoleDecode {
		t.Errorf("%+v", start.Engine)
	}
}

// TestShortPromptsLeaveCrowdedDecodeEngines: prompts take most of the decode
// engines' time while prefill engines idle.
func TestShortPromptsLeaveCrowdedDecodeEngines(t *testing.T) {
	short := Prompt{Tokens: 1500, MaxOutput: 25}
	for _, c := range []struct {
		use    float64
		direct bool
	}{{0, true}, {0.15, true}, {0.8, false}, {2, false}} {
		list := split(3, 2)
		for i := range list {
			if list[i].role() == config.RoleDecode {
				list[i].Aggregate.Utilization = c.use
			}
		}
		if start := begin(t, short, list); start.Direct() != c.direct {
			t.Errorf("decode engines with %g of their time taken: direct %t", c.use, start.Direct())
		}
	}
}

func TestWithoutPrefillEnginesADecodeEngineDoesAll(t *testing.T) {
	if start := begin(t, long, split(0, 2)); !start.Direct() {
		t.Errorf("%+v", start.Engine)
	}
	if _, ok := stages.PickPrefill(&Request{Prompt: long, Costs: costs}, nil, rng()); ok {
		t.Error("an engine was found among none")
	}
}

func TestADoubtfulEngineIsTakenLast(t *testing.T) {
	first := begin(t, long, split(2, 1)).Engine.ID
	list := with(split(2, 1), first, func(c *Candidate) { c.Suspect = true })
	if got := begin(t, long, list).Engine.ID; got == first {
		t.Error("the doubtful engine was chosen")
	}
	for i := range list {
		list[i].Suspect = true
	}
	begin(t, long, list)
}

func TestEnginesThatLeaveOrFailedTheRequestAreNotChosen(t *testing.T) {
	list := with(split(2, 2), "p0", func(c *Candidate) { c.Draining = true })
	req := &Request{Prompt: long, Costs: costs, Excluded: map[string]bool{"p1": true, "d0": true}}
	if start, ok := stages.PickPrefill(req, list, rng()); !ok || start.Engine.ID != "d1" {
		t.Errorf("%q, %t: want the one that is left", start.Engine.ID, ok)
	}
	if chosen, ok := stages.PickDecode(req, list, rng()); !ok || chosen.ID != "d1" {
		t.Errorf("%q, %t: want the one that is left", chosen.ID, ok)
	}
}

func TestDecodeStaysNearTheKVCacheUnlessCrowded(t *testing.T) {
	list := split(0, 4)
	request := &Request{Prompt: long, Costs: costs, KVZone: "a"}
	if chosen, _ := stages.PickDecode(request, list, rng()); chosen.Zone != "a" {
		t.Errorf("zone %s", chosen.Zone)
	}
	for _, id := range []string{"d0", "d2"} {
		list = with(list, id, func(c *Candidate) { c.Aggregate.Requests = 60 })
	}
	if chosen, _ := stages.PickDecode(request, list, rng()); chosen.Zone != "b" {
		t.Errorf("zone %s, though its engines are crowded", chosen.Zone)
	}
}

func TestAnEngineOfTheOwnZoneIsPreferredAmongEquals(t *testing.T) {
	for _, zone := range []string{"a", "b"} {
		chosen := generateIn(t, zone, Prompt{Tokens: 3000}, split(0, 4))
		start, _ := stages.PickPrefill(&Request{Prompt: Prompt{Tokens: 1000}, Costs: costs, Zone: zone}, split(2, 4), rng())
		if chosen.Zone != zone || start.Engine.Zone != zone {
			t.Errorf("zone %s: decode in %s, direct in %s", zone, chosen.Zone, start.Engine.Zone)
		}
	}
}

func TestACallGoesToTheLeastBusyAndStaysNear(t *testing.T) {
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
		list = with(list, tc.want, func(c *Candidate) { c.Suspect = true })
		if c, _ := NewAggregateServiceScheduler().Schedule(&Request{Zone: "a"}, list, rng()); c.ID == tc.want {
			t.Errorf("%d near, %d far: the doubtful one is chosen", tc.near, tc.far)
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
