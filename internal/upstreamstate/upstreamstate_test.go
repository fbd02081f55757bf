package upstreamstate

import (
	"testing"
	"time"

	"sassafrasfield/internal/config"
	"sassafrasfield/internal/estimate"
	"sassafrasfield/internal/load"
	"sassafrasfield/internal/placement"
	"sassafrasfield/internal/routes"
)

// newTestState returns a State with two prefill engines, three decode engines and three upstreams of
// a plain service.
func newTestState() *State {
	s := New(Settings{
		Zone: "a", Placement: placement.DefaultSettings(), Prior: estimate.DefaultPrior(), Outliers: load.DefaultOutlierRules(), Seed: 1,
	})
	s.SetRoutes(routes.NewTable(1, []routes.Route{{
		Name: "generate", Kind: routes.Generation, MaxPause: 200 * time.Millisecond,
		Shares: []routes.Share{{Service: "llm", Weight: 1}},
	}}, []routes.Service{{Name: "llm", Engine: &routes.EngineLimits{
		Slots: 64, KVTokens: 370000, TransferTime: 109, EventTokens: 52, RoleSwitch: 3 * time.Second,
	}}}, routes.Limits{}), 0)
	for id, role := range map[string]config.Role{
		"pre-1": config.RolePrefill, "pre-2": config.RolePrefill,
		"dec-1": config.RoleDecode, "dec-2": config.RoleDecode, "dec-3": config.RoleDecode,
	} {
		s.UpdateUpstream(Upstream{ID: id, Service: "llm", Address: id, Zone: "a", Role: role})
	}
	for _, id := range []string{"app-1", "app-2", "app-3"} {
		s.UpdateUpstream(Upstream{ID: id, Service: "app", Address: id, Zone: "a"})
	}
	return s
}

// aggregateLoadOf returns the load of an upstream as placement receives it.
func aggregateLoadOf(t *testing.T, s *State, id string, r PlacementRequest, now time.Duration) placement.AggregateLoad {
	t.Helper()
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, c := range s.candidates(r, s.request(r, now)) {
		if c.ID == id {
			return c.Aggregate
		}
	}
	t.Fatalf("no upstream %s", id)
	return placement.AggregateLoad{}
}

// TestRestartedUpstreamStartsWithNoState checks a restart under the same id: the new incarnation
// has no requests and no parts, and earlier notices do not apply to it.
func TestRestartedUpstreamStartsWithNoState(t *testing.T) {
	s := New(Settings{Zone: "a"})
	engine := Upstream{ID: "e", Service: "llm", Zone: "a", Role: config.RoleDecode, StartedAt: 1000}
	s.UpdateUpstream(engine)
	before := engine.Incarnation()
	s.ApplyReport("zone b", Report{
		Loads: []EngineLoad{{Engine: before, Requests: 9}}, Placed: []PlacedPart{{Engine: before, Part: 7}}, Unreachable: []uint32{before},
	}, time.Second)
	s.PlaceOn("e", "r1", time.Second)
	s.MarkUnavailable("e", time.Minute)
	s.UpdateUpstream(engine) // the same entry again: nothing is dropped
	if n := s.nodes["e"]; n.aggregateLoad(time.Second).Requests != 10 || !s.suspect(n, time.Second) {
		t.Fatalf("state dropped without a restart: %+v", n.aggregateLoad(time.Second))
	}
	engine.StartedAt = 5000
	s.UpdateUpstream(engine)
	n := s.nodes["e"]
	if engine.Incarnation() == before || n.ownLoad(time.Second).Requests != 0 || n.aggregateLoad(time.Second).Requests != 0 || s.suspect(n, time.Second) {
		t.Errorf("new incarnation has load %+v, suspect: %t", n.aggregateLoad(time.Second), s.suspect(n, time.Second))
	}
	if s.HasPlacement(PlacedPart{Engine: n.hash, Part: 7}) {
		t.Error("assumed to have a part cached by the old incarnation")
	}
	s.RequestDone("e", "r1", time.Second) // of the old incarnation
	if s.nodes["e"].ownLoad(time.Second).Requests != 0 {
		t.Error("a request of the old incarnation was removed from the new one")
	}
	if len(s.byService["llm"]) != 1 || len(s.byHash) != 1 {
		t.Errorf("%d upstreams of the service and %d by hash, want 1", len(s.byService["llm"]), len(s.byHash))
	}
}

func TestUpstreamUnreachableFromOthersIsAvoided(t *testing.T) {
	s := newTestState()
	request := PlacementRequest{ID: "r", Service: "app"}
	first, ok := s.PickServiceUpstream(request, 0)
	if !ok {
		t.Fatal("no upstream")
	}
	s.RecordCall(first.ID, load.CallSucceeded, 0)
	s.RequestDone(first.ID, "r", 0)
	const longAfter = time.Minute // long after its last answer
	s.ApplyReport("zone b", Report{Unreachable: []uint32{hashOf(first.ID)}}, longAfter)
	for range 10 {
		next, _ := s.PickServiceUpstream(request, longAfter)
		if next.ID == first.ID {
			t.Fatalf("%s was chosen again", next.ID)
		}
		s.RequestDone(next.ID, "r", longAfter)
	}
}

func TestLoadsOfSilentSourceExpire(t *testing.T) {
	s := newTestState()
	s.ApplyReport("zone b", Report{Loads: []EngineLoad{{Engine: hashOf("dec-1"), Requests: 9}}}, 0)
	if n := aggregateLoadOf(t, s, "dec-1", PlacementRequest{Service: "llm"}, 0).Requests; n != 9 {
		t.Errorf("%d requests counted, want the nine reported", n)
	}
	if n := aggregateLoadOf(t, s, "dec-1", PlacementRequest{Service: "llm"}, time.Minute).Requests; n != 0 {
		t.Errorf("%d requests counted after the source fell silent, want none", n)
	}
	s.OwnReport(time.Minute)
	if len(s.peers.sources) != 0 {
		t.Error("the silent source is still stored")
	}
}

var longPrompt = placement.Prompt{Tokens: 9000, MaxOutput: 600, Parts: []placement.Part{{ID: "shared", Tokens: 6000}, {ID: "own", Tokens: 3000}}}

// TestPlainServiceRequestsAreReported: with many instances, each one sees only a few of the
// requests on an upstream of a plain service, so placement needs the reports of the others.
func TestPlainServiceRequestsAreReported(t *testing.T) {
	s, other := newTestState(), newTestState()
	chosen, _ := s.PickServiceUpstream(PlacementRequest{ID: "r", Service: "app"}, 0)
	other.ApplyReport(InstanceSourcePrefix+"one", s.OwnReport(0), 0)
	if n := aggregateLoadOf(t, other, chosen.ID, PlacementRequest{Service: "app"}, 0).Requests; n != 1 {
		t.Errorf("%d requests reported, want one", n)
	}
	for range 10 {
		next, _ := other.PickServiceUpstream(PlacementRequest{ID: "q", Service: "app"}, 0)
		if next.ID == chosen.ID {
			t.Fatal("the busy upstream was chosen while others were idle")
		}
		other.RequestDone(next.ID, "q", 0)
	}
}

// TestCachedPartExpiresWithInflow: an engine with memory for 370,000 tokens and an inflow of
// 100,000 a second has evicted a part that was last used three seconds ago.
func TestCachedPartExpiresWithInflow(t *testing.T) {
	for _, c := range []struct {
		inflow float64
		after  time.Duration
		cached int
	}{{0, 30 * time.Second, 6000}, {100000, 2 * time.Second, 6000}, {100000, 3 * time.Second, 0}} {
		s := newTestState()
		s.ApplyReport("zone b", Report{Placed: []PlacedPart{{Engine: hashOf("pre-1"), Part: hashOf("shared")}}}, 0)
		s.ApplyReport("zone b", Report{Loads: []EngineLoad{{Engine: hashOf("pre-1"), Inflow: c.inflow}}}, c.after)
		request := PlacementRequest{Service: "llm", Prompt: longPrompt}
		if got := aggregateLoadOf(t, s, "pre-1", request, c.after).CachedTokens; got != c.cached {
			t.Errorf("inflow of %g tokens a second, after %s: %d tokens assumed cached, want %d", c.inflow, c.after, got, c.cached)
		}
	}
}

// TestPromptWorkIsCountedUntilDone has two instances; the second receives the reports of the first.
func TestPromptWorkIsCountedUntilDone(t *testing.T) {
	s, other := newTestState(), newTestState()
	prefill, order, ok := s.PickPrefill(PlacementRequest{ID: "r", Service: "llm", Prompt: longPrompt, Objective: time.Second, RemainingWait: 2 * time.Second}, 0)
	if !ok || prefill.Direct() || prefill.BusyTime <= 0 || order != placement.QueueNormal {
		t.Fatalf("%+v, %s, %t", prefill, order, ok)
	}
	other.ApplyReport(InstanceSourcePrefix+"one", s.OwnReport(0), 0)
	if got := aggregateLoadOf(t, other, prefill.Engine.ID, PlacementRequest{Service: "llm"}, 0).Backlog; got != prefill.BusyTime {
		t.Errorf("backlog %s, want %s", got, prefill.BusyTime)
	}
	s.PromptDone(prefill.Engine.ID, prefill.BusyTime, order)
	s.RequestDone(prefill.Engine.ID, "r", 0)
	other.ApplyReport(InstanceSourcePrefix+"one", s.OwnReport(0), 0)
	if got := aggregateLoadOf(t, other, prefill.Engine.ID, PlacementRequest{Service: "llm"}, 0).Backlog; got != 0 {
		t.Errorf("backlog %s after the prompt was done", got)
	}
}

// callsAvoid places requests and fails the test if one goes to the upstream with the given id.
func callsAvoid(t *testing.T, s *State, id string, now time.Duration) {
	t.Helper()
	for range 10 {
		next, ok := s.PickServiceUpstream(PlacementRequest{ID: "q", Service: "app"}, now)
		if !ok || next.ID == id {
			t.Fatalf("%q was chosen at %s", next.ID, now)
		}
		s.RequestDone(next.ID, "q", now)
	}
}

// TestUpstreamWithReassignedAddressIsAvoidedEverywhere: while the platform's store is unavailable,
// upstreams shut down and others get their addresses, so entries name upstreams that no longer
// exist. Without sharing this, 234 requests were refused within eight seconds, as each of 195
// instances had to fail twice on each of 20 such upstreams by itself.
func TestUpstreamWithReassignedAddressIsAvoidedEverywhere(t *testing.T) {
	s, other, otherZone := newTestState(), newTestState(), newTestState()
	chosen, _ := s.PickServiceUpstream(PlacementRequest{ID: "r", Service: "app"}, 0)
	other.RecordCall(chosen.ID, load.CallSucceeded, 0) // it has just answered there
	otherZone.RecordCall(chosen.ID, load.CallSucceeded, 0)
	s.RecordCall(chosen.ID, load.CallAddressReassigned, 0)
	s.RequestDone(chosen.ID, "r", 0)
	callsAvoid(t, s, chosen.ID, time.Second)
	other.ApplyReport(InstanceSourcePrefix+"one", s.OwnReport(0), 0)
	callsAvoid(t, other, chosen.ID, time.Second)
	otherZone.ApplyReport("zone a", other.ZoneReport(0), 0)
	callsAvoid(t, otherZone, chosen.ID, time.Second)
	callsAvoid(t, otherZone, chosen.ID, addressReassignedFor-time.Millisecond)
}

// TestEngineIsUnavailableUntilRoleChanges checks that the engine stays unavailable even if it
// answers, until its role has changed.
func TestEngineIsUnavailableUntilRoleChanges(t *testing.T) {
	s, other := newTestState(), newTestState()
	s.MarkUnavailable("dec-1", time.Minute)
	other.RecordCall("dec-1", load.CallSucceeded, 0)
	other.ApplyReport(InstanceSourcePrefix+"one", s.OwnReport(0), 0)
	suspect := func() bool {
		other.mu.Lock()
		defer other.mu.Unlock()
		return other.suspect(other.nodes["dec-1"], time.Second)
	}
	if !suspect() {
		t.Error("available while its role changes")
	}
	other.UpdateUpstream(Upstream{ID: "dec-1", Service: "llm", Address: "dec-1", Zone: "a", Role: config.RolePrefill})
	if suspect() {
		t.Error("still unavailable after its role has changed")
	}
}

// TestImplausibleNoticesDoNotHideLostPath guards against an instance that does not find its path lost, because other
// instances that have lost theirs reported all upstreams of a service as unreachable.
func TestImplausibleNoticesDoNotHideLostPath(t *testing.T) {
	s := New(Settings{Zone: "a", OnChange: func() {}})
	var hashes []uint32
	for _, id := range []string{"u1", "u2", "u3", "u4"} {
		s.UpdateUpstream(Upstream{ID: id, Service: "app"})
		hashes = append(hashes, Upstream{ID: id}.Incarnation())
	}
	s.ApplyReport(InstanceSourcePrefix+"1", Report{Unreachable: hashes[:1]}, 0)
	if !s.ReportedUnreachable("u1", 0) || s.ReportedUnreachable("u2", 0) {
		t.Error("the notice about one upstream is not believed")
	}
	s.ApplyReport(InstanceSourcePrefix+"2", Report{Unreachable: hashes}, 0)
	if s.ReportedUnreachable("u1", 0) {
		t.Error("notices about all upstreams are believed")
	}
}
