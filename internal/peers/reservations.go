package peers

import (
	"context"
	"maps"
	"slices"
	"time"

	sfv1 "sassafrasfield/internal/gen/sf/v1"
	"sassafrasfield/internal/reservation"
)

// The hub of each zone keeps the reservations of prompt work on the engines of its zone. Hubs know one another from
// their reports, all other instances know them from the batches of their own hub.

const (
	// reservationTimeout bounds a request for a reservation. A round trip between zones takes 3 ms, and a busy
	// hub answers within some 10 ms. Without an answer the instance chooses by the reports, which costs less
	// than a longer wait: half of the prompts take less than 60 ms.
	reservationTimeout = 25 * time.Millisecond
	// reservationResend is when a request without an answer is sent once more: the request or its answer may be
	// lost.
	reservationResend = 10 * time.Millisecond
	// reservationPause is how long no reservations are requested from a zone after its hub did not answer. The
	// next hub takes over within 0.35 s.
	reservationPause = 200 * time.Millisecond
	// hubsTTL is how long the addresses of the other zones' hubs are used after they were received.
	hubsTTL = 3 * time.Second
)

// Reservations holds the reservations of prompt work that this instance keeps while it is its zone's hub.
type Reservations interface {
	// Reserve reserves one of the engines in a request.
	Reserve(request reservation.Request) (reservation.Grant, bool)
	// RecordSent records the work of a prompt that was sent without a reservation.
	RecordSent(prompt uint64, c reservation.Candidate)
	// EndReservation records that the work of a prompt ended; processed is false if it failed.
	EndReservation(prompt uint64, engine uint32, processed bool)
	// ObservePace learns from the time that an engine of this zone took to generate.
	ObservePace(engine uint32, took, usual time.Duration)
	// LearnedSpeeds returns the speeds that this instance learned as the hub, Speeds those of all zones that it
	// knows. ApplySpeeds applies speeds that a hub published.
	LearnedSpeeds() []reservation.EngineSpeed
	Speeds() []reservation.EngineSpeed
	ApplySpeeds(list []reservation.EngineSpeed)
}

// hubDirectory holds the addresses of the other zones' hubs, and the zones whose hubs recently did not answer.
// The mutex of the Exchange protects it.
type hubDirectory struct {
	addresses   map[string]string
	at          time.Duration
	pausedUntil map[string]time.Duration
}

func newHubDirectory() hubDirectory { return hubDirectory{pausedUntil: map[string]time.Duration{}} }

// otherHubs returns the addresses of the other zones' hubs as this hub knows them.
func (e *Exchange) otherHubs() map[string]string {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := e.now()
	hubs := map[string]string{}
	for zone, z := range e.zones {
		if now-z.at <= hubTimeout {
			hubs[zone] = z.hub.Address
		}
	}
	return hubs
}

// noteHubs records the addresses of the other zones' hubs that a batch has.
func (e *Exchange) noteHubs(hubs map[string]string) {
	if len(hubs) == 0 {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.hubs.addresses, e.hubs.at = maps.Clone(hubs), e.now()
}

// hubOf returns the address of a zone's hub; empty if none is known or it recently did not answer. Self is whether
// this instance is that hub.
func (e *Exchange) hubOf(zone string) (address string, self bool) {
	if zone == e.self.Zone {
		address, self = e.hubAddress()
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	now := e.now()
	if self || now < e.hubs.pausedUntil[zone] {
		return "", self
	}
	if zone == e.self.Zone {
		return address, false
	}
	if status, ok := e.zones[zone]; ok && now-status.at <= hubTimeout {
		return status.hub.Address, false
	}
	if now-e.hubs.at > hubsTTL {
		return "", false
	}
	return e.hubs.addresses[zone], false
}

// pauseHub has no reservations requested from a zone's hub for a while.
func (e *Exchange) pauseHub(zone string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.hubs.pausedUntil[zone] = e.now() + reservationPause
}

// RequestReservation requests one of several engines of a zone for a prompt. It returns false if the zone's hub is
// not known, keeps no reservations or does not answer in time.
func (r *Reporter) RequestReservation(ctx context.Context, zone string, request reservation.Request) (reservation.Grant, bool) {
	hub, self := r.exchange.hubOf(zone)
	if self {
		return r.loads.Reserve(request)
	}
	if hub == "" {
		return reservation.Grant{}, false
	}
	id, answer := r.startReservation(hub, request)
	defer r.reservationRequests.cancel(id)
	timer, resend := time.NewTimer(reservationTimeout), time.NewTimer(reservationResend)
	defer timer.Stop()
	defer resend.Stop()
	for {
		select {
		case granted := <-answer:
			return granted.Grant, granted.ok
		case <-resend.C:
			r.sendReserveAsk(id, hub, request)
			continue
		case <-timer.C:
			r.exchange.pauseHub(zone)
			r.exchange.log.Info("peers: no answer to a reservation", "hub", hub, "zone", zone, "prompt", request.ID, "pause", reservationPause)
		case <-ctx.Done():
		}
		return reservation.Grant{}, false
	}
}

// startReservation sends a request for a reservation to a hub. The answer arrives on the channel.
func (r *Reporter) startReservation(hub string, request reservation.Request) (id uint64, answer <-chan reservationAnswer) {
	id, answer = r.reservationRequests.register()
	r.sendReserveAsk(id, hub, request)
	return id, answer
}

// sendReserveAsk sends a registered request. The hub answers a repeated one in the same way.
func (r *Reporter) sendReserveAsk(id uint64, hub string, request reservation.Request) {
	message := r.newPlainDatagram(sfv1.Datagram_KIND_RESERVE_ASK)
	message.ReserveAsk = reserveAskToMessage(id, request)
	r.send(message, []string{hub})
}

// reservationAnswer is the answer to a request for a reservation; ok is false if nothing was reserved.
type reservationAnswer struct {
	reservation.Grant
	ok bool
}

// ReportSent reports the work of a prompt that was sent without a reservation to the hub of the engine's zone.
func (r *Reporter) ReportSent(zone string, prompt uint64, c reservation.Candidate) {
	message := r.newPlainDatagram(sfv1.Datagram_KIND_RESERVE_ASK)
	message.ReserveAsk = reserveAskToMessage(0, reservation.Request{ID: prompt, Candidates: []reservation.Candidate{c}})
	message.ReserveAsk.Sent = true
	r.notifyHub(zone, message, func() { r.loads.RecordSent(prompt, c) })
}

// EndReservation reports the end of a prompt's work to the hub of the engine's zone.
func (r *Reporter) EndReservation(zone string, prompt uint64, engine uint32, processed bool) {
	message := r.newPlainDatagram(sfv1.Datagram_KIND_RESERVE_END)
	message.ReserveEnd = &sfv1.ReserveEnd{Prompt: prompt, Engine: engine, Processed: processed}
	r.notifyHub(zone, message, func() { r.loads.EndReservation(prompt, engine, processed) })
}

// ReportPace reports the time that an engine took to generate to the hub of the engine's zone.
func (r *Reporter) ReportPace(zone string, engine uint32, took, usual time.Duration) {
	message := r.newPlainDatagram(sfv1.Datagram_KIND_PACE)
	message.Pace = &sfv1.Pace{Engine: engine, TookMs: uint32(took.Milliseconds()), UsualMs: uint32(usual.Milliseconds())}
	r.notifyHub(zone, message, func() { r.loads.ObservePace(engine, took, usual) })
}

// notifyHub sends a message to the hub of a zone, or applies it if this instance is that hub. Nothing is sent while no
// hub is known.
func (r *Reporter) notifyHub(zone string, message *sfv1.Datagram, apply func()) {
	hub, self := r.exchange.hubOf(zone)
	switch {
	case self:
		apply()
	case hub != "":
		r.send(message, []string{hub})
	}
}

// handlePace learns from the time that an engine took to generate.
func (r *Reporter) handlePace(m *sfv1.Pace) {
	took, usual := time.Duration(m.GetTookMs())*time.Millisecond, time.Duration(m.GetUsualMs())*time.Millisecond
	r.loads.ObservePace(m.GetEngine(), took, usual)
}

// sendSpeeds publishes the speeds of engines: those of this zone to the other hubs, those of all zones to the instances
// of this zone.
func (r *Reporter) sendSpeeds() {
	own := r.loads.LearnedSpeeds()
	r.loads.ApplySpeeds(own)
	r.publishSpeeds(own, r.exchange.otherZoneAddresses())
	r.publishSpeeds(r.loads.Speeds(), r.exchange.zoneAddresses())
}

// maxSpeedsPerDatagram keeps a message with speeds below maxDatagramBytes.
const maxSpeedsPerDatagram = 256

func (r *Reporter) publishSpeeds(list []reservation.EngineSpeed, to []string) {
	for part := range slices.Chunk(list, maxSpeedsPerDatagram) {
		message := r.newPlainDatagram(sfv1.Datagram_KIND_SPEEDS)
		for _, s := range part {
			message.Speeds = append(message.Speeds, &sfv1.EngineSpeed{Engine: s.Engine, Percent: uint32(s.Speed * percent)})
		}
		r.allowance.Spend(r.send(message, to))
	}
}

const percent = 100

func speedsFromMessage(m *sfv1.Datagram) []reservation.EngineSpeed {
	var list []reservation.EngineSpeed
	for _, s := range m.GetSpeeds() {
		list = append(list, reservation.EngineSpeed{Engine: s.GetEngine(), Speed: float64(s.GetPercent()) / percent})
	}
	return list
}

// handleReserveAsk answers a request for a reservation, or records work that was sent without one. An instance that
// is not the hub keeps none, so that the requests for an engine meet at one instance.
func (r *Reporter) handleReserveAsk(m *sfv1.ReserveAsk, peer *peerState) {
	request := reserveAskFromMessage(m)
	if m.GetSent() {
		if len(request.Candidates) == 1 {
			r.loads.RecordSent(request.ID, request.Candidates[0])
		}
		return
	}
	reply := r.newPlainDatagram(sfv1.Datagram_KIND_RESERVE_GRANT)
	reply.ReserveGrant = &sfv1.ReserveGrant{Id: m.GetId()}
	if r.exchange.IsHub() {
		if granted, ok := r.loads.Reserve(request); ok {
			reply.ReserveGrant = reserveGrantToMessage(m.GetId(), granted)
		}
	}
	r.send(reply, []string{peer.Address})
}

func reserveAskToMessage(id uint64, request reservation.Request) *sfv1.ReserveAsk {
	m := &sfv1.ReserveAsk{Id: id, Prompt: request.ID}
	for _, c := range request.Candidates {
		m.Engines = append(m.Engines, c.Engine)
		m.Busy = append(m.Busy, micros(c.Busy))
		m.Extra = append(m.Extra, micros(c.Extra))
		m.Copy = append(m.Copy, micros(c.Copy))
	}
	return m
}

func reserveAskFromMessage(m *sfv1.ReserveAsk) reservation.Request {
	request := reservation.Request{ID: m.GetPrompt()}
	for i, engine := range m.GetEngines()[:min(len(m.GetEngines()), len(m.GetBusy()), len(m.GetExtra()), len(m.GetCopy()))] {
		request.Candidates = append(request.Candidates, reservation.Candidate{
			Engine: engine, Busy: fromMicros(m.GetBusy()[i]), Extra: fromMicros(m.GetExtra()[i]), Copy: fromMicros(m.GetCopy()[i]),
		})
	}
	return request
}

func reserveGrantToMessage(id uint64, g reservation.Grant) *sfv1.ReserveGrant {
	return &sfv1.ReserveGrant{Id: id, Granted: true, Engine: g.Engine, Wait: micros(g.Wait), Busy: micros(g.Busy), Speed: float32(g.Speed)}
}

func reserveGrantFromMessage(m *sfv1.ReserveGrant) reservationAnswer {
	return reservationAnswer{
		Grant: reservation.Grant{Engine: m.GetEngine(), Wait: fromMicros(m.GetWait()), Busy: fromMicros(m.GetBusy()), Speed: float64(m.GetSpeed())},
		ok:    m.GetGranted(),
	}
}

// micros encodes a duration in microseconds, up to an hour.
func micros(d time.Duration) uint32 { return uint32(min(max(0, d), time.Hour).Microseconds()) }

func fromMicros(m uint32) time.Duration { return time.Duration(m) * time.Microsecond }
