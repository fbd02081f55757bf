package reservation

import (
	"testing"
	"time"
)

const ms = time.Millisecond

func both(busy time.Duration) []Candidate {
	return []Candidate{{Engine: 1, Busy: busy}, {Engine: 2, Busy: busy}}
}

func reserve(t *testing.T, l *Ledger, id uint64, candidates []Candidate, now time.Duration) Grant {
	t.Helper()
	grant, ok := l.Reserve(Request{ID: id, Candidates: candidates}, now)
	if !ok {
		t.Fatalf("no grant for %d", id)
	}
	return grant
}

// Guards against two instances that send to the same engine while another is idle.
func TestSimultaneousPromptsGetDifferentEngines(t *testing.T) {
	l := NewLedger()
	a, b := reserve(t, l, 1, both(100*ms), 0), reserve(t, l, 2, both(100*ms), 0)
	if a.Engine == b.Engine || a.Wait != 0 || b.Wait != 0 {
		t.Errorf("%+v and %+v", a, b)
	}
	if c := reserve(t, l, 3, both(100*ms), 40*ms); c.Wait != 60*ms {
		t.Errorf("waits %v for an engine that is ready in 60ms", c.Wait)
	}
}

// Guards against a grant of nothing.
func TestNoCandidatesNoGrant(t *testing.T) {
	if grant, ok := NewLedger().Reserve(Request{ID: 1}, 0); ok {
		t.Errorf("%+v", grant)
	}
}

// Guards against a prompt that counts twice because its reply was lost and the request repeated.
func TestRepeatedReserveGivesTheSameGrant(t *testing.T) {
	l := NewLedger()
	a := reserve(t, l, 1, both(100*ms), 0)
	if b := reserve(t, l, 1, both(100*ms), 10*ms); a != b {
		t.Errorf("%+v, then %+v", a, b)
	}
	if wait := l.Wait(a.Engine, 10*ms); wait != 90*ms {
		t.Errorf("engine is busy for %v", wait)
	}
}

// Guards against an engine that seems busy because messages arrived in another order.
func TestDoneBeforeRecordLeavesNoEntry(t *testing.T) {
	l := NewLedger()
	l.Done(1, 7, true, 0)
	l.Record(1, Candidate{Engine: 7, Busy: 100 * ms}, 1*ms)
	if wait := l.Wait(7, 1*ms); wait != 0 {
		t.Errorf("engine is busy for %v", wait)
	}
}

// Guards against a prompt that counts on the engine it was granted and on the one it was sent to.
func TestRecordOnAnotherEngineMovesThePrompt(t *testing.T) {
	l := NewLedger()
	a := reserve(t, l, 1, both(100*ms), 0)
	other := 3 - a.Engine
	l.Record(1, Candidate{Engine: other, Busy: 100 * ms}, 25*ms)
	if granted, sent := l.Wait(a.Engine, 25*ms), l.Wait(other, 25*ms); granted != 0 || sent != 100*ms {
		t.Errorf("granted engine is busy for %v, the other for %v", granted, sent)
	}
}

// Guards against an engine that is avoided forever because a Done was lost.
func TestEntryWithoutDoneEnds(t *testing.T) {
	l := NewLedger()
	a := reserve(t, l, 1, both(100*ms), 0)
	if wait := l.Wait(a.Engine, 500*ms); wait <= 0 {
		t.Errorf("an overdue prompt doesn't count: %v", wait)
	}
	if wait := l.Wait(a.Engine, minPatience+ms); wait != 0 {
		t.Errorf("busy for %v after %v", wait, minPatience)
	}
}

// Guards against an uneven fleet whose slow engines get as many prompts as the others, and against an engine
// that is avoided forever after it was slow.
func TestSlowEngineIsLearnedAndTriedAgain(t *testing.T) {
	l := NewLedger()
	now := time.Duration(0)
	for id := uint64(1); id <= 4; id++ {
		l.Record(id, Candidate{Engine: 1, Busy: 100 * ms}, now)
		now += 250 * ms
		l.Done(id, 1, true, now)
	}
	a := reserve(t, l, 10, both(100*ms), now)
	if a.Engine != 2 || l.engines[1].speed.at(now) < 2 {
		t.Errorf("%+v, speed %v", a, l.engines[1].speed.at(now))
	}
	if later := l.engines[1].speed.at(now + 20*time.Second); later > 1.2 {
		t.Errorf("speed %v after 20s", later)
	}
}

func BenchmarkReserve(b *testing.B) {
	l := NewLedger()
	var candidates []Candidate
	for id := uint32(0); id < 16; id++ {
		candidates = append(candidates, Candidate{Engine: id, Busy: 60 * ms})
	}
	now := time.Duration(0)
	b.ReportAllocs()
	for id := uint64(1); b.Loop(); id++ {
		grant, _ := l.Reserve(Request{ID: id, Candidates: candidates}, now)
		now += 4 * ms
		if id > 32 {
			l.Done(id-32, grant.Engine, true, now)
		}
	}
}

// Guards against an engine that seems busy for a second after a Done was lost, although a later prompt ended.
func TestLaterDoneEndsAnEntryWhoseDoneWasLost(t *testing.T) {
	l := NewLedger()
	l.Record(1, Candidate{Engine: 1, Busy: 100 * ms}, 0)
	l.Record(2, Candidate{Engine: 1, Busy: 100 * ms}, 50*ms)
	l.Done(2, 1, true, 210*ms)
	if wait := l.Wait(1, 210*ms); wait != 0 {
		t.Errorf("engine is busy for %v", wait)
	}
}

// Guards against prompts that queue at the engine that has their part cached while another one is idle, and against
// copies that cost throughput when all engines have queues.
func TestCopyIsMadeWhileAnEngineIsIdle(t *testing.T) {
	l := NewLedger()
	holder, other := Candidate{Engine: 1, Busy: 60 * ms}, Candidate{Engine: 2, Busy: 280 * ms, Copy: 2 * time.Second}
	l.Record(1, Candidate{Engine: 1, Busy: 600 * ms}, 0)
	if grant := reserve(t, l, 2, []Candidate{holder, other}, 0); grant.Engine != 2 {
		t.Errorf("%+v while engine 2 is idle", grant)
	}
	l.Record(3, Candidate{Engine: 1, Busy: 400 * ms}, 0)
	if grant := reserve(t, l, 4, []Candidate{holder, other}, 0); grant.Engine != 1 {
		t.Errorf("%+v while both have queues", grant)
	}
}
