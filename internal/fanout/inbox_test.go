package fanout

import (
	"slices"
	"testing"
	"time"

	"sassafrasfield/internal/quarantine"
	"sassafrasfield/internal/quota"
	"sassafrasfield/internal/upstreamstate"
)

func own(source ID, boot, sequence uint32, part uint32) InstanceReport {
	return InstanceReport{Source: source, Boot: boot, Sequence: sequence, Report: upstreamstate.Report{
		Complete: true, Placed: []upstreamstate.PlacedPart{{Engine: 1, Part: part}},
	}}
}

// all fit.
func all(InstanceReport) bool { return true }

// TestWhoWaitedLongestIsPassedOnFirst: three instances report again and again, and a batch
// has room for one of them.
func TestWhoWaitedLongestIsPassedOnFirst(t *testing.T) {
	b := NewInbox()
	passed := map[ID]int{}
	for n := range 30 {
		now := time.Duration(n) * batchEvery
		for id := range ID(3) {
			b.Enqueue(own(id, 1, uint32(n), 1), now)
		}
		room := 1
		for _, o := range b.Batch(now, func(InstanceReport) bool { room--; return room >= 0 }) {
			passed[o.Source]++
		}
	}
	for id := range ID(3) {
		if passed[id] != 10 {
			t.Errorf("instance %d is passed on %d times of 30", id, passed[id])
		}
	}
}

func TestAReportCountsOnce(t *testing.T) {
	b := NewInbox()
	for _, c := range []struct {
		boot, sequence uint32
		news           bool
	}{{1, 1, true}, {1, 1, false}, {1, 3, true}, {1, 2, false}, {2, 1, true}, {2, 2, true}} {
		if got := b.Accept(own(7, c.boot, c.sequence, 1)); got != c.news {
			t.Errorf("boot %d, sequence %d: news %t", c.boot, c.sequence, got)
		}
	}
}

// TestTheNewestReportIsPassedOnWithAllParts: the load of the newest one counts, parts
// are told once.
func TestTheNewestReportIsPassedOnWithAllParts(t *testing.T) {
	b := NewInbox()
	b.Enqueue(own(7, 1, 1, 10), 0)
	b.Enqueue(own(7, 1, 2, 11), 0)
	b.Enqueue(own(8, 1, 1, 12), 0)
	reports := b.Batch(0, all)
	if len(reports) != 2 {
		t.Fatalf("%d reports, want one of each instance", len(reports))
	}
	for _, r := range reports {
		if r.Source == 7 && (r.Sequence != 2 || len(r.Report.Placed) != 2) {
			t.Errorf("%+v", r)
		}
	}
	if len(b.Batch(0, all)) != 0 {
		t.Error("they are passed on twice")
	}
}

// TestEndsAreNotLostWithTheReportThatHadThem: a long report comes in parts, and the last
// part of it waits for the batch.
func TestEndsAreNotLostWithTheReportThatHadThem(t *testing.T) {
	b := NewInbox()
	first := own(7, 1, 1, 10)
	first.Report.Crashes = []quarantine.Crash{{Content: 1, Upstream: 2}}
	b.Enqueue(first, 0)
	b.Enqueue(own(7, 1, 2, 11), 0)
	reports := b.Batch(0, all)
	if len(reports) != 1 || len(reports[0].Report.Crashes) != 1 {
		t.Errorf("%+v", reports)
	}
	for n := range 100 {
		first.Report.Crashes[0].Content = quarantine.Content(n)
		b.Enqueue(first, 0)
	}
	if n := len(b.Batch(0, all)[0].Report.Crashes); n > endsAtMost {
		t.Errorf("%d ends wait", n)
	}
}

// TestOldReportsAreNotPassedOn: whoever takes over keeps reports for long, and their
// sources may be gone.
func TestOldReportsAreNotPassedOn(t *testing.T) {
	b := NewInbox()
	b.Enqueue(own(7, 1, 1, 10), 0)
	if len(b.Batch(aliveFor+time.Millisecond, all)) != 0 {
		t.Error("an old report is passed on")
	}
}

// TestLimitsWaitWithTheirAge: a report that gives way to a newer one leaves the limits that it
// told of, and each is as old as it is when it is passed on.
func TestLimitsWaitWithTheirAge(t *testing.T) {
	b := NewInbox()
	told := func(sequence uint32, now time.Duration, words ...quota.UpstreamLimit) {
		o := own(7, 1, sequence, 1)
		o.Report.Limits = words
		b.Enqueue(o, now)
	}
	told(1, 0, quota.UpstreamLimit{Upstream: 1, Rate: 2, Age: time.Second}, quota.UpstreamLimit{Upstream: 2, Rate: 5})
	told(2, 100*time.Millisecond, quota.UpstreamLimit{Upstream: 2, Rate: 3})
	got := b.Batch(300*time.Millisecond, all)[0].Report.Limits
	want := []quota.UpstreamLimit{
		{Upstream: 2, Rate: 3, Age: 200 * time.Millisecond}, {Upstream: 1, Rate: 2, Age: 1300 * time.Millisecond},
	}
	if !slices.Equal(got, want) {
		t.Errorf("%v, want %v", got, want)
	}
}
