package usage

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"
)

func TestWindowsAreThoseOfTheClock(t *testing.T) {
	const length = 5 * time.Second
	at := time.Unix(1767225604, 0) // four seconds into a window
	w := WindowAt(at, length)
	if w != 353445120 || !w.End(length).Equal(at.Add(time.Second)) {
		t.Errorf("window %d ends at %s", w, w.End(length))
	}
	if WindowAt(w.End(length), length) != w+1 {
		t.Error("a window's end is not the next one's")
	}
}

// TestTotalsAreNotLostWithReports: instances of two zones count, tell in any order, and
// reports are lost or come twice. No total is ever above the truth; once all was told
// again, each is the truth. The load is a few requests a second at each of many instances,
// of which a datagram or two in a hundred are lost; here any are.
func TestTotalsAreNotLostWithReports(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		zones := map[string][]*Tally{"a": {NewTally(), NewTally(), NewTally()}, "b": {NewTally(), NewTally()}}
		truth := map[Window]Counts{}
		tell := func(zone string, i int) {
			counts := zones[zone][i].DueOwn()
			for range rapid.IntRange(0, 2).Draw(t, "copies") {
				zones[zone][0].MergeInstance(Source{Name: fmt.Sprint(zone, i)}, counts)
			}
		}
		tellZone := func(from, to string, copies int) {
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
					tell(zone, i)
				}
			case 3:
				tellZone("a", "b", rapid.IntRange(0, 2).Draw(t, "copies"))
				tellZone("b", "a", rapid.IntRange(0, 2).Draw(t, "copies"))
			}
			below(t, zones["a"][0], truth)
		}
		for zone, list := range zones {
			for i := range list[1:] {
				list[i+1].Republish(0)
				list[0].MergeInstance(Source{Name: fmt.Sprint(zone, i+1)}, list[i+1].DueOwn())
			}
		}
		zones["b"][0].Republish(0)
		tellZone("b", "a", 1)
		for window, counts := range truth {
			if got := zones["a"][0].Total(window); fmt.Sprint(got) != fmt.Sprint(counts) {
				t.Fatalf("window %d: %v, want %v", window, got, counts)
			}
		}
	})
}

func below(t *rapid.T, tally *Tally, truth map[Window]Counts) {
	for window, counts := range truth {
		for org, n := range tally.Total(window) {
			if n > counts[org] {
				t.Fatalf("window %d: %d of %s, more than there were: %d", window, n, org, counts[org])
			}
		}
	}
}

// TestAnInstanceThatStartsAgainLosesNothingThatItTold: its new counts come on top.
func TestAnInstanceThatStartsAgainLosesNothingThatItTold(t *testing.T) {
	hub := NewTally()
	hub.MergeInstance(Source{Name: "i", Boot: 1}, []Count{{Window: 1, Organisation: "x", Requests: 3}})
	hub.MergeInstance(Source{Name: "i", Boot: 2}, []Count{{Window: 1, Organisation: "x", Requests: 1}})
	if got := hub.Total(1)["x"]; got != 4 {
		t.Errorf("%d, want 4", got)
	}
}

// TestALongReportIsToldInParts: each organisation of 220 asked for something.
func TestALongReportIsToldInParts(t *testing.T) {
	tally, hub := NewTally(), NewTally()
	const organisations = 220
	for i := range organisations {
		tally.CountRequest(1, fmt.Sprint("organisation ", i))
	}
	for range organisations/toldAtMost + 1 {
		counts := tally.DueOwn()
		if len(counts) > toldAtMost {
			t.Fatalf("%d in one report", len(counts))
		}
		hub.MergeInstance(Source{Name: "i"}, counts)
	}
	if got := hub.Total(1).Sum(); got != organisations {
		t.Errorf("%d are known, want %d", got, organisations)
	}
}

func TestOldWindowsAreForgotten(t *testing.T) {
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

// TestTheNewestWindowsAreToldFirst: the load is 82 organisations in each of ten windows, as
// after half a minute, told again each second by reports that take 64 totals each 0.2 s. A
// request that begins must be told within a second all the same.
func TestTheNewestWindowsAreToldFirst(t *testing.T) {
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
