package relay

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/pkg/errors"

	"sassafrasfield/internal/quota"
	"sassafrasfield/internal/upstreamstate"
)

// fakeCoordinator answers grant requests from a script.
type fakeCoordinator struct {
	// decide answers them; nil grants all.
	decide func(quota.GrantRequest) quota.Verdict

	mu       sync.Mutex // protects requests
	requests []quota.GrantRequest
}

func (c *fakeCoordinator) request(_ context.Context, request quota.GrantRequest) quota.Verdict {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.requests = append(c.requests, request)
	if c.decide == nil {
		return quota.Verdict{Granted: true}
	}
	return c.decide(request)
}

// count returns how many requests it received.
func (c *fakeCoordinator) count() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.requests)
}

// limitedRelay returns a relay in front of upstreams of which the given ones have announced a
// limit.
func limitedRelay(t *testing.T, sender *fakeSender, coordinator *fakeCoordinator, limited ...string) *Relay {
	t.Helper()
	r := newFake(t, sender)
	withLargeBudget(r)
	r.SetGrantRequester(coordinator.request)
	for _, id := range limited {
		r.applyStatus(r.upstreams.Upstream(id), limitStatus(2))
	}
	return r
}

// limitStatus returns an upstream's announcement of the requests per second that it accepts.
func limitStatus(rate float64) upstreamstate.UpstreamStatus {
	return upstreamstate.UpstreamStatus{Announcement: &quota.Announcement{Limited: true, Rate: rate}}
}

var (
	allApps    = []string{"app-1", "app-2", "app-3"}
	allEngines = []string{"pre-1", "pre-2", "dec-1", "dec-2", "dec-3"}
)

func incarnationOf(id string) uint32 { return upstreamstate.Upstream{ID: id}.Incarnation() }

// TestEachSendToLimitedUpstreamRequestsGrant covers first sends and retries, prefills alone and
// repeated ones, runs without the KV cache that was refused, and answers that are resumed on another
// engine or on the one with the copy of the run.
func TestEachSendToLimitedUpstreamRequestsGrant(t *testing.T) {
	for name, c := range map[string]struct {
		sender *fakeSender
		req    *Request
		sends  int
	}{
		"a call":                          {&fakeSender{}, call("/unsafe/1"), 1},
		"a call that is retried":          {&fakeSender{run: failFirst(ErrNoValidAnswer, func() *Reply { return reply(200, strings.NewReader("a")) })}, call("/safe/1"), 2},
		"a call that is refused":          {&fakeSender{run: failFirst(ErrRefused, func() *Reply { return reply(200, strings.NewReader("a")) })}, call("/unsafe/1"), 2},
		"a prompt and its answer":         {&fakeSender{}, longPrompt("/once/1"), 2},
		"a KV cache refused once":         {&fakeSender{run: failFirst(ErrRefused, completeEvents)}, longPrompt("/once/1"), 3},
		"a KV cache always refused":       {&fakeSender{run: refuseFetches}, longPrompt("/once/1"), 4},
		"a prompt that fails":             {&fakeSender{prefill: failFirstPrompt}, longPrompt("/once/1"), 3},
		"a resumed answer":                {&fakeSender{run: cutFirst}, longPrompt("/resumable/1"), 4},
		"an answer continued at its copy": {&fakeSender{run: cutFirst}, shortOnce(), 2},
		"a short prompt, directly":        {&fakeSender{}, shortOnce(), 1},
		"a resumption by the caller":      {&fakeSender{}, resumedPrompt(), 2},
	} {
		coordinator := &fakeCoordinator{}
		r := limitedRelay(t, c.sender, coordinator, append(allApps, allEngines...)...)
		if _, err := serve(r, c.req); err != nil {
			t.Errorf("%s: %v", name, err)
		}
		if sends := c.sender.count(); sends != coordinator.count() || sends != c.sends {
			t.Errorf("%s: %d sends, want %d, with %d grant requests", name, sends, c.sends, coordinator.count())
		}
	}
}

func completeEvents() *Reply { return events("id: 1\ndata: a\n\n") }

// failFirst fails the first send.
func failFirst(err error, then func() *Reply) func(int, Send) (*Reply, error) {
	return func(n int, _ Send) (*Reply, error) {
		if n == 1 {
			return nil, err
		}
		return then(), nil
	}
}

// cutFirst cuts the first answer off.
func cutFirst(n int, _ Send) (*Reply, error) {
	if n == 1 {
		return truncated("id: 1\ndata: a\n\n"), nil
	}
	return events("id: 2\ndata: b\n\n"), nil
}

func failFirstPrompt(n int, s Send) (KV, error) {
	if n == 1 {
		return KV{}, ErrNoValidAnswer
	}
	return KV{Engine: s.To, Handle: "h"}, nil
}

func shortOnce() *Request {
	req := longPrompt("/once/1")
	req.Prompt.Tokens, req.Prompt.Parts = 100, nil
	return req
}

func resumedPrompt() *Request {
	req := longPrompt("/resumable/1")
	req.LastEvent = "1"
	return req
}

// TestExhaustedUpstreamIsSkippedWithoutRetry checks that another upstream is tried at once if one
// has no capacity, and that this uses no retry budget.
func TestExhaustedUpstreamIsSkippedWithoutRetry(t *testing.T) {
	for _, path := range []string{"/unsafe/1", "/safe/1", "/once/1"} {
		sender := &fakeSender{}
		coordinator := &fakeCoordinator{decide: func(request quota.GrantRequest) quota.Verdict {
			return quota.Verdict{RetryIn: time.Minute}
		}}
		r := limitedRelay(t, sender, coordinator, "app-1", "app-2", "pre-1", "dec-1", "dec-2")
		r.SetBudget(BudgetSettings{Window: time.Second})
		r.SetPoolRequester(func(context.Context, uint32) bool { return false })
		for n := range 20 {
			req := longPrompt(path)
			req.ID = fmt.Sprint("r", n)
			if path != "/once/1" {
				req.Prompt = nil
			}
			if _, err := serve(r, req); err != nil {
				t.Fatalf("%s: %v", path, err)
			}
		}
		for _, c := range sender.calls {
			if c.to != "app-3" && c.to != "pre-2" && c.to != "dec-3" {
				t.Errorf("%s reached %s", path, c.to)
			}
		}
		if n := coordinator.count(); n > 3 {
			t.Errorf("%s: %d grant requests, though the first verdicts said when to retry", path, n)
		}
	}
}

// TestRequestIsRefusedIfAllLimitsAreExhausted checks that the refusal says that nothing ran and
// when there is capacity again, and that no prompt is processed for it.
func TestRequestIsRefusedIfAllLimitsAreExhausted(t *testing.T) {
	const room = 700 * time.Millisecond
	for name, c := range map[string]struct {
		path    string
		limited []string
	}{
		"calls":                          {"/safe/1", allApps},
		"calls that may run once":        {"/unsafe/1", allApps},
		"engines of both roles":          {"/once/1", allEngines},
		"engines that generate":          {"/once/1", allEngines[2:]},
		"engines that generate, resumed": {"/resumable/1", allEngines[2:]},
	} {
		sender := &fakeSender{}
		r := limitedRelay(t, sender, &fakeCoordinator{decide: func(quota.GrantRequest) quota.Verdict {
			return quota.Verdict{RetryIn: room}
		}}, c.limited...)
		for range 2 { // the second one requests no grant
			req := longPrompt(c.path)
			if strings.HasPrefix(name, "calls") {
				req.Prompt = nil
			}
			started := time.Now()
			_, err := serve(r, req)
			var refusal *Refusal
			if !errors.As(err, &refusal) || refusal.Outcome != NotRun || refusal.Reason != "the upstreams' limits leave no room" {
				t.Fatalf("%s: %v", name, err)
			}
			if refusal.RetryIn < room/2 || refusal.RetryIn > 2*room {
				t.Errorf("%s: retry in %s, there is room in %s", name, refusal.RetryIn, room)
			}
			if elapsed := time.Since(started); elapsed > room {
				t.Errorf("%s: refused after %s", name, elapsed)
			}
		}
		if n := sender.count(); n > 0 {
			t.Errorf("%s: %d sends", name, n)
		}
	}
}

// TestResumedAnswerRequestsGrantAsContinuation checks that the grant request for a resumed answer
// is marked as such, since those take precedence, and that it is made even if the limit is known to
// be exhausted for other requests.
func TestResumedAnswerRequestsGrantAsContinuation(t *testing.T) {
	coordinator := &fakeCoordinator{}
	sender := &fakeSender{run: cutFirst}
	r := limitedRelay(t, sender, coordinator, allEngines...)
	coordinator.decide = func(request quota.GrantRequest) quota.Verdict {
		if len(coordinator.requests) == 2 { // the answer has begun; no capacity for other requests from now on
			for _, id := range allEngines {
				r.upstreams.MarkExhausted(incarnationOf(id), 0, time.Minute)
			}
		}
		return quota.Verdict{Granted: len(coordinator.requests) <= 2 || request.Continues}
	}
	w, err := serve(r, shortOnce())
	if err != nil || !strings.Contains(w.Body.String(), "data: b") {
		t.Errorf("%v, %q", err, w.Body)
	}
	if last := coordinator.requests[len(coordinator.requests)-1]; !last.Continues {
		t.Errorf("%+v", last)
	}
}

// TestLimitsInRefusalsAreApplied: an overloaded upstream announces its limit with a refusal.
func TestLimitsInRefusalsAreApplied(t *testing.T) {
	sender := &fakeSender{}
	sender.run = func(_ int, s Send) (*Reply, error) {
		sender.handleStatus(s.To, limitStatus(1))
		return nil, ErrRefused
	}
	coordinator := &fakeCoordinator{}
	r := limitedRelay(t, sender, coordinator)
	for range 2 {
		if _, err := serve(r, call("/unsafe/1")); outcomeOf(t, err) != NotRun {
			t.Error(err)
		}
	}
	if coordinator.count() == 0 {
		t.Error("no grant was requested for sends to upstreams whose refusals announced limits")
	}
}

// TestLimitedUpstreamReceivesNothingWithoutCoordinator: without one, it is unknown what other
// instances send.
func TestLimitedUpstreamReceivesNothingWithoutCoordinator(t *testing.T) {
	sender := &fakeSender{}
	r := newFake(t, sender)
	for _, id := range allApps {
		r.applyStatus(r.upstreams.Upstream(id), limitStatus(2))
	}
	if _, err := serve(r, call("/safe/1")); outcomeOf(t, err) != NotRun || sender.count() > 0 {
		t.Errorf("%v, %d sends", err, sender.count())
	}
	if verdict := r.DecideGrant(quota.GrantRequest{Limit: quota.UpstreamLimit{Upstream: 1, Rate: 2}}); verdict.Granted {
		t.Error("an instance that does not coordinate granted")
	}
}

// TestRestartedUpstreamHasNoLimit: answers from before the restart arrive late.
func TestRestartedUpstreamHasNoLimit(t *testing.T) {
	coordinator := &fakeCoordinator{}
	r := limitedRelay(t, &fakeSender{}, coordinator, "app-1")
	before := r.upstreams.Upstream("app-1")
	restarted := before
	restarted.StartedAt = 7
	r.UpdateUpstream(restarted)
	r.applyStatus(before, limitStatus(1))
	limit, _, known := r.upstreams.Limit(restarted.Incarnation(), r.now())
	if limit.Limited() || known {
		t.Errorf("it is limited to %+v", limit)
	}
}

// TestUnparsableAnnouncementChangesNothing: it neither sets nor removes a limit.
func TestUnparsableAnnouncementChangesNothing(t *testing.T) {
	r := limitedRelay(t, &fakeSender{}, &fakeCoordinator{}, "app-1")
	for _, id := range []string{"app-1", "app-2"} {
		r.applyStatus(r.upstreams.Upstream(id), upstreamstate.UpstreamStatus{ParseErrors: []error{errors.New("no rate")}})
	}
	for id, limited := range map[string]bool{"app-1": true, "app-2": false} {
		if limit, _, _ := r.upstreams.Limit(incarnationOf(id), r.now()); limit.Limited() != limited {
			t.Errorf("%s: %+v", id, limit)
		}
	}
}
