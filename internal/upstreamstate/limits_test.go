package upstreamstate

import (
	"testing"
	"time"

	"sassafrasfield/internal/quota"
)

// TestWhatIsSpentBindsTheLessUrgent: an upstream keeps its last room for more urgent requests,
// so that what a less urgent one was told says nothing to them.
func TestWhatIsSpentBindsTheLessUrgent(t *testing.T) {
	p := newPicture()
	all := p.Upstreams("app")
	p.Announced(all[0], quota.Announcement{Limited: true, Rate: 2}, 0)
	for _, u := range all {
		p.MarkExhausted(u.Incarnation(), 3, 2*time.Second)
	}
	p.MarkExhausted(all[0].Incarnation(), 1, time.Second)
	for _, c := range []struct {
		priority int
		at       time.Duration
		chosen   bool
		room     time.Duration
	}{
		{0, 0, true, 0}, {1, 0, len(all) > 1, time.Second}, {3, 0, false, 2 * time.Second}, {4, time.Second, false, time.Second},
		{1, time.Second, true, 0}, {4, 2 * time.Second, true, 0},
	} {
		ask := PlacementRequest{ID: "r", Service: "app", Priority: c.priority}
		chosen, ok := p.PickServiceUpstream(ask, c.at)
		if ok != c.chosen {
			t.Errorf("priority %d at %s: %q chosen, %t", c.priority, c.at, chosen.ID, ok)
		}
		p.RequestDone(chosen.ID, "r", c.at)
		if room, _, limited := p.AvailableIn(ask, c.at); limited != (c.room > 0) || limited && room != c.room {
			t.Errorf("priority %d at %s: room in %s, %t", c.priority, c.at, room, limited)
		}
	}
	p.OwnReport(2 * time.Second)
	if len(p.limits.exhausted) > 0 {
		t.Errorf("%v is kept", p.limits.exhausted)
	}
}

// TestLimitsReachAllZones: an instance, its zone's hub, another zone's hub and an instance there.
func TestLimitsReachAllZones(t *testing.T) {
	told, hub, farHub, far := newPicture(), newPicture(), newPicture(), newPicture()
	u := told.Upstreams("app")[0]
	for step, rate := range []float64{2, 1} {
		now := time.Duration(step) * time.Second
		told.Announced(u, quota.Announcement{Limited: true, Rate: rate}, now)
		hub.ApplyReport(InstanceSourcePrefix+"one", told.OwnReport(now), now)
		farHub.ApplyReport("zone a", hub.ZoneReport(now), now)
		far.ApplyReport("zones", farHub.OtherZonesReport(now), now)
		for name, p := range map[string]*State{"told": told, "hub": hub, "far hub": farHub, "far": far} {
			if w, firstHand, _ := p.Limit(u.Incarnation(), now); w.Rate != rate || firstHand != (p == told) {
				t.Errorf("%s keeps to %+v, first-hand %t", name, w, firstHand)
			}
		}
	}
	if n := len(far.LimitChanges()); n != 2 {
		t.Errorf("%d changes to be logged, want 2", n)
	}
}

// TestCachedPartsOfASpentEngineAreFetched: it is not asked for the prompt, and still has most of
// it.
func TestCachedPartsOfASpentEngineAreFetched(t *testing.T) {
	p := newPicture()
	ask := PlacementRequest{ID: "r", Service: "llm", Prompt: long, Objective: time.Second, RemainingWait: 2 * time.Second}
	first, turn, _ := p.PickPrefill(ask, 0)
	p.PromptDone(first.Engine.ID, first.BusyTime, turn)
	p.RequestDone(first.Engine.ID, "r", 0)
	p.Announced(p.Upstream(first.Engine.ID), quota.Announcement{Limited: true, Rate: 2}, 0)
	p.MarkExhausted(p.Upstream(first.Engine.ID).Incarnation(), 0, time.Minute)
	next, _, ok := p.PickPrefill(ask, 0)
	if !ok || next.Engine.ID == first.Engine.ID {
		t.Fatalf("%+v", next)
	}
	if next.Source.ID != first.Engine.ID {
		t.Errorf("fetched from %q, want %q", next.Source.ID, first.Engine.ID)
	}
}
