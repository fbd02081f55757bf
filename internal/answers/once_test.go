package answers

import (
	"context"
	"fmt"
	"net/http"
	"syscall"
	"testing"

	"sassafrasfield/internal/callerapi"
	"sassafrasfield/internal/idempotency"
	"sassafrasfield/internal/testservers"
)

// TestKilledBetweenClaimAndAnswer kills the entry at each step between claim
// and answer in turn. Repeats on the other instances never run the call twice,
// and what they are told is true.
func TestKilledBetweenClaimAndAnswer(t *testing.T) {
	t.Parallel()
	f := newFixture(t, size{instances: 3, engines: 1, services: 2})
	steps := []struct {
		point  string
		status int // of each repeat
		runs   int // -1: one at most
	}{
		{idempotency.PointBeforeClaim, http.StatusOK, 1},
		{idempotency.PointClaimed, http.StatusConflict, 0},
		{idempotency.PointSent, http.StatusConflict, -1},
		{idempotency.PointAnswered, http.StatusConflict, 1},
		{idempotency.PointStored, http.StatusOK, 1},
	}
	victim := f.Instances[0]
	for n, step := range steps {
		f.restartEntry(victim, step.point+"=kill")
		key, lot := fmt.Sprintf("certificate-%d", n), fmt.Sprintf("lot %d", n)
		if first := f.issue(victim.EntryAddress, key, lot); first.Status != 0 {
			t.Fatalf("%s: the entry outlived its point: %+v", step.point, first)
		}
		<-victim.Entry.Done()
		var kept string
		for _, i := range append(f.Instances[1:], f.Instances[1:]...) {
			repeat := f.issue(i.EntryAddress, key, lot)
			if repeat.Status != step.status {
				t.Errorf("%s: a repeat on %s was told %+v", step.point, i.ID, repeat)
			}
			if repeat.Status != http.StatusOK && (repeat.Outcome != callerapi.OutcomeUnknown || repeat.RetryAfter == "") {
				t.Errorf("%s: told %+v, want unknown and when to come back", step.point, repeat)
			}
			if repeat.Status == http.StatusOK && kept != "" && repeat.Body != kept {
				t.Errorf("%s: answers %q and %q", step.point, kept, repeat.Body)
			}
			kept = repeat.Body
		}
		runs := f.runs(lot)
		if runs > 1 || step.runs >= 0 && runs != step.runs {
			t.Errorf("%s: %d runs, want %d", step.point, runs, step.runs)
		}
	}
}

// TestFrozenWithAClaim freezes the entry that holds a claim until the others
// have settled it as unknown. It wakes up and still believes in its claim. By
// where exactly it froze, the call has run, runs now, or is given up; there is
// one run at most, and the word is true in each case.
func TestFrozenWithAClaim(t *testing.T) {
	t.Parallel()
	f := newFixture(t, size{
		instances: 2, engines: 1, services: 1,
		entryTables: "[engine]\ntimeout = \"500ms\"\n[claims]\nkeep_timeout = \"500ms\"\nsettle_after = \"1s\"\n",
	})
	frozen, other := f.Instances[0], f.Instances[1].EntryAddress
	f.restartEntry(frozen, idempotency.PointClaimed+"=stop")
	first := make(chan told, 1)
	go func() { first <- f.issue(frozen.EntryAddress, "k", "lot") }()
	f.until("the key is claimed", func() bool { return f.claimCount() == 1 })
	f.until("the claim is settled", func() bool { return f.issue(other, "k", "lot").Status != http.StatusConflict })
	frozen.Entry.Signal(syscall.SIGCONT)
	answer := <-first
	var repeat told
	f.until("the outcome is kept", func() bool {
		repeat = f.issue(other, "k", "lot")
		return repeat.Status != http.StatusConflict
	})
	runs := f.runs("lot")
	held := answer.Status == http.StatusOK && repeat.Body == answer.Body && runs == 1 ||
		// Settled as unknown while the first slept; its own answer was not kept.
		answer.Status == http.StatusOK && repeat.Outcome == callerapi.OutcomeUnknown && runs == 1 ||
		answer.Outcome == callerapi.OutcomeNotRun && repeat.Status == http.StatusOK && runs == 1 ||
		answer.Outcome == callerapi.OutcomeUnknown && repeat.Outcome == callerapi.OutcomeUnknown && runs <= 1
	if !held {
		t.Errorf("told %+v and %+v, %d runs", answer, repeat, runs)
	}
}

// TestLostReplyOfEachWrite loses the table's reply to the claim and to the
// keeping of the answer.
func TestLostReplyOfEachWrite(t *testing.T) {
	t.Parallel()
	f := newFixture(t, size{instances: 2, engines: 1, services: 1})
	for lost := 1; lost <= 3; lost++ {
		key := fmt.Sprintf("lost-%d", lost)
		f.platformFault(testservers.PlatformFaults{LoseReplies: lost, LosePrefix: idempotency.Prefix, StaleReadMs: 100})
		first := f.issue(f.Instances[0].EntryAddress, key, key)
		f.platformFault(testservers.PlatformFaults{})
		var repeat told
		f.until("the answer is kept", func() bool {
			repeat = f.issue(f.Instances[1].EntryAddress, key, key)
			return repeat.Status != http.StatusConflict
		})
		if first.Status != http.StatusOK || repeat.Body != first.Body || f.runs(key) != 1 {
			t.Errorf("%d lost: told %+v and %+v, %d runs", lost, first, repeat, f.runs(key))
		}
	}
}

// TestTableOutage refuses keyed calls at once, truly not run, and takes them
// after the outage. Calls without a key go on.
func TestTableOutage(t *testing.T) {
	t.Parallel()
	f := newFixture(t, size{instances: 2, engines: 1, services: 1})
	entry := f.Instances[0].EntryAddress
	for name, faults := range map[string]testservers.PlatformFaults{"down": {Down: true}, "stalled": {Stall: true}} {
		f.platformFault(faults)
		refused := f.issue(entry, name, name)
		if refused.Status != http.StatusServiceUnavailable || refused.Outcome != callerapi.OutcomeNotRun || refused.RetryAfter == "" {
			t.Errorf("%s: told %+v", name, refused)
		}
		if runs := f.runs(name); runs != 0 {
			t.Errorf("%s: told not run after %d runs", name, runs)
		}
		if keyless := f.issue(entry, "", name+" keyless"); keyless.Status != http.StatusOK {
			t.Errorf("%s: without a key told %+v", name, keyless)
		}
		f.platformFault(testservers.PlatformFaults{})
		f.until("the key runs after the outage", func() bool {
			return f.issue(f.Instances[1].EntryAddress, name, name).Status == http.StatusOK
		})
		if runs := f.runs(name); runs != 1 {
			t.Errorf("%s: %d runs", name, runs)
		}
	}
}

// TestUpstreamDiesMidCall: the truth is "unknown", with a key and without one,
// and no other upstream is tried.
func TestUpstreamDiesMidCall(t *testing.T) {
	t.Parallel()
	f := newFixture(t, size{instances: 2, engines: 1, services: 2})
	for _, key := range []string{"", "k1"} {
		f.serviceFault(0, testservers.ServiceFaults{LoseReplies: 1})
		f.serviceFault(1, testservers.ServiceFaults{LoseReplies: 1})
		lot := "lot of key " + key
		first := f.issue(f.Instances[0].EntryAddress, key, lot)
		if first.Status != http.StatusBadGateway || first.Outcome != callerapi.OutcomeUnknown {
			t.Errorf("key %q: told %+v", key, first)
		}
		if key != "" {
			if repeat := f.issue(f.Instances[1].EntryAddress, key, lot); repeat.Outcome != callerapi.OutcomeUnknown {
				t.Errorf("the repeat was told %+v", repeat)
			}
		}
		if runs := f.runs(lot); runs != 1 {
			t.Errorf("key %q: %d runs", key, runs)
		}
	}
}

// TestRefusingUpstream: a call goes on to another upstream while nothing of it
// ran, with a key and without one, and is else told "not run" and leaves its
// key free.
func TestRefusingUpstream(t *testing.T) {
	t.Parallel()
	f := newFixture(t, size{instances: 1, engines: 1, services: 2})
	entry := f.Instances[0].EntryAddress
	f.serviceFault(0, testservers.ServiceFaults{Refuse: true})
	f.Services[1].Process.Signal(syscall.SIGKILL)
	<-f.Services[1].Process.Done()
	for _, key := range []string{"", "k1"} {
		refused := f.issue(entry, key, "lot")
		if refused.Status != http.StatusServiceUnavailable || refused.Outcome != callerapi.OutcomeNotRun {
			t.Errorf("key %q: told %+v", key, refused)
		}
	}
	f.Services = f.Services[:1]
	f.serviceFault(0, testservers.ServiceFaults{})
	for _, key := range []string{"", "k1"} {
		for range 4 { // the dead upstream is met before or after
			f.until("the call runs", func() bool {
				answer := f.issue(entry, key, "lot")
				if answer.Status != http.StatusOK && answer.Outcome != callerapi.OutcomeNotRun {
					t.Fatalf("key %q: told %+v", key, answer)
				}
				return answer.Status == http.StatusOK // the refusing one was ejected for a while
			})
		}
	}
	if runs := f.runs("lot"); runs != 5 {
		t.Errorf("%d runs, want 4 without a key and 1 with it", runs)
	}
}

// TestOutageWhileTheCallRuns takes the table away between the claim and the
// keeping of the answer: the caller has its answer at once, and a repeat after
// the outage the same one.
func TestOutageWhileTheCallRuns(t *testing.T) {
	t.Parallel()
	f := newFixture(t, size{instances: 2, engines: 1, services: 1})
	f.serviceFault(0, testservers.ServiceFaults{DelayMs: 300})
	for name, faults := range map[string]testservers.PlatformFaults{"down": {Down: true}, "stalled": {Stall: true}} {
		first := make(chan told, 1)
		go func() { first <- f.issue(f.Instances[0].EntryAddress, name, name) }()
		f.until("the call runs", func() bool { return f.runs(name) == 1 })
		f.platformFault(faults)
		answer := <-first
		f.platformFault(testservers.PlatformFaults{})
		var repeat told
		f.until("the answer is kept", func() bool {
			repeat = f.issue(f.Instances[1].EntryAddress, name, name)
			return repeat.Status != http.StatusConflict
		})
		if answer.Status != http.StatusOK || repeat.Body != answer.Body || f.runs(name) != 1 {
			t.Errorf("%s: told %+v and %+v, %d runs", name, answer, repeat, f.runs(name))
		}
	}
}

// TestCallerLeavesItsCall: the call goes on, and the caller finds its answer
// when it comes back.
func TestCallerLeavesItsCall(t *testing.T) {
	t.Parallel()
	f := newFixture(t, size{instances: 2, engines: 1, services: 1})
	f.serviceFault(0, testservers.ServiceFaults{DelayMs: 300})
	ctx, leave := context.WithCancel(f.ctx)
	go func() {
		header := http.Header{callerapi.HeaderIdempotencyKey: []string{"k"}}
		_, _ = f.caller.Post(ctx, f.Instances[0].EntryAddress, certificate, header, []byte("lot")) // it leaves
	}()
	f.until("the call runs", func() bool { return f.runs("lot") == 1 })
	leave()
	f.until("the answer is kept", func() bool {
		repeat := f.issue(f.Instances[1].EntryAddress, "k", "lot")
		if repeat.Status != http.StatusOK && repeat.Status != http.StatusConflict {
			t.Fatalf("told %+v", repeat)
		}
		return repeat.Status == http.StatusOK
	})
	if runs := f.runs("lot"); runs != 1 {
		t.Errorf("%d runs", runs)
	}
}
