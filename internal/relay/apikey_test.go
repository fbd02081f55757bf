package relay

import (
	"net/http"
	"testing"

	"sassafrasfield/internal/apikey"
	"sassafrasfield/internal/routes"
	"sassafrasfield/internal/upstreamstate"
)

// API keys in the configuration of the tests.
const (
	millKey = "key-of-the-mill"
	gateKey = "key-of-the-gate"
)

// credential returns the credential of a request with a key.
func credential(key string) apikey.Credential {
	return apikey.Read(http.Header{apikey.Header: {"Bearer " + key}})
}

// withKeys puts a version in force in which only the given keys are known. The requests of
// organisation mill are the most urgent.
func withKeys(r *Relay, version int64, known ...string) {
	urgent := 0
	owners := map[string]*routes.Organisation{millKey: {Name: "mill", Priority: &urgent}, gateKey: {Name: "gate"}}
	before, _ := r.upstreams.Routes(r.now())
	list := append([]routes.Route{}, before.Routes...)
	for i := range list {
		list[i].Priority = 3
		list[i].Public = list[i].Name == "safe"
	}
	t := routes.NewTable(version, list, nil, routes.Limits{})
	t.Keys = apikey.NewTable[*routes.Organisation]()
	for _, key := range known {
		t.Keys.Add(apikey.HashOf(key), owners[key])
	}
	r.SetRoutes(t)
}

func withKey(req *Request, key string) *Request {
	req.Credential = credential(key)
	return req
}

// TestOnlyKnownKeysAreServed checks that a route requires a key unless it is public, and that each
// send states whose request it is.
func TestOnlyKnownKeysAreServed(t *testing.T) {
	for name, c := range map[string]struct {
		req      *Request
		served   bool
		owner    string
		priority int
	}{
		"known":                       {withKey(call("/unsafe/1"), gateKey), true, "gate", 3},
		"the organisation's priority": {withKey(call("/unsafe/1"), millKey), true, "mill", 0},
		"a generation":                {withKey(longPrompt("/once/1"), millKey), true, "mill", 0},
		"unknown":                     {withKey(call("/unsafe/1"), "x"), false, "", 0},
		"none":                        {call("/unsafe/1"), false, "", 0},
		"a generation without a key":  {longPrompt("/once/1"), false, "", 0},
		"public, none":                {call("/safe/1"), true, "", 3},
		"public, unknown":             {withKey(call("/safe/1"), "x"), true, "", 3},
		"public, known":               {withKey(call("/safe/1"), gateKey), true, "gate", 3},
	} {
		f := &fakeSender{}
		r := newFake(t, f)
		withKeys(r, 2, millKey, gateKey)
		_, err := serve(r, c.req)
		if !c.served {
			if outcome := outcomeOf(t, err); outcome != Unauthenticated || f.count() != 0 {
				t.Errorf("%s: outcome %d after %d sends", name, outcome, f.count())
			}
			continue
		}
		if err != nil || f.count() == 0 {
			t.Errorf("%s: %v after %d sends", name, err, f.count())
		}
		for _, s := range f.calls {
			if id := s.send.Identity; !id.KeyChecked || id.Name() != c.owner || s.send.Priority != c.priority {
				t.Errorf("%s: sent for %q, checked %t, priority %d", name, id.Name(), id.KeyChecked, s.send.Priority)
			}
		}
	}
}

// TestNoKeyIsRejectedWithoutConfiguration: no keys are known yet, so that the request may be
// retried.
func TestNoKeyIsRejectedWithoutConfiguration(t *testing.T) {
	r := New(DefaultSettings(), &fakeSender{}, newFake(t, &fakeSender{}).log)
	if _, err := serve(r, withKey(call("/unsafe/1"), millKey)); outcomeOf(t, err) != NotRun {
		t.Error(err)
	}
}

// TestKeyRevocationStopsRequest: the key is revoked while an engine processes the prompt, or
// between two attempts. Nothing more is sent for the request.
func TestKeyRevocationStopsRequest(t *testing.T) {
	f := &fakeSender{}
	r := newFake(t, f)
	withKeys(r, 2, millKey)
	f.prefill = func(int, Send) (KV, error) {
		withKeys(r, 3, gateKey)
		return KV{Engine: upstreamstate.Upstream{ID: "pre-1"}, Handle: "h"}, nil
	}
	if _, err := serve(r, withKey(longPrompt("/once/1"), millKey)); outcomeOf(t, err) != Unauthenticated || f.runs != 0 {
		t.Errorf("%v after %d runs", err, f.runs)
	}
	f = &fakeSender{}
	r = newFake(t, f)
	withLargeBudget(r)
	withKeys(r, 2, millKey)
	f.run = func(int, Send) (*Reply, error) {
		withKeys(r, 3, gateKey)
		return nil, ErrRefused
	}
	if _, err := serve(r, withKey(call("/unsafe/1"), millKey)); outcomeOf(t, err) != Unauthenticated || f.runs != 1 {
		t.Errorf("%v after %d runs", err, f.runs)
	}
}
