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

func TestARequestThatMayNotBeRepeatedRunsOnce(t *testing.T) {
	a := New(Rules{MaxRuns: 3, MaxSends: 5})
	for _, ranNothing := range []bool{true, true, false} {
		if !a.MaySend() {
			t.Fatal("no more before it ran")
		}
		if err := a.Sent(); err != nil {
			t.Fatal(err)
		}
		a.Failed("u", ranNothing, errFailed)
	}
	if a.MaySend() || a.Sent() == nil || a.Outcome() != outcome.Unknown {
		t.Errorf("more: %t, word %v", a.MaySend(), a.Outcome())
	}
}

func TestRunsAndSendsAreBounded(t *testing.T) {
	a := New(Rules{Repeatable: true, MaxRuns: 2, MaxSends: 9})
	for range 2 {
		if !a.MaySend() {
			t.Fatal("no more")
		}
		_ = a.Sent() // repeatable
		a.Failed("u", false, errFailed)
	}
	if a.MaySend() {
		t.Error("a third run")
	}
	b := New(Rules{Repeatable: true, MaxSends: 2})
	for range 2 {
		_ = b.Sent() // repeatable
		b.Failed("u", true, errFailed)
	}
	if b.MaySend() || b.Outcome() != outcome.NotRun {
		t.Errorf("more: %t, word %v", b.MaySend(), b.Outcome())
	}
}

// TestNotRunIsTrue makes any attempts and compares the word with what upstreams
// did.
func TestNotRunIsTrue(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a := New(Rules{
			Repeatable: rapid.Bool().Draw(t, "repeatable"),
			MaxRuns:    rapid.IntRange(0, 3).Draw(t, "runs"), MaxSends: rapid.IntRange(1, 5).Draw(t, "sends"),
		})
		ran := 0
		for a.MaySend() {
			if err := a.Sent(); err != nil {
				t.Fatalf("more was allowed, and the send was not: %v", err)
			}
			nothing := rapid.Bool().Draw(t, "ran nothing")
			if !nothing {
				ran++
			}
			a.Failed("u", nothing, errFailed)
		}
		if (a.Outcome() == outcome.NotRun) != (ran == 0) {
			t.Fatalf("word %v after %d runs", a.Outcome(), ran)
		}
		if ran > 1 && !a.rules.Repeatable {
			t.Fatalf("%d runs of what may run once", ran)
		}
		if a.rules.MaxRuns > 0 && ran > a.rules.MaxRuns {
			t.Fatalf("%d runs, at most %d allowed", ran, a.rules.MaxRuns)
		}
	})
}

// saved is a budget with so many sends saved up, and no more to come.
func saved(sends float64) *Budget {
	b := NewBudget(retry.Rules{Share: sends, Max: sends}, retry.Backoff{}, meters, nil, 0)
	b.Succeeded(0)
	return b
}

func TestTheBudgetDeniesFurtherSendsAlone(t *testing.T) {
	empty := NewBudget(retry.Rules{Max: 1}, retry.Backoff{}, meters, nil, 0)
	a := New(Rules{Repeatable: true, MaxSends: 5})
	if v := a.Next(context.Background(), empty, false, 0); v != Proceed {
		t.Fatalf("the first send: %v", v)
	}
	_ = a.Sent() // repeatable
	a.Failed("u", true, errFailed)
	if v := a.Next(context.Background(), empty, false, 0); v != Denied {
		t.Errorf("the second send: %v", v)
	}
	if v := a.Next(context.Background(), empty, true, 0); v != Proceed {
		t.Errorf("an answer that has begun: %v", v)
	}
	full := saved(1)
	if !a.Prepay(context.Background(), full, 0) || a.Prepay(context.Background(), full, 0) {
		t.Error("one send was saved up")
	}
}

func TestNothingIsSentForACallerThatLeft(t *testing.T) {
	ctx, cancel := context.WithTimeout(context.Background(), time.Millisecond)
	defer cancel()
	<-ctx.Done()
	if v := New(Rules{MaxSends: 1}).Next(ctx, nil, false, 0); v != Exhausted {
		t.Errorf("%v", v)
	}
}
