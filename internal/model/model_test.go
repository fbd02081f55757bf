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

// In the order of arrival, prompts are late for as long as a surge's backlog lasts.
func TestDeferringPromptsServesASurge(t *testing.T) {
	p := surge()
	inOrder, deferring := Run(p, Policy{InOrder: true}, 1), Run(p, Policy{}, 1)
	t.Logf("on time %.3f in order, %.3f with deferral; missed %.3f, %.3f", inOrder.OnTime("summary"), deferring.OnTime("summary"), inOrder.Missed("summary"), deferring.Missed("summary"))
	if deferring.OnTime("summary") < inOrder.OnTime("summary")+0.03 || deferring.Missed("summary") > inOrder.Missed("summary")+0.01 {
		t.Error("deferring prompts does not improve the results")
	}
}

// The engines are four times as fast as the prior says.
func TestLearnedTimesPerformLikeKnownTimes(t *testing.T) {
	p := surge()
	learned, exact := Run(p, Policy{}, 1), Run(p, Policy{KnownTimes: true}, 1)
	t.Logf("credit %.3f learned, %.3f exact", learned.Credit(), exact.Credit())
	if learned.Credit() < exact.Credit()-0.04 {
		t.Error("learned times give a lower credit than exact ones")
	}
}

// Guards against an overloaded decode side: with 13 of 18 engines in prefill, prompts took all the time of
// the remaining decode engines while prefill engines idled, and 0.88 of the checks were missed.
func TestShortPromptsLeaveCapacityOnDecodeEngines(t *testing.T) {
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

// Too few prefill engines make prompts late; too many leave answers without slots.
func TestBestSplitIsBetweenTheExtremes(t *testing.T) {
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

// About a quarter of the engines are down for two seconds.
func TestCrashedEnginesReturn(t *testing.T) {
	p := surge()
	p.Class[0].Bursts = nil
	p.Outages = []Outage{{At: 4 * time.Second, Duration: 2 * time.Second, Engines: 4}}
	p.Length = 12 * time.Second
	r := Run(p, Policy{}, 1)
	t.Logf("missed %.3f, %.3f; %d orders, %d refused", r.Missed("summary"), r.Missed("question"), r.Orders, r.Refused)
	if r.Missed("summary") > 0.05 || r.Missed("question") > 0.15 {
		t.Error("more requests are missed than ran on the lost engines")
	}
}

// Other shared parts become popular every four seconds.
func TestPopularPartsChange(t *testing.T) {
	p := surge()
	p.Class[0].Bursts, p.Class[0].Skew, p.Class[0].Shift = nil, 1, 4*time.Second
	p.Length = 10 * time.Second
	r := Run(p, Policy{}, 1)
	t.Logf("on time %.3f, missed %.3f", r.OnTime("summary"), r.Missed("summary"))
	if r.OnTime("summary") < 0.7 || r.Missed("summary") > 0.01 {
		t.Error("requests are late or missed after the popular parts change")
	}
}
