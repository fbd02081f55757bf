package ownlink

import (
	"fmt"
	"testing"
	"time"
)

const ms = time.Millisecond

func (l *Link) inTrouble(now time.Duration) bool { return l.Impairment(now) != "" }

func silentAt(l *Link, at time.Duration, upstreams int) {
	for i := range upstreams {
		l.RecordTimeout(fmt.Sprint("silent ", i), at)
	}
}

// TestAChokedLinkIsSeen: the load is a machine with a link of 10 Mbit/s that got more than
// its part of long prompts: within 0.1 s its connections to five upstreams of three zones
// were not answered in 0.4 s, and none was.
func TestAChokedLinkIsSeen(t *testing.T) {
	l := New(DefaultSettings())
	l.RecordPeerReport(9900 * ms)
	silentAt(l, 10*time.Second, 5)
	if !l.inTrouble(10*time.Second + 100*ms) {
		t.Error("not seen")
	}
	if l.inTrouble(11*time.Second + 100*ms) {
		t.Error("nothing is tried any more, and it is choked for good")
	}
}

// TestACrashOfSomeUpstreamsIsNotTheLink: a sixth of the upstreams goes dark, and the others
// answer all the while.
func TestACrashOfSomeUpstreamsIsNotTheLink(t *testing.T) {
	l := New(DefaultSettings())
	silentAt(l, 10*time.Second, 8)
	for i := range 8 {
		l.RecordAnswer(fmt.Sprint("good ", i), 10*time.Second)
	}
	if l.inTrouble(10 * time.Second) {
		t.Error("the link is blamed")
	}
	l = New(DefaultSettings())
	silentAt(l, 10*time.Second, 3)
	if l.inTrouble(10 * time.Second) {
		t.Error("three silent upstreams are taken for all")
	}
}

// TestADeafInstanceSendsNothing: it has heard of nobody since its link was choked, and may
// have missed that upstreams leave, though most of them answer again. Heard of others, it
// goes on.
func TestADeafInstanceSendsNothing(t *testing.T) {
	l := New(DefaultSettings())
	l.RecordPeerReport(10 * time.Second)
	silentAt(l, 9500*ms, 3)
	silentAt(l, 10*time.Second+200*ms, 5)
	for i := range 20 {
		l.RecordAnswer(fmt.Sprint("good ", i), 12*time.Second)
	}
	if !l.inTrouble(13*time.Second) || !l.inTrouble(14*time.Second) {
		t.Error("it goes on though it hears nothing")
	}
	l.RecordPeerReport(14 * time.Second)
	if l.inTrouble(14*time.Second + 100*ms) {
		t.Error("it does not go on")
	}
}

// TestAnInstanceThatLacksRowsForLongSendsNothing: it hears that others have newer rows, and its
// upstreams answer. Some rows that come late, again and again, do not count.
func TestAnInstanceThatLacksRowsForLongSendsNothing(t *testing.T) {
	l := New(DefaultSettings())
	l.SetBehind(true, 0)
	l.SetBehind(true, time.Second)
	if l.inTrouble(1400 * ms) {
		t.Error("it refuses what it can serve")
	}
	if !l.inTrouble(1500 * ms) {
		t.Error("it goes on sending")
	}
	l.SetBehind(false, 1600*ms)
	l.SetBehind(true, 1700*ms)
	if l.inTrouble(3100 * ms) {
		t.Error("the time before it caught up counts")
	}
}

// TestAnInstanceThatStoodStillReadsFirst: it woke after two seconds, with requests that wait.
// What was told meanwhile is read before they are sent on, or nobody tells anything.
func TestAnInstanceThatStoodStillReadsFirst(t *testing.T) {
	woken := func() *Link {
		l := New(DefaultSettings())
		l.RecordPeerReport(900 * ms)
		l.SetBehind(false, time.Second)
		if l.inTrouble(2400*ms) || !l.inTrouble(3*time.Second) {
			t.Error("it is not seen that it stood still, or too soon")
		}
		l.SetBehind(false, 3*time.Second)
		return l
	}
	l := woken()
	l.RecordPeerReport(3010 * ms)
	l.SetBehind(true, 3050*ms)
	l.SetBehind(true, 3400*ms)
	if !l.inTrouble(3400 * ms) {
		t.Error("it sends though it lacks rows")
	}
	l.SetBehind(false, 3450*ms)
	if l.inTrouble(3450 * ms) {
		t.Error("it refuses though it has all rows")
	}
	l = woken() // and hears nobody
	l.SetBehind(false, 4*time.Second)
	if !l.inTrouble(4 * time.Second) {
		t.Error("it sends though it has heard nobody")
	}
	for now := 4100 * ms; now <= 4500*ms; now += 100 * ms {
		l.SetBehind(false, now)
	}
	if l.inTrouble(4500 * ms) {
		t.Error("an instance that is left alone serves nobody")
	}
}

// TestAnInstanceThatIsCutOffFromTheOthersServes: it hears nobody, and its upstreams answer,
// but for a few.
func TestAnInstanceThatIsCutOffFromTheOthersServes(t *testing.T) {
	l := New(DefaultSettings())
	l.RecordPeerReport(10 * time.Second)
	silentAt(l, 10*time.Second+200*ms, 3)
	for i := range 6 {
		l.RecordAnswer(fmt.Sprint("good ", i), 15*time.Second)
	}
	if l.inTrouble(15 * time.Second) {
		t.Error("it refuses what it can serve")
	}
	alone := New(DefaultSettings())
	silentAt(alone, 10*time.Second, 5)
	if alone.inTrouble(20 * time.Second) {
		t.Error("an instance without others counts as deaf")
	}
}
