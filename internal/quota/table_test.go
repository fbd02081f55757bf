package quota

import (
	"math"
	"testing"
	"time"
)

const upstream = uint32(7)

func limited(rate float64) Announcement { return Announcement{Limited: true, Rate: rate} }

// TestOfWordsThatCrossTheLowerOneStands: answers on different connections overtake one
// another, and reports of other instances come late.
func TestOfWordsThatCrossTheLowerOneStands(t *testing.T) {
	type said struct {
		at   time.Duration
		rate float64
	}
	for name, c := range map[string]struct {
		said []said
		want float64
	}{
		"it falls":                         {[]said{{0, 4}, {1, 2}}, 2},
		"it rises, at once":                {[]said{{0, 2}, {300 * time.Millisecond, 4}}, 2},
		"the higher one comes first":       {[]said{{0, 4}, {-300 * time.Millisecond, 2}}, 2},
		"it rises, later":                  {[]said{{0, 2}, {crossing + 1, 4}}, 4},
		"it ends, at once":                 {[]said{{0, 2}, {endsAfter, Unlimited}}, 2},
		"it ends, later":                   {[]said{{0, 2}, {endsAfter + 1, Unlimited}}, Unlimited},
		"some answers do not name it":      {[]said{{0, 2}, {time.Second, Unlimited}, {2 * time.Second, 2}, {3 * time.Second, Unlimited}}, 2},
		"it ends and begins again":         {[]said{{0, 2}, {3 * time.Second, Unlimited}, {3*time.Second + 1, 5}}, 5},
		"an answer from before comes late": {[]said{{time.Second, 4}, {0, 1}}, 4},
		"never limited":                    {[]said{{0, Unlimited}}, Unlimited},
	} {
		b := NewTable()
		now := time.Duration(0)
		for _, s := range c.said {
			now = max(now, s.at)
			b.ApplyReport(UpstreamLimit{Upstream: upstream, Rate: s.rate, Age: now - s.at}, SameZone, now)
		}
		if got := b.Rate(upstream); got != c.want {
			t.Errorf("%s: %g a second, want %g", name, got, c.want)
		}
	}
}

// TestWhatCannotBeKeptToIsBounded: an upstream that takes nothing is still asked now and
// then, as only its answers show that this has ended.
func TestWhatCannotBeKeptToIsBounded(t *testing.T) {
	for rate, want := range map[float64]float64{0: leastRate, 1e-300: leastRate, 2: 2, mostRate: Unlimited, 1e300: Unlimited} {
		b := NewTable()
		b.ApplyAnnouncement(upstream, limited(rate), 0)
		if got := b.Rate(upstream); got != want {
			t.Errorf("%g: kept to %g, want %g", rate, got, want)
		}
	}
	b := NewTable()
	for _, rate := range []float64{math.NaN(), -1, 0} {
		if _, changed := b.ApplyReport(UpstreamLimit{Upstream: upstream, Rate: rate}, SameZone, 0); changed || b.Any() {
			t.Errorf("%g was believed", rate)
		}
	}
}

// TestALimitThatEndedIsBelievedByNobody: an instance that missed the end tells of the limit
// as long as it has heard of nothing newer.
func TestALimitThatEndedIsBelievedByNobody(t *testing.T) {
	missed, saw, later := NewTable(), NewTable(), NewTable()
	missed.ApplyAnnouncement(upstream, limited(2), 0)
	for _, w := range missed.DueOwn(0) {
		saw.ApplyReport(w, SameZone, 0)
	}
	end := 10 * time.Second
	saw.ApplyAnnouncement(upstream, Announcement{}, end)
	for _, w := range saw.DueOwn(end) {
		later.ApplyReport(w, SameZone, end)
		missed.ApplyReport(w, SameZone, end)
	}
	for name, b := range map[string]*Table{"who missed it": missed, "who saw it": saw, "who heard of it alone": later} {
		for _, w := range missed.DueOwn(end + retellEvery) {
			b.ApplyReport(w, SameZone, end+retellEvery)
		}
		if got := b.Rate(upstream); !math.IsInf(got, 1) {
			t.Errorf("%s keeps to %g", name, got)
		}
	}
}

// TestWordsAreToldAgainToTheirReceivers: what an instance was told itself goes to its zone,
// what its zone was told to the other zones, and what these were told to the zone.
func TestWordsAreToldAgainToTheirReceivers(t *testing.T) {
	b := NewTable()
	b.ApplyAnnouncement(1, limited(1), 0)
	b.ApplyReport(UpstreamLimit{Upstream: 2, Rate: 2}, SameZone, 0)
	b.ApplyReport(UpstreamLimit{Upstream: 3, Rate: 3}, OtherZone, 0)
	for _, now := range []time.Duration{0, retellEvery, 2 * retellEvery} {
		own, zone, beyond := b.DueOwn(now), b.DueZone(now), b.DueOtherZones(now)
		if len(own) != 1 || len(zone) != 2 || len(beyond) != 1 || own[0].Age != now || beyond[0].Upstream != 3 {
			t.Errorf("at %s: %v, %v, %v", now, own, zone, beyond)
		}
		if again := b.DueOwn(now + 1); len(again) > 0 {
			t.Errorf("told twice within %s", retellEvery)
		}
	}
	if change, shown := b.ApplyAnnouncement(1, limited(0.5), 2*retellEvery); !shown || change.OldRate != 1 || len(b.DueOwn(2*retellEvery)) != 1 {
		t.Errorf("a change is not told at once: %+v", change)
	}
}

// TestOnlyWhatIsListedIsKeptForLong: an entry that lapsed for a while comes back with its
// limit; one that is gone is forgotten, and so is an end that all have heard.
func TestOnlyWhatIsListedIsKeptForLong(t *testing.T) {
	b := NewTable()
	b.ApplyAnnouncement(1, limited(1), 0)
	b.ApplyAnnouncement(2, limited(1), 0)
	b.ApplyAnnouncement(3, limited(1), 0)
	b.ApplyAnnouncement(3, Announcement{}, endsAfter+1)
	listed := func(upstream uint32) bool { return upstream != 2 }
	b.Expire(listed, unlistedFor)
	if b.Rate(1) != 1 || b.Rate(2) != 1 {
		t.Error("a limit was forgotten early")
	}
	b.Expire(listed, unlistedFor+endToldFor)
	if b.Rate(1) != 1 || len(b.entries) != 1 {
		t.Errorf("%d entries are left, want the one that is listed", len(b.entries))
	}
}

// TestThatAnUpstreamLeavesIsNotTakenBack guards against words that cross, a limit that ends, and
// an entry that lapses, each of which could hide that an upstream leaves.
func TestThatAnUpstreamLeavesIsNotTakenBack(t *testing.T) {
	b := NewTable()
	change, shown := b.ApplyAnnouncement(upstream, Announcement{Limited: true, Rate: 2, Draining: true}, 0)
	if !shown || !change.StartsDraining || change.Rate != 2 {
		t.Errorf("%+v", change)
	}
	if _, shown := b.ApplyAnnouncement(upstream, Announcement{Limited: true, Rate: 2, Draining: true}, 1); shown {
		t.Error("shown twice")
	}
	b.ApplyAnnouncement(upstream, Announcement{}, time.Minute)
	b.ApplyReport(UpstreamLimit{Upstream: upstream, Rate: 3, Age: time.Second}, SameZone, time.Minute)
	listed := true
	b.Expire(func(uint32) bool { return listed }, time.Hour)
	if !b.Draining(upstream) || len(b.DueOwn(time.Hour)) != 1 {
		t.Error("forgotten while it is listed")
	}
	listed = false
	b.Expire(func(uint32) bool { return listed }, 2*time.Hour)
	if b.Draining(upstream) || b.Any() {
		t.Error("kept though it has gone for long")
	}
}
