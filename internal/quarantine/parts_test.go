package quarantine

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"
)

var part = PartOf("s", "a1")

// spacing is the least time between two crashes that both count.
var spacing = DefaultSettings().Parts.Spacing

// crashPart records crashes of several upstreams under the part, spaced so that all count.
func crashPart(table *Table, crashes int, from time.Duration) (quarantined bool, end time.Duration) {
	for n := range crashes {
		quarantined = table.RecordCrash(Crash{Subject: part, Upstream: uint32(from) + uint32(n) + 1}, from+time.Duration(n)*spacing)
	}
	return quarantined, from + time.Duration(crashes-1)*spacing
}

// TestPartsAreToldApart checks that a part is told from the same one of another service, from other parts and from
// contents, and that its text is parsed.
func TestPartsAreToldApart(t *testing.T) {
	if part != PartOf("s", "a1") || part == PartOf("s", "a2") || part == PartOf("t", "a1") || part == PartOf("sa", "1") {
		t.Error("parts are mistaken for one another")
	}
	if !part.IsPart() || ContentOf("POST", "h", "/a", nil).IsPart() {
		t.Error("parts and contents are mistaken for one another")
	}
	if parsed, err := ParseSubject(part.String()); err != nil || parsed != part {
		t.Errorf("%s is parsed as %s, %v", part, parsed, err)
	}
}

// TestSecondCrashQuarantinesPart checks that two crashes quarantine a part that nobody was served, unless they come at the
// same moment.
func TestSecondCrashQuarantinesPart(t *testing.T) {
	table := newTable()
	if table.RecordCrash(Crash{Subject: part, Upstream: 1}, now) || table.RecordCrash(Crash{Subject: part, Upstream: 2}, now) {
		t.Error("quarantined by two crashes at the same moment")
	}
	if !table.RecordCrash(Crash{Subject: part, Upstream: 3}, now+spacing) || !table.Quarantined(part, now+spacing) {
		t.Error("not quarantined by a later crash")
	}
}

// TestServedPartTakesMoreCrashes guards against refusing the sound requests that share a part with those that crash
// engines: a part that is served all the time is never quarantined, one that was served lately by more crashes only.
func TestServedPartTakesMoreCrashes(t *testing.T) {
	hot := newTable()
	for n := range uint32(20) {
		at := now + time.Duration(n)*time.Second
		hot.RecordServed(part, at)
		if hot.RecordCrash(Crash{Subject: part, Upstream: n + 1}, at+spacing) {
			t.Fatalf("quarantined after %d crashes, although it was served before each", n+1)
		}
	}
	lately := newTable()
	lately.RecordServed(part, now)
	from := now + DefaultSettings().Parts.Immunity
	if quarantined, _ := crashPart(lately, DefaultSettings().Parts.ServedCrashes-1, from); quarantined {
		t.Error("quarantined by as many crashes as a part that was never served")
	}
	if quarantined, _ := crashPart(lately, 1, from+10*time.Second); !quarantined {
		t.Error("a part that was served lately is never quarantined")
	}
}

// TestOtherInstancesSpeakForPart guards against an instance that quarantines a part for all, because it does not know that
// the others serve it.
func TestOtherInstancesSpeakForPart(t *testing.T) {
	first, other := newTable(), newTable()
	other.RecordServed(part, now-30*time.Second)
	first.RecordCrash(Crash{Subject: part, Upstream: 1}, now)
	exchangeReports(now, first, other)
	if first.RecordCrash(Crash{Subject: part, Upstream: 2}, now+spacing) {
		t.Error("quarantined as if nobody had been served")
	}
	late := newTable()
	_, at := crashPart(late, 2, now)
	if !late.Quarantined(part, at) {
		t.Fatal("not quarantined")
	}
	exchangeReports(at, late, other)
	if other.Quarantined(part, at) || late.Quarantined(part, at) {
		t.Errorf("quarantined at the instance that served it: %t, at the other one: %t", other.Quarantined(part, at), late.Quarantined(part, at))
	}
}

// TestAnswerAfterCrashesReleasesPartEverywhere checks that an answer ends a quarantine at all instances.
func TestAnswerAfterCrashesReleasesPartEverywhere(t *testing.T) {
	first, other := newTable(), newTable()
	_, at := crashPart(first, 2, now)
	exchangeReports(at, first, other)
	if !other.Quarantined(part, at) {
		t.Fatal("not quarantined by the report")
	}
	if !other.RecordServed(part, at+time.Second) {
		t.Error("an answer does not release it")
	}
	exchangeReports(at+time.Second, other, first)
	if first.Quarantined(part, at+time.Second) || first.Crashes(part) != 0 {
		t.Error("not released elsewhere")
	}
}

// exchangeReports passes the evidence of two instances of a zone on, in both directions.
func exchangeReports(at time.Duration, a, b *Table) {
	for _, pair := range [][2]*Table{{a, b}, {b, a}} {
		e := pair[0].DueOwn(at)
		for _, c := range e.Crashes {
			pair[1].ReceiveCrash(c, true, at)
		}
		for _, s := range e.Served {
			pair[1].ReceiveServed(s, true, at)
		}
	}
}

// TestQuarantineReachesInstanceThatMissedTheCrashes guards against an instance that was frozen, cut off or started later
// while the store was away, and sends on what the others refuse.
func TestQuarantineReachesInstanceThatMissedTheCrashes(t *testing.T) {
	hub, late := newTable(), newTable()
	_, at := crashPart(hub, 2, now)
	at += 10 * publishFor
	hub.outbox.expire(at)
	hub.quarantines[part] = quarantine{times: 1, since: at}
	for _, c := range hub.DueOtherZones(at).Crashes {
		late.ReceiveCrash(c, false, at)
	}
	if !late.Quarantined(part, at) {
		t.Error("not quarantined")
	}
	fromReport := newTable()
	for _, c := range late.DueZone(at).Crashes {
		fromReport.ReceiveCrash(c, false, at)
	}
	if !fromReport.Quarantined(part, at) {
		t.Error("not passed on by an instance that observed no crash")
	}
}

// TestReleasedPartIsNotQuarantinedByLateReports guards against a quarantine that an operator ended and that goes around
// among the instances.
func TestReleasedPartIsNotQuarantinedByLateReports(t *testing.T) {
	first, second := newTable(), newTable()
	_, at := crashPart(first, 2, now)
	exchangeReports(at, first, second)
	first.Release(part, at)
	for _, c := range second.DueZone(at).Crashes {
		first.ReceiveCrash(c, false, at)
	}
	if first.Quarantined(part, at) {
		t.Error("quarantined again by an instance that had not heard of the release")
	}
	exchangeReports(at, first, second)
	if second.Quarantined(part, at) {
		t.Error("the release does not reach the other instance")
	}
}

// TestOneRequestTriesPartAgain guards against a herd of requests that crash engines when a quarantine ends.
func TestOneRequestTriesPartAgain(t *testing.T) {
	table := newTable()
	_, at := crashPart(table, 2, now)
	if !table.Blocks(part, "r1", at) {
		t.Error("not blocked while quarantined")
	}
	at += DefaultSettings().Parts.Durations[0]
	for range 2 { // before the prefill and before the run
		if table.Blocks(part, "r1", at) {
			t.Error("nobody may try it again")
		}
	}
	if !table.Blocks(part, "r2", at) {
		t.Error("two requests try it at the same time")
	}
	if table.Blocks(part, "r3", at+DefaultSettings().TrialTTL) {
		t.Error("nobody may try it any more if the first request came to nothing")
	}
	if !table.RecordCrash(Crash{Subject: part, Upstream: 99}, at) || !table.Blocks(part, "r4", at+time.Minute) || table.TimesQuarantined(part) != 2 {
		t.Error("the crash of the trial does not quarantine it for longer")
	}
}

// TestOneInstanceTriesPartAgain checks that of the instances that quarantined a part, only one lets a request try it soon,
// whichever of them observed the crashes and counted them.
func TestOneInstanceTriesPartAgain(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		tables := []*Table{newTable(), newTable(), newTable()}
		at := time.Duration(now)
		for n := range uint32(rapid.IntRange(3, 6).Draw(t, "crashes")) {
			tables[rapid.IntRange(0, 2).Draw(t, "observer")].RecordCrash(Crash{Subject: part, Upstream: rapid.Uint32Range(1, 1000).Draw(t, "upstream")*10 + n}, at)
			at += time.Duration(rapid.IntRange(50, 600).Draw(t, "pause")) * time.Millisecond
			for i, a := range tables {
				for _, b := range tables[:i] {
					exchangeReports(at, a, b)
				}
			}
		}
		quarantined, soon, trying := 0, at+DefaultSettings().Parts.Durations[0], 0
		for _, table := range tables {
			if table.Quarantined(part, at) {
				quarantined++
			}
			if !table.Blocks(part, "r", soon) {
				trying++
			}
		}
		if quarantined == len(tables) && trying != 1 {
			t.Errorf("%d of %d instances try it again, want 1", trying, len(tables))
		}
		later := at + 2*DefaultSettings().Parts.ReportedDurations[0]
		for n, table := range tables {
			if table.Blocks(part, "r", later) {
				t.Errorf("instance %d never tries it again", n)
			}
		}
	})
}

// TestNoticesDoNotCirculate guards against notices that two hubs of a zone report to each other for ever.
func TestNoticesDoNotCirculate(t *testing.T) {
	first, second := newTable(), newTable()
	first.ReceiveServed(Served{Subject: part, SinceCrash: true, Notice: 7}, false, now)
	for at := time.Duration(now); at < now+time.Minute; at += 100 * time.Millisecond {
		for _, pair := range [][2]*Table{{first, second}, {second, first}} {
			for _, s := range pair[0].DueOtherZones(at).Served {
				pair[1].ReceiveServed(s, false, at)
			}
			pair[0].Expire(at)
		}
	}
	if n := len(first.DueOtherZones(now+time.Minute).Served) + len(second.DueOtherZones(now+time.Minute).Served); n > 0 {
		t.Errorf("%d notices are still reported after a minute", n)
	}
}

// TestQuietTableReportsNothing checks that a fleet without crashes pays no bytes.
func TestQuietTableReportsNothing(t *testing.T) {
	table := newTable()
	for n := range 1000 {
		table.RecordServed(PartOf("s", fmt.Sprint(n)), now)
	}
	if !table.Empty() || table.HasQuarantines() || table.DueOwn(now).size()+table.DueZone(now).size()+table.DueOtherZones(now).size() > 0 {
		t.Error("something is reported although no upstream crashed")
	}
}

// TestManyPartsDoNotDisplaceSuspect guards against a caller that names many parts to hide the one that crashes engines.
func TestManyPartsDoNotDisplaceSuspect(t *testing.T) {
	s := DefaultSettings()
	s.MaxRecords = 100
	table := NewTable(s)
	for crash := range uint32(2) {
		at := now + time.Duration(crash)*time.Second
		table.RecordCrash(Crash{Subject: part, Upstream: crash + 1}, at)
		for n := range 99 {
			table.RecordCrash(Crash{Subject: PartOf("s", fmt.Sprint(crash, n)), Upstream: crash + 1}, at)
		}
	}
	if len(table.records) > s.MaxRecords || !table.Quarantined(part, now+time.Second) {
		t.Errorf("%d records, quarantined %t", len(table.records), table.Quarantined(part, now+time.Second))
	}
}

// BenchmarkRecordServed measures what an answer costs on a day without crashes: a content and six parts.
func BenchmarkRecordServed(b *testing.B) {
	table := newTable()
	for n := 0; b.Loop(); n++ {
		for p := range 6 {
			table.RecordServed(PartOf("s", "5c1e07a2")+Subject(p+n%1000), now)
		}
	}
}
