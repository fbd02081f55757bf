package upstreamstate

import (
	"testing"
	"time"

	"sassafrasfield/internal/quota"
)

// TestExhaustedLimitAppliesToLessUrgentRequests checks that a reply to a request of one priority
// does not hold back more urgent requests. An upstream reserves its last capacity for those.
func TestExhaustedLimitAppliesToLessUrgentRequests(t *testing.T) {
	s := newTestState()
	all := s.Upstreams("app")
	s.ApplyAnnouncement(all[0], quota.Announcement{Limited: true, Rate: 2}, 0)
	for _, u := range all {
		s.MarkExhausted(u.Incarnation(), 3, 2*time.Second)
	}
	s.MarkExhausted(all[0].Incarnation(), 1, time.Second)
	for _, c := range []struct {
		priority    int
		at          time.Duration
		chosen      bool
		availableIn time.Duration
	}{
		{0, 0, true, 0}, {1, 0, len(all) > 1, time.Second}, {3, 0, false, 2 * time.Second}, {4, time.Second, false, time.Second},
		{1, time.Second, true, 0}, {4, 2 * time.Second, true, 0},
	} {
		request := PlacementRequest{ID: "r", Service: "app", Priority: c.priority}
		chosen, ok := s.PickServiceUpstream(request, c.at)
		if ok != c.chosen {
			t.Errorf("priority %d at %s: %q chosen, %t", c.priority, c.at, chosen.ID, ok)
		}
		s.RequestDone(chosen.ID, "r", c.at)
		if in, _, limited := s.AvailableIn(request, c.at); limited != (c.availableIn > 0) || limited && in != c.availableIn {
			t.Errorf("priority %d at %s: available in %s, %t", c.priority, c.at, in, limited)
		}
	}
	s.OwnReport(2 * time.Second)
	if len(s.limits.exhausted) > 0 {
		t.Errorf("expired entries are still stored: %v", s.limits.exhausted)
	}
}

// TestLimitsReachAllZones passes an announcement from an instance to its zone's hub, to the hub of
// another zone, and to an instance there.
func TestLimitsReachAllZones(t *testing.T) {
	direct, hub, farHub, far := newTestState(), newTestState(), newTestState(), newTestState()
	u := direct.Upstreams("app")[0]
	for step, rate := range []float64{2, 1} {
		now := time.Duration(step) * time.Second
		direct.ApplyAnnouncement(u, quota.Announcement{Limited: true, Rate: rate}, now)
		hub.ApplyReport(InstanceSourcePrefix+"one", direct.OwnReport(now), now)
		farHub.ApplyReport("zone a", hub.ZoneReport(now), now)
		far.ApplyReport("zones", farHub.OtherZonesReport(now), now)
		for name, s := range map[string]*State{"told": direct, "hub": hub, "far hub": farHub, "far": far} {
			if w, firstHand, _ := s.Limit(u.Incarnation(), now); w.Rate != rate || firstHand != (s == direct) {
				t.Errorf("%s has limit %+v, first-hand %t", name, w, firstHand)
			}
		}
	}
	if n := len(far.LimitChanges()); n != 2 {
		t.Errorf("%d changes to be logged, want 2", n)
	}
}

// TestPartsCachedOnExhaustedEngineAreFetched checks that an engine whose limit is exhausted does
// not get the prompt, but is the source for fetching the parts that it has cached.
func TestPartsCachedOnExhaustedEngineAreFetched(t *testing.T) {
	s := newTestState()
	request := PlacementRequest{ID: "r", Service: "llm", Prompt: longPrompt, Objective: time.Second, RemainingWait: 2 * time.Second}
	first, order, _ := s.PickPrefill(request, 0)
	s.PromptDone(first.Engine.ID, first.BusyTime, order)
	s.RequestDone(first.Engine.ID, "r", 0)
	s.ApplyAnnouncement(s.Upstream(first.Engine.ID), quota.Announcement{Limited: true, Rate: 2}, 0)
	s.MarkExhausted(s.Upstream(first.Engine.ID).Incarnation(), 0, time.Minute)
	next, _, ok := s.PickPrefill(request, 0)
	if !ok || next.Engine.ID == first.Engine.ID {
		t.Fatalf("%+v", next)
	}
	if next.Source.ID != first.Engine.ID {
		t.Errorf("fetched from %q, want %q", next.Source.ID, first.Engine.ID)
	}
}
