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

// TestEntryKilledBetweenClaimAndAnswer kills the entry at each failpoint between claim and answer. Repeats on
// the other instances must never run the call twice, and must get the true outcome.
func TestEntryKilledBetweenClaimAndAnswer(t *testing.T) {
	t.Parallel()
	f := newFixture(t, fleetSize{instances: 3, engines: 1, services: 2})
	steps := []struct {
		point  string
		status int // of each repeat
		runs   int // -1 means at most one
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
		if first := f.issueCertificate(victim.EntryAddress, key, lot); first.Status != 0 {
			t.Fatalf("%s: the entry was not killed at the failpoint: %+v", step.point, first)
		}
		<-victim.Entry.Done()
		var storedBody string
		for _, i := range append(f.Instances[1:], f.Instances[1:]...) {
			repeat := f.issueCertificate(i.EntryAddress, key, lot)
			if repeat.Status != step.status {
				t.Errorf("%s: repeat on %s: got %+v", step.point, i.ID, repeat)
			}
			if repeat.Status != http.StatusOK && (repeat.Outcome != callerapi.OutcomeUnknown || repeat.RetryAfter == "") {
				t.Errorf("%s: got %+v, want unknown with Retry-After", step.point, repeat)
			}
			if repeat.Status == http.StatusOK && storedBody != "" && repeat.Body != storedBody {
				t.Errorf("%s: answers %q and %q", step.point, storedBody, repeat.Body)
			}
			storedBody = repeat.Body
		}
		runs := f.certificateRuns(lot)
		if runs > 1 || step.runs >= 0 && runs != step.runs {
			t.Errorf("%s: %d runs, want %d", step.point, runs, step.runs)
		}
	}
}

// TestEntryFrozenWhileHoldingAClaim freezes the entry that holds a claim until the other instance has settled
// the claim as unknown. When the entry resumes, it still assumes that it holds the claim. Depending on where
// it froze, the call has run, runs now or is abandoned. The call must run at most once, and the outcomes that
// the callers get must be true in each case.
func TestEntryFrozenWhileHoldingAClaim(t *testing.T) {
	t.Parallel()
	f := newFixture(t, fleetSize{
		instances: 2, engines: 1, services: 1,
		entryTables: "[engine]\ntimeout = \"500ms\"\n[claims]\nkeep_timeout = \"500ms\"\nsettle_after = \"1s\"\n",
	})
	frozen, other := f.Instances[0], f.Instances[1].EntryAddress
	f.restartEntry(frozen, idempotency.PointClaimed+"=stop")
	first := make(chan callResult, 1)
	go func() { first <- f.issueCertificate(frozen.EntryAddress, "k", "lot") }()
	f.waitUntil("the key is claimed", func() bool { return f.claimCount() == 1 })
	f.waitUntil("the claim is settled", func() bool { return f.issueCertificate(other, "k", "lot").Status != http.StatusConflict })
	frozen.Entry.Signal(syscall.SIGCONT)
	answer := <-first
	var repeat callResult
	f.waitUntil("the outcome is stored", func() bool {
		repeat = f.issueCertificate(other, "k", "lot")
		return repeat.Status != http.StatusConflict
	})
	runs := f.certificateRuns("lot")
	consistent := answer.Status == http.StatusOK && repeat.Body == answer.Body && runs == 1 ||
		// The claim was settled as unknown while the first entry was frozen, and its answer was not stored.
		answer.Status == http.StatusOK && repeat.Outcome == callerapi.OutcomeUnknown && runs == 1 ||
		answer.Outcome == callerapi.OutcomeNotRun && repeat.Status == http.StatusOK && runs == 1 ||
		answer.Outcome == callerapi.OutcomeUnknown && repeat.Outcome == callerapi.OutcomeUnknown && runs <= 1
	if !consistent {
		t.Errorf("got %+v, repeat got %+v, %d runs", answer, repeat, runs)
	}
}

// TestLostTableReplies loses the table's replies to the claim and to the write of the answer.
func TestLostTableReplies(t *testing.T) {
	t.Parallel()
	f := newFixture(t, fleetSize{instances: 2, engines: 1, services: 1})
	for lost := 1; lost <= 3; lost++ {
		key := fmt.Sprintf("lost-%d", lost)
		f.platformFault(testservers.PlatformFaults{LoseReplies: lost, LosePrefix: idempotency.Prefix, StaleReadMs: 100})
		first := f.issueCertificate(f.Instances[0].EntryAddress, key, key)
		f.platformFault(testservers.PlatformFaults{})
		var repeat callResult
		f.waitUntil("the answer is stored", func() bool {
			repeat = f.issueCertificate(f.Instances[1].EntryAddress, key, key)
			return repeat.Status != http.StatusConflict
		})
		if first.Status != http.StatusOK || repeat.Body != first.Body || f.certificateRuns(key) != 1 {
			t.Errorf("%d lost: got %+v, repeat got %+v, %d runs", lost, first, repeat, f.certificateRuns(key))
		}
	}
}

// TestTableOutageRefusesKeyedCalls checks that keyed calls are refused as not run while the table fails, that
// they have indeed not run, and that they are accepted after the outage. Calls without a key must succeed
// during the outage.
func TestTableOutageRefusesKeyedCalls(t *testing.T) {
	t.Parallel()
	f := newFixture(t, fleetSize{instances: 2, engines: 1, services: 1})
	entry := f.Instances[0].EntryAddress
	for name, faults := range map[string]testservers.PlatformFaults{"down": {Down: true}, "stalled": {Stall: true}} {
		f.platformFault(faults)
		refused := f.issueCertificate(entry, name, name)
		if refused.Status != http.StatusServiceUnavailable || refused.Outcome != callerapi.OutcomeNotRun || refused.RetryAfter == "" {
			t.Errorf("%s: got %+v", name, refused)
		}
		if runs := f.certificateRuns(name); runs != 0 {
			t.Errorf("%s: got not run after %d runs", name, runs)
		}
		if keyless := f.issueCertificate(entry, "", name+" keyless"); keyless.Status != http.StatusOK {
			t.Errorf("%s: without a key got %+v", name, keyless)
		}
		f.platformFault(testservers.PlatformFaults{})
		f.waitUntil("the key runs after the outage", func() bool {
			return f.issueCertificate(f.Instances[1].EntryAddress, name, name).Status == http.StatusOK
		})
		if runs := f.certificateRuns(name); runs != 1 {
			t.Errorf("%s: %d runs", name, runs)
		}
	}
}

// TestUpstreamCrashDuringCallIsUnknown loses the upstream's reply after the call has run. The outcome must be
// unknown, with and without a key, and no other upstream may be tried.
func TestUpstreamCrashDuringCallIsUnknown(t *testing.T) {
	t.Parallel()
	f := newFixture(t, fleetSize{instances: 2, engines: 1, services: 2})
	for _, key := range []string{"", "k1"} {
		f.serviceFault(0, testservers.ServiceFaults{LoseReplies: 1})
		f.serviceFault(1, testservers.ServiceFaults{LoseReplies: 1})
		lot := "lot of key " + key
		first := f.issueCertificate(f.Instances[0].EntryAddress, key, lot)
		if first.Status != http.StatusBadGateway || first.Outcome != callerapi.OutcomeUnknown {
			t.Errorf("key %q: got %+v", key, first)
		}
		if key != "" {
			if repeat := f.issueCertificate(f.Instances[1].EntryAddress, key, lot); repeat.Outcome != callerapi.OutcomeUnknown {
				t.Errorf("repeat got %+v", repeat)
			}
		}
		if runs := f.certificateRuns(lot); runs != 1 {
			t.Errorf("key %q: %d runs", key, runs)
		}
	}
}

// TestCallRefusedByUpstreamIsRetriedElsewhere checks that a call is sent to another upstream only while it
// has not run, with and without a key. If no upstream runs it, the caller gets "not run" and the key is free.
func TestCallRefusedByUpstreamIsRetriedElsewhere(t *testing.T) {
	t.Parallel()
	f := newFixture(t, fleetSize{instances: 1, engines: 1, services: 2})
	entry := f.Instances[0].EntryAddress
	f.serviceFault(0, testservers.ServiceFaults{Refuse: true})
	f.Services[1].Process.Signal(syscall.SIGKILL)
	<-f.Services[1].Process.Done()
	for _, key := range []string{"", "k1"} {
		refused := f.issueCertificate(entry, key, "lot")
		if refused.Status != http.StatusServiceUnavailable || refused.Outcome != callerapi.OutcomeNotRun {
			t.Errorf("key %q: got %+v", key, refused)
		}
	}
	f.Services = f.Services[:1]
	f.serviceFault(0, testservers.ServiceFaults{})
	for _, key := range []string{"", "k1"} {
		for range 4 { // the dead upstream may be tried first or second
			f.waitUntil("the call runs", func() bool {
				answer := f.issueCertificate(entry, key, "lot")
				if answer.Status != http.StatusOK && answer.Outcome != callerapi.OutcomeNotRun {
					t.Fatalf("key %q: got %+v", key, answer)
				}
				return answer.Status == http.StatusOK // the upstream that refused calls may still be ejected
			})
		}
	}
	if runs := f.certificateRuns("lot"); runs != 5 {
		t.Errorf("%d runs, want 4 without a key and 1 with it", runs)
	}
}

// TestTableOutageWhileCallRuns makes the table fail between the claim and the write of the answer. The caller
// must get its answer despite the outage, and a repeat after the outage must get the same answer.
func TestTableOutageWhileCallRuns(t *testing.T) {
	t.Parallel()
	f := newFixture(t, fleetSize{instances: 2, engines: 1, services: 1})
	f.serviceFault(0, testservers.ServiceFaults{DelayMs: 300})
	for name, faults := range map[string]testservers.PlatformFaults{"down": {Down: true}, "stalled": {Stall: true}} {
		first := make(chan callResult, 1)
		go func() { first <- f.issueCertificate(f.Instances[0].EntryAddress, name, name) }()
		f.waitUntil("the call runs", func() bool { return f.certificateRuns(name) == 1 })
		f.platformFault(faults)
		answer := <-first
		f.platformFault(testservers.PlatformFaults{})
		var repeat callResult
		f.waitUntil("the answer is stored", func() bool {
			repeat = f.issueCertificate(f.Instances[1].EntryAddress, name, name)
			return repeat.Status != http.StatusConflict
		})
		if answer.Status != http.StatusOK || repeat.Body != answer.Body || f.certificateRuns(name) != 1 {
			t.Errorf("%s: got %+v, repeat got %+v, %d runs", name, answer, repeat, f.certificateRuns(name))
		}
	}
}

// TestKeyedCallContinuesAfterCallerDisconnects checks that a call continues after its caller disconnects, and
// that a repeat gets the answer.
func TestKeyedCallContinuesAfterCallerDisconnects(t *testing.T) {
	t.Parallel()
	f := newFixture(t, fleetSize{instances: 2, engines: 1, services: 1})
	f.serviceFault(0, testservers.ServiceFaults{DelayMs: 300})
	ctx, disconnect := context.WithCancel(f.ctx)
	go func() {
		header := http.Header{callerapi.HeaderIdempotencyKey: []string{"k"}}
		_, _ = f.caller.Post(ctx, f.Instances[0].EntryAddress, certificate, header, []byte("lot")) // the caller disconnects
	}()
	f.waitUntil("the call runs", func() bool { return f.certificateRuns("lot") == 1 })
	disconnect()
	f.waitUntil("the answer is stored", func() bool {
		repeat := f.issueCertificate(f.Instances[1].EntryAddress, "k", "lot")
		if repeat.Status != http.StatusOK && repeat.Status != http.StatusConflict {
			t.Fatalf("got %+v", repeat)
		}
		return repeat.Status == http.StatusOK
	})
	if runs := f.certificateRuns("lot"); runs != 1 {
		t.Errorf("%d runs", runs)
	}
}
