package quota

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

func asks(rate float64) GrantRequest {
	return GrantRequest{Limit: UpstreamLimit{Upstream: upstream, Rate: rate}}
}

// coordinating returns grants of an instance that has coordinated for long, and the time.
func coordinating(rate float64) (*Coordinator, time.Duration) {
	g, now := NewCoordinator(), time.Duration(0)
	for ; now < 10*time.Second; now += 100 * time.Millisecond {
		g.SetShare(1, now)
	}
	g.Take(asks(rate), rate, now)
	return g, now
}

// later has time pass at an instance that coordinates.
func later(g *Coordinator, now, d time.Duration) time.Duration {
	for end := now + d; now < end; now += 100 * time.Millisecond {
		g.SetShare(1, now)
	}
	g.SetShare(1, now)
	return now
}

// granted counts what is granted of many questions at once.
func granted(g *Coordinator, a GrantRequest, rate float64, now time.Duration) int {
	count := 0
	for range 100 {
		if g.Take(a, rate, now).Granted {
			count++
		}
	}
	return count
}

// TestWhoBeginsHasNothingToGiveOut: the coordinator before may have given out all. One that
// stood still begins anew.
func TestWhoBeginsHasNothingToGiveOut(t *testing.T) {
	g := NewCoordinator()
	g.SetShare(1, 0)
	if n := granted(g, asks(10), 10, settleFor-1); n > 0 {
		t.Errorf("%d grants before others could have heard of it", n)
	}
	if n := granted(g, asks(10), 10, settleFor); n > 0 {
		t.Errorf("%d grants at its beginning", n)
	}
	now := later(g, settleFor, time.Minute)
	if n := granted(g, asks(10), 10, now); n != leastBurst {
		t.Errorf("%d grants after a time without any, want %d", n, leastBurst)
	}
	now += standstill + 1
	for _, wakes := range []time.Duration{now, now + settleFor - 1} {
		if n := granted(g, asks(10), 10, wakes); n > 0 {
			t.Errorf("%d grants %s after it stood still", n, wakes-now)
		}
		g.SetShare(1, wakes)
	}
	now = later(g, now, 10*time.Second)
	g.SetShare(0, now)
	g.SetShare(1, now)
	now = later(g, now, settleFor)
	if n := granted(g, asks(10), 10, now); n > 0 {
		t.Errorf("%d grants of what was saved up before another one coordinated", n)
	}
}

// TestGrantsKeepToTheLimit, whatever the moments of the questions, changes of the limit
// and of the part that is given out.
func TestGrantsKeepToTheLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		highest := rapid.Float64Range(leastRate, 50).Draw(t, "rate")
		g, now := coordinating(highest)
		start, count := now, 0
		for range rapid.IntRange(1, 200).Draw(t, "questions") {
			now += time.Duration(rapid.Int64Range(0, int64(300*time.Millisecond)).Draw(t, "pause"))
			g.SetShare(rapid.Float64Range(0.1, 1).Draw(t, "share"), now)
			rate := highest * rapid.Float64Range(0.2, 1).Draw(t, "part")
			a := asks(rate)
			a.Priority, a.Continues = rapid.IntRange(0, 3).Draw(t, "priority"), rapid.Bool().Draw(t, "continues")
			a.From = rapid.Uint64Range(1, 5).Draw(t, "from")
			v := g.Take(a, rate, now)
			if v.Granted {
				count++
			} else if v.RetryIn < 0 {
				t.Fatalf("ask again in %s", v.RetryIn)
			}
		}
		most := highest*(now-start).Seconds() + burstOf(highest) + debt
		if float64(count) > most+1e-6 {
			t.Fatalf("%d grants in %s of %g a second", count, now-start, highest)
		}
	})
}

// TestMoreUrgentRequestsGoFirst: as long as they ask, the last token is theirs.
func TestMoreUrgentRequestsGoFirst(t *testing.T) {
	const rate = 2
	g, now := coordinating(rate)
	urgent, other := asks(rate), asks(rate)
	urgent.Priority, other.Priority = 1, 4
	won := map[int]int{}
	for range 200 {
		now = later(g, now, 100*time.Millisecond)
		for _, a := range []GrantRequest{other, urgent} { // the less urgent one is there first
			if g.Take(a, rate, now).Granted {
				won[a.Priority]++
			}
		}
	}
	if won[4] > 1 || won[1] < 38 {
		t.Errorf("grants by priority: %v", won)
	}
	now = later(g, now, 2*urgentFor)
	if n := granted(g, other, rate, now); n != leastBurst {
		t.Errorf("%d grants to the less urgent ones once nobody else asks, want %d", n, leastBurst)
	}
	on := asks(rate)
	on.Continues = true
	if n := granted(g, on, rate, now); n != debt {
		t.Errorf("%d answers that have begun go on, want %d", n, debt)
	}
}

// TestWhenToAskAgainIsTrue: one that asks when it was told to finds room, and of many each
// has its turn.
func TestWhenToAskAgainIsTrue(t *testing.T) {
	const rate, instances = 4, 20
	g, now := coordinating(rate)
	granted(g, asks(rate), rate, now)
	first := g.Take(asks(rate), rate, now)
	if again := g.Take(asks(rate), rate, now); again != first {
		t.Errorf("one instance is told %v and %v", first, again)
	}
	if v := g.Take(asks(rate), rate, later(g, now, first.RetryIn)); !v.Granted {
		t.Errorf("no room after %s", first.RetryIn)
	}
	g, now = coordinating(rate)
	granted(g, asks(rate), rate, now)
	for from := range uint64(instances) {
		a := asks(rate)
		a.From = from + 1
		v := g.Take(a, rate, now)
		if v.RetryIn > waitAtMost {
			t.Errorf("instance %d is told to wait for %s", from, v.RetryIn)
		}
	}
}

// TestAnUnknownLimitIsTheAskers: the word of the instance that asks may be ahead of the reports.
func TestAnUnknownLimitIsTheAskers(t *testing.T) {
	for name, c := range map[string]struct {
		book      func(*Table)
		ask       GrantRequest
		unbounded bool
	}{
		"the coordinator knows none": {func(*Table) {}, asks(1), false},
		"it knows that it has ended": {func(b *Table) {
			b.ApplyAnnouncement(upstream, limited(1), 0)
			b.ApplyAnnouncement(upstream, Announcement{}, 5*time.Second)
		}, GrantRequest{Limit: UpstreamLimit{Upstream: upstream, Rate: 1, Age: 8 * time.Second}}, true},
		"the asker's word is newer":   {func(b *Table) { b.ApplyAnnouncement(upstream, limited(9), 0) }, GrantRequest{Limit: UpstreamLimit{Upstream: upstream, Rate: 1}, FirstHand: true}, false},
		"the asker's word is hearsay": {func(b *Table) { b.ApplyAnnouncement(upstream, limited(1), 0) }, GrantRequest{Limit: UpstreamLimit{Upstream: upstream, Rate: 1}}, false},
	} {
		known := bookOf{NewTable()}
		c.book(known.Table)
		g, now := coordinating(1)
		granted := 0
		for range 100 {
			if g.Decide(known, c.ask, now).Granted {
				granted++
			}
		}
		if (granted == 100) != c.unbounded || !c.unbounded && granted > leastBurst {
			t.Errorf("%s: %d grants at once", name, granted)
		}
	}
}

// bookOf is what is known of limits.
type bookOf struct{ *Table }

func (b bookOf) ApplyLimit(w UpstreamLimit, now time.Duration) { b.ApplyReport(w, SameZone, now) }

func (b bookOf) Limit(upstream uint32, now time.Duration) (UpstreamLimit, bool, bool) {
	return b.Lookup(upstream, now)
}
