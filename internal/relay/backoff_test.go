package relay

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/pkg/errors"

	"sassafrasfield/internal/quota"
	"sassafrasfield/internal/upstreamstate"
)

// backoffStatus returns an upstream's request to receive nothing for a time.
func backoffStatus(d time.Duration) upstreamstate.UpstreamStatus {
	return upstreamstate.UpstreamStatus{Backoff: d}
}

// TestNoSendReachesUpstreamBackingOff guards against a kind of send that ignores an upstream's
// backoff.
func TestNoSendReachesUpstreamBackingOff(t *testing.T) {
	backingOff := []string{"app-1", "pre-1", "dec-1"}
	for name, kind := range sendKinds {
		for n := range 20 {
			sender := kind.sender()
			r := newFake(t, sender)
			withLargeBudget(r)
			announce(r, backoffStatus(time.Minute), backingOff...)
			req := kind.req()
			req.ID = fmt.Sprint("r", n)
			if _, err := serve(r, req); err != nil {
				t.Errorf("%s: %v", name, err)
			}
			for _, id := range sender.destinations() {
				if slices.Contains(backingOff, id) {
					t.Errorf("%s reached %s, which is backing off", name, id)
				}
			}
		}
	}
}

// TestBackoffDuringGrantRequestIsObserved guards against sending a request to an upstream that
// requested a backoff after it was chosen.
func TestBackoffDuringGrantRequestIsObserved(t *testing.T) {
	for _, req := range []*Request{call("/unsafe/1"), longPrompt("/once/1"), shortOnce()} {
		sender := &fakeSender{}
		var r *Relay
		backingOff := ""
		coordinator := &fakeCoordinator{decide: func(request quota.GrantRequest) quota.Verdict {
			if backingOff == "" {
				backingOff = r.upstreams.UpstreamID(request.Limit.Upstream)
				r.applyStatus(r.upstreams.Upstream(backingOff), backoffStatus(time.Minute))
			}
			return quota.Verdict{Granted: true}
		}}
		r = limitedRelay(t, sender, coordinator, append(allApps, allEngines...)...)
		if _, err := serve(r, req); err != nil {
			t.Errorf("%s: %v", req.Path, err)
		}
		if slices.Contains(sender.destinations(), backingOff) {
			t.Errorf("%s reached %s, which had requested a backoff", req.Path, backingOff)
		}
	}
}

// TestBackupThatBacksOffIsNotUsed guards against resuming streams at an engine that is backing off.
// Many are resumed at once when an engine crashes.
func TestBackupThatBacksOffIsNotUsed(t *testing.T) {
	sender := &fakeSender{}
	r := newFake(t, sender)
	sender.run = func(n int, s Send) (*Reply, error) {
		announce(r, backoffStatus(time.Minute), s.Backup.ID)
		return cutFirst(n, s)
	}
	if _, err := serve(r, shortOnce()); !errors.Is(err, ErrAnswerAborted) || sender.count() != 1 {
		t.Errorf("%v, sent to %v", err, sender.destinations())
	}
}

// TestRetryDelayIfAllUpstreamsBackOff guards against requests that wait for upstreams which are all
// backing off, against retry delays that are too short, and against all callers retrying at the
// same time.
func TestRetryDelayIfAllUpstreamsBackOff(t *testing.T) {
	for _, newRequest := range []func() *Request{requestTo(call, "/safe/1"), requestTo(call, "/unsafe/1"), requestTo(longPrompt, "/once/1")} {
		sender := &fakeSender{}
		r := newFake(t, sender)
		for i, id := range append(allApps, allEngines...) {
			announce(r, backoffStatus(time.Duration(i+2)*time.Second), id)
		}
		first := 2 * time.Second // the first of the plain upstreams
		if newRequest().Prompt != nil {
			first = 5 * time.Second // the first engine
		}
		delays := map[time.Duration]bool{}
		for range 10 {
			_, err := serve(r, newRequest())
			var refusal *Refusal
			if !errors.As(err, &refusal) || refusal.Outcome != NotRun || refusal.Reason != "upstreams asked for rest" {
				t.Fatalf("%+v", err)
			}
			if delay := refusal.RetryIn; delay < first-time.Second || delay > 2*first {
				t.Errorf("%s: retry in %s, the first upstream is back in %s", newRequest().Path, delay, first)
			}
			delays[refusal.RetryIn] = true
		}
		if len(delays) < 5 {
			t.Errorf("callers are told to retry at the same time: %v", delays)
		}
		if sender.count() > 0 {
			t.Errorf("%d sends", sender.count())
		}
	}
}

// TestUpstreamBackingOffIsNotContacted guards against health requests to an upstream that is
// backing off, and against freeing KV caches there.
func TestUpstreamBackingOffIsNotContacted(t *testing.T) {
	sender := &fakeSender{}
	r := newFake(t, sender)
	u := r.upstreams.Upstream("app-1")
	announce(r, backoffStatus(time.Minute), "app-1", "pre-1")
	r.hasCrashed(u)
	if sender.healthPath != "" {
		t.Errorf("health request to %s", sender.healthPath)
	}
	g := &generation{exchange: &exchange{req: call("/once/1")}, kv: KV{Engine: r.upstreams.Upstream("pre-1"), Handle: "h"}}
	r.freeKV(g)
	if sender.freedCount() > 0 {
		t.Error("its KV cache was freed")
	}
	r.hasCrashed(r.upstreams.Upstream("app-2"))
	if sender.healthPath == "" {
		t.Error("another upstream received no health request")
	}
}
