package quarantine

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

const now = time.Hour

func newTable() *Table { return NewTable(DefaultSettings()) }

// TestASecondEndSetsAContentApart: also when it is another instance that saw it.
func TestASecondEndSetsAContentApart(t *testing.T) {
	for name, second := range map[string]func(*Table) bool{
		"own":    func(q *Table) bool { return q.RecordCrash(Crash{Content: 7, Upstream: 2}, now) },
		"beside": func(q *Table) bool { return q.ReceiveCrash(Crash{Content: 7, Upstream: 2}, true, now) },
		"beyond": func(q *Table) bool { return q.ReceiveCrash(Crash{Content: 7, Upstream: 2}, false, now) },
	} {
		q := newTable()
		if !q.Empty() || q.RecordCrash(Crash{Content: 7, Upstream: 1}, now) || q.Quarantined(7, now) {
			t.Errorf("%s: set apart after one end", name)
		}
		if !second(q) || !q.Quarantined(7, now) || q.Quarantined(8, now) {
			t.Errorf("%s: apart %t, another content %t", name, q.Quarantined(7, now), q.Quarantined(8, now))
		}
	}
}

// TestOneEndIsCountedOnce: several copies of a request end with one upstream, and each is
// told of again and again.
func TestOneEndIsCountedOnce(t *testing.T) {
	q := newTable()
	for range 3 {
		q.RecordCrash(Crash{Content: 7, Upstream: 1}, now)
		q.ReceiveCrash(Crash{Content: 7, Upstream: 1}, true, now)
	}
	if q.Quarantined(7, now) || q.Crashes(7) != 1 {
		t.Errorf("apart %t after %d ends", q.Quarantined(7, now), q.Crashes(7))
	}
}

// TestWhatWasServedIsNotToBlame: calls without a body are alike, and are on upstreams that
// end again and again.
func TestWhatWasServedIsNotToBlame(t *testing.T) {
	q := newTable()
	for upstream := range uint32(50) {
		q.RecordCrash(Crash{Content: 7, Upstream: upstream}, now)
		q.RecordServed(7, now)
		q.ReceiveCrash(Crash{Content: 7, Upstream: upstream}, true, now) // told of once more
	}
	if q.Quarantined(7, now) {
		t.Error("set apart, though it was served after each end")
	}
}

func TestEndsAreForgotten(t *testing.T) {
	q := newTable()
	q.RecordCrash(Crash{Content: 7, Upstream: 1}, now)
	later := now + DefaultSettings().CrashTTL + time.Second
	q.Expire(later)
	if !q.Empty() || q.RecordCrash(Crash{Content: 7, Upstream: 2}, later) {
		t.Error("an end counts for ever")
	}
}

// TestAContentIsLetThroughAndSetApartForLonger: each time that it ends one more upstream.
// One that was there by chance is served then, and nothing is left of it.
func TestAContentIsLetThroughAndSetApartForLonger(t *testing.T) {
	q, at := newTable(), time.Duration(now)
	q.RecordCrash(Crash{Content: 7, Upstream: 0}, at)
	for n, term := range []time.Duration{10 * time.Second, time.Hour, 24 * time.Hour, 24 * time.Hour} {
		upstream := uint32(n + 1)
		if !q.RecordCrash(Crash{Content: 7, Upstream: upstream}, at) || q.TimesQuarantined(7) != n+1 {
			t.Fatalf("not set apart for the %d. time", n+1)
		}
		if q.RecordCrash(Crash{Content: 7, Upstream: upstream + 100}, at+time.Second) {
			t.Errorf("an end that was heard late counts for the %d. time", n+2)
		}
		q.Expire(at + term - time.Second)
		if !q.Quarantined(7, at+term-time.Second) || q.Quarantined(7, at+term) {
			t.Errorf("not apart for %s", term)
		}
		at += term + time.Second
	}
	if !q.RecordServed(7, at) || q.TimesQuarantined(7) != 0 || q.RecordCrash(Crash{Content: 7, Upstream: 50}, at+time.Hour) {
		t.Error("it was served, and is held to be what it was before")
	}
}

// TestWhatIsServedAllTheTimeIsNotSetApart. Pattern: all callers ask for the same, so that
// it is on each upstream that another content ends. Seen: half of all requests refused for
// as long as the run went on.
func TestWhatIsServedAllTheTimeIsNotSetApart(t *testing.T) {
	q := newTable()
	q.RecordServed(7, now)
	for upstream := range uint32(5) {
		at := now + time.Duration(upstream)*time.Second
		if q.RecordCrash(Crash{Content: 7, Upstream: upstream}, at) || q.Quarantined(7, at) {
			t.Fatalf("set apart after %d ends, though it was served a moment ago", upstream+1)
		}
	}
	if q.Quarantine(7, 1, now+5*time.Second) || q.Quarantined(7, now+5*time.Second) {
		t.Error("another instance's decision was taken, though it was served here a moment ago")
	}
	long := now + 3*DefaultSettings().ServedTTL
	q.RecordCrash(Crash{Content: 7, Upstream: 10}, long)
	if !q.RecordCrash(Crash{Content: 7, Upstream: 11}, long) {
		t.Error("what was served long ago is never set apart")
	}
}

// TestWhatWasServedIsRememberedForAWhile: for a minute at least, and not for three, and no
// more than there is room for.
func TestWhatWasServedIsRememberedForAWhile(t *testing.T) {
	r := newRecent(time.Minute, 10)
	r.add(1, now)
	if !r.has(1, now+time.Minute) || r.has(2, now) || r.has(1, now+3*time.Minute) {
		t.Error("not remembered for a minute, or for too long")
	}
	for c := range Content(1000) {
		r.add(c, now+3*time.Minute)
	}
	if len(r.newer)+len(r.older) > 20 || !r.has(999, now+3*time.Minute) {
		t.Errorf("%d and %d are remembered", len(r.newer), len(r.older))
	}
}

// TestAnothersDecisionCounts: the row of a content may be told again and again, and by one
// that lags.
func TestAnothersDecisionCounts(t *testing.T) {
	q := newTable()
	q.Quarantine(7, 2, now)
	q.Quarantine(7, 2, now+30*time.Minute) // told again
	q.Quarantine(7, 1, now+30*time.Minute) // told late
	if !q.Quarantined(7, now+59*time.Minute) || q.Quarantined(7, now+time.Hour) {
		t.Error("not apart for an hour from when it was first told")
	}
	if !q.RecordCrash(Crash{Content: 7, Upstream: 1}, now+2*time.Hour) || !q.Quarantined(7, now+25*time.Hour) {
		t.Error("one more end does not set it apart for longer")
	}
	q.Release(7)
	if q.Quarantined(7, now+25*time.Hour) || !q.Empty() {
		t.Error("not released")
	}
}

// TestWhatIsKeptIsBounded plays more contents than there is room for.
func TestWhatIsKeptIsBounded(t *testing.T) {
	s := DefaultSettings()
	s.MaxContents, s.MaxQuarantined = 10, 5
	q := NewTable(s)
	for c := range Content(100) {
		at := now + time.Duration(c)*time.Second
		q.RecordCrash(Crash{Content: c, Upstream: 1}, at)
		q.Quarantine(c, 1, at)
	}
	if len(q.records) > 10 {
		t.Errorf("%d contents are remembered", len(q.records))
	}
	if lapsed := q.Expired(now + 100*time.Second); len(lapsed) != 95 || lapsed[0] != 0 {
		t.Errorf("%d lapse", len(lapsed))
	}
	if lapsed := q.Expired(now + 25*time.Hour); len(lapsed) != 100 {
		t.Errorf("%d lapse after a day", len(lapsed))
	}
}

// TestAllInstancesDecideAlike has instances see ends in any order, and tell one another
// in any order and more than once: whoever heard all sets the same contents apart.
func TestAllInstancesDecideAlike(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		ends := rapid.SliceOfN(rapid.Custom(func(t *rapid.T) Crash {
			return Crash{Content: Content(rapid.IntRange(1, 4).Draw(t, "content")), Upstream: uint32(rapid.IntRange(1, 4).Draw(t, "upstream"))}
		}), 1, 20).Draw(t, "ends")
		first, second := newTable(), newTable()
		want := map[Content]map[uint32]bool{}
		for _, e := range ends {
			if want[e.Content] == nil {
				want[e.Content] = map[uint32]bool{}
			}
			want[e.Content][e.Upstream] = true
			first.RecordCrash(e, now)
		}
		for _, e := range rapid.Permutation(append(ends, ends...)).Draw(t, "told") {
			second.ReceiveCrash(e, rapid.Bool().Draw(t, "beside"), now)
		}
		for c, upstreams := range want {
			apart := len(upstreams) >= DefaultSettings().Crashes
			if first.Quarantined(c, now) != apart || second.Quarantined(c, now) != apart {
				t.Fatalf("content %s after the ends of %d: %t and %t", c, len(upstreams), first.Quarantined(c, now), second.Quarantined(c, now))
			}
		}
	})
}

// TestAnEndIsToldOfForAWhile: on the way of who saw it, and of who heard it.
func TestAnEndIsToldOfForAWhile(t *testing.T) {
	q, e := newTable(), Crash{Content: 7, Upstream: 1}
	q.RecordCrash(e, now)
	if len(q.DueOwn(now)) != 1 || len(q.DueZone(now)) != 1 || len(q.DueOtherZones(now)) != 0 {
		t.Error("an own end is not told of on the zone's ways")
	}
	heard := newTable()
	heard.ReceiveCrash(e, true, now)
	heard.ReceiveCrash(e, true, now+time.Second) // told again: not told on for longer
	if len(heard.DueOwn(now)) != 0 || len(heard.DueZone(now)) != 1 || len(heard.DueZone(now+tellFor)) != 0 {
		t.Error("an end that was heard beside is not told on to other zones, or for too long")
	}
	heard = newTable()
	heard.ReceiveCrash(e, false, now)
	if len(heard.DueZone(now)) != 0 || len(heard.DueOtherZones(now)) != 1 {
		t.Error("an end of another zone is not told on to the own one")
	}
	for upstream := range uint32(1000) {
		q.RecordCrash(Crash{Content: 7, Upstream: upstream}, now)
	}
	if n := len(q.DueOwn(now)); n > toldAtMost {
		t.Errorf("%d ends in one report", n)
	}
	q, told := newTable(), map[Crash]bool{}
	const ends = 48 // the requests of one upstream
	for content := range Content(ends) {
		q.RecordCrash(Crash{Content: content, Upstream: 1}, now)
	}
	for range 20 { // the reports of two seconds
		for _, e := range q.DueOwn(now) {
			told[e] = true
		}
	}
	if len(told) != ends {
		t.Errorf("%d of %d ends were told of", len(told), ends)
	}
}
