package model

import (
	"testing"
	"time"
)

func TestSameSeedSameResult(t *testing.T) {
	p := surge()
	p.Length = 3 * time.Second
	a, b := Run(p, Policy{}, 1), Run(p, Policy{}, 1)
	if a.Credit() != b.Credit() || a.PrefilledTokens != b.PrefilledTokens || a.TransferredTokens != b.TransferredTokens {
		t.Errorf("%+v and %+v", a, b)
	}
}

// TestTurnsServeASurge: prompts in order are late for as long as the backlog lasts.
func TestTurnsServeASurge(t *testing.T) {
	p := surge()
	inOrder, turns := Run(p, Policy{InOrder: true}, 1), Run(p, Policy{}, 1)
	t.Logf("on time %.3f in order, %.3f with turns; missed %.3f, %.3f", inOrder.OnTime("summary"), turns.OnTime("summary"), inOrder.Missed("summary"), turns.Missed("summary"))
	if turns.OnTime("summary") < inOrder.OnTime("summary")+0.03 || turns.Missed("summary") > inOrder.Missed("summary")+0.01 {
		t.Error("turns bring nothing")
	}
}

// TestLearnedTimesServeAsKnownOnes has engines four times as fast as the prior says.
func TestLearnedTimesServeAsKnownOnes(t *testing.T) {
	p := surge()
	learned, exact := Run(p, Policy{}, 1), Run(p, Policy{KnownTimes: true}, 1)
	t.Logf("credit %.3f learned, %.3f exact", learned.Credit(), exact.Credit())
	if learned.Credit() < exact.Credit()-0.04 {
		t.Error("what is learned serves less")
	}
}

// TestShortPromptsLeaveDecodeEnginesRoom: with 13 of 18 in prefill, prompts took all
// of the time of the decode engines that were left, and prefill engines idled: 0.88 of
// the checks were missed.
func TestShortPromptsLeaveDecodeEnginesRoom(t *testing.T) {
	p := shortPrompts()
	p.Length = 14 * time.Second
	for _, prefill := range []int{11, 13} {
		r := Run(p, Policy{Prefill: prefill}, 1)
		t.Logf("%d of 18 in prefill: checks %.3f on time, %.3f missed; audits %.3f, %.3f", prefill, r.OnTime("check"), r.Missed("check"), r.OnTime("audit"), r.Missed("audit"))
		if r.Missed("check") > 0.2 || r.Missed("audit") > 0.02 {
			t.Errorf("%d of 18 in prefill: requests are missed", prefill)
		}
	}
}

// TestTheBestSplitLiesBetween: few engines in prefill leave prompts late, many leave
// answers without slots.
func TestTheBestSplitLiesBetween(t *testing.T) {
	p := alternating()
	p.Length = 22 * time.Second
	credit := map[int]float64{}
	for _, prefill := range []int{10, 13, 16} {
		credit[prefill] = Run(p, Policy{Prefill: prefill}, 1).Credit()
	}
	t.Logf("%v", credit)
	if credit[13] < credit[10] || credit[13] < credit[16] {
		t.Errorf("%v", credit)
	}
}

// TestLostEnginesComeBack: a quarter of the engines are gone for two seconds.
func TestLostEnginesComeBack(t *testing.T) {
	p := surge()
	p.Class[0].Bursts = nil
	p.Outages = []Outage{{At: 4 * time.Second, Duration: 2 * time.Second, Engines: 4}}
	p.Length = 12 * time.Second
	r := Run(p, Policy{}, 1)
	t.Logf("missed %.3f, %.3f; %d orders, %d refused", r.Missed("summary"), r.Missed("question"), r.Orders, r.Refused)
	if r.Missed("summary") > 0.05 || r.Missed("question") > 0.15 {
		t.Error("more is missed than what ran on the lost engines")
	}
}

// TestPopularPartsShift: what is popular is something else every four seconds.
func TestPopularPartsShift(t *testing.T) {
	p := surge()
	p.Class[0].Bursts, p.Class[0].Skew, p.Class[0].Shift = nil, 1, 4*time.Second
	p.Length = 10 * time.Second
	r := Run(p, Policy{}, 1)
	t.Logf("on time %.3f, missed %.3f", r.OnTime("summary"), r.Missed("summary"))
	if r.OnTime("summary") < 0.7 || r.Missed("summary") > 0.01 {
		t.Error("the new parts are not served")
	}
}
