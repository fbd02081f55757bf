package upstreamstate

import (
	"fmt"
	"testing"
	"time"
)

// TestOverlappingBackoffsLastUntilLatestEnd guards against a shorter backoff, or an answer without
// one, that ends a longer backoff, and against a backoff that is kept after a restart.
func TestOverlappingBackoffsLastUntilLatestEnd(t *testing.T) {
	s := newTestState()
	u := s.Upstreams("app")[0]
	for _, c := range []struct {
		at, backoff, left time.Duration
		extended          bool
	}{
		{0, 3 * time.Second, 3 * time.Second, true},
		{time.Second, time.Second, 2 * time.Second, false},
		{time.Second, 0, 2 * time.Second, false},
		{2 * time.Second, 3 * time.Second, 3 * time.Second, true},
		{5 * time.Second, 0, 0, false},
		{6 * time.Second, time.Hour, time.Hour, true},
	} {
		if extended := s.BackOff(u, c.backoff, c.at); extended != c.extended {
			t.Errorf("at %s, backoff of %s: extended %t", c.at, c.backoff, extended)
		}
		if left := s.BackoffLeft(u.Incarnation(), c.at); left != c.left {
			t.Errorf("at %s, backoff of %s: %s left, want %s", c.at, c.backoff, left, c.left)
		}
	}
	restarted := u
	restarted.StartedAt = 7
	s.UpdateUpstream(restarted)
	s.BackOff(u, time.Hour, 6*time.Second)
	if left := s.BackoffLeft(restarted.Incarnation(), 6*time.Second); left > 0 {
		t.Errorf("the new incarnation backs off for %s", left)
	}
}

// TestUpstreamReturnsGraduallyAfterBackoff guards against a burst of requests at the end of a
// backoff. It also guards against an upstream that stays idle after a backoff shorter than the
// ejection for a refusal.
func TestUpstreamReturnsGraduallyAfterBackoff(t *testing.T) {
	s := newTestState()
	u := s.Upstreams("app")[0]
	const backoff = 300 * time.Millisecond
	s.BackOff(u, backoff, 0)
	for i := range 20 {
		if to, _ := s.PickServiceUpstream(PlacementRequest{ID: fmt.Sprint("a", i), Service: "app"}, backoff-1); to.ID == u.ID {
			t.Fatal("chosen during its backoff")
		}
	}
	chosen := 0
	for i := range 20 {
		if to, _ := s.PickServiceUpstream(PlacementRequest{ID: fmt.Sprint("b", i), Service: "app"}, backoff); to.ID == u.ID {
			chosen++
		}
	}
	if chosen != 1 {
		t.Errorf("%d of 20 requests went to it at the end of its backoff, want one", chosen)
	}
	if ended := s.EndedBackoffs(backoff); len(ended) != 1 || ended[0] != u.ID {
		t.Errorf("ended backoffs: %v, want only the upstream's", ended)
	}
}
