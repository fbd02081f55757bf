package entry

import (
	"context"
	"io"
	"log/slog"
	"sync/atomic"
	"testing"
	"time"

	"sassafrasfield/internal/config"
	"sassafrasfield/internal/engine"
	"sassafrasfield/internal/load"
	"sassafrasfield/internal/placement"
	"sassafrasfield/internal/testfleet"
)

// routingState returns a state with two engines and a service with two upstreams.
func routingState(change func(*Settings)) *state {
	settings := DefaultSettings()
	settings.Instance, settings.Zone = "inst-1", "hall-a"
	if change != nil {
		change(settings)
	}
	s := newState(settings, slog.New(slog.NewTextHandler(io.Discard, nil)))
	loaded := config.EngineState{Model: "m", Version: "1", Role: config.RoleMixed}
	s.apply(&config.Config{
		Version: 1,
		Engines: []config.Engine{
			{ID: "e1", Pool: "p", Routing: config.RoutingServing, Loaded: loaded},
			{ID: "e2", Pool: "p", Routing: config.RoutingServing, Loaded: loaded},
		},
		Services: []config.Service{{Name: "s", Prefix: "/s", Upstreams: []config.ServiceUpstream{
			{ID: "near", Zone: "hall-a"}, {ID: "far", Zone: "hall-b"},
		}}},
	}, nil, heartbeat{at: time.Second})
	return s
}

func TestDrainingEngineGetsNoWorkAfterApply(t *testing.T) {
	s := routingState(nil)
	s.apply(nil, []string{"e1"}, heartbeat{at: time.Second})
	for range 50 {
		e, ok := s.place(&placement.Request{Model: "m"}, load.Placement{ID: "r", At: time.Second})
		if !ok || e.ID != "e2" {
			t.Fatalf("placed on %v", e)
		}
	}
	s.apply(nil, []string{"e1", "e2"}, heartbeat{at: time.Second})
	if _, ok := s.place(&placement.Request{Model: "m"}, load.Placement{ID: "r", At: time.Second}); ok {
		t.Fatal("placed on a draining engine")
	}
}

func TestServiceCallsPreferSameZoneAndLowLoad(t *testing.T) {
	s := routingState(nil)
	svc := &s.config().Services[0]
	place := func(request string) string {
		u, ok := s.placeCall(svc, request, nil, time.Second)
		if !ok {
			t.Fatal("no upstream")
		}
		return u.ID
	}
	if got := place("a"); got != "near" {
		t.Fatalf("the first call went to %s", got)
	}
	if got := place("b"); got != "far" {
		t.Fatalf("the second call went to %s although the upstream in the same zone is busy", got)
	}
	s.release(servicePrefix+"near", "a", time.Second)
	s.release(servicePrefix+"far", "b", time.Second)
	for range s.routing.Failures {
		s.recordCall(servicePrefix+"near", load.CallFailed, time.Second)
	}
	if got := place("c"); got != "far" {
		t.Fatalf("a call went to the ejected %s", got)
	}
}

func TestSubsetLimitsWatchedAndUsedEngines(t *testing.T) {
	s := routingState(func(settings *Settings) { settings.Routing.Subset = 1 })
	if n := len(s.watched()); n != 1 {
		t.Fatalf("%d engines watched, want 1", n)
	}
	for range 20 {
		if e, ok := s.place(&placement.Request{Model: "m"}, load.Placement{ID: "r", At: time.Second}); !ok || e.ID != s.watched()[0].ID {
			t.Fatalf("placed outside the subset: %v", e)
		}
	}
}

func TestHangingEngineDoesNotDelayOtherReads(t *testing.T) {
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	s := routingState(nil)
	var reads atomic.Int64
	unblock := make(chan struct{})
	defer close(unblock)
	p := poller{every: time.Millisecond, engines: s.watched, read: func(_ context.Context, e *config.Engine) {
		if e.ID == "e1" {
			<-unblock
			return
		}
		reads.Add(1)
	}}
	go p.run(ctx)
	if err := testfleet.Until(ctx, "the other engine is read many times", func() bool { return reads.Load() > 20 }); err != nil {
		t.Fatal(err)
	}
}

func TestReportSettlesChargesByAcceptanceNumber(t *testing.T) {
	s := routingState(nil)
	e, _ := s.place(&placement.Request{Model: "m"}, load.Placement{ID: "r", PrefillTokens: 5, At: time.Second})
	s.accepted(e.ID, "r", load.Acceptance{Boot: "b", Number: 7})
	s.reported(e.ID, engine.Report{Boot: "b", Seq: 1, Accepted: 6}, time.Second)
	if s.table.Upstream(e.ID).Charges() != 1 {
		t.Fatal("a report from before the request removed its charge")
	}
	s.reported(e.ID, engine.Report{Boot: "b", Seq: 2, Accepted: 7}, time.Second)
	if s.table.Upstream(e.ID).Charges() != 0 {
		t.Fatal("the charge remains after the report that includes the request")
	}
}

// Admission must see the same engines as routing. Both use the same filters, which need all fields of the
// request.
func TestAdmissionSeesTheEnginesEligibleForRouting(t *testing.T) {
	s := routingState(nil)
	loads := s.engineLoads(&placement.Request{Model: "m", Blocks: 1, Now: time.Second})
	if len(loads) != 2 {
		t.Fatalf("%d engines, want 2", len(loads))
	}
}
