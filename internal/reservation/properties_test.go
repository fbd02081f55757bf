package reservation

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

const testEngines = 4

// message is a message to a ledger.
type message struct {
	at        time.Duration
	kind      string
	id        uint64
	engine    uint32
	busy      time.Duration
	processed bool
}

func drawMessages(t *rapid.T) []message {
	var messages []message
	now := time.Duration(0)
	for range rapid.IntRange(1, 120).Draw(t, "messages") {
		now += time.Duration(rapid.IntRange(0, 400).Draw(t, "ms")) * ms
		messages = append(messages, message{
			at: now, kind: rapid.SampledFrom([]string{"reserve", "record", "done"}).Draw(t, "kind"),
			id:     rapid.Uint64Range(1, 30).Draw(t, "id"),
			engine: rapid.Uint32Range(1, testEngines).Draw(t, "engine"),
			busy:   time.Duration(rapid.IntRange(0, 600).Draw(t, "busy")) * ms, processed: rapid.Bool().Draw(t, "processed"),
		})
	}
	return messages
}

func candidates(busy time.Duration) []Candidate {
	var list []Candidate
	for engine := uint32(1); engine <= testEngines; engine++ {
		list = append(list, Candidate{Engine: engine, Busy: busy})
	}
	return list
}

func (m message) apply(l *Ledger) Grant {
	switch m.kind {
	case "reserve":
		grant, _ := l.Reserve(Request{ID: m.id, Candidates: candidates(m.busy)}, m.at)
		return grant
	case "record":
		l.Record(m.id, Candidate{Engine: m.engine, Busy: m.busy}, m.at)
	case "done":
		l.Done(m.id, m.engine, m.processed, m.at)
	}
	return Grant{}
}

// Guards against entries that are counted twice or never removed, in any order of messages.
func TestLedgerStaysConsistent(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		l := NewLedger()
		now := time.Duration(0)
		for _, m := range drawMessages(t) {
			m.apply(l)
			now = m.at
			checkConsistent(t, l, now)
		}
		for id := uint64(1); id <= 30; id++ {
			if e, ok := l.entries[id]; ok {
				l.Done(id, e.grant.Engine, true, now)
			}
		}
		for engine := uint32(1); engine <= testEngines; engine++ {
			if wait := l.Wait(engine, now); wait != 0 {
				t.Fatalf("engine %d is busy for %v without prompts", engine, wait)
			}
		}
	})
}

func checkConsistent(t *rapid.T, l *Ledger, now time.Duration) {
	count := 0
	for id, on := range l.engines {
		busy := time.Duration(0)
		for _, e := range on.entries {
			busy += e.grant.Busy
			if l.entries[e.id] != e || e.ended || e.grant.Engine != id {
				t.Fatalf("entry %+v of engine %d is not listed", e, id)
			}
		}
		if busy != on.busy {
			t.Fatalf("engine %d is busy for %v, its entries for %v", id, on.busy, busy)
		}
		count += len(on.entries)
		if wait := l.Wait(id, now); wait < 0 {
			t.Fatalf("engine %d waits %v", id, wait)
		}
		if speed := on.speed.at(now); speed < fastest || speed > slowest {
			t.Fatalf("engine %d has speed %v", id, speed)
		}
	}
	if count < len(l.entries) {
		t.Fatalf("%d entries of engines, %d in all", count, len(l.entries))
	}
}

// Guards against messages that count twice because the network or a sender repeats them.
func TestRepeatedMessagesChangeNothing(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		once, twice := NewLedger(), NewLedger()
		for _, m := range drawMessages(t) {
			a, b := m.apply(once), m.apply(twice)
			if again := m.apply(twice); a != b || a != again {
				t.Fatalf("%+v: %+v once, %+v and %+v twice", m, a, b, again)
			}
			for engine := uint32(1); engine <= testEngines; engine++ {
				if a, b := once.Wait(engine, m.at), twice.Wait(engine, m.at); a != b {
					t.Fatalf("%+v: engine %d waits %v once, %v twice", m, engine, a, b)
				}
			}
		}
	})
}

// Guards against a choice that is worse than another candidate.
func TestReserveChoosesTheLowestCost(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		l := NewLedger()
		now := time.Duration(0)
		for _, m := range drawMessages(t) {
			m.apply(l)
			now = m.at
		}
		list := candidates(0)
		for i := range list {
			list[i].Busy = time.Duration(rapid.IntRange(0, 300).Draw(t, "busy")) * ms
			list[i].Extra = time.Duration(rapid.IntRange(0, 300).Draw(t, "extra")) * ms
			list[i].Copy = time.Duration(rapid.IntRange(0, 3000).Draw(t, "copy")) * ms
		}
		shortest := shortestWait(l.expectAll(list, now))
		costs := map[uint32]time.Duration{}
		for _, c := range list {
			wait, speed := l.expect(c.Engine, now)
			costs[c.Engine] = wait + scale(c.Busy+CopyCost(c.Copy, c.Busy, shortest), speed) + c.Extra
		}
		grant, ok := l.Reserve(Request{ID: 99, Candidates: list}, now)
		if !ok {
			t.Fatal("no grant")
		}
		for engine, cost := range costs {
			if cost < costs[grant.Engine] {
				t.Fatalf("chose %d at %v, not %d at %v", grant.Engine, costs[grant.Engine], engine, cost)
			}
		}
	})
}

// Guards against a ledger that grows without bound because no Done arrives.
func TestLedgerIsBounded(t *testing.T) {
	l := NewLedger()
	for id := uint64(1); id <= maxEntries+maxEngines; id++ {
		now := time.Duration(id) * ms / 10
		l.Record(id, Candidate{Engine: uint32(id % maxEngines), Busy: time.Second}, now)
	}
	for id := uint64(1); id <= 100; id++ {
		l.Record(1<<30+id, Candidate{Engine: maxEngines + uint32(id), Busy: time.Second}, 2*time.Second)
	}
	if len(l.entries) > maxEntries || len(l.byAge) > maxEntries || len(l.engines) > maxEngines {
		t.Errorf("%d entries, %d by age, %d engines", len(l.entries), len(l.byAge), len(l.engines))
	}
	for id := uint64(1); id <= 5*endedGeneration; id++ {
		l.Done(1<<40+id, 1, true, time.Hour)
	}
	if n := len(l.ended.recent) + len(l.ended.older); n > 2*endedGeneration {
		t.Errorf("%d ended prompts", n)
	}
	l.Record(1<<50, Candidate{Engine: 1, Busy: time.Second}, time.Hour)
	if len(l.entries) != 1 {
		t.Errorf("%d entries after their time", len(l.entries))
	}
}

// Guards against a single prompt, whose cached part was evicted, that makes an engine count as slow for long.
func TestOneOutlierMovesSpeedLittle(t *testing.T) {
	s := newSpeed(0)
	for i := range 20 {
		s.observe(100*ms, 100*ms, time.Duration(i)*200*ms)
	}
	s.observe(460*ms, 100*ms, 4200*ms)
	if speed := s.at(4200 * ms); speed > 1.6 {
		t.Errorf("speed %v after one prompt of 4.6 times its time", speed)
	}
	s.observe(100*ms, 100*ms, 4300*ms)
	if speed := s.at(4300 * ms); speed > 1.25 {
		t.Errorf("speed %v after the next", speed)
	}
}
