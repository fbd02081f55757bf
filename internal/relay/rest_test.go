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

// restOf is an upstream's wish to be left alone.
func restOf(d time.Duration) upstreamstate.Statement { return upstreamstate.Statement{Rest: d} }

// TestNoKindOfSendReachesAnUpstreamThatRests guards against a way to upstreams that does not heed
// the rest which they asked for.
func TestNoKindOfSendReachesAnUpstreamThatRests(t *testing.T) {
	resting := []string{"app-1", "pre-1", "dec-1"}
	for name, kind := range sendKinds {
		for n := range 20 {
			sender := kind.sender()
			r := newFake(t, sender)
			plentiful(r)
			saidBy(r, restOf(time.Minute), resting...)
			req := kind.req()
			req.ID = fmt.Sprint("r", n)
			if _, err := serve(r, req); err != nil {
				t.Errorf("%s: %v", name, err)
			}
			for _, id := range sender.sentTo() {
				if slices.Contains(resting, id) {
					t.Errorf("%s reached %s, which rests", name, id)
				}
			}
		}
	}
}

// TestARestThatBeginsWhileARequestWaitsCounts guards against a request that is sent on to the
// upstream that was chosen for it, though that asked for rest meanwhile.
func TestARestThatBeginsWhileARequestWaitsCounts(t *testing.T) {
	for _, req := range []*Request{call("/unsafe/1"), longPrompt("/once/1"), shortOnce()} {
		sender := &fakeSender{}
		var r *Relay
		rests := ""
		asked := &coordinator{decide: func(a quota.Ask) quota.Verdict {
			if rests == "" {
				rests = r.upstreams.NameOf(a.Word.Upstream)
				r.applyStatement(r.upstreams.Upstream(rests), restOf(time.Minute))
			}
			return quota.Verdict{Granted: true}
		}}
		r = limitedRelay(t, sender, asked, append(allApps, allEngines...)...)
		if _, err := serve(r, req); err != nil {
			t.Errorf("%s: %v", req.Path, err)
		}
		if slices.Contains(sender.sentTo(), rests) {
			t.Errorf("%s reached %s, which had asked for rest", req.Path, rests)
		}
	}
}

// TestACopyAtAnUpstreamThatRestsIsLeft guards against streams that go on, many at once when an
// engine ends, at one that wants nothing.
func TestACopyAtAnUpstreamThatRestsIsLeft(t *testing.T) {
	sender := &fakeSender{}
	r := newFake(t, sender)
	sender.run = func(n int, s Send) (*Reply, error) {
		saidBy(r, restOf(time.Minute), s.Backup.ID)
		return cutFirst(n, s)
	}
	if _, err := serve(r, shortOnce()); !errors.Is(err, ErrAnswerAborted) || sender.count() != 1 {
		t.Errorf("%v, sent to %v", err, sender.sentTo())
	}
}

// TestWhereAllRestTheFirstSaysWhenToComeBack guards against requests that wait for upstreams which
// all rest, against callers who are told to come back too soon, and against all coming at once.
func TestWhereAllRestTheFirstSaysWhenToComeBack(t *testing.T) {
	for _, make := range []func() *Request{requestTo(call, "/safe/1"), requestTo(call, "/unsafe/1"), requestTo(longPrompt, "/once/1")} {
		sender := &fakeSender{}
		r := newFake(t, sender)
		for i, id := range append(allApps, allEngines...) {
			saidBy(r, restOf(time.Duration(i+2)*time.Second), id)
		}
		first := 2 * time.Second // the first of the plain upstreams
		if make().Prompt != nil {
			first = 5 * time.Second // the first engine
		}
		told := map[time.Duration]bool{}
		for range 10 {
			_, err := serve(r, make())
			var refusal *Refusal
			if !errors.As(err, &refusal) || refusal.Outcome != NotRun || refusal.Reason != "upstreams asked for rest" {
				t.Fatalf("%+v", err)
			}
			if in := refusal.RetryIn; in < first-time.Second || in > 2*first {
				t.Errorf("%s: told to come back in %s, the first is back in %s", make().Path, in, first)
			}
			told[refusal.RetryIn] = true
		}
		if len(told) < 5 {
			t.Errorf("callers are told to come back at once: %v", told)
		}
		if sender.count() > 0 {
			t.Errorf("%d sends", sender.count())
		}
	}
}

// TestNothingIsAskedOfAnUpstreamThatRests guards against questions for its health, and against KV
// caches that are dropped there.
func TestNothingIsAskedOfAnUpstreamThatRests(t *testing.T) {
	sender := &fakeSender{}
	r := newFake(t, sender)
	u := r.upstreams.Upstream("app-1")
	saidBy(r, restOf(time.Minute), "app-1", "pre-1")
	r.hasCrashed(u)
	if sender.healthPath != "" {
		t.Errorf("asked at %s", sender.healthPath)
	}
	g := &generation{exchange: &exchange{req: call("/once/1")}, kv: KV{Engine: r.upstreams.Upstream("pre-1"), Handle: "h"}}
	r.freeKV(g)
	if sender.freedCount() > 0 {
		t.Error("its KV cache was dropped")
	}
	r.hasCrashed(r.upstreams.Upstream("app-2"))
	if sender.healthPath == "" {
		t.Error("another one was not asked for its health")
	}
}
