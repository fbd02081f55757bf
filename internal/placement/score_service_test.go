package placement

import "testing"

// TestServiceScorerAvoidsSlowUpstreams guards against choices that ignore how slow an upstream is, and against other
// choices than before where upstreams do not say it.
func TestServiceScorerAvoidsSlowUpstreams(t *testing.T) {
	scorer := ServiceScorer{View: aggregateView}
	score := func(requests int, slowness float64) float64 {
		return scorer.Score(&Request{}, Candidate{Aggregate: AggregateLoad{Requests: requests, Slowness: slowness, Slots: 6}})
	}
	if idle, busy := score(0, 2.5), score(8, 1); idle >= busy {
		t.Errorf("an idle upstream that is slow scores %v, one with 8 requests %v", idle, busy)
	}
	if idle, busy := score(0, 2.5), score(10, 1); idle <= busy {
		t.Errorf("an idle upstream that is slow scores %v, one with 10 requests %v", idle, busy)
	}
	for requests := range 20 {
		if want := 1 / (1 + float64(requests)/batchScale); score(requests, 0) != want || score(requests, 1) != want {
			t.Errorf("%d requests, not slow: score %v, want %v", requests, score(requests, 1), want)
		}
	}
}
