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

	mu       sync.Mutex // protects asks
	requests []quota.GrantRequest
}

func (c *fakeCoordinator) request(_ context.Context, a quota.GrantRequest) quota.Verdict {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.requests = append(c.requests, a)
	if c.decide == nil {
		return quota.Verdict{Granted: true}
	}
	return c.decide(a)
}

// count returns how many requests it received.
func (c *fakeCoordinator) count() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.requests)
}

// limitedRelay returns a relay in front of upstreams of which the given ones have announced a
// limit.
func limitedRelay(t *testing.T, sender *fakeSender, c *fakeCoordinator, limited ...string) *Relay {
	t.Helper()
	r := newFake(t, sender)
	withLargeBudget(r)
	r.SetGrantRequester(c.request)
	for _, id := range limited {
		r.applyStatement(r.upstreams.Upstream(id), limitStatement(2))
	}
	return r
}

// limitStatement returns an upstream's announcement of the requests per second that it accepts.
func limitStatement(rate float64) upstreamstate.UpstreamStatus {
	return upstreamstate.UpstreamStatus{Announcement: &quota.Announcement{Limited: true, Rate: rate}}
}

var (
	allApps    = []string{"app-1", "app-2", "app-3"}
	allEngines = []string{"pre-1", "pre-2", "dec-1", "dec-2", "dec-3"}
)

func incarnationOf(id string) uint32 { return upstreamstate.Upstream{ID: id}.Incarnation() }

// TestEachSendToLimitedUpstreamRequestsGrant covers first sends and retries, prefills alone and
// repeated ones, and answers that are resumed on another engine or on the one with the copy of the
// run.
func TestEachSendToLimitedUpstreamRequestsGrant(t *testing.T) {
	for name, c := range map[string]struct {
		sender *fakeSender
		req    *Request
		sends  int
	}{
		"a call":                    {&fakeSender{}, call("/unsafe/1"), 1},
		"a call that is repeated":   {&fakeSender{run: failFirst(ErrNoValidAnswer, func() *Reply { return reply(200, strings.NewReader("a")) })}, call("/safe/1"), 2},
		"a call that is refused":    {&fakeSender{run: failFirst(ErrRefused, func() *Reply { return reply(200, strings.NewReader("a")) })}, call("/unsafe/1"), 2},
		"a prompt and its answer":   {&fakeSender{}, longPrompt("/once/1"), 2},
		"a prompt processed anew":   {&fakeSender{run: failFirst(ErrRefused, wholeEvents)}, longPrompt("/once/1"), 4},
		"a prompt that fails":       {&fakeSender{prefill: failFirstPrompt}, longPrompt("/once/1"), 3},
		"an answer that goes on":    {&fakeSender{run: cutFirst}, longPrompt("/resumable/1"), 4},
		"an answer from its copy":   {&fakeSender{run: cutFirst}, shortOnce(), 2},
		"a short prompt, directly":  {&fakeSender{}, shortOnce(), 1},
		"an answer asked for again": {&fakeSender{}, resumedPrompt(), 2},
	} {
		asked := &fakeCoordinator{}
		r := limitedRelay(t, c.sender, asked, append(allApps, allEngines...)...)
		if _, err := serve(r, c.req); err != nil {
			t.Errorf("%s: %v", name, err)
		}
		if sends := c.sender.count(); sends != asked.count() || sends != c.sends {
			t.Errorf("%s: %d sends, want %d, with %d grant requests", name, sends, c.sends, asked.count())
		}
	}
}

func wholeEvents() *Reply { return events("id: 1\ndata: a\n\n") }

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
// has no room, and that this uses no retry budget.
func TestExhaustedUpstreamIsSkippedWithoutRetry(t *testing.T) {
	for _, path := range []string{"/unsafe/1", "/safe/1", "/once/1"} {
		sender := &fakeSender{}
		asked := &fakeCoordinator{decide: func(a quota.GrantRequest) quota.Verdict {
			return quota.Verdict{RetryIn: time.Minute}
		}}
		r := limitedRelay(t, sender, asked, "app-1", "app-2", "pre-1", "dec-1", "dec-2")
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
		for _, one := range sender.calls {
			if one.to != "app-3" && one.to != "pre-2" && one.to != "dec-3" {
				t.Errorf("%s reached %s", path, one.to)
			}
		}
		if n := asked.count(); n > 3 {
			t.Errorf("%s: %d grant requests, though the first verdicts said when to retry", path, n)
		}
	}
}

// TestRequestIsRefusedIfAllLimitsAreExhausted checks that the refusal says that nothing ran and
// when there is room again, and that no prompt is processed for it.
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
			began := time.Now()
			_, err := serve(r, req)
			var refusal *Refusal
			if !errors.As(err, &refusal) || refusal.Outcome != NotRun || refusal.Reason != "the upstreams' limits leave no room" {
				t.Fatalf("%s: %v", name, err)
			}
			if refusal.RetryIn < room/2 || refusal.RetryIn > 2*room {
				t.Errorf("%s: retry in %s, there is room in %s", name, refusal.RetryIn, room)
			}
			if took := time.Since(began); took > room {
				t.Errorf("%s: refused after %s", name, took)
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
	asked := &fakeCoordinator{}
	sender := &fakeSender{run: cutFirst}
	r := limitedRelay(t, sender, asked, allEngines...)
	asked.decide = func(a quota.GrantRequest) quota.Verdict {
		if len(asked.requests) == 2 { // the answer has begun; the limits are exhausted for all other requests from now on
			for _, id := range allEngines {
				r.upstreams.MarkExhausted(incarnationOf(id), 0, time.Minute)
			}
		}
		return quota.Verdict{Granted: len(asked.requests) <= 2 || a.Continues}
	}
	w, err := serve(r, shortOnce())
	if err != nil || !strings.Contains(w.Body.String(), "data: b") {
		t.Errorf("%v, %q", err, w.Body)
	}
	if last := asked.requests[len(asked.requests)-1]; !last.Continues {
		t.Errorf("%+v", last)
	}
}

// TestLimitsInRefusalsAreApplied: an overloaded upstream announces its limit with a refusal.
func TestLimitsInRefusalsAreApplied(t *testing.T) {
	sender := &fakeSender{}
	sender.run = func(_ int, s Send) (*Reply, error) {
		sender.handleStatement(s.To, limitStatement(1))
		return nil, ErrRefused
	}
	asked := &fakeCoordinator{}
	r := limitedRelay(t, sender, asked)
	for range 2 {
		if _, err := serve(r, call("/unsafe/1")); outcomeOf(t, err) != NotRun {
			t.Error(err)
		}
	}
	if asked.count() == 0 {
		t.Error("no grant was requested for sends to upstreams whose refusals announced limits")
	}
}

// TestLimitedUpstreamReceivesNothingWithoutCoordinator: without one, it is unknown what other
// instances send.
func TestLimitedUpstreamReceivesNothingWithoutCoordinator(t *testing.T) {
	sender := &fakeSender{}
	r := newFake(t, sender)
	for _, id := range allApps {
		r.applyStatement(r.upstreams.Upstream(id), limitStatement(2))
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
	asked := &fakeCoordinator{}
	r := limitedRelay(t, &fakeSender{}, asked, "app-1")
	before := r.upstreams.Upstream("app-1")
	again := before
	again.StartedAt = 7
	r.UpdateUpstream(again)
	r.applyStatement(before, limitStatement(1))
	w, _, known := r.upstreams.Limit(again.Incarnation(), r.now())
	if w.Limited() || known {
		t.Errorf("it is limited to %+v", w)
	}
}

// TestUnparsableAnnouncementChangesNothing: it neither sets nor removes a limit.
func TestUnparsableAnnouncementChangesNothing(t *testing.T) {
	r := limitedRelay(t, &fakeSender{}, &fakeCoordinator{}, "app-1")
	for _, id := range []string{"app-1", "app-2"} {
		r.applyStatement(r.upstreams.Upstream(id), upstreamstate.UpstreamStatus{ParseErrors: []error{errors.New("no rate")}})
	}
	for id, limits := range map[string]bool{"app-1": true, "app-2": false} {
		if w, _, _ := r.upstreams.Limit(incarnationOf(id), r.now()); w.Limited() != limits {
			t.Errorf("%s: %+v", id, w)
		}
	}
}
