package quota

import (
	"math"
	"testing"
	"time"
)

const upstream = uint32(7)

func limited(rate float64) Announcement { return Announcement{Limited: true, Rate: rate} }

// TestReorderedAnnouncementsKeepTheLowerRate guards against a limit that is raised or lifted by an
// announcement that is out of order: answers on different connections overtake one another, and reports of
// other instances arrive late.
func TestReorderedAnnouncementsKeepTheLowerRate(t *testing.T) {
	type announced struct {
		at   time.Duration
		rate float64
	}
	for name, c := range map[string]struct {
		announced []announced
		want      float64
	}{
		"the rate falls": {[]announced{{0, 4}, {1, 2}}, 2},
		"the rate rises within the reorder window":               {[]announced{{0, 2}, {300 * time.Millisecond, 4}}, 2},
		"the higher rate is received first":                      {[]announced{{0, 4}, {-300 * time.Millisecond, 2}}, 2},
		"the rate rises after the reorder window":                {[]announced{{0, 2}, {reorderWindow + 1, 4}}, 4},
		"the limit is lifted for no more than the removal delay": {[]announced{{0, 2}, {removalDelay, Unlimited}}, 2},
		"the limit is lifted for longer than the removal delay":  {[]announced{{0, 2}, {removalDelay + 1, Unlimited}}, Unlimited},
		"some answers do not name the limit":                     {[]announced{{0, 2}, {time.Second, Unlimited}, {2 * time.Second, 2}, {3 * time.Second, Unlimited}}, 2},
		"the limit is lifted and announced again":                {[]announced{{0, 2}, {3 * time.Second, Unlimited}, {3*time.Second + 1, 5}}, 5},
		"an older answer comes late":                             {[]announced{{time.Second, 4}, {0, 1}}, 4},
		"no limit":                                               {[]announced{{0, Unlimited}}, Unlimited},
	} {
		table := NewTable()
		now := time.Duration(0)
		for _, a := range c.announced {
			now = max(now, a.at)
			table.ApplyReport(UpstreamLimit{Upstream: upstream, Rate: a.rate, Age: now - a.at}, SameZone, now)
		}
		if got := table.Rate(upstream); got != c.want {
			t.Errorf("%s: %g a second, want %g", name, got, c.want)
		}
	}
}

// TestExtremeRatesAreBounded checks that an upstream with a limit of 0 still gets a request occasionally, as
// only its answers show that the limit was lifted, and that invalid rates in reports are ignored.
func TestExtremeRatesAreBounded(t *testing.T) {
	for rate, want := range map[float64]float64{0: minRate, 1e-300: minRate, 2: 2, maxRate: Unlimited, 1e300: Unlimited} {
		table := NewTable()
		table.ApplyAnnouncement(upstream, limited(rate), 0)
		if got := table.Rate(upstream); got != want {
			t.Errorf("announced %g: limited to %g, want %g", rate, got, want)
		}
	}
	table := NewTable()
	for _, rate := range []float64{math.NaN(), -1, 0} {
		if _, changed := table.ApplyReport(UpstreamLimit{Upstream: upstream, Rate: rate}, SameZone, 0); changed || table.Any() {
			t.Errorf("a reported rate of %g was applied", rate)
		}
	}
}

// TestLiftedLimitIsNotRestored guards against a lifted limit that is restored by the reports of an instance
// that missed its removal: it publishes the limit until it receives newer state.
func TestLiftedLimitIsNotRestored(t *testing.T) {
	missed, saw, later := NewTable(), NewTable(), NewTable()
	missed.ApplyAnnouncement(upstream, limited(2), 0)
	for _, l := range missed.DueOwn(0) {
		saw.ApplyReport(l, SameZone, 0)
	}
	lifted := 10 * time.Second
	saw.ApplyAnnouncement(upstream, Announcement{}, lifted)
	for _, l := range saw.DueOwn(lifted) {
		later.ApplyReport(l, SameZone, lifted)
		missed.ApplyReport(l, SameZone, lifted)
	}
	for name, table := range map[string]*Table{"the one that missed the removal": missed, "the one that received it": saw, "one that only received reports": later} {
		for _, l := range missed.DueOwn(lifted + republishInterval) {
			table.ApplyReport(l, SameZone, lifted+republishInterval)
		}
		if got := table.Rate(upstream); !math.IsInf(got, 1) {
			t.Errorf("%s: still limited to %g", name, got)
		}
	}
}

// TestAnnouncementsAreRepublishedToTheirAudiences checks that the instance's own announcements are published
// to its zone, those of its zone to the other zones, and those of other zones to its zone.
func TestAnnouncementsAreRepublishedToTheirAudiences(t *testing.T) {
	table := NewTable()
	table.ApplyAnnouncement(1, limited(1), 0)
	table.ApplyReport(UpstreamLimit{Upstream: 2, Rate: 2}, SameZone, 0)
	table.ApplyReport(UpstreamLimit{Upstream: 3, Rate: 3}, OtherZone, 0)
	for _, now := range []time.Duration{0, republishInterval, 2 * republishInterval} {
		own, zone, otherZones := table.DueOwn(now), table.DueZone(now), table.DueOtherZones(now)
		if len(own) != 1 || len(zone) != 2 || len(otherZones) != 1 || own[0].Age != now || otherZones[0].Upstream != 3 {
			t.Errorf("at %s: %v, %v, %v", now, own, zone, otherZones)
		}
		if again := table.DueOwn(now + 1); len(again) > 0 {
			t.Errorf("published twice within %s", republishInterval)
		}
	}
	if change, changed := table.ApplyAnnouncement(1, limited(0.5), 2*republishInterval); !changed || change.OldRate != 1 || len(table.DueOwn(2*republishInterval)) != 1 {
		t.Errorf("a change is not published at once: %+v", change)
	}
}

// TestUnlistedUpstreamsExpire checks that an upstream which is unlisted for a short time keeps its limit, and
// that a removed upstream and a removal that was published long enough are deleted.
func TestUnlistedUpstreamsExpire(t *testing.T) {
	table := NewTable()
	table.ApplyAnnouncement(1, limited(1), 0)
	table.ApplyAnnouncement(2, limited(1), 0)
	table.ApplyAnnouncement(3, limited(1), 0)
	table.ApplyAnnouncement(3, Announcement{}, removalDelay+1)
	listed := func(upstream uint32) bool { return upstream != 2 }
	table.Expire(listed, keepUnlisted)
	if table.Rate(1) != 1 || table.Rate(2) != 1 {
		t.Error("a limit expired early")
	}
	table.Expire(listed, keepUnlisted+publishRemovalFor)
	if table.Rate(1) != 1 || len(table.entries) != 1 {
		t.Errorf("%d entries are left, want only that of the listed upstream", len(table.entries))
	}
}

// TestDrainingIsNotRevoked guards against announcements out of order, a lifted limit, and an expired entry,
// each of which could hide that an upstream is shutting down.
func TestDrainingIsNotRevoked(t *testing.T) {
	table := NewTable()
	change, changed := table.ApplyAnnouncement(upstream, Announcement{Limited: true, Rate: 2, Draining: true}, 0)
	if !changed || !change.StartsDraining || change.Rate != 2 {
		t.Errorf("%+v", change)
	}
	if _, changed := table.ApplyAnnouncement(upstream, Announcement{Limited: true, Rate: 2, Draining: true}, 1); changed {
		t.Error("an unchanged announcement is returned as a change")
	}
	table.ApplyAnnouncement(upstream, Announcement{}, time.Minute)
	table.ApplyReport(UpstreamLimit{Upstream: upstream, Rate: 3, Age: time.Second}, SameZone, time.Minute)
	listed := true
	table.Expire(func(uint32) bool { return listed }, time.Hour)
	if !table.Draining(upstream) || len(table.DueOwn(time.Hour)) != 1 {
		t.Error("expired while the upstream is listed")
	}
	listed = false
	table.Expire(func(uint32) bool { return listed }, 2*time.Hour)
	if table.Draining(upstream) || table.Any() {
		t.Error("kept long after the upstream was removed from the list")
	}
}
