package attempt

import (
	"context"
	"testing"
	"time"

	"github.com/pkg/errors"
	"github.com/rcrowley/go-metrics"
	"pgregory.net/rapid"

	"sassafrasfield/internal/outcome"
	"sassafrasfield/internal/retry"
)

var errFailed = errors.New("failed")

var meters = Meters{Retries: metrics.NewCounter(), Denied: metrics.NewCounter()}

func TestNonRepeatableRequestRunsOnce(t *testing.T) {
	a := New(Rules{MaxRuns: 3, MaxSends: 5})
	for _, ranNothing := range []bool{true, true, false} {
		if !a.MaySend() {
			t.Fatal("no further send is allowed although nothing ran")
		}
		if err := a.Sent(); err != nil {
			t.Fatal(err)
		}
		a.Failed("u", ranNothing, errFailed)
	}
	if a.MaySend() || a.Sent() == nil || a.Outcome() != outcome.Unknown {
		t.Errorf("after a lost run: may send %t, outcome %v", a.MaySend(), a.Outcome())
	}
}

func TestRunsAndSendsAreBounded(t *testing.T) {
	a := New(Rules{Repeatable: true, MaxRuns: 2, MaxSends: 9})
	for range 2 {
		if !a.MaySend() {
			t.Fatal("no further send is allowed below the bound on runs")
		}
		_ = a.Sent() // cannot fail: repeatable
		a.Failed("u", false, errFailed)
	}
	if a.MaySend() {
		t.Error("a third run is allowed, want at most 2")
	}
	b := New(Rules{Repeatable: true, MaxSends: 2})
	for range 2 {
		_ = b.Sent() // cannot fail: repeatable
		b.Failed("u", true, errFailed)
	}
	if b.MaySend() || b.Outcome() != outcome.NotRun {
		t.Errorf("after 2 refused sends: may send %t, outcome %v", b.MaySend(), b.Outcome())
	}
}

// TestOutcomeMatchesWhatUpstreamsRan makes random attempts and compares the outcome
// with what the upstreams ran. It also checks the bounds on runs.
func TestOutcomeMatchesWhatUpstreamsRan(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a := New(Rules{
			Repeatable: rapid.Bool().Draw(t, "repeatable"),
			MaxRuns:    rapid.IntRange(0, 3).Draw(t, "runs"), MaxSends: rapid.IntRange(1, 5).Draw(t, "sends"),
		})
		ran := 0
		for a.MaySend() {
			if err := a.Sent(); err != nil {
				t.Fatalf("MaySend allowed a send, but Sent failed: %v", err)
			}
			ranNothing := rapid.Bool().Draw(t, "ran nothing")
			if !ranNothing {
				ran++
			}
			a.Failed("u", ranNothing, errFailed)
		}
		if (a.Outcome() == outcome.NotRun) != (ran == 0) {
			t.Fatalf("outcome %v after %d runs", a.Outcome(), ran)
		}
		if ran > 1 && !a.rules.Repeatable {
			t.Fatalf("%d runs of a request that is not repeatable", ran)
		}
		if a.rules.MaxRuns > 0 && ran > a.rules.MaxRuns {
			t.Fatalf("%d runs, at most %d allowed", ran, a.rules.MaxRuns)
		}
	})
}

// budgetWith returns a budget with the given balance of retries that is not refilled
// over time.
func budgetWith(retries float64) *Budget {
	b := NewBudget(retry.Rules{Share: retries, Max: retries}, retry.Backoff{}, meters, nil, 0)
	b.Succeeded(0)
	return b
}

func TestBudgetDeniesOnlyRetries(t *testing.T) {
	empty := NewBudget(retry.Rules{Max: 1}, retry.Backoff{}, meters, nil, 0)
	a := New(Rules{Repeatable: true, MaxSends: 5})
	if v := a.Next(context.Background(), empty, false, 0); v != Proceed {
		t.Fatalf("first send: verdict %v", v)
	}
	_ = a.Sent() // cannot fail: repeatable
	a.Failed("u", true, errFailed)
	if v := a.Next(context.Background(), empty, false, 0); v != Denied {
		t.Errorf("retry without budget: verdict %v", v)
	}
	if v := a.Next(context.Background(), empty, true, 0); v != Proceed {
		t.Errorf("retry after the response has started: verdict %v", v)
	}
}

// TestBudgetIsChargedOncePerRetry checks that a retry that is paid for in advance is not charged a
// second time, and that the one after it is charged.
func TestBudgetIsChargedOncePerRetry(t *testing.T) {
	full, a := budgetWith(1), New(Rules{Repeatable: true, MaxSends: 5})
	for retry, want := range []bool{true, false} {
		_ = a.Sent() // cannot fail: repeatable
		a.Failed("u", true, errFailed)
		for range 2 {
			if got := a.Pay(context.Background(), full, false, 0); got != want {
				t.Errorf("retry %d: paid %t, want %t", retry+1, got, want)
			}
		}
	}
}

func TestNothingIsSentAfterTheContextEnds(t *testing.T) {
	ctx, cancel := context.WithTimeout(context.Background(), time.Millisecond)
	defer cancel()
	<-ctx.Done()
	if v := New(Rules{MaxSends: 1}).Next(ctx, nil, false, 0); v != Exhausted {
		t.Errorf("verdict %v after the context ended", v)
	}
}

// grantingPool grants retries once it was asked a number of times.
type grantingPool struct{ refusals int }

func (p *grantingPool) Acquire(context.Context) bool {
	p.refusals--
	return p.refusals < 0
}

// TestStartedResponseWaitsForRetry guards against responses that break off although the budget has a
// retry a moment later, and against those that are resumed with no retry left.
func TestStartedResponseWaitsForRetry(t *testing.T) {
	for _, c := range []struct {
		refusals int
		started  bool
		want     Verdict
	}{{0, false, Proceed}, {1, false, Denied}, {2, true, Proceed}, {1000, true, Denied}} {
		b := NewBudget(retry.Rules{Max: 1}, retry.Backoff{}, meters, &grantingPool{refusals: c.refusals}, 0)
		a := New(Rules{Repeatable: true, MaxSends: 5})
		_ = a.Sent() // cannot fail: repeatable
		a.Failed("u", false, errFailed)
		if got := a.Next(context.Background(), b, c.started, 0); got != c.want {
			t.Errorf("%d refusals, started %t: verdict %v, want %v", c.refusals, c.started, got, c.want)
		}
	}
}
