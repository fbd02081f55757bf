package fanout

import (
	"testing"
	"time"
)

// countSends counts what an instance sends within a duration. Its load changes once per
// changeEvery, or never if that is 0.
func countSends(relays, receivesBatches bool, changeEvery, length time.Duration) (own, batch, zone int) {
	const start = time.Hour
	p := NewPacer(start - seedFor)
	for now := start; now < start+length; now += time.Millisecond {
		if changeEvery > 0 && (now-start)%changeEvery == 0 {
			p.MarkChanged()
		}
		due, _ := p.Next(now, relays, receivesBatches, false)
		if due.OwnReport {
			own++
		}
		if due.Batch {
			batch++
		}
		if due.ZoneReport {
			zone++
		}
	}
	return own, batch, zone
}

func TestInstanceReportsWhenItsLoadChanges(t *testing.T) {
	if own, batch, zone := countSends(false, true, 0, 10*time.Second); own != 25 || batch+zone != 0 {
		t.Errorf("%d reports, %d batches and %d zone reports of an idle instance in 10 s", own, batch, zone)
	}
	if own, _, _ := countSends(false, true, time.Millisecond, 10*time.Second); own < 99 || own > 101 {
		t.Errorf("%d reports of a busy instance in 10 s, want one per %s", own, ownMinGap)
	}
}

func TestHubSendsBatchesAndZoneReports(t *testing.T) {
	own, batch, zone := countSends(true, false, time.Millisecond, 10*time.Second)
	if own != 0 || batch < 99 || batch > 101 || zone < 49 || zone > 51 {
		t.Errorf("%d own reports, %d batches, %d zone reports", own, batch, zone)
	}
}

func TestChangeIsReportedAtOnceAfterPause(t *testing.T) {
	p := NewPacer(0)
	p.Next(time.Second, false, true, false)
	p.MarkChanged()
	if due, _ := p.Next(time.Second+ownMinGap, false, true, false); !due.OwnReport {
		t.Error("the change is not reported yet")
	}
}

func TestUrgentChangeIsSentSoon(t *testing.T) {
	p := NewPacer(0)
	p.Next(time.Second, true, false, false)
	if due, wait := p.Next(time.Second+time.Millisecond, true, false, true); due.Batch || wait != urgentGap-time.Millisecond {
		t.Errorf("%+v, %s", due, wait)
	}
	if due, _ := p.Next(time.Second+urgentGap, true, false, false); !due.Batch || !due.ZoneReport {
		t.Errorf("%+v", due)
	}
	if due, _ := p.Next(time.Second+2*urgentGap, true, false, false); due.Batch {
		t.Error("the change is sent twice")
	}
}

// TestReturnedWaitEndsWhenSomethingIsDue checks that a caller that waits as long as Next returns sends
// everything in time.
func TestReturnedWaitEndsWhenSomethingIsDue(t *testing.T) {
	for _, relays := range []bool{false, true} {
		p, now, sent := NewPacer(0), time.Duration(0), 0
		for now < 10*time.Second {
			due, wait := p.Next(now, relays, true, false)
			if due.OwnReport || due.Batch {
				sent++
			}
			now += max(wait, time.Millisecond)
		}
		want := 25
		if relays {
			want = 100
		}
		if sent < want-1 || sent > want+2 {
			t.Errorf("relays %t: %d sent, want %d", relays, sent, want)
		}
	}
}
