package reach

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

const ms = time.Millisecond

func name(n int) string { return fmt.Sprint("u", n) }

// TestPathIsLostWhenAllFail guards against an instance that keeps sending into a lost path: two failures without an
// answer in between are enough.
func TestPathIsLostWhenAllFail(t *testing.T) {
	p := New(DefaultSettings())
	p.RecordAnswer(name(1), 900*ms)
	p.RecordAnswer(name(2), 950*ms)
	if p.RecordFailure(name(1), 18, 1000*ms, 1400*ms) {
		t.Error("lost after the failure of one upstream")
	}
	if p.RecordFailure(name(1), 18, 1100*ms, 1500*ms) {
		t.Error("lost after two failures of one upstream")
	}
	if !p.RecordFailure(name(2), 18, 1050*ms, 1600*ms) || !p.Lost() {
		t.Error("not lost")
	}
	one := New(DefaultSettings())
	if !one.RecordFailure(name(1), 1, 0, 400*ms) {
		t.Error("the only upstream of a service fails, and the path is not lost")
	}
}

// TestCrashedUpstreamsAreNoLostPath guards against blaming the path for upstreams that crash while the others
// answer.
func TestCrashedUpstreamsAreNoLostPath(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 1))
	p := New(DefaultSettings())
	const upstreams, crashed = 18, 6
	for now := 400 * ms; now < time.Minute; now += 50 * ms {
		switch n := rng.IntN(upstreams); {
		case n < crashed:
			p.RecordFailure(name(n), upstreams, now-400*ms, now)
		default:
			p.RecordAnswer(name(n), now)
		}
		if p.Lost() {
			t.Fatalf("lost after %v", now)
		}
	}
}

// TestPathToMostUpstreamsIsLost guards against overloading the few upstreams that are still reached.
func TestPathToMostUpstreamsIsLost(t *testing.T) {
	rng := rand.New(rand.NewPCG(2, 2))
	p := New(DefaultSettings())
	const upstreams, reached = 18, 2
	for now := 400 * ms; !p.Lost(); now += 50 * ms {
		if n := rng.IntN(upstreams); n < reached {
			p.RecordAnswer(name(n), now)
		} else {
			p.RecordFailure(name(n), upstreams, now-400*ms, now)
		}
		if now > 3*time.Second {
			t.Fatal("not lost")
		}
	}
}

// TestAnswersDoNotOutlastFailures guards against a path that counts as lost because of old failures.
func TestAnswersDoNotOutlastFailures(t *testing.T) {
	p := New(DefaultSettings())
	p.RecordFailure(name(1), 18, 0, 400*ms)
	if p.RecordFailure(name(2), 18, 9*time.Second, 9400*ms) {
		t.Error("lost by two failures that are nine seconds apart")
	}
	p.RecordAnswer(name(3), 9500*ms)
	if p.RecordFailure(name(3), 18, 9300*ms, 9600*ms) {
		t.Error("lost by a failure of an upstream that has answered since the send began")
	}
}

// TestProbesRestorePath guards against a path that flaps: one success between failures does not restore it.
func TestProbesRestorePath(t *testing.T) {
	p := New(DefaultSettings())
	p.RecordFailure(name(1), 18, 0, 400*ms)
	p.RecordFailure(name(2), 18, 0, 400*ms)
	if !p.Lost() {
		t.Fatal("not lost")
	}
	for i, probe := range []struct{ reached, restored bool }{
		{false, false}, {true, false}, {false, false}, {false, false}, {false, false}, {true, false}, {true, true},
	} {
		if got := p.RecordProbe(probe.reached, 18, time.Second); got != probe.restored {
			t.Errorf("probe %d: restored %v", i, got)
		}
	}
	if p.Lost() || p.RecordFailure(name(1), 18, time.Second, 2*time.Second) {
		t.Error("lost again after one failure")
	}
	p.RecordFailure(name(2), 18, time.Second, 2*time.Second)
	if p.RecordAnswer(name(5), 2*time.Second); !p.Lost() {
		t.Error("an answer to an earlier request restored the path")
	}
	p.Forget(3 * time.Second)
	if p.Lost() {
		t.Error("lost without an upstream")
	}
}
