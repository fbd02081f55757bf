package relay

import (
	"context"
	"sync"
	"testing"
	"time"

	"sassafrasfield/internal/reservation"
	"sassafrasfield/internal/routes"
	"sassafrasfield/internal/upstreamstate"
)

// fakeReservations answers requests for reservations from a script and records what is reported.
type fakeReservations struct {
	// grant answers a request; nil never answers.
	grant func(reservation.Request) (reservation.Grant, bool)

	mu     sync.Mutex // protects the fields below
	asked  []reservation.Request
	sent   []reservation.Candidate
	ended  []bool // by whether the prompt was processed
	paces  int
	engine uint32 // of the last report
}

func (f *fakeReservations) RequestReservation(_ context.Context, _ string, request reservation.Request) (reservation.Grant, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.asked = append(f.asked, request)
	if f.grant == nil {
		return reservation.Grant{}, false
	}
	return f.grant(request)
}

func (f *fakeReservations) ReportSent(_ string, _ uint64, c reservation.Candidate) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.sent, f.engine = append(f.sent, c), c.Engine
}

func (f *fakeReservations) EndReservation(_ string, _ uint64, engine uint32, processed bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.ended, f.engine = append(f.ended, processed), engine
}

func (f *fakeReservations) ReportPace(string, uint32, time.Duration, time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.paces++
}

// last grants the last candidate of a request, which reports alone would not choose.
func last(request reservation.Request) (reservation.Grant, bool) {
	c := request.Candidates[len(request.Candidates)-1]
	return reservation.Grant{Engine: c.Engine, Busy: c.Busy, Speed: 1}, true
}

// newReserving returns a relay that reserves the work of prompts.
func newReserving(t *testing.T, sender Sender, reservations ReservationClient) *Relay {
	r := newFake(t, sender)
	r.settings.ReservationsFrom = 1
	r.SetReservationClient(reservations)
	return r
}

func hashOf(r *Relay, id string) uint32 { return r.upstreams.Upstream(id).Incarnation() }

// TestPromptGoesToTheReservedEngine guards against a prompt that goes to another engine than the one that was reserved, and
// against reservations that are never ended: both would make the others avoid an idle engine.
func TestPromptGoesToTheReservedEngine(t *testing.T) {
	sender, reservations := &fakeSender{}, &fakeReservations{grant: last}
	r := newReserving(t, sender, reservations)
	if _, err := serve(r, longPrompt("/once/1")); err != nil {
		t.Fatal(err)
	}
	request := reservations.asked[0]
	want := request.Candidates[len(request.Candidates)-1].Engine
	if got := hashOf(r, sender.calls[0].to); got != want {
		t.Errorf("the prompt went to %s, which was not reserved", sender.calls[0].to)
	}
	if len(reservations.ended) != 1 || !reservations.ended[0] || reservations.engine != want {
		t.Errorf("ended %v at engine %d, want one processed prompt at %d", reservations.ended, reservations.engine, want)
	}
}

// TestFailedPromptEndsItsReservation guards against an engine that is taken for busy, or for fast, after a prompt failed there.
func TestFailedPromptEndsItsReservation(t *testing.T) {
	sender, reservations := &fakeSender{}, &fakeReservations{grant: last}
	sender.prefill = func(n int, s Send) (KV, error) {
		if n == 1 {
			return KV{}, ErrRefused
		}
		return KV{Engine: s.To, Handle: "h"}, nil
	}
	r := newReserving(t, sender, reservations)
	withLargeBudget(r)
	if _, err := serve(r, longPrompt("/once/1")); err != nil {
		t.Fatal(err)
	}
	if len(reservations.ended) == 0 || reservations.ended[0] {
		t.Errorf("ended %v, want a first prompt that was not processed", reservations.ended)
	}
	if len(reservations.ended) != len(reservations.sent)+len(reservations.asked) {
		t.Errorf("%d reservations and %d reports of sent prompts, but %d ends", len(reservations.asked), len(reservations.sent), len(reservations.ended))
	}
}

// TestPromptIsServedWithoutAnAnswer guards against requests that fail while the instance that keeps the reservations is down:
// the reports decide, and the next instance to keep them learns of the prompt.
func TestPromptIsServedWithoutAnAnswer(t *testing.T) {
	sender, reservations := &fakeSender{}, &fakeReservations{}
	r := newReserving(t, sender, reservations)
	if _, err := serve(r, longPrompt("/once/1")); err != nil {
		t.Fatal(err)
	}
	if len(reservations.sent) != 1 || reservations.sent[0].Engine != hashOf(r, sender.calls[0].to) {
		t.Errorf("reported %+v, want the engine of the prompt", reservations.sent)
	}
	if len(reservations.ended) != 1 {
		t.Errorf("%d ends, want one", len(reservations.ended))
	}
}

// TestReservedEngineThatLeftGetsNoPrompt guards against a prompt that is sent to an engine which was removed while the
// reservation was under way.
func TestReservedEngineThatLeftGetsNoPrompt(t *testing.T) {
	sender, reservations := &fakeSender{}, &fakeReservations{}
	r := newReserving(t, sender, reservations)
	var removed string
	reservations.grant = func(request reservation.Request) (reservation.Grant, bool) {
		granted, ok := last(request)
		for _, id := range []string{"pre-1", "pre-2"} {
			if hashOf(r, id) == granted.Engine {
				removed = id
				r.RemoveUpstream(id)
			}
		}
		return granted, ok
	}
	if _, err := serve(r, longPrompt("/once/1")); err != nil {
		t.Fatal(err)
	}
	if sender.calls[0].to == removed {
		t.Errorf("the prompt went to %s, which was removed", removed)
	}
	if len(reservations.ended) != 2 || reservations.ended[0] || !reservations.ended[1] {
		t.Errorf("ended %v, want the reservation given back and the prompt processed", reservations.ended)
	}
}

// TestSmallServiceReservesNothing guards against messages for services whose reports are recent enough.
func TestSmallServiceReservesNothing(t *testing.T) {
	sender, reservations := &fakeSender{}, &fakeReservations{grant: last}
	r := newReserving(t, sender, reservations)
	r.settings.ReservationsFrom = 6
	if _, err := serve(r, longPrompt("/once/1")); err != nil {
		t.Fatal(err)
	}
	if len(reservations.asked)+len(reservations.sent)+len(reservations.ended)+reservations.paces != 0 {
		t.Errorf("%+v", reservations)
	}
}

// TestGenerationsAvoidSlowEngines guards against answers with pauses: a third of the engines took 2.4 times as long per
// token, and got as many generations as the others.
func TestGenerationsAvoidSlowEngines(t *testing.T) {
	sender := &fakeSender{}
	r := newReserving(t, sender, &fakeReservations{grant: last})
	table, _ := r.upstreams.Routes(r.now())
	r.SetRoutes(routes.NewTable(2, table.Routes, []routes.Service{{Name: "llm", Engine: &routes.EngineLimits{Slots: 64}}}, routes.Limits{}))
	r.ApplySpeeds([]reservation.EngineSpeed{{Engine: hashOf(r, "dec-1"), Speed: 2}, {Engine: hashOf(r, "dec-2"), Speed: 2}})
	for range 4 {
		if _, err := serve(r, longPrompt("/once/1")); err != nil {
			t.Fatal(err)
		}
	}
	for _, c := range sender.calls {
		if !c.prefill && c.to != "dec-3" {
			t.Errorf("a generation went to %s, which is slow", c.to)
		}
	}
}

// TestSpeedOfAnEngineExpires guards against an engine that is avoided for ever after its zone's hub fell silent.
func TestSpeedOfAnEngineExpires(t *testing.T) {
	s := upstreamstate.New(upstreamstate.Settings{Seed: 1})
	s.UpdateUpstream(upstreamstate.Upstream{ID: "e", Service: "s"})
	s.ApplySpeeds([]reservation.EngineSpeed{{Engine: s.Upstream("e").Incarnation(), Speed: 2}}, 0)
	if len(s.Speeds(time.Second)) != 1 {
		t.Error("the speed is not known")
	}
	if len(s.Speeds(time.Minute)) != 0 {
		t.Error("the speed is still used after a minute")
	}
}
