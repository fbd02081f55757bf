package relay

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/pkg/errors"

	"sassafrasfield/internal/quota"
	"sassafrasfield/internal/upstreamstate"
)

// drainingStatus returns an upstream's announcement that it is draining.
func drainingStatus() upstreamstate.UpstreamStatus {
	return upstreamstate.UpstreamStatus{Announcement: &quota.Announcement{Draining: true}}
}

// sendKind is a kind of request whose sends must observe what upstreams announce.
type sendKind struct {
	sender func() *fakeSender
	req    func() *Request
}

func workingSender() *fakeSender { return &fakeSender{} }

func senderRunning(run func(int, Send) (*Reply, error)) func() *fakeSender {
	return func() *fakeSender { return &fakeSender{run: run} }
}

func plainReply() *Reply { return reply(200, strings.NewReader("a")) }

func requestTo(newRequest func(string) *Request, path string) func() *Request {
	return func() *Request { return newRequest(path) }
}

// sendKinds covers all kinds of sends to upstreams.
var sendKinds = map[string]sendKind{
	"a call":                          {workingSender, requestTo(call, "/unsafe/1")},
	"a call that is retried":          {senderRunning(failFirst(ErrNoValidAnswer, plainReply)), requestTo(call, "/safe/1")},
	"a call that is refused":          {senderRunning(failFirst(ErrRefused, plainReply)), requestTo(call, "/unsafe/1")},
	"a prompt and its answer":         {workingSender, requestTo(longPrompt, "/once/1")},
	"a prompt processed again":        {senderRunning(failFirst(ErrRefused, wholeEvents)), requestTo(longPrompt, "/once/1")},
	"a prompt that fails":             {func() *fakeSender { return &fakeSender{prefill: failFirstPrompt} }, requestTo(longPrompt, "/resumable/1")},
	"a resumed answer":                {senderRunning(cutFirst), requestTo(longPrompt, "/resumable/1")},
	"an answer continued at its copy": {senderRunning(cutFirst), shortOnce},
	"a short prompt, directly":        {workingSender, shortOnce},
	"a resumption by the caller":      {workingSender, resumedPrompt},
}

// announce has upstreams include a status in earlier answers.
func announce(r *Relay, status upstreamstate.UpstreamStatus, ids ...string) {
	for _, id := range ids {
		r.applyStatus(r.upstreams.Upstream(id), status)
	}
}

// destinations lists the upstreams that requests were sent to, and those that a run was to be
// copied to.
func (f *fakeSender) destinations() []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	var ids []string
	for _, c := range f.calls {
		ids = append(ids, c.to)
		if c.send.Backup.ID != "" {
			ids = append(ids, c.send.Backup.ID)
		}
	}
	return ids
}

// TestNoSendReachesDrainingUpstream guards against a kind of send that ignores the announcement
// that an upstream is draining.
func TestNoSendReachesDrainingUpstream(t *testing.T) {
	draining := []string{"app-1", "pre-1", "dec-1"}
	for name, kind := range sendKinds {
		for n := range 20 {
			sender := kind.sender()
			r := newFake(t, sender)
			withLargeBudget(r)
			announce(r, drainingStatus(), draining...)
			req := kind.req()
			req.ID = fmt.Sprint("r", n)
			if _, err := serve(r, req); err != nil {
				t.Errorf("%s: %v", name, err)
			}
			for _, id := range sender.destinations() {
				if slices.Contains(draining, id) {
					t.Errorf("%s reached %s, which is draining", name, id)
				}
			}
		}
	}
}

// TestDrainAnnouncedDuringGrantRequestIsObserved guards against sending a request to the upstream
// chosen for it, though that announced meanwhile that it is draining.
func TestDrainAnnouncedDuringGrantRequestIsObserved(t *testing.T) {
	for _, req := range []*Request{call("/unsafe/1"), longPrompt("/once/1"), shortOnce()} {
		sender := &fakeSender{}
		var r *Relay
		draining := ""
		coordinator := &fakeCoordinator{decide: func(request quota.GrantRequest) quota.Verdict {
			if draining == "" { // the first one starts draining while its grant is requested
				draining = r.upstreams.UpstreamID(request.Limit.Upstream)
				r.applyStatus(r.upstreams.Upstream(draining), drainingStatus())
			}
			return quota.Verdict{Granted: true}
		}}
		r = limitedRelay(t, sender, coordinator, append(allApps, allEngines...)...)
		if _, err := serve(r, req); err != nil {
			t.Errorf("%s: %v", req.Path, err)
		}
		if slices.Contains(sender.destinations(), draining) {
			t.Errorf("%s reached %s, which had announced that it is draining", req.Path, draining)
		}
	}
}

// TestDecodeEngineDrainingDuringPrefillIsNotUsed guards against generating the answer on an engine
// that announced while the prompt was processed that it is draining.
func TestDecodeEngineDrainingDuringPrefillIsNotUsed(t *testing.T) {
	sender := &fakeSender{}
	r := newFake(t, sender)
	sender.prefill = func(_ int, s Send) (KV, error) {
		announce(r, drainingStatus(), "dec-1", "dec-2")
		return KV{Engine: s.To, Handle: "h"}, nil
	}
	if _, err := serve(r, longPrompt("/once/1")); err != nil {
		t.Fatal(err)
	}
	if to := sender.calls[len(sender.calls)-1].to; to != "dec-3" {
		t.Errorf("the answer is generated by %s, which is draining", to)
	}
}

// TestRunContinuesAtDrainingBackup guards against aborting a stream whose backup is draining: no
// other engine can finish it.
func TestRunContinuesAtDrainingBackup(t *testing.T) {
	sender := &fakeSender{}
	r := newFake(t, sender)
	sender.run = func(n int, s Send) (*Reply, error) {
		if n == 1 {
			announce(r, drainingStatus(), s.Backup.ID)
		}
		return cutFirst(n, s)
	}
	if _, err := serve(r, shortOnce()); err != nil {
		t.Fatal(err)
	}
	if n := sender.count(); n != 2 || sender.calls[1].to != sender.calls[0].send.Backup.ID {
		t.Errorf("%d sends, to %v", n, sender.destinations())
	}
}

// TestRequestIsRefusedIfAllUpstreamsDrain guards against requests that wait for upstreams which are
// all draining, and against refusals that do not say why.
func TestRequestIsRefusedIfAllUpstreamsDrain(t *testing.T) {
	for _, req := range []*Request{call("/safe/1"), call("/unsafe/1"), longPrompt("/once/1")} {
		sender := &fakeSender{}
		r := newFake(t, sender)
		announce(r, drainingStatus(), append(allApps, allEngines...)...)
		started := time.Now()
		_, err := serve(r, req)
		var refusal *Refusal
		if !errors.As(err, &refusal) || refusal.Outcome != NotRun || refusal.RetryIn <= 0 || refusal.Reason != "all upstreams leave" {
			t.Errorf("%s: %+v", req.Path, err)
		}
		if elapsed := time.Since(started); sender.count() > 0 || elapsed > req.WaitBudget/2 {
			t.Errorf("%s: %d sends, refused after %s", req.Path, sender.count(), elapsed)
		}
	}
}

// TestReservedEngineThatDrainsIsNotUsed guards against generating the answer on the engine that has
// room reserved for it, though that is draining.
func TestReservedEngineThatDrainsIsNotUsed(t *testing.T) {
	sender := &fakeSender{}
	coordinator := &fakeCoordinator{}
	r := limitedRelay(t, sender, coordinator, allEngines...)
	draining := ""
	sender.prefill = func(_ int, s Send) (KV, error) {
		for _, request := range coordinator.requests {
			if id := r.upstreams.UpstreamID(request.Limit.Upstream); strings.HasPrefix(id, "dec") {
				draining = id
			}
		}
		announce(r, drainingStatus(), draining)
		return KV{Engine: s.To, Handle: "h"}, nil
	}
	if _, err := serve(r, longPrompt("/once/1")); err != nil {
		t.Fatal(err)
	}
	if draining == "" || slices.Contains(sender.destinations(), draining) {
		t.Errorf("%q is draining, sent to %v", draining, sender.destinations())
	}
}
