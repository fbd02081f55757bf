package relay

import (
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/pkg/errors"

	"sassafrasfield/internal/upstreamstate"
	"sassafrasfield/internal/usage"
)

// newCounting returns a relay that counts usage in windows of an hour, for two organisations.
func newCounting(t *testing.T, f *fakeSender) *Relay {
	t.Helper()
	r := newFake(t, f)
	r.usage = newUsageCounter(time.Hour)
	withLargeBudget(r)
	withKeys(r, 2, millKey, gateKey)
	return r
}

// countOf returns what a relay counted for an organisation in this window and the previous one,
// because the hour may have just ended.
func countOf(r *Relay, organisation string) uint32 {
	window := usage.WindowAt(r.TimeOfDay(), time.Hour)
	return r.Usage(window)[organisation] + r.Usage(window - 1)[organisation]
}

// TestRequestIsCountedOnceWhenItRuns checks that a request is counted once, however many upstreams
// ran it, and not at all if none did.
func TestRequestIsCountedOnceWhenItRuns(t *testing.T) {
	answer := func() *Reply { return events("id: 1\ndata: a\n\n") }
	for name, c := range map[string]struct {
		req  *Request
		run  func(n int, s Send) (*Reply, error)
		want uint32
	}{
		"a call":            {call("/unsafe/1"), func(int, Send) (*Reply, error) { return answer(), nil }, 1},
		"a generation":      {longPrompt("/once/1"), func(int, Send) (*Reply, error) { return answer(), nil }, 1},
		"refused by all":    {call("/safe/1"), func(int, Send) (*Reply, error) { return nil, ErrRefused }, 0},
		"sent to nobody":    {call("/safe/1"), func(int, Send) (*Reply, error) { return nil, ErrNotSent }, 0},
		"refused, then run": {call("/safe/1"), refusedOnce(answer), 1},
		"the upstream's failure": {call("/unsafe/1"), func(int, Send) (*Reply, error) {
			return reply(http.StatusInternalServerError, strings.NewReader("")), nil
		}, 1},
		"two upstreams' failures": {call("/safe/1"), func(int, Send) (*Reply, error) {
			return reply(http.StatusInternalServerError, strings.NewReader("")), nil
		}, 1},
		"its answer was lost":        {call("/unsafe/1"), func(int, Send) (*Reply, error) { return nil, WrapReadError(io.EOF) }, 1},
		"cut before its first event": {longPrompt("/once/1"), func(int, Send) (*Reply, error) { return nil, WrapReadError(io.EOF) }, 0},
		"resumed elsewhere": {longPrompt("/resumable/1"), func(n int, _ Send) (*Reply, error) {
			if n == 1 {
				return truncated("id: 1\ndata: a\n\n"), nil
			}
			return events("id: 2\ndata: b\n\n"), nil
		}, 1},
		"continued at its copy": {call("/once/1"), func(n int, _ Send) (*Reply, error) {
			if n == 1 {
				return truncated("id: 1\ndata: a\n\n"), nil
			}
			return events("id: 2\ndata: b\n\n"), nil
		}, 1},
		"nobody's": {call("/safe/1"), func(int, Send) (*Reply, error) { return answer(), nil }, 0},
	} {
		r := newCounting(t, &fakeSender{run: c.run})
		req := c.req
		if name != "nobody's" {
			withKey(req, millKey)
		}
		_, _ = serve(r, req)
		if got := countOf(r, "mill"); got != c.want || countOf(r, "gate") != 0 {
			t.Errorf("%s: counted %d times, want %d", name, got, c.want)
		}
	}
}

// refusedOnce refuses the first send.
func refusedOnce(then func() *Reply) func(int, Send) (*Reply, error) {
	return func(n int, _ Send) (*Reply, error) {
		if n == 1 {
			return nil, ErrRefused
		}
		return then(), nil
	}
}

// TestUnauthenticatedRequestIsNotCounted: nothing ran.
func TestUnauthenticatedRequestIsNotCounted(t *testing.T) {
	r := newCounting(t, &fakeSender{})
	if _, err := serve(r, withKey(call("/unsafe/1"), "x")); outcomeOf(t, err) != Unauthenticated {
		t.Error(err)
	}
	if n := countOf(r, "mill") + countOf(r, ""); n != 0 {
		t.Errorf("counted %d times", n)
	}
}

// TestUsageReachesOtherZones: an instance reports to its zone's hub, which reports to the hub of
// another zone. A report that arrives twice changes nothing.
func TestUsageReachesOtherZones(t *testing.T) {
	instance, hub, otherHub := newCounting(t, &fakeSender{}), newCounting(t, &fakeSender{}), newCounting(t, &fakeSender{})
	for _, r := range []*Relay{instance, hub, otherHub} {
		if _, err := serve(r, withKey(call("/unsafe/1"), millKey)); err != nil {
			t.Fatal(err)
		}
	}
	own := instance.OwnReport()
	for range 2 {
		hub.ApplyReport(upstreamstate.InstanceSourcePrefix+"one", own)
	}
	zone := hub.ZoneReport()
	for range 2 {
		otherHub.ApplyReport("zone b", zone)
	}
	if atHub, atOtherHub := countOf(hub, "mill"), countOf(otherHub, "mill"); atHub != 2 || atOtherHub != 3 {
		t.Errorf("%d requests are known at the hub, want 2; %d at the other zone's, want 3", atHub, atOtherHub)
	}
}

// TestNoUsageIsCountedWithoutWindows: the deployment disabled the counts.
func TestNoUsageIsCountedWithoutWindows(t *testing.T) {
	r := newFake(t, &fakeSender{})
	withKeys(r, 2, millKey)
	if _, err := serve(r, withKey(call("/unsafe/1"), millKey)); err != nil && !errors.Is(err, ErrAnswerAborted) {
		t.Fatal(err)
	}
	if report := r.OwnReport(); len(report.Usage) != 0 {
		t.Errorf("%+v", report.Usage)
	}
}
