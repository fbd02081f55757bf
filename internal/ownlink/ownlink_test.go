package ownlink

import (
	"fmt"
	"testing"
	"time"
)

const ms = time.Millisecond

func (l *Link) impaired(now time.Duration) bool { return l.Impairment(now) != "" }

func recordTimeouts(l *Link, at time.Duration, upstreams int) {
	for i := range upstreams {
		l.RecordTimeout(fmt.Sprint("silent ", i), at)
	}
}

// TestSaturatedLinkIsDetected guards against an instance that keeps requests which its link cannot forward. A
// machine with a link of 10 Mbit/s got more than its share of long prompts. Within 0.1 s its connections to
// five upstreams in three zones timed out after 0.4 s, and no upstream answered.
func TestSaturatedLinkIsDetected(t *testing.T) {
	l := New(DefaultSettings())
	l.RecordPeerReport(9900 * ms)
	recordTimeouts(l, 10*time.Second, 5)
	if !l.impaired(10*time.Second + 100*ms) {
		t.Error("not detected")
	}
	if l.impaired(11*time.Second + 100*ms) {
		t.Error("the link stays saturated though no connection is attempted any more")
	}
}

// TestCrashOfSomeUpstreamsIsNoImpairment guards against blaming the link for crashes. One sixth of the
// upstreams stops responding, and the others answer all the time.
func TestCrashOfSomeUpstreamsIsNoImpairment(t *testing.T) {
	l := New(DefaultSettings())
	recordTimeouts(l, 10*time.Second, 8)
	for i := range 8 {
		l.RecordAnswer(fmt.Sprint("good ", i), 10*time.Second)
	}
	if l.impaired(10 * time.Second) {
		t.Error("the crashes are mistaken for a saturated link")
	}
	l = New(DefaultSettings())
	recordTimeouts(l, 10*time.Second, 3)
	if l.impaired(10 * time.Second) {
		t.Error("timeouts of three upstreams are mistaken for a saturated link")
	}
}

// TestIsolatedInstanceIsImpaired guards against requests to draining upstreams. The instance has received no
// report since its link was saturated, so it may not know which upstreams are draining, although most of them
// answer again. It recovers with the next report.
func TestIsolatedInstanceIsImpaired(t *testing.T) {
	l := New(DefaultSettings())
	l.RecordPeerReport(10 * time.Second)
	recordTimeouts(l, 9500*ms, 3)
	recordTimeouts(l, 10*time.Second+200*ms, 5)
	for i := range 20 {
		l.RecordAnswer(fmt.Sprint("good ", i), 12*time.Second)
	}
	if !l.impaired(13*time.Second) || !l.impaired(14*time.Second) {
		t.Error("not impaired without reports")
	}
	l.RecordPeerReport(14 * time.Second)
	if l.impaired(14*time.Second + 100*ms) {
		t.Error("still impaired after a report")
	}
}

// TestInstanceBehindForLongIsImpaired has an instance that knows that others have newer rows, while its
// upstreams answer. Repeated short delays of rows must not count.
func TestInstanceBehindForLongIsImpaired(t *testing.T) {
	l := New(DefaultSettings())
	l.SetBehind(true, 0)
	l.SetBehind(true, time.Second)
	if l.impaired(1400 * ms) {
		t.Error("impaired too early")
	}
	if !l.impaired(1500 * ms) {
		t.Error("not impaired")
	}
	l.SetBehind(false, 1600*ms)
	l.SetBehind(true, 1700*ms)
	if l.impaired(3100 * ms) {
		t.Error("the time before it was up to date counts")
	}
}

// TestResumedInstanceCatchesUpFirst guards against requests to upstreams that began to drain during a
// suspension. The process resumes after two seconds, with waiting requests. It must apply what the others
// reported meanwhile before it forwards them, unless no other instance reports anything.
func TestResumedInstanceCatchesUpFirst(t *testing.T) {
	resumed := func() *Link {
		l := New(DefaultSettings())
		l.RecordPeerReport(900 * ms)
		l.SetBehind(false, time.Second)
		if l.impaired(2400*ms) || !l.impaired(3*time.Second) {
			t.Error("the suspension is not detected, or too early")
		}
		l.SetBehind(false, 3*time.Second)
		return l
	}
	l := resumed()
	l.RecordPeerReport(3010 * ms)
	l.SetBehind(true, 3050*ms)
	l.SetBehind(true, 3400*ms)
	if !l.impaired(3400 * ms) {
		t.Error("not impaired though it lacks rows")
	}
	l.SetBehind(false, 3450*ms)
	if l.impaired(3450 * ms) {
		t.Error("impaired though it has all rows")
	}
	l = resumed() // and receives no reports
	l.SetBehind(false, 4*time.Second)
	if !l.impaired(4 * time.Second) {
		t.Error("not impaired though it has received no report")
	}
	for now := 4100 * ms; now <= 4500*ms; now += 100 * ms {
		l.SetBehind(false, now)
	}
	if l.impaired(4500 * ms) {
		t.Error("an instance without peers stays impaired")
	}
}

// TestPartitionedInstanceServes guards against refusals of an instance that receives no reports while nearly
// all of its upstreams answer.
func TestPartitionedInstanceServes(t *testing.T) {
	l := New(DefaultSettings())
	l.RecordPeerReport(10 * time.Second)
	recordTimeouts(l, 10*time.Second+200*ms, 3)
	for i := range 6 {
		l.RecordAnswer(fmt.Sprint("good ", i), 15*time.Second)
	}
	if l.impaired(15 * time.Second) {
		t.Error("impaired though its upstreams answer")
	}
	alone := New(DefaultSettings())
	recordTimeouts(alone, 10*time.Second, 5)
	if alone.impaired(20 * time.Second) {
		t.Error("an instance without peers counts as isolated")
	}
}
