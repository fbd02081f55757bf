package relay

import (
	"context"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/rcrowley/go-metrics"

	"sassafrasfield/internal/placement"
	"sassafrasfield/internal/reservation"
	"sassafrasfield/internal/upstreamstate"
)

// ReservationClient requests reservations of prompt work from the instances that keep them, one for each zone.
type ReservationClient interface {
	// RequestReservation requests one of several engines of a zone; false if no instance decided in time.
	RequestReservation(ctx context.Context, zone string, request reservation.Request) (reservation.Grant, bool)
	// ReportSent reports a prompt that was sent to an engine of a zone without a reservation.
	ReportSent(zone string, prompt uint64, c reservation.Candidate)
	// EndReservation reports that the work of a prompt ended; processed is false if it failed.
	EndReservation(zone string, prompt uint64, engine uint32, processed bool)
	// ReportPace reports the time that an engine of a zone took to generate, and the predicted time at usual speed.
	ReportPace(zone string, engine uint32, took, usual time.Duration)
}

// reservations holds the prompt work that is reserved on the engines of this zone while this instance is its hub,
// and the client of the instances that keep the reservations.
type reservations struct {
	client ReservationClient // nil if prompts are placed by the reports alone
	mu     sync.Mutex        // protects ledger
	ledger *reservation.Ledger
	meters reservationMeters
}

// reservationMeters counts the placements of prompts with a reservation, and without one although it was requested.
type reservationMeters struct{ reserved, undecided metrics.Counter }

func newReservations() *reservations {
	return &reservations{ledger: reservation.NewLedger(), meters: reservationMeters{reserved: counter("prompts_reserved"), undecided: counter("prompts_unreserved")}}
}

// SetReservationClient has prompt work reserved before prompts are sent. It is called before requests are served.
func (r *Relay) SetReservationClient(c ReservationClient) { r.reservations.client = c }

// Reserve implements peers.Reservations.
func (r *Relay) Reserve(request reservation.Request) (reservation.Grant, bool) {
	r.reservations.mu.Lock()
	defer r.reservations.mu.Unlock()
	return r.reservations.ledger.Reserve(request, r.now())
}

// RecordSent implements peers.Reservations.
func (r *Relay) RecordSent(prompt uint64, c reservation.Candidate) {
	r.reservations.mu.Lock()
	defer r.reservations.mu.Unlock()
	r.reservations.ledger.Record(prompt, c, r.now())
}

// EndReservation implements peers.Reservations.
func (r *Relay) EndReservation(prompt uint64, engine uint32, processed bool) {
	r.reservations.mu.Lock()
	defer r.reservations.mu.Unlock()
	r.reservations.ledger.Done(prompt, engine, processed, r.now())
}

// ObservePace implements peers.Reservations.
func (r *Relay) ObservePace(engine uint32, took, usual time.Duration) {
	r.reservations.mu.Lock()
	defer r.reservations.mu.Unlock()
	r.reservations.ledger.Observe(engine, took, usual, r.now())
}

// LearnedSpeeds implements peers.Reservations.
func (r *Relay) LearnedSpeeds() []reservation.EngineSpeed {
	r.reservations.mu.Lock()
	defer r.reservations.mu.Unlock()
	return r.reservations.ledger.Speeds(r.now())
}

// ApplySpeeds implements peers.Reservations.
func (r *Relay) ApplySpeeds(list []reservation.EngineSpeed) { r.upstreams.ApplySpeeds(list, r.now()) }

// Speeds implements peers.Reservations.
func (r *Relay) Speeds() []reservation.EngineSpeed { return r.upstreams.Speeds(r.now()) }

// reportPace reports how long an engine took to generate to the instance that learns the speeds of its zone.
func (r *Relay) reportPace(engine upstreamstate.Upstream, took, usual time.Duration) {
	if r.reserves(engine.Service) && usual > 0 {
		r.reservations.client.ReportPace(engine.Zone, engine.Incarnation(), took, usual)
	}
}

// reserves reports whether the work of prompts to a service is reserved.
func (r *Relay) reserves(service string) bool {
	from := r.settings.ReservationsFrom
	return r.reservations.client != nil && from > 0 && r.upstreams.Count(service) >= from
}

// reserved is the reservation of the prompt that is being processed; the zero value if there is none.
type reserved struct {
	prompt uint64
	engine uint32
	zone   string
	speed  float64
}

// placePrompt chooses the engine that processes a prompt, and charges the request to it. Among several engines of a
// zone, the zone's hub decides, which knows what all instances have just sent there. Without its answer the reports
// decide.
func (r *Relay) placePrompt(ctx context.Context, g *generation, request upstreamstate.PlacementRequest) (placement.Prefill, placement.QueueOrder, bool) {
	g.reservation = reserved{}
	client := r.reservations.client
	if !r.reserves(g.service) {
		return r.upstreams.PickPrefill(request, r.now())
	}
	options, ok := r.upstreams.PrefillOptions(request, r.now())
	if !ok {
		return r.upstreams.PickPrefill(request, r.now())
	}
	prompt := reservationID(g)
	started := r.now()
	granted, ok := client.RequestReservation(ctx, options.Zone, reservation.Request{ID: prompt, Candidates: options.Candidates()})
	observe("reservation", r.now()-started)
	if ok {
		if start, order, ok := r.upstreams.PlaceReserved(request, options, granted, r.now()); ok {
			r.reservations.meters.reserved.Inc(1)
			g.reservation = reserved{prompt: prompt, engine: granted.Engine, zone: options.Zone, speed: granted.Speed}
			return start, order, true
		}
		client.EndReservation(options.Zone, prompt, granted.Engine, false)
	}
	r.reservations.meters.undecided.Inc(1)
	return r.placeUnreserved(g, request, prompt)
}

// placeUnreserved chooses the engine by the reports, and reports the work to the hub of the engine's zone.
func (r *Relay) placeUnreserved(g *generation, request upstreamstate.PlacementRequest, prompt uint64) (placement.Prefill, placement.QueueOrder, bool) {
	start, order, ok := r.upstreams.PickPrefill(request, r.now())
	if !ok || start.Direct() {
		return start, order, ok
	}
	engine := r.upstreams.Upstream(start.Engine.ID).Incarnation()
	g.reservation = reserved{prompt: prompt, engine: engine, zone: start.Engine.Zone, speed: 1}
	r.reservations.client.ReportSent(start.Engine.Zone, prompt, reservation.Candidate{Engine: engine, Busy: start.BusyTime})
	return start, order, true
}

// endReservation reports that the reserved work ended.
func (r *Relay) endReservation(g *generation, processed bool) {
	if held := g.reservation; held.prompt != 0 {
		r.reservations.client.EndReservation(held.zone, held.prompt, held.engine, processed)
		g.reservation = reserved{}
	}
}

// reservationID identifies one placement of a request's prompt among those of all instances.
func reservationID(g *generation) uint64 {
	id := xxhash.Sum64String(g.req.ID) ^ uint64(g.attempts.Sends()+1)*placementMultiplier
	return max(1, id)
}

// placementMultiplier distinguishes the placements of one prompt. It is the 64-bit golden ratio, which spreads
// small numbers over all bits.
const placementMultiplier = 0x9e3779b97f4a7c15
