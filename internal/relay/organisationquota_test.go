package relay

import (
	"context"
	"testing"
	"time"

	"github.com/pkg/errors"

	"sassafrasfield/internal/apikey"
	"sassafrasfield/internal/limit"
	"sassafrasfield/internal/routes"
)

// quotaGranter answers the requests for grants from a script and records them.
type quotaGranter struct {
	grant              func(n int) limit.Grant
	requests, refunded []limit.GrantRequest
}

// newQuotaRelay returns a relay on which organisation mill has a quota in tokens.
func newQuotaRelay(t *testing.T, f *fakeSender, g *quotaGranter) *Relay {
	t.Helper()
	r := newFake(t, f)
	before, _ := r.upstreams.Routes(r.now())
	table := routes.NewTable(2, before.Routes, nil, routes.Limits{})
	table.Keys = apikey.NewTable[*routes.Organisation]()
	quota := routes.Quota{Rate: 1000, Burst: 500, CountsTokens: true, PlainTokens: 200}
	table.Keys.Add(apikey.HashOf(millKey), &routes.Organisation{Name: "mill", Quota: quota})
	table.Keys.Add(apikey.HashOf(gateKey), &routes.Organisation{Name: "gate"})
	r.SetRoutes(table)
	r.SetQuotaGranter(func(_ context.Context, request limit.GrantRequest) limit.Grant {
		g.requests = append(g.requests, request)
		return g.grant(len(g.requests))
	}, func(request limit.GrantRequest) { g.refunded = append(g.refunded, request) })
	return r
}

func always(grant limit.Grant) func(int) limit.Grant { return func(int) limit.Grant { return grant } }

// TestRequestsOverQuotaAreRefusedAtOnce guards against requests beyond an organisation's quota that reach an
// upstream, and against refusals of organisations without a quota.
func TestRequestsOverQuotaAreRefusedAtOnce(t *testing.T) {
	for name, c := range map[string]struct {
		key   string
		grant limit.Grant
		sends bool
		want  Outcome
	}{
		"granted":  {key: millKey, grant: limit.Grant{Granted: true}, sends: true},
		"refused":  {key: millKey, grant: limit.Grant{RetryIn: 300 * time.Millisecond}, want: OverQuota},
		"no quota": {key: gateKey, grant: limit.Grant{RetryIn: time.Second}, sends: true},
	} {
		for _, req := range []*Request{longPrompt("/once/1"), call("/unsafe/1"), call("/safe/1")} {
			f, g := &fakeSender{}, &quotaGranter{grant: always(c.grant)}
			_, err := serve(newQuotaRelay(t, f, g), withKey(req, c.key))
			if c.sends {
				if err != nil || f.count() == 0 {
					t.Errorf("%s: %v after %d sends", name, err, f.count())
				}
				continue
			}
			var refusal *Refusal
			if !errors.As(err, &refusal) || refusal.Outcome != c.want || f.count() > 0 || refusal.RetryIn < c.grant.RetryIn {
				t.Errorf("%s: %v after %d sends", name, err, f.count())
			}
		}
	}
}

// TestRequestCountsOnceByItsTokens guards against a request that is charged for each of its sends, such as the
// prefill and the run, or by something else than its tokens.
func TestRequestCountsOnceByItsTokens(t *testing.T) {
	for path, want := range map[string]float64{"/once/1": 8010, "/unsafe/1": 200} {
		req := call(path)
		if path == "/once/1" {
			req = longPrompt(path)
		}
		f, g := &fakeSender{}, &quotaGranter{grant: always(limit.Grant{Granted: true})}
		if _, err := serve(newQuotaRelay(t, f, g), withKey(req, millKey)); err != nil {
			t.Error(err)
		}
		if len(g.requests) != 1 || g.requests[0].Cost != want || len(g.refunded) != 0 {
			t.Errorf("%s: %v, refunded %v", path, g.requests, g.refunded)
		}
	}
}

// TestQuotaOfRequestThatDidNotRunIsReturned guards against requests that use up a quota although every upstream
// refused them.
func TestQuotaOfRequestThatDidNotRunIsReturned(t *testing.T) {
	f, g := &fakeSender{}, &quotaGranter{grant: always(limit.Grant{Granted: true})}
	f.run = func(int, Send) (*Reply, error) { return nil, ErrRefused }
	if _, err := serve(newQuotaRelay(t, f, g), withKey(call("/unsafe/1"), millKey)); outcomeOf(t, err) != NotRun {
		t.Error(err)
	}
	if len(g.refunded) != 1 || g.refunded[0].Cost != 200 {
		t.Errorf("refunded %v", g.refunded)
	}
	f, g = &fakeSender{}, &quotaGranter{grant: always(limit.Grant{Granted: true})}
	f.run = func(int, Send) (*Reply, error) { return nil, ErrNoValidAnswer }
	if _, err := serve(newQuotaRelay(t, f, g), withKey(call("/unsafe/1"), millKey)); outcomeOf(t, err) != Unknown || len(g.refunded) != 0 {
		t.Errorf("%v, refunded %v", err, g.refunded)
	}
}

// TestRequestWaitsForQuotaDecision guards against requests that are lost, or that run unchecked, while no
// instance decides on quotas.
func TestRequestWaitsForQuotaDecision(t *testing.T) {
	f, g := &fakeSender{}, &quotaGranter{}
	g.grant = func(n int) limit.Grant { return limit.Grant{Granted: n == 2, Undecided: n < 2} }
	if _, err := serve(newQuotaRelay(t, f, g), withKey(call("/unsafe/1"), millKey)); err != nil || len(g.requests) != 2 {
		t.Errorf("%v after %d requests", err, len(g.requests))
	}
	f, g = &fakeSender{}, &quotaGranter{grant: always(limit.Grant{Undecided: true})}
	if _, err := serve(newQuotaRelay(t, f, g), withKey(call("/unsafe/1"), millKey)); outcomeOf(t, err) != NotRun || f.count() > 0 {
		t.Errorf("%v after %d sends", err, f.count())
	}
}

// TestToleranceIsPartlyUsedAsBurst guards against refusals of a burst that the operators tolerate, and against a burst
// that uses up what they tolerate.
func TestToleranceIsPartlyUsedAsBurst(t *testing.T) {
	tolerance := QuotaTolerance{Window: 8 * time.Second, Over: 0.1, Slack: 1900}
	if got := tolerance.burst(1000, 1000); got != 1000+(900+1900)/2 {
		t.Errorf("%g", got)
	}
	if got := (QuotaTolerance{}).burst(1000, 700); got != 700 {
		t.Errorf("%g without tolerance", got)
	}
}
