package usage

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"
)

func TestWindowsFollowTheClock(t *testing.T) {
	const length = 5 * time.Second
	at := time.Unix(1767225604, 0) // four seconds into a window
	w := WindowAt(at, length)
	if w != 353445120 || !w.End(length).Equal(at.Add(time.Second)) {
		t.Errorf("window %d ends at %s", w, w.End(length))
	}
	if WindowAt(w.End(length), length) != w+1 {
		t.Error("a window does not end at the beginning of the next one")
	}
}

// TestTotalsSurviveLostReports has instances of two zones count and report in any order, while reports are
// lost or repeated. No known total may exceed the true one, and after all totals were republished each must
// be exact. In production, many instances count a few requests per second each, and one or two datagrams in a
// hundred are lost. Here any report may be lost.
func TestTotalsSurviveLostReports(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		zones := map[string][]*Tally{"a": {NewTally(), NewTally(), NewTally()}, "b": {NewTally(), NewTally()}}
		truth := map[Window]Counts{}
		report := func(zone string, i int) {
			counts := zones[zone][i].DueOwn()
			for range rapid.IntRange(0, 2).Draw(t, "copies") {
				zones[zone][0].MergeInstance(Source{Name: fmt.Sprint(zone, i)}, counts)
			}
		}
		reportZone := func(from, to string, copies int) {
			counts := zones[from][0].DueZone()
			for range copies {
				zones[to][0].MergeZone(from, counts)
			}
		}
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			zone := rapid.SampledFrom([]string{"a", "b"}).Draw(t, "zone")
			i := rapid.IntRange(0, len(zones[zone])-1).Draw(t, "instance")
			switch rapid.IntRange(0, 3).Draw(t, "step") {
			case 0, 1:
				window, org := Window(rapid.IntRange(1, 3).Draw(t, "window")), rapid.SampledFrom([]string{"x", "y"}).Draw(t, "organisation")
				zones[zone][i].CountRequest(window, org)
				if truth[window] == nil {
					truth[window] = Counts{}
				}
				truth[window][org]++
			case 2:
				if i > 0 {
					report(zone, i)
				}
			case 3:
				reportZone("a", "b", rapid.IntRange(0, 2).Draw(t, "copies"))
				reportZone("b", "a", rapid.IntRange(0, 2).Draw(t, "copies"))
			}
			checkNotAbove(t, zones["a"][0], truth)
		}
		for zone, list := range zones {
			for i := range list[1:] {
				list[i+1].Republish(0)
				list[0].MergeInstance(Source{Name: fmt.Sprint(zone, i+1)}, list[i+1].DueOwn())
			}
		}
		zones["b"][0].Republish(0)
		reportZone("b", "a", 1)
		for window, counts := range truth {
			if got := zones["a"][0].Total(window); fmt.Sprint(got) != fmt.Sprint(counts) {
				t.Fatalf("window %d: %v, want %v", window, got, counts)
			}
		}
	})
}

func checkNotAbove(t *rapid.T, tally *Tally, truth map[Window]Counts) {
	for window, counts := range truth {
		for org, n := range tally.Total(window) {
			if n > counts[org] {
				t.Fatalf("window %d: %d of %s, more than the true %d", window, n, org, counts[org])
			}
		}
	}
}

// TestReportedTotalsSurviveRestart guards against the counts of a restarted process replacing those that its
// previous process reported. They must be added.
func TestReportedTotalsSurviveRestart(t *testing.T) {
	hub := NewTally()
	hub.MergeInstance(Source{Name: "i", Boot: 1}, []Count{{Window: 1, Organisation: "x", Requests: 3}})
	hub.MergeInstance(Source{Name: "i", Boot: 2}, []Count{{Window: 1, Organisation: "x", Requests: 1}})
	if got := hub.Total(1)["x"]; got != 4 {
		t.Errorf("%d, want 4", got)
	}
}

// TestManyTotalsAreSplitIntoReports has requests of 220 organisations, more than fit one report.
func TestManyTotalsAreSplitIntoReports(t *testing.T) {
	tally, hub := NewTally(), NewTally()
	const organisations = 220
	for i := range organisations {
		tally.CountRequest(1, fmt.Sprint("organisation ", i))
	}
	for range organisations/maxTotalsPerReport + 1 {
		counts := tally.DueOwn()
		if len(counts) > maxTotalsPerReport {
			t.Fatalf("%d in one report", len(counts))
		}
		hub.MergeInstance(Source{Name: "i"}, counts)
	}
	if got := hub.Total(1).Sum(); got != organisations {
		t.Errorf("%d are known, want %d", got, organisations)
	}
}

func TestOldWindowsAreDropped(t *testing.T) {
	tally := NewTally()
	tally.CountRequest(1, "x")
	tally.MergeInstance(Source{Name: "i"}, []Count{{Window: 1, Organisation: "x", Requests: 3}})
	tally.MergeZone("b", []Count{{Window: 1, Organisation: "x", Requests: 3}})
	tally.DropBefore(2)
	tally.CountRequest(1, "x")
	tally.MergeInstance(Source{Name: "i"}, []Count{{Window: 1, Organisation: "x", Requests: 3}})
	if n := tally.Total(1).Sum(); n != 0 || len(tally.DueOwn())+len(tally.DueZone()) != 0 {
		t.Errorf("%d are known", n)
	}
}

// TestNewestWindowsAreReportedFirst guards against new totals that wait behind republished ones. There are 82
// organisations in each of ten windows, as after half a minute of requests. They are republished each second,
// in reports of 64 totals each 0.2 s. A request that begins must still be reported within a second.
func TestNewestWindowsAreReportedFirst(t *testing.T) {
	tally, hub := NewTally(), NewTally()
	for window := range Window(10) {
		for i := range 82 {
			tally.CountRequest(window, fmt.Sprint("organisation ", i))
		}
	}
	for range 5 {
		tally.Republish(7)
		tally.CountRequest(9, "the newest")
		for range 5 {
			hub.MergeZone("a", tally.DueZone())
		}
	}
	if got := hub.Total(9)["the newest"]; got != 5 {
		t.Errorf("%d of 5 are known", got)
	}
}
