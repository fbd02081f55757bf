package fanout

import (
	"slices"
	"testing"
	"time"

	"sassafrasfield/internal/quarantine"
	"sassafrasfield/internal/quota"
	"sassafrasfield/internal/upstreamstate"
)

func reportOf(source ID, boot, sequence uint32, part uint32) InstanceReport {
	return InstanceReport{Source: source, Boot: boot, Sequence: sequence, Report: upstreamstate.Report{
		Complete: true, Placed: []upstreamstate.PlacedPart{{Engine: 1, Part: part}},
	}}
}

// allFit accepts each report into a batch.
func allFit(InstanceReport) bool { return true }

// TestLongestQueuedReportIsPassedOnFirst has three instances report repeatedly while a batch has room
// for one report.
func TestLongestQueuedReportIsPassedOnFirst(t *testing.T) {
	b := NewInbox()
	passed := map[ID]int{}
	for n := range 30 {
		now := time.Duration(n) * batchEvery
		for id := range ID(3) {
			b.Enqueue(reportOf(id, 1, uint32(n), 1), now)
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

func TestReportIsAcceptedOnce(t *testing.T) {
	b := NewInbox()
	for _, c := range []struct {
		boot, sequence uint32
		accepted       bool
	}{{1, 1, true}, {1, 1, false}, {1, 3, true}, {1, 2, false}, {2, 1, true}, {2, 2, true}} {
		if got := b.Accept(reportOf(7, c.boot, c.sequence, 1)); got != c.accepted {
			t.Errorf("boot %d, sequence %d: accepted %t", c.boot, c.sequence, got)
		}
	}
}

// TestNewestReportIsPassedOnWithAllParts checks that a newer report replaces a queued one but keeps its
// placed parts, which are reported only once.
func TestNewestReportIsPassedOnWithAllParts(t *testing.T) {
	b := NewInbox()
	b.Enqueue(reportOf(7, 1, 1, 10), 0)
	b.Enqueue(reportOf(7, 1, 2, 11), 0)
	b.Enqueue(reportOf(8, 1, 1, 12), 0)
	reports := b.Batch(0, allFit)
	if len(reports) != 2 {
		t.Fatalf("%d reports, want one of each instance", len(reports))
	}
	for _, r := range reports {
		if r.Source == 7 && (r.Sequence != 2 || len(r.Report.Placed) != 2) {
			t.Errorf("%+v", r)
		}
	}
	if len(b.Batch(0, allFit)) != 0 {
		t.Error("the reports are passed on twice")
	}
}

// TestCrashesOfReplacedReportAreKept guards against crashes that are lost with a replaced report. A long
// report arrives in parts, and only its last part stays queued for the batch.
func TestCrashesOfReplacedReportAreKept(t *testing.T) {
	b := NewInbox()
	first := reportOf(7, 1, 1, 10)
	first.Report.Evidence.Crashes = []quarantine.Crash{{Subject: 1, Upstream: 2}}
	b.Enqueue(first, 0)
	b.Enqueue(reportOf(7, 1, 2, 11), 0)
	reports := b.Batch(0, allFit)
	if len(reports) != 1 || len(reports[0].Report.Evidence.Crashes) != 1 {
		t.Errorf("%+v", reports)
	}
	for n := range 100 {
		first.Report.Evidence.Crashes[0].Subject = quarantine.Subject(n)
		b.Enqueue(first, 0)
	}
	if n := len(b.Batch(0, allFit)[0].Report.Evidence.Crashes); n > quarantine.MaxReported {
		t.Errorf("%d crashes are queued", n)
	}
}

// TestOldReportsAreNotPassedOn checks that old reports are dropped. An instance that becomes hub has kept
// reports for a long time, and their sources may have departed.
func TestOldReportsAreNotPassedOn(t *testing.T) {
	b := NewInbox()
	b.Enqueue(reportOf(7, 1, 1, 10), 0)
	if len(b.Batch(aliveFor+time.Millisecond, allFit)) != 0 {
		t.Error("an old report is passed on")
	}
}

// TestQueuedLimitsAge checks that a replaced report's limits are kept, and that the time in the queue is
// added to the age of each limit.
func TestQueuedLimitsAge(t *testing.T) {
	b := NewInbox()
	enqueue := func(sequence uint32, now time.Duration, limits ...quota.UpstreamLimit) {
		o := reportOf(7, 1, sequence, 1)
		o.Report.Limits = limits
		b.Enqueue(o, now)
	}
	enqueue(1, 0, quota.UpstreamLimit{Upstream: 1, Rate: 2, Age: time.Second}, quota.UpstreamLimit{Upstream: 2, Rate: 5})
	enqueue(2, 100*time.Millisecond, quota.UpstreamLimit{Upstream: 2, Rate: 3})
	got := b.Batch(300*time.Millisecond, allFit)[0].Report.Limits
	want := []quota.UpstreamLimit{
		{Upstream: 2, Rate: 3, Age: 200 * time.Millisecond}, {Upstream: 1, Rate: 2, Age: 1300 * time.Millisecond},
	}
	if !slices.Equal(got, want) {
		t.Errorf("%v, want %v", got, want)
	}
}
