package quarantine

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

const now = time.Hour

func newTable() *Table { return NewTable(DefaultSettings()) }

// TestSecondCrashQuarantines checks that the second crash quarantines a content, also if another instance
// observed it.
func TestSecondCrashQuarantines(t *testing.T) {
	for name, second := range map[string]func(*Table) bool{
		"own":    func(table *Table) bool { return table.RecordCrash(Crash{Subject: 7, Upstream: 2}, now) },
		"beside": func(table *Table) bool { return table.ReceiveCrash(Crash{Subject: 7, Upstream: 2}, true, now) },
		"beyond": func(table *Table) bool { return table.ReceiveCrash(Crash{Subject: 7, Upstream: 2}, false, now) },
	} {
		table := newTable()
		if !table.Empty() || table.RecordCrash(Crash{Subject: 7, Upstream: 1}, now) || table.Quarantined(7, now) {
			t.Errorf("%s: quarantined after one crash", name)
		}
		if !second(table) || !table.Quarantined(7, now) || table.Quarantined(8, now) {
			t.Errorf("%s: quarantined %t, another content %t", name, table.Quarantined(7, now), table.Quarantined(8, now))
		}
	}
}

// TestCrashExtendsQuarantineThatBeganLater guards against a content that one instance lets through while all
// others block it: it heard of the first crashes late, so its first quarantine was still on when the content
// crashed one more upstream elsewhere, and ended without a second one.
func TestCrashExtendsQuarantineThatBeganLater(t *testing.T) {
	first, late := newTable(), newTable()
	firstDuration, delay := DefaultSettings().Contents.Durations[0], time.Second
	report := func(at time.Duration) {
		for _, c := range first.DueOwn(at).Crashes {
			late.ReceiveCrash(c, true, at)
		}
	}
	first.RecordCrash(Crash{Subject: 7, Upstream: 1}, now)
	first.RecordCrash(Crash{Subject: 7, Upstream: 2}, now)
	report(now + delay)
	again := now + firstDuration
	first.RecordCrash(Crash{Subject: 7, Upstream: 3}, again)
	report(again + delay/2)
	for name, table := range map[string]*Table{"the first": first, "the late one": late} {
		if !table.Quarantined(7, again+2*delay) || table.TimesQuarantined(7) != 2 {
			t.Errorf("%s: quarantined %t, %d times", name, table.Quarantined(7, again+2*delay), table.TimesQuarantined(7))
		}
	}
}

// TestReportOfReleasedContentDoesNotQuarantine guards against a harmless content that is refused once more: it
// was released, and a report of the crash that had quarantined it comes again.
func TestReportOfReleasedContentDoesNotQuarantine(t *testing.T) {
	first, other := newTable(), newTable()
	first.RecordCrash(Crash{Subject: 7, Upstream: 1}, now)
	first.RecordCrash(Crash{Subject: 7, Upstream: 2}, now)
	other.Release(7, now)
	for _, c := range first.DueOwn(now).Crashes {
		if c.Upstream == 2 {
			other.ReceiveCrash(c, true, now)
		}
	}
	if other.Quarantined(7, now) {
		t.Error("quarantined by one crash")
	}
}

// TestACrashCountsOnce guards against a crash that is counted several times: an upstream may crash with
// several copies of a request, and each crash is reported repeatedly.
func TestACrashCountsOnce(t *testing.T) {
	table := newTable()
	for range 3 {
		table.RecordCrash(Crash{Subject: 7, Upstream: 1}, now)
		table.ReceiveCrash(Crash{Subject: 7, Upstream: 1}, true, now)
	}
	if table.Quarantined(7, now) || table.Crashes(7) != 1 {
		t.Errorf("quarantined %t after %d crashes", table.Quarantined(7, now), table.Crashes(7))
	}
}

// TestCrashesBeforeServingDoNotCount guards against the quarantine of a harmless content: calls without a
// body have the same content, and are on many of the upstreams that crash.
func TestCrashesBeforeServingDoNotCount(t *testing.T) {
	table := newTable()
	for upstream := range uint32(50) {
		table.RecordCrash(Crash{Subject: 7, Upstream: upstream}, now)
		table.RecordServed(7, now)
		table.ReceiveCrash(Crash{Subject: 7, Upstream: upstream}, true, now) // reported again
	}
	if table.Quarantined(7, now) {
		t.Error("quarantined although it was served after each crash")
	}
}

func TestCrashesExpire(t *testing.T) {
	table := newTable()
	table.RecordCrash(Crash{Subject: 7, Upstream: 1}, now)
	later := now + DefaultSettings().CrashTTL + time.Second
	table.Expire(later)
	if !table.Empty() || table.RecordCrash(Crash{Subject: 7, Upstream: 2}, later) {
		t.Error("a crash never expires")
	}
}

// TestRepeatedQuarantinesLastLonger checks that a content is sent again after a quarantine, and is
// quarantined for longer each time one more upstream crashes while serving it. Once it is served, its earlier
// quarantines no longer count.
func TestRepeatedQuarantinesLastLonger(t *testing.T) {
	table, at := newTable(), time.Duration(now)
	table.RecordCrash(Crash{Subject: 7, Upstream: 0}, at)
	for n, duration := range []time.Duration{10 * time.Second, time.Hour, 24 * time.Hour, 24 * time.Hour} {
		upstream := uint32(n + 1)
		if !table.RecordCrash(Crash{Subject: 7, Upstream: upstream}, at) || table.TimesQuarantined(7) != n+1 {
			t.Fatalf("not quarantined for the %d. time", n+1)
		}
		if table.RecordCrash(Crash{Subject: 7, Upstream: upstream + 100}, at+time.Second) {
			t.Errorf("a crash that is observed during the quarantine starts the %d. one", n+2)
		}
		table.Expire(at + duration - time.Second)
		if !table.Quarantined(7, at+duration-time.Second) || table.Quarantined(7, at+duration) {
			t.Errorf("not quarantined for %s", duration)
		}
		at += duration + time.Second
	}
	if !table.RecordServed(7, at) || table.TimesQuarantined(7) != 0 || table.RecordCrash(Crash{Subject: 7, Upstream: 50}, at+time.Hour) {
		t.Error("it was served, but its earlier quarantines still count")
	}
}

// TestContentServedAllTheTimeIsNotQuarantined guards against the quarantine of a content that all callers
// send, so that each upstream that another content crashes is also serving it. Observed: half of all requests
// were refused until the end of the run.
func TestContentServedAllTheTimeIsNotQuarantined(t *testing.T) {
	table := newTable()
	table.RecordServed(7, now)
	for upstream := range uint32(5) {
		at := now + time.Duration(upstream)*time.Second
		if table.RecordCrash(Crash{Subject: 7, Upstream: upstream}, at) || table.Quarantined(7, at) {
			t.Fatalf("quarantined after %d crashes although it was served a moment ago", upstream+1)
		}
	}
	if table.Quarantine(7, 1, now+5*time.Second) || table.Quarantined(7, now+5*time.Second) {
		t.Error("another instance's decision was applied although the content was served here a moment ago")
	}
	later := now + 3*DefaultSettings().ServedTTL
	table.RecordCrash(Crash{Subject: 7, Upstream: 10}, later)
	if !table.RecordCrash(Crash{Subject: 7, Upstream: 11}, later) {
		t.Error("a content that was served long ago is never quarantined")
	}
}

// TestRecentExpiresAndIsBounded checks that contents are kept for at least a minute and less than
// three, and no more of them than the capacity allows.
func TestRecentExpiresAndIsBounded(t *testing.T) {
	r := newRecent(time.Minute, 10)
	r.add(1, now, now)
	if !r.has(1, now+time.Minute) || r.has(2, now) || r.has(1, now+3*time.Minute) {
		t.Error("kept for less than a minute, or for too long")
	}
	for c := range Subject(1000) {
		r.add(c, now+3*time.Minute, now+3*time.Minute)
	}
	if len(r.newer)+len(r.older) > 20 || !r.has(999, now+3*time.Minute) {
		t.Errorf("the generations hold %d and %d contents", len(r.newer), len(r.older))
	}
}

// TestQuarantineByAnotherInstance checks that another instance's decision is applied once: the row of a
// content may be received repeatedly, and from an instance that lags behind.
func TestQuarantineByAnotherInstance(t *testing.T) {
	table := newTable()
	table.Quarantine(7, 2, now)
	table.Quarantine(7, 2, now+30*time.Minute) // received again
	table.Quarantine(7, 1, now+30*time.Minute) // received late
	if !table.Quarantined(7, now+59*time.Minute) || table.Quarantined(7, now+time.Hour) {
		t.Error("not quarantined for an hour from when it was first received")
	}
	if !table.RecordCrash(Crash{Subject: 7, Upstream: 1}, now+2*time.Hour) || !table.Quarantined(7, now+25*time.Hour) {
		t.Error("one more crash does not quarantine it for longer")
	}
	table.Release(7, now)
	if table.Quarantined(7, now+25*time.Hour) || !table.Empty() {
		t.Error("not released")
	}
}

// TestRecordsAreBounded adds more contents than the table may hold.
func TestRecordsAreBounded(t *testing.T) {
	s := DefaultSettings()
	s.MaxRecords, s.MaxQuarantined = 10, 5
	table := NewTable(s)
	for c := range Subject(100) {
		at := now + time.Duration(c)*time.Second
		table.RecordCrash(Crash{Subject: c, Upstream: 1}, at)
		table.Quarantine(c, 1, at)
	}
	if len(table.records) > 10 {
		t.Errorf("%d contents have records", len(table.records))
	}
	if expired := table.Expired(now + 100*time.Second); len(expired) != 95 || expired[0] != 0 {
		t.Errorf("%d expired", len(expired))
	}
	if expired := table.Expired(now + 25*time.Hour); len(expired) != 100 {
		t.Errorf("%d expired after a day", len(expired))
	}
}

// TestInstancesDecideAlike checks that all instances that know the same crashes quarantine the same contents,
// whatever the order in which they observe or receive them, and however often.
func TestInstancesDecideAlike(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		crashes := rapid.SliceOfN(rapid.Custom(func(t *rapid.T) Crash {
			return Crash{Subject: Subject(rapid.IntRange(1, 4).Draw(t, "content")), Upstream: uint32(rapid.IntRange(1, 4).Draw(t, "upstream"))}
		}), 1, 20).Draw(t, "ends")
		first, second := newTable(), newTable()
		want := map[Subject]map[uint32]bool{}
		for _, c := range crashes {
			if want[c.Subject] == nil {
				want[c.Subject] = map[uint32]bool{}
			}
			want[c.Subject][c.Upstream] = true
			first.RecordCrash(c, now)
		}
		for _, c := range rapid.Permutation(append(crashes, crashes...)).Draw(t, "told") {
			second.ReceiveCrash(c, rapid.Bool().Draw(t, "beside"), now)
		}
		for c, upstreams := range want {
			quarantined := len(upstreams) >= DefaultSettings().Contents.Crashes
			if first.Quarantined(c, now) != quarantined || second.Quarantined(c, now) != quarantined {
				t.Fatalf("content %s after %d crashes: quarantined %t and %t", c, len(upstreams), first.Quarantined(c, now), second.Quarantined(c, now))
			}
		}
	})
}

// TestCrashesArePublishedForAWhile checks to which audiences and for how long an instance publishes crashes
// that it observed or received, and that a few reports include all of them.
func TestCrashesArePublishedForAWhile(t *testing.T) {
	table, crash := newTable(), Crash{Subject: 7, Upstream: 1}
	table.RecordCrash(crash, now)
	if len(table.DueOwn(now).Crashes) != 1 || len(table.DueZone(now).Crashes) != 1 || len(table.DueOtherZones(now).Crashes) != 0 {
		t.Error("an observed crash is not published to the own zone and the other zones")
	}
	receiver := newTable()
	receiver.ReceiveCrash(crash, true, now)
	receiver.ReceiveCrash(crash, true, now+time.Second) // received again: not published for longer
	if len(receiver.DueOwn(now).Crashes) != 0 || len(receiver.DueZone(now).Crashes) != 1 || len(receiver.DueZone(now+publishFor).Crashes) != 0 {
		t.Error("a crash received from the same zone is not published to other zones, or for too long")
	}
	receiver = newTable()
	receiver.ReceiveCrash(crash, false, now)
	if len(receiver.DueZone(now).Crashes) != 0 || len(receiver.DueOtherZones(now).Crashes) != 1 {
		t.Error("a crash of another zone is not published to the own zone")
	}
	for upstream := range uint32(1000) {
		table.RecordCrash(Crash{Subject: 7, Upstream: upstream}, now)
	}
	if n := len(table.DueOwn(now).Crashes); n > MaxReported {
		t.Errorf("%d crashes in one report", n)
	}
	table, published := newTable(), map[Crash]bool{}
	const crashes = 48 // the requests of one upstream
	for content := range Subject(crashes) {
		table.RecordCrash(Crash{Subject: content, Upstream: 1}, now)
	}
	for range 20 { // the reports of two seconds
		for _, c := range table.DueOwn(now).Crashes {
			published[c] = true
		}
	}
	if len(published) != crashes {
		t.Errorf("%d of %d crashes were published", len(published), crashes)
	}
}

// TestNewcomerLearnsOfQuarantinedContents guards against a content that crashes upstreams again at instances that have just
// started, while others know that it is quarantined. One that released the content does not begin its quarantine again.
func TestNewcomerLearnsOfQuarantinedContents(t *testing.T) {
	const content = Subject(7)
	for name, due := range map[string]func(*Table, time.Duration) Evidence{"beside": (*Table).DueOtherZones, "beyond": (*Table).DueZone} {
		hub := newTable()
		for _, upstream := range []uint32{1, 2} {
			hub.ReceiveCrash(Crash{Subject: content, Upstream: upstream}, true, now)
		}
		later := now + 2*publishFor // none of the crashes is published any more
		hub.Expire(later)
		newcomer, releasing := newTable(), newTable()
		releasing.Quarantine(content, 1, now)
		releasing.Release(content, later)
		for _, c := range due(hub, later).Crashes {
			newcomer.ReceiveCrash(c, name == "beside", later)
			releasing.ReceiveCrash(c, name == "beside", later)
		}
		if !newcomer.Quarantined(content, later) {
			t.Errorf("%s: not quarantined at an instance that has just started", name)
		}
		if releasing.Quarantined(content, later) {
			t.Errorf("%s: quarantined again at an instance that released it", name)
		}
		ended := later + DefaultSettings().Contents.Durations[0]
		if reported := due(hub, ended).Crashes; len(reported) > 0 {
			t.Errorf("%s: still reported after its end: %+v", name, reported)
		}
	}
}
