package attempt

import (
	"context"
	"testing"
	"time"

	"pgregory.net/rapid"

	"sassafrasfield/internal/outcome"
	"sassafrasfield/internal/retry"
)

// scriptedCall is a Call whose attempts end with the given statuses in order.
type scriptedCall struct {
	tries    *Attempts
	statuses []Status
	unsent   bool
	made     int
}

func (s *scriptedCall) Started() bool { return false }

func (s *scriptedCall) Try(context.Context) Result {
	status := s.statuses[s.made]
	s.made++
	switch status {
	case NotReady:
		s.tries.Prepared()
	case Refused, Lost:
		_ = s.tries.Sent() // cannot fail: Run makes no more attempts than the rules allow
	}
	return Result{Status: status, Upstream: "u", Unsent: s.unsent, Err: errFailed}
}

func clock() time.Duration { return 0 }

func run(rules Rules, statuses ...Status) (*scriptedCall, Result, Verdict) {
	budget := budgetWith(100)
	s := &scriptedCall{tries: New(rules), statuses: statuses}
	result, verdict := s.tries.Run(context.Background(), budget, clock, s)
	return s, result, verdict
}

func TestRunRetriesUntilDone(t *testing.T) {
	s, result, verdict := run(Rules{Repeatable: true, MaxSends: 9}, NotReady, Refused, Lost, Done)
	if s.made != 4 || result.Status != Done || verdict != Proceed || s.tries.Runs() != 1 || s.tries.Sends() != 3 {
		t.Errorf("%d attempts, %+v, verdict %v, %d runs", s.made, result, verdict, s.tries.Runs())
	}
	s, result, _ = run(Rules{Repeatable: true, MaxSends: 9}, Refused, NoUpstream)
	if s.made != 2 || result.Status != NoUpstream || s.tries.Outcome() != outcome.NotRun || s.tries.LastError() == nil {
		t.Errorf("%d attempts, %+v, outcome %v", s.made, result, s.tries.Outcome())
	}
}

// TestRunNeverRepeatsNonRepeatableRequest checks, for random statuses, that no attempt
// follows one that may have run, and that the outcome matches.
func TestRunNeverRepeatsNonRepeatableRequest(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		statuses := rapid.SliceOfN(rapid.SampledFrom([]Status{NotReady, Refused, Lost}), 6, 6).Draw(t, "endings")
		s, _, verdict := run(Rules{MaxSends: 5}, statuses...)
		lost := 0
		for _, status := range statuses[:s.made] {
			if status == Lost {
				lost++
			}
		}
		if lost > 1 || lost == 1 && statuses[s.made-1] != Lost || verdict != Exhausted {
			t.Fatalf("statuses %v: %d attempts, verdict %v", statuses, s.made, verdict)
		}
		if (lost == 0) != (s.tries.Outcome() == outcome.NotRun) {
			t.Fatalf("statuses %v: outcome %v", statuses[:s.made], s.tries.Outcome())
		}
	})
}

// TestLostRunContinuesOnceAtItsBackup checks that a request that is not repeatable is
// sent once to the upstream that has a copy of its lost run, and nowhere else.
func TestLostRunContinuesOnceAtItsBackup(t *testing.T) {
	a := New(Rules{MaxSends: 5})
	if err := a.Sent(); err != nil {
		t.Fatal(err)
	}
	a.SetBackup("copy")
	a.Failed("first", false, errFailed)
	if !a.MaySend() || a.Backup() != "copy" {
		t.Fatalf("after the run was lost: may send %t, backup %q", a.MaySend(), a.Backup())
	}
	if err := a.Sent(); err != nil {
		t.Fatal(err)
	}
	a.Failed("copy", true, errFailed) // the backup had no copy
	if a.MaySend() || a.Outcome() != outcome.Unknown {
		t.Errorf("after the backup refused: may send %t, outcome %v", a.MaySend(), a.Outcome())
	}
}

// TestUnsentAttemptsUseNoBudget guards against retry budgets that are exhausted by
// refused connections. When several engines crashed, these used up the budget, and
// requests whose prompts had already been processed were abandoned.
func TestUnsentAttemptsUseNoBudget(t *testing.T) {
	for _, unsent := range []bool{true, false} {
		for _, status := range []Status{Refused, NotReady} {
			s := &scriptedCall{tries: New(Rules{MaxSends: 5}), statuses: []Status{status, status, Done}, unsent: unsent}
			empty := NewBudget(retry.Rules{Max: 1}, retry.Backoff{}, meters, nil, 0)
			result, verdict := s.tries.Run(context.Background(), empty, clock, s)
			if unsent != (result.Status == Done) || unsent == (verdict == Denied) {
				t.Errorf("unsent %t, status %v: %+v, verdict %v", unsent, status, result, verdict)
			}
		}
	}
}

// TestUnreachableUpstreamsDoNotEndARequest guards against requests that are abandoned
// while other engines accept requests. When a fifth of the engines crashed at once,
// 33 requests in one day with 195 instances were abandoned after four connections in
// a row were refused within a few milliseconds.
func TestUnreachableUpstreamsDoNotEndARequest(t *testing.T) {
	unreachable := []Status{Refused, Refused, Refused, Refused, Refused, Done}
	s := &scriptedCall{tries: New(Rules{MaxSends: 4}), statuses: unreachable, unsent: true}
	result, _ := s.tries.Run(context.Background(), budgetWith(100), clock, s)
	if result.Status != Done || s.made != len(unreachable) {
		t.Errorf("%+v after %d attempts", result, s.made)
	}
	var all []Status
	for range 2 * maxUnsent {
		all = append(all, NotReady)
	}
	s = &scriptedCall{tries: New(Rules{MaxSends: 4}), statuses: all, unsent: true}
	if _, verdict := s.tries.Run(context.Background(), budgetWith(100), clock, s); verdict != Exhausted || s.made != maxUnsent {
		t.Errorf("verdict %v after %d attempts, want Exhausted after %d", verdict, s.made, maxUnsent)
	}
}

// TestDeclinedSendsNeitherWaitNorUseBudget checks that the next upstream is tried
// without a backoff, and that declined sends do not count towards maxUnsent.
func TestDeclinedSendsNeitherWaitNorUseBudget(t *testing.T) {
	const declined = 3 * maxUnsent
	s := &decliningCall{left: declined}
	s.tries = New(Rules{MaxSends: 1})
	budget := NewBudget(retry.Rules{}, retry.Backoff{Base: time.Hour, Max: time.Hour}, meters, nil, 0)
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	result, _ := s.tries.Run(ctx, budget, clock, s)
	if result.Status != Done || s.left != 0 || s.tries.Outcome() == outcome.NotRun {
		t.Errorf("%+v, %d upstreams not tried, outcome %v", result, s.left, s.tries.Outcome())
	}
}

// decliningCall is a Call whose next upstreams decline, as many as left; the one
// after them responds.
type decliningCall struct {
	tries *Attempts
	left  int
}

func (d *decliningCall) Started() bool { return false }

func (d *decliningCall) Try(context.Context) Result {
	if err := d.tries.Sent(); err != nil {
		return Result{Status: NoUpstream, Err: err}
	}
	if d.left == 0 {
		d.tries.Answered()
		return Result{Status: Done}
	}
	d.left--
	return Result{Status: Refused, Unsent: true, Declined: true, Upstream: "u", Err: errFailed}
}

// TestRunWithoutAnAttemptIsNotDone guards against a request whose time is over before its first attempt, or that may not be
// sent, and that counts as answered.
func TestRunWithoutAnAttemptIsNotDone(t *testing.T) {
	over, cancel := context.WithCancel(context.Background())
	cancel()
	for name, c := range map[string]struct {
		ctx   context.Context
		rules Rules
	}{
		"time is over":         {over, Rules{MaxSends: 9}},
		"no sends are allowed": {context.Background(), Rules{}},
	} {
		s := &scriptedCall{tries: New(c.rules), statuses: []Status{Done}}
		result, verdict := s.tries.Run(c.ctx, budgetWith(100), clock, s)
		if s.made != 0 || result.Status == Done || verdict != Exhausted || s.tries.Outcome() != outcome.NotRun {
			t.Errorf("%s: %d attempts, %+v, verdict %v, outcome %v", name, s.made, result, verdict, s.tries.Outcome())
		}
	}
}
