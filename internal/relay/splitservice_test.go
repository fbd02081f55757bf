package relay

import (
	"fmt"
	"net/http"
	"testing"

	"github.com/pkg/errors"

	"sassafrasfield/internal/config"
	"sassafrasfield/internal/routes"
	"sassafrasfield/internal/upstreamstate"
)

// splitRoutes returns a version of the configuration with a resumable route of which services get shares.
func splitRoutes(version int64, shares ...routes.Share) *routes.Table {
	return routes.NewTable(version, []routes.Route{
		{Name: "resumable", Host: "h", Prefix: "/resumable/", Kind: routes.Generation, Resumable: true, MaxAttempts: 2, Shares: shares},
	}, nil, routes.Limits{})
}

// idAt returns an id whose requests go to a service.
func idAt(t *testing.T, r *Relay, prefix, service string) string {
	t.Helper()
	table, _ := r.upstreams.Routes(r.now())
	for n := range 100 {
		if id := fmt.Sprintf("%s-%d", prefix, n); table.Routes[0].Pick(hashFraction(id)) == service {
			return id
		}
	}
	t.Fatalf("no id goes to %s", service)
	return ""
}

// splitTakeUp is a stream of the service llm that its caller takes up for the second time.
type splitTakeUp struct {
	// names is which attempt the caller names.
	names func(first, second string) string
	// next is the configuration when it returns; nil for the same.
	next *routes.Table
}

// TestTakenUpStreamStaysAtItsService guards against a stream that its caller takes up and that goes on at another service of a
// split route, because of the attempt that the caller names. It may be refused.
func TestTakenUpStreamStaysAtItsService(t *testing.T) {
	testSplitTakeUps(t, map[string]splitTakeUp{
		"names its first attempt":  {names: func(first, _ string) string { return first }},
		"names its second attempt": {names: func(_, second string) string { return second }},
		"names no attempt":         {names: func(_, _ string) string { return "" }},
	})
}

// TestTakenUpStreamStaysAtItsServiceAfterAChange guards against the same after the shares changed or the route moved.
func TestTakenUpStreamStaysAtItsServiceAfterAChange(t *testing.T) {
	first := func(first, _ string) string { return first }
	testSplitTakeUps(t, map[string]splitTakeUp{
		"the shares changed": {first, splitRoutes(3, routes.Share{Service: "llm", Weight: 1}, routes.Share{Service: "llm-2", Weight: 1e9})},
		"the route moved":    {first, splitRoutes(3, routes.Share{Service: "llm-2", Weight: 1})},
	})
}

func testSplitTakeUps(t *testing.T, cases map[string]splitTakeUp) {
	t.Helper()
	half := []routes.Share{{Service: "llm", Weight: 1}, {Service: "llm-2", Weight: 1}}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			f := &fakeSender{run: func(n int, _ Send) (*Reply, error) { return events(numberedEvents(n)), nil }}
			r := newFake(t, f)
			for _, id := range []string{"other-1", "other-2"} {
				r.UpdateUpstream(upstreamstate.Upstream{ID: id, Service: "llm-2", Address: id, Zone: "a", Role: config.RoleDecode, Version: "v1"})
			}
			for _, id := range []string{"dec-1", "dec-2", "dec-3"} {
				r.UpdateUpstream(upstreamstate.Upstream{ID: id, Service: "llm", Address: id, Zone: "a", Role: config.RoleDecode, Version: "v1"})
			}
			r.SetRoutes(splitRoutes(2, half...))
			first, second := idAt(t, r, "first", "llm"), idAt(t, r, "second", "llm-2")
			request := func(id, resumes, lastEvent string) *Request {
				one := shortOfTime("/resumable/1")
				one.ID, one.Resumes, one.LastEvent, one.WaitBudget = id, resumes, lastEvent, 0
				return one
			}
			if _, err := serve(r, request(first, "", "")); err != nil {
				t.Fatal(err)
			}
			if _, err := serve(r, request(second, first, "1")); err != nil {
				t.Fatal(err)
			}
			if c.next != nil && !r.SetRoutes(c.next) {
				t.Fatal("the configuration was not put in force")
			}
			f.calls = nil
			w, err := serve(r, request(idAt(t, r, "third", "llm-2"), c.names(first, second), "2"))
			var refusal *Refusal
			if errors.As(err, &refusal) && refusal.Outcome == NotRun && f.runs == 2 {
				return
			}
			if err != nil || w.Code != http.StatusOK {
				t.Fatal(err)
			}
			for _, one := range f.calls {
				if service := r.upstreams.Upstream(one.to).Service; service != "llm" {
					t.Errorf("the stream of llm goes on at %s (%s)", one.to, service)
				}
			}
		})
	}
}
