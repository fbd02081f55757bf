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
	mu     sync.Mutex        // protects the fields below
	ledger *reservation.Ledger
	// since is when this instance began to grant reservations, usedAt when it last did.
	since, usedAt time.Duration
	meters        reservationMeters
}

// reservationMeters counts the placements of prompts with a reservation, those without one although it was requested, and
// those for which a second zone was asked.
type reservationMeters struct{ reserved, undecided, second metrics.Counter }

func newReservations() *reservations {
	return &reservations{ledger: reservation.NewLedger(), meters: reservationMeters{
		reserved: counter("prompts_reserved"), undecided: counter("prompts_unreserved"), second: counter("prompts_second_zone"),
	}}
}

// SetReservationClient has prompt work reserved before prompts are sent. It is called before requests are served.
func (r *Relay) SetReservationClient(c ReservationClient) { r.reservations.client = c }

const (
	// ledgerPause is the time without requests after which a ledger counts as new, because another instance was the
	// hub meanwhile.
	ledgerPause = time.Second
	// ledgerSettles is the time for which the reported loads are added to a new ledger. By then most prompts that
	// were sent before are processed.
	ledgerSettles = time.Second
)

// Reserve implements peers.Reservations. A new ledger lacks what was placed before, so the reported loads
// are added to it.
func (r *Relay) Reserve(request reservation.Request) (reservation.Grant, bool) {
	now := r.now()
	r.reservations.mu.Lock()
	defer r.reservations.mu.Unlock()
	if now-r.reservations.usedAt > ledgerPause || r.reservations.since == 0 {
		r.reservations.since = now
	}
	r.reservations.usedAt = now
	if now-r.reservations.since < ledgerSettles {
		for i := range request.Candidates {
			request.Candidates[i].Extra += r.upstreams.Backlog(request.Candidates[i].Engine, now)
		}
	}
	return r.reservations.ledger.Reserve(request, now)
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

// offer is an engine that a hub reserved, among the choices that it was asked for.
type offer struct {
	zone    string
	choice  placement.PrefillChoice
	granted reservation.Grant
}

// cost returns the predicted time of the prompt, with the other costs of the choice.
func (o offer) cost() time.Duration {
	work := o.granted.Busy + reservation.CopyCost(o.choice.Copy, o.granted.Busy, o.granted.Wait)
	return o.granted.Wait + time.Duration(float64(work)*o.granted.Speed) + o.choice.Extra
}

// prefill returns the placement of the prompt with what the hub knows about the engine.
func (o offer) prefill() placement.Prefill {
	p := o.choice.Prefill
	p.Engine.Aggregate.Backlog = o.granted.Wait
	p.Engine.Aggregate.DeferredBacklog = min(p.Engine.Aggregate.DeferredBacklog, o.granted.Wait)
	p.BusyTime = time.Duration(float64(o.granted.Busy) * o.granted.Speed)
	return p
}

const (
	// maxChoices bounds the engines that one request names, so that it fits into 200 bytes.
	maxChoices = 16
	// secondZoneAbove is the wait above which another zone is asked as well: longer than the 3 ms of the second
	// request, and an eighth of the shortest objective of prompts. In package model 7% more messages halve the waits on
	// uneven engines.
	secondZoneAbove = 50 * time.Millisecond
)

// placePrompt chooses the engine that processes a prompt, and charges the request to it. Among several engines of a
// zone, the zone's hub decides, which knows what all instances have just sent there. Without its answer the reports
// decide.
func (r *Relay) placePrompt(ctx context.Context, g *generation, request upstreamstate.PlacementRequest) (placement.Prefill, placement.QueueOrder, bool) {
	g.reservation = reserved{}
	if !r.reserves(g.service) || !r.upstreams.StartsOnPrefillEngine(request, r.now()) {
		return r.upstreams.PickPrefill(request, r.now())
	}
	prompt := reservationID(g)
	started := r.now()
	best, ok := r.bestOffer(ctx, request, prompt)
	observe("reservation", r.now()-started)
	if !ok {
		r.reservations.meters.undecided.Inc(1)
		return r.placeUnreserved(g, request, prompt)
	}
	order, ok := r.upstreams.PlacePrefill(request, best.prefill(), r.now())
	if !ok {
		r.decline(best, prompt)
		r.reservations.meters.undecided.Inc(1)
		return r.placeUnreserved(g, request, prompt)
	}
	r.reservations.meters.reserved.Inc(1)
	g.reservation = reserved{prompt: prompt, engine: best.granted.Engine, zone: best.zone, speed: best.granted.Speed}
	return best.prefill(), order, true
}

// bestOffer requests a reservation in the zone of the best engine, and in the next best zone if the wait is long.
func (r *Relay) bestOffer(ctx context.Context, request upstreamstate.PlacementRequest, prompt uint64) (offer, bool) {
	first, ok := r.requestOffer(ctx, request, prompt, "")
	if !ok || first.granted.Wait <= secondZoneAbove {
		return first, ok
	}
	second, ok := r.requestOffer(ctx, request, prompt, first.zone)
	if !ok {
		return first, true
	}
	r.reservations.meters.second.Inc(1)
	if second.cost() < first.cost() {
		first, second = second, first
	}
	r.decline(second, prompt)
	return first, true
}

// requestOffer requests a reservation among the best engines of a zone other than without.
func (r *Relay) requestOffer(ctx context.Context, request upstreamstate.PlacementRequest, prompt uint64, without string) (offer, bool) {
	choices := r.upstreams.PrefillChoices(request, maxChoices, without, r.now())
	if len(choices) == 0 {
		return offer{}, false
	}
	ask := reservation.Request{ID: prompt}
	for _, choice := range choices {
		ask.Candidates = append(ask.Candidates, reservation.Candidate{Engine: r.hashOf(choice), Busy: choice.BusyTime, Extra: choice.Extra, Copy: choice.Copy})
	}
	zone := choices[0].Engine.Zone
	granted, ok := r.reservations.client.RequestReservation(ctx, zone, ask)
	if !ok {
		return offer{}, false
	}
	for i, choice := range choices {
		if ask.Candidates[i].Engine == granted.Engine {
			return offer{zone: zone, choice: choice, granted: granted}, true
		}
	}
	return offer{}, false
}

func (r *Relay) hashOf(choice placement.PrefillChoice) uint32 {
	return r.upstreams.Upstream(choice.Engine.ID).Incarnation()
}

// decline gives a reservation back that is not used.
func (r *Relay) decline(o offer, prompt uint64) {
	r.reservations.client.EndReservation(o.zone, prompt, o.granted.Engine, false)
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
