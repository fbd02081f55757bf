package upstreamstate

import (
	"fmt"
	"testing"
	"time"
)

// TestRestsThatOverlapLastUntilTheLastEnds guards against a shorter word, or one of no rest, that
// ends a longer one, and against a rest that is kept for a new start.
func TestRestsThatOverlapLastUntilTheLastEnds(t *testing.T) {
	p := newPicture()
	u := p.Upstreams("app")[0]
	for _, c := range []struct {
		at, rest, left time.Duration
		longer         bool
	}{
		{0, 3 * time.Second, 3 * time.Second, true},
		{time.Second, time.Second, 2 * time.Second, false},
		{time.Second, 0, 2 * time.Second, false},
		{2 * time.Second, 3 * time.Second, 3 * time.Second, true},
		{5 * time.Second, 0, 0, false},
		{6 * time.Second, time.Hour, time.Hour, true},
	} {
		if longer := p.BackOff(u, c.rest, c.at); longer != c.longer {
			t.Errorf("at %s, asked for %s: longer %t", c.at, c.rest, longer)
		}
		if left := p.BackoffLeft(u.Incarnation(), c.at); left != c.left {
			t.Errorf("at %s, asked for %s: %s left, want %s", c.at, c.rest, left, c.left)
		}
	}
	again := u
	again.StartedAt = 7
	p.UpdateUpstream(again)
	p.BackOff(u, time.Hour, 6*time.Second)
	if left := p.BackoffLeft(again.Incarnation(), 6*time.Second); left > 0 {
		t.Errorf("its new start rests for %s", left)
	}
}

// TestAnUpstreamComesBackFromRestGradually guards against all requests at once at its end, and
// against an upstream without work though its rest was shorter than what a refusal costs.
func TestAnUpstreamComesBackFromRestGradually(t *testing.T) {
	p := newPicture()
	u := p.Upstreams("app")[0]
	const rest = 300 * time.Millisecond
	p.BackOff(u, rest, 0)
	for i := range 20 {
		if to, _ := p.PickServiceUpstream(PlacementRequest{ID: fmt.Sprint("a", i), Service: "app"}, rest-1); to.ID == u.ID {
			t.Fatal("chosen while it rests")
		}
	}
	chosen := 0
	for i := range 20 {
		if to, _ := p.PickServiceUpstream(PlacementRequest{ID: fmt.Sprint("b", i), Service: "app"}, rest); to.ID == u.ID {
			chosen++
		}
	}
	if chosen != 1 {
		t.Errorf("%d of 20 requests went to it at the end of its rest, want one", chosen)
	}
	if over := p.EndedBackoffs(rest); len(over) != 1 || over[0] != u.ID {
		t.Errorf("its end is not told: %v", over)
	}
}
