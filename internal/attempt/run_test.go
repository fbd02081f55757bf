package attempt

import (
	"context"
	"testing"
	"time"

	"pgregory.net/rapid"

	"sassafrasfield/internal/outcome"
	"sassafrasfield/internal/retry"
)

// scripted plays endings in turn.
type scripted struct {
	tries   *Attempts
	endings []Status
	unsent  bool
	made    int
}

func (s *scripted) Started() bool { return false }

func (s *scripted) Try(context.Context) Result {
	ending := s.endings[s.made]
	s.made++
	switch ending {
	case NotReady:
		s.tries.Prepared()
	case Refused, Lost:
		_ = s.tries.Sent() // Run asks for no more than the rules allow
	}
	return Result{Status: ending, Upstream: "u", Unsent: s.unsent, Err: errFailed}
}

func clock() time.Duration { return 0 }

func run(rules Rules, endings ...Status) (*scripted, Result, Verdict) {
	budget := saved(100)
	s := &scripted{tries: New(rules), endings: endings}
	result, verdict := s.tries.Run(context.Background(), budget, clock, s)
	return s, result, verdict
}

func TestRunGoesOnUntilTheRequestIsOver(t *testing.T) {
	s, result, verdict := run(Rules{Repeatable: true, MaxSends: 9}, NotReady, Refused, Lost, Done)
	if s.made != 4 || result.Status != Done || verdict != Proceed || s.tries.Runs() != 1 || s.tries.Sends() != 3 {
		t.Errorf("%d made, %+v, verdict %v, %d runs", s.made, result, verdict, s.tries.Runs())
	}
	s, result, _ = run(Rules{Repeatable: true, MaxSends: 9}, Refused, NoUpstream)
	if s.made != 2 || result.Status != NoUpstream || s.tries.Outcome() != outcome.NotRun || s.tries.LastError() == nil {
		t.Errorf("%d made, %+v, word %v", s.made, result, s.tries.Outcome())
	}
}

// TestRunNeverRepeatsWhatMayNotBe plays any endings: after one that may have run
// there is no other attempt, and the word follows.
func TestRunNeverRepeatsWhatMayNotBe(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		endings := rapid.SliceOfN(rapid.SampledFrom([]Status{NotReady, Refused, Lost}), 6, 6).Draw(t, "endings")
		s, _, verdict := run(Rules{MaxSends: 5}, endings...)
		lost := 0
		for _, e := range endings[:s.made] {
			if e == Lost {
				lost++
			}
		}
		if lost > 1 || lost == 1 && endings[s.made-1] != Lost || verdict != Exhausted {
			t.Fatalf("%v: %d made, verdict %v", endings, s.made, verdict)
		}
		if (lost == 0) != (s.tries.Outcome() == outcome.NotRun) {
			t.Fatalf("%v: word %v", endings[:s.made], s.tries.Outcome())
		}
	})
}

// TestARunGoesOnOnceWhereItsCopyIs: a request that may not run again is sent to
// the copy of its run, and nowhere else.
func TestARunGoesOnOnceWhereItsCopyIs(t *testing.T) {
	a := New(Rules{MaxSends: 5})
	if err := a.Sent(); err != nil {
		t.Fatal(err)
	}
	a.SetBackup("copy")
	a.Failed("first", false, errFailed)
	if !a.MaySend() || a.Backup() != "copy" {
		t.Fatalf("more: %t, copy at %q", a.MaySend(), a.Backup())
	}
	if err := a.Sent(); err != nil {
		t.Fatal(err)
	}
	a.Failed("copy", true, errFailed) // it had none
	if a.MaySend() || a.Outcome() != outcome.Unknown {
		t.Errorf("more: %t, word %v", a.MaySend(), a.Outcome())
	}
}

// TestWhatWasNotSentTakesNoBudget: a crash of several engines used up the budget
// on connections that were refused, and requests whose prompts were processed were
// given up.
func TestWhatWasNotSentTakesNoBudget(t *testing.T) {
	for _, unsent := range []bool{true, false} {
		for _, ending := range []Status{Refused, NotReady} {
			s := &scripted{tries: New(Rules{MaxSends: 5}), endings: []Status{ending, ending, Done}, unsent: unsent}
			empty := NewBudget(retry.Rules{Max: 1}, retry.Backoff{}, meters, nil, 0)
			result, verdict := s.tries.Run(context.Background(), empty, clock, s)
			if unsent != (result.Status == Done) || unsent == (verdict == Denied) {
				t.Errorf("unsent %t, ending %v: %+v, verdict %v", unsent, ending, result, verdict)
			}
		}
	}
}

// TestUpstreamsThatCannotBeReachedDoNotEndARequest. Pattern: a fifth of the engines
// crash at once. Grounds: 33 requests on a day of 195 instances were given up after
// four connections in a row that were refused within some milliseconds, though other
// engines took requests.
func TestUpstreamsThatCannotBeReachedDoNotEndARequest(t *testing.T) {
	unreachable := []Status{Refused, Refused, Refused, Refused, Refused, Done}
	s := &scripted{tries: New(Rules{MaxSends: 4}), endings: unreachable, unsent: true}
	result, _ := s.tries.Run(context.Background(), saved(100), clock, s)
	if result.Status != Done || s.made != len(unreachable) {
		t.Errorf("%+v after %d attempts", result, s.made)
	}
	var all []Status
	for range 2 * maxUnsent {
		all = append(all, NotReady)
	}
	s = &scripted{tries: New(Rules{MaxSends: 4}), endings: all, unsent: true}
	if _, verdict := s.tries.Run(context.Background(), saved(100), clock, s); verdict != Exhausted || s.made != maxUnsent {
		t.Errorf("verdict %v after %d attempts, want an end after %d", verdict, s.made, maxUnsent)
	}
}

// TestWhatUpstreamsDeclineNeitherWaitsNorCosts: there may be more of them than of sends that
// could not be made, and the next one is asked at once.
func TestWhatUpstreamsDeclineNeitherWaitsNorCosts(t *testing.T) {
	const declined = 3 * maxUnsent
	s := &declining{left: declined}
	s.tries = New(Rules{MaxSends: 1})
	budget := NewBudget(retry.Rules{}, retry.Backoff{Base: time.Hour, Max: time.Hour}, meters, nil, 0)
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	result, _ := s.tries.Run(ctx, budget, clock, s)
	if result.Status != Done || s.left != 0 || s.tries.Outcome() == outcome.NotRun {
		t.Errorf("%+v, %d left, word %v", result, s.left, s.tries.Outcome())
	}
}

// declining has so many upstreams decline, and the next one answer.
type declining struct {
	tries *Attempts
	left  int
}

func (d *declining) Started() bool { return false }

func (d *declining) Try(context.Context) Result {
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
