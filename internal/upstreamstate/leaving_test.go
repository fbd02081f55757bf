package upstreamstate

import (
	"testing"
	"time"

	"sassafrasfield/internal/quota"
)

// TestThatAnUpstreamLeavesHoldsForItsStart guards against an upstream that gets requests again
// because its entry says nothing, is written again or comes back, and against a new start that
// gets none.
func TestThatAnUpstreamLeavesHoldsForItsStart(t *testing.T) {
	p := newPicture()
	u := p.Upstreams("app")[0]
	u.StartedAt = 1
	p.UpdateUpstream(u)
	p.Announced(u, quota.Announcement{Draining: true}, 0)
	leaves := func(when string, want bool) {
		t.Helper()
		if now := p.Upstream(u.ID); now.Draining != want || p.IsDraining(now) != want {
			t.Errorf("%s: draining %t, want %t", when, now.Draining, want)
		}
	}
	leaves("once it has said so", true)
	p.Announced(u, quota.Announcement{}, time.Second)
	leaves("after an answer of before", true)
	p.UpdateUpstream(u)
	leaves("once its entry is written again", true)
	p.RemoveUpstream(u.ID)
	p.UpdateUpstream(u)
	leaves("once its entry has come back", true)
	p.RemoveUpstream(u.ID)
	p.OwnReport(30 * time.Second)
	p.UpdateUpstream(u)
	leaves("once it has come back late", true)
	again := u
	again.StartedAt = 2
	p.UpdateUpstream(again)
	leaves("at its new start", false)
	p.Announced(u, quota.Announcement{Draining: true}, time.Minute)
	leaves("after a late answer of the start before", false)
}

// TestThatAnUpstreamLeavesReachesAllZones guards against an instance that goes on sending since
// another one was told.
func TestThatAnUpstreamLeavesReachesAllZones(t *testing.T) {
	told, hub, farHub, far, newcomer := newPicture(), newPicture(), newPicture(), newPicture(), newPicture()
	u := told.Upstreams("app")[0]
	told.Announced(u, quota.Announcement{Draining: true}, 0)
	hub.ApplyReport(InstanceSourcePrefix+"one", told.OwnReport(0), 0)
	farHub.ApplyReport("zone a", hub.ZoneReport(0), 0)
	far.ApplyReport("zones", farHub.OtherZonesReport(0), 0)
	newcomer.ApplyLimits(far.Limits(0), true, 0)
	for name, p := range map[string]*State{"told": told, "hub": hub, "far hub": farHub, "far": far, "newcomer": newcomer} {
		if !p.IsDraining(u) {
			t.Errorf("%s does not know", name)
		}
		if n := len(p.LimitChanges()); n != 1 {
			t.Errorf("%s: %d lines, want 1", name, n)
		}
	}
	if again := told.OwnReport(time.Minute).Limits; len(again) != 1 || !again[0].Draining {
		t.Errorf("not told again: %v", again)
	}
}
