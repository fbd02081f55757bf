package fanout

import (
	"testing"
	"time"
)

// sends counts what an instance sends in a time, with a change of its load each so
// often; 0 for none.
func sends(passes, hears bool, changes, length time.Duration) (own, batch, zone int) {
	const start = time.Hour
	p := NewPacer(start - greetFor)
	for now := start; now < start+length; now += time.Millisecond {
		if changes > 0 && (now-start)%changes == 0 {
			p.MarkChanged()
		}
		due, _ := p.Next(now, passes, hears, false)
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

func TestAnInstanceReportsWhenItsLoadChanges(t *testing.T) {
	if own, batch, zone := sends(false, true, 0, 10*time.Second); own != 25 || batch+zone != 0 {
		t.Errorf("%d reports, %d and %d of a hub, of an idle instance in 10 s", own, batch, zone)
	}
	if own, _, _ := sends(false, true, time.Millisecond, 10*time.Second); own < 99 || own > 101 {
		t.Errorf("%d reports of a busy instance in 10 s, want one each %s", own, ownGap)
	}
}

func TestAHubSendsBatchesAtItsPace(t *testing.T) {
	own, batch, zone := sends(true, false, time.Millisecond, 10*time.Second)
	if own != 0 || batch < 99 || batch > 101 || zone < 49 || zone > 51 {
		t.Errorf("%d, %d, %d", own, batch, zone)
	}
}

func TestAChangeIsToldAtOnceAfterAPause(t *testing.T) {
	p := NewPacer(0)
	p.Next(time.Second, false, true, false)
	p.MarkChanged()
	if due, _ := p.Next(time.Second+ownGap, false, true, false); !due.OwnReport {
		t.Error("a change waits")
	}
}

func TestUrgentNewsHardlyWaits(t *testing.T) {
	p := NewPacer(0)
	p.Next(time.Second, true, false, false)
	if due, wait := p.Next(time.Second+time.Millisecond, true, false, true); due.Batch || wait != urgentGap-time.Millisecond {
		t.Errorf("%+v, %s", due, wait)
	}
	if due, _ := p.Next(time.Second+urgentGap, true, false, false); !due.Batch || !due.ZoneReport {
		t.Errorf("%+v", due)
	}
	if due, _ := p.Next(time.Second+2*urgentGap, true, false, false); due.Batch {
		t.Error("the news is told twice")
	}
}

// TestTheWaitEndsWhenSomethingIsDue: a caller that waits as it is told sends all in time.
func TestTheWaitEndsWhenSomethingIsDue(t *testing.T) {
	for _, passes := range []bool{false, true} {
		p, now, sent := NewPacer(0), time.Duration(0), 0
		for now < 10*time.Second {
			due, wait := p.Next(now, passes, true, false)
			if due.OwnReport || due.Batch {
				sent++
			}
			now += max(wait, time.Millisecond)
		}
		want := 25
		if passes {
			want = 100
		}
		if sent < want-1 || sent > want+2 {
			t.Errorf("passes %t: %d sent, want %d", passes, sent, want)
		}
	}
}
