package upstreamstate

import (
	"testing"
	"time"

	"sassafrasfield/internal/quota"
)

// TestDrainingAppliesToOneIncarnation checks that a draining upstream gets no requests even if its
// entry does not say so, is rewritten or is restored, and that it gets requests again after a
// restart.
func TestDrainingAppliesToOneIncarnation(t *testing.T) {
	s := newTestState()
	u := s.Upstreams("app")[0]
	u.StartedAt = 1
	s.UpdateUpstream(u)
	s.ApplyAnnouncement(u, quota.Announcement{Draining: true}, 0)
	checkDraining := func(when string, want bool) {
		t.Helper()
		if now := s.Upstream(u.ID); now.Draining != want || s.IsDraining(now) != want {
			t.Errorf("%s: draining %t, want %t", when, now.Draining, want)
		}
	}
	checkDraining("after its announcement", true)
	s.ApplyAnnouncement(u, quota.Announcement{}, time.Second)
	checkDraining("after an answer without the announcement", true)
	s.UpdateUpstream(u)
	checkDraining("after its entry was rewritten", true)
	s.RemoveUpstream(u.ID)
	s.UpdateUpstream(u)
	checkDraining("after its entry was restored", true)
	s.RemoveUpstream(u.ID)
	s.OwnReport(30 * time.Second)
	s.UpdateUpstream(u)
	checkDraining("after its entry was restored late", true)
	restarted := u
	restarted.StartedAt = 2
	s.UpdateUpstream(restarted)
	checkDraining("after its restart", false)
	s.ApplyAnnouncement(u, quota.Announcement{Draining: true}, time.Minute)
	checkDraining("after a late answer of the old incarnation", false)
}

// TestDrainingReachesAllZones guards against instances that keep sending to a draining upstream
// because only another instance received its announcement.
func TestDrainingReachesAllZones(t *testing.T) {
	direct, hub, farHub, far, newcomer := newTestState(), newTestState(), newTestState(), newTestState(), newTestState()
	u := direct.Upstreams("app")[0]
	direct.ApplyAnnouncement(u, quota.Announcement{Draining: true}, 0)
	hub.ApplyReport(InstanceSourcePrefix+"one", direct.OwnReport(0), 0)
	farHub.ApplyReport("zone a", hub.ZoneReport(0), 0)
	far.ApplyReport("zones", farHub.OtherZonesReport(0), 0)
	newcomer.ApplyLimits(far.Limits(0), true, 0)
	for name, s := range map[string]*State{"told": direct, "hub": hub, "far hub": farHub, "far": far, "newcomer": newcomer} {
		if !s.IsDraining(u) {
			t.Errorf("%s does not know that it is draining", name)
		}
		if n := len(s.LimitChanges()); n != 1 {
			t.Errorf("%s: %d changes to be logged, want 1", name, n)
		}
	}
	if resent := direct.OwnReport(time.Minute).Limits; len(resent) != 1 || !resent[0].Draining {
		t.Errorf("announcement not sent again: %v", resent)
	}
}
