package model

import (
	"math/rand/v2"
	"time"

	"sassafrasfield/internal/placement"
	"sassafrasfield/internal/reservation"
)

// Choice is the way in which the engine of a prompt is chosen.
type Choice string

// Choices.
const (
	// ChoiceReports is the best engine by the reports between the instances.
	ChoiceReports Choice = ""
	// ChoiceTwo is the better of two that are drawn from the best twoAmong by the reports.
	ChoiceTwo Choice = "two of the best"
	// ChoiceReserved is the engine that the zone's hub reserves.
	ChoiceReserved Choice = "reserved"
	// ChoiceReservedUsual is ChoiceReserved with a ledger that takes all engines to have the usual speed.
	ChoiceReservedUsual Choice = "reserved, usual speed"
)

// choices are all of them.
var choices = []Choice{ChoiceReports, ChoiceTwo, ChoiceReserved, ChoiceReservedUsual}

const (
	// maxCandidates is the number of engines in a reservation request, twoAmong that of the best ones of which
	// two are drawn.
	maxCandidates = 16
	twoAmong      = 8
	// replyTimeout is the time after which a hub that hasn't replied is given up, hubPause the time for which
	// it is not asked afterwards.
	replyTimeout = 26 * time.Millisecond
	hubPause     = 300 * time.Millisecond
	// repeatAfter is the time after which a request is repeated: three times what a reply takes from another zone.
	// repeatDoneAfter is the time after which the end of a prompt is sent again.
	repeatAfter     = 10 * time.Millisecond
	repeatDoneAfter = 30 * time.Millisecond
	// ledgerYoung is the age up to which the reports are added to a new ledger.
	ledgerYoung = time.Second
)

// hub is the ledger of a zone.
type hub struct {
	ledger  *reservation.Ledger
	startAt time.Duration
}

// hubOutage is the loss of the hubs of all zones for a time. Their successors start with empty ledgers.
type hubOutage struct {
	At       time.Duration `toml:"at"`
	Duration time.Duration `toml:"for"`
}

func (o hubOutage) covers(now time.Duration) bool {
	return now >= o.At && now < o.At+o.Duration
}

// delayed is an action at a later time.
type delayed struct {
	at  time.Duration
	act func()
}

func (r *run) after(d time.Duration, act func()) {
	r.later = append(r.later, delayed{at: r.now + d, act: act})
}

// runDelayed runs the actions that are due, in the order in which they were added.
func (r *run) runDelayed() {
	due := r.later
	r.later = nil
	for _, d := range due {
		if d.at > r.now {
			r.later = append(r.later, d)
			continue
		}
		d.act()
	}
}

// hubOf returns the hub of a zone; nil while it is lost.
func (r *run) hubOf(zone string) *hub {
	if r.pattern.Fleet.HubOutage.covers(r.now) {
		delete(r.ledgers, zone)
		return nil
	}
	h, ok := r.ledgers[zone]
	if !ok {
		h = &hub{ledger: reservation.NewLedger(), startAt: r.now}
		if r.policy.Choice == ChoiceReservedUsual {
			h.ledger = reservation.NewLedgerWithoutSpeeds()
		}
		r.ledgers[zone] = h
	}
	return h
}

// oneWay is the time that a message takes from an instance to a hub.
func oneWay(from *instance, zone string) time.Duration {
	if from.zone == zone {
		return tick / 2
	}
	return tick
}

// notify sends a message to a hub, unless it is lost.
func (r *run) notify(from *instance, zone string, receive func(*reservation.Ledger)) {
	r.result.Messages++
	if r.isLost() {
		return
	}
	r.after(oneWay(from, zone), func() {
		if h := r.hubOf(zone); h != nil {
			receive(h.ledger)
		}
	})
}

func (r *run) isLost() bool {
	loss := r.pattern.Fleet.MessageLoss
	return loss > 0 && r.messageRNG.Float64() < loss
}

// reserves reports whether the policy uses ledgers.
func (p Policy) reserves() bool {
	return p.Choice == ChoiceReserved || p.Choice == ChoiceReservedUsual
}

// placeReserved asks the hub of the best engine's zone for an engine and sends the prompt there.
func (r *run) placeReserved(req *request) {
	choices := req.instance.state.PrefillChoices(req.placementRequest(r.now), maxCandidates, "", r.now)
	if len(choices) == 0 {
		return
	}
	if r.now < req.instance.askAgainAt[choices[0].Engine.Zone] {
		r.placeAndRecord(req)
		return
	}
	r.ask(req, choices, func(grant reservation.Grant, ok bool) {
		switch {
		case req.closed:
		case !ok:
			r.placeAndRecord(req)
		case r.policy.SecondZoneAbove > 0 && grant.Wait > r.policy.SecondZoneAbove:
			r.askSecondZone(req, choices, grant)
		default:
			r.sendReserved(req, choices, grant)
		}
	})
}

// askSecondZone asks the hub of the next best zone as well, and sends the prompt to the better engine.
func (r *run) askSecondZone(req *request, choices []placement.PrefillChoice, grant reservation.Grant) {
	first := choices[0].Engine.Zone
	others := req.instance.state.PrefillChoices(req.placementRequest(r.now), maxCandidates, first, r.now)
	if len(others) == 0 || r.now < req.instance.askAgainAt[others[0].Engine.Zone] {
		r.sendReserved(req, choices, grant)
		return
	}
	second := others[0].Engine.Zone
	r.ask(req, others, func(other reservation.Grant, ok bool) {
		switch {
		case req.closed:
		case ok && r.cost(req, others, other) < r.cost(req, choices, grant):
			r.cancel(req, first, grant)
			r.sendReserved(req, others, other)
		default:
			r.cancel(req, second, other)
			r.sendReserved(req, choices, grant)
		}
	})
}

// cost returns the predicted time of a grant, with the extra cost of its engine. The wait stands for the shortest
// one of the zone, which is not in the reply.
func (r *run) cost(req *request, choices []placement.PrefillChoice, grant reservation.Grant) time.Duration {
	for _, choice := range choices {
		if r.byID[choice.Engine.ID].number == grant.Engine {
			price := r.copyPrice(req, choice)
			if r.policy.PriceByWait {
				price = reservation.CopyCost(price, grant.Busy, grant.Wait)
			}
			return grant.Wait + time.Duration(float64(grant.Busy)*grant.Speed) + choice.Extra + price
		}
	}
	return 0
}

// cancel ends a reservation that isn't used.
func (r *run) cancel(req *request, zone string, grant reservation.Grant) {
	r.notify(req.instance, zone, func(l *reservation.Ledger) { l.Done(req.number, grant.Engine, false, r.now) })
}

// ask asks the hub of the choices' zone. It calls then with its reply, or after the timeout without one.
func (r *run) ask(req *request, choices []placement.PrefillChoice, then func(reservation.Grant, bool)) {
	zone := choices[0].Engine.Zone
	answered := false
	r.requestGrant(req, choices, &answered, then)
	if r.policy.RepeatMessages {
		r.after(repeatAfter, func() {
			if !answered {
				r.requestGrant(req, choices, &answered, then)
			}
		})
	}
	r.after(replyTimeout, func() {
		if answered {
			return
		}
		req.instance.askAgainAt[zone] = r.now + hubPause
		then(reservation.Grant{}, false)
	})
}

// requestGrant sends a request to the hub of the choices' zone, and calls then with the first reply.
func (r *run) requestGrant(req *request, choices []placement.PrefillChoice, answered *bool, then func(reservation.Grant, bool)) {
	zone := choices[0].Engine.Zone
	way := oneWay(req.instance, zone)
	r.result.Messages += 2
	r.result.Candidates += len(choices)
	if r.isLost() {
		return
	}
	r.after(way, func() {
		h := r.hubOf(zone)
		if h == nil {
			return
		}
		grant, ok := h.ledger.Reserve(r.reservationRequest(req, choices, h), r.now)
		if !ok || r.isLost() {
			return
		}
		r.after(way, func() {
			if !*answered {
				*answered = true
				then(grant, true)
			}
		})
	})
}

// copyPrice returns the price of another copy with a choice. It is bounded by a share of the work if the policy says so.
func (r *run) copyPrice(req *request, choice placement.PrefillChoice) time.Duration {
	if r.policy.MaxCopyShare == 0 {
		return choice.Copy
	}
	missing := max(0, req.prompt.SharedTokens()-choice.Engine.Aggregate.CachedTokens)
	return min(choice.Copy, time.Duration(r.policy.MaxCopyShare*float64(missing)*r.pattern.Fleet.Engine.TokenTime))
}

// reservationRequest converts choices to candidates. It adds the reported load while the ledger is young.
func (r *run) reservationRequest(req *request, choices []placement.PrefillChoice, h *hub) reservation.Request {
	request := reservation.Request{ID: req.number}
	for _, choice := range choices {
		c := reservation.Candidate{Engine: r.byID[choice.Engine.ID].number, Busy: choice.BusyTime, Extra: choice.Extra}
		if r.policy.PriceByWait {
			c.Copy = choice.Copy
		} else {
			c.Extra += r.copyPrice(req, choice)
		}
		if r.now-h.startAt < ledgerYoung {
			c.Extra += choice.Engine.Aggregate.Backlog
		}
		request.Candidates = append(request.Candidates, c)
	}
	return request
}

// sendReserved sends a prompt to the engine that was reserved for it.
func (r *run) sendReserved(req *request, choices []placement.PrefillChoice, grant reservation.Grant) {
	if req.closed {
		return
	}
	for _, choice := range choices {
		if r.byID[choice.Engine.ID].number != grant.Engine {
			continue
		}
		choice.Engine.Aggregate.Backlog = grant.Wait
		order, _ := req.instance.state.PlacePrefill(req.placementRequest(r.now), choice.Prefill, r.now)
		r.send(req, choice.Prefill, order)
	}
}

// placeAndRecord places a prompt by the reports and tells the hub.
func (r *run) placeAndRecord(req *request) {
	prefill, order, ok := req.instance.state.PickPrefill(req.placementRequest(r.now), r.now)
	if !ok {
		return
	}
	c := reservation.Candidate{Engine: r.byID[prefill.Engine.ID].number, Busy: prefill.BusyTime}
	r.notify(req.instance, prefill.Engine.Zone, func(l *reservation.Ledger) { l.Record(req.number, c, r.now) })
	r.send(req, prefill, order)
}

// promptEnded tells the hub that a prompt was processed, or that its caller gave up.
func (r *run) promptEnded(req *request, processed bool) {
	if !r.policy.reserves() || req.engine == nil || req.promptEnded {
		return
	}
	req.promptEnded = true
	on := req.engine.number
	ended := func(l *reservation.Ledger) { l.Done(req.number, on, processed, r.now) }
	r.notify(req.instance, req.engine.zone, ended)
	if zone := req.engine.zone; r.policy.RepeatMessages {
		r.after(repeatDoneAfter, func() { r.notify(req.instance, zone, ended) })
	}
}

// placeTwo places a prompt on the better of two engines that are drawn from the best ones by the reports.
func (r *run) placeTwo(req *request) {
	request := req.placementRequest(r.now)
	choices := req.instance.state.PrefillChoices(request, twoAmong, "", r.now)
	if len(choices) == 0 {
		return
	}
	chosen := choices[min(r.messageRNG.IntN(len(choices)), r.messageRNG.IntN(len(choices)))]
	order, _ := req.instance.state.PlacePrefill(request, chosen.Prefill, r.now)
	r.send(req, chosen.Prefill, order)
}

// Unevenness is how the speeds of engines differ.
type Unevenness struct {
	// Share of the engines need Factor times the usual time. Others do after each Period; 0 for always the same.
	Share  float64       `toml:"share"`
	Factor float64       `toml:"factor"`
	Period time.Duration `toml:"period"`
	// Noise is the factor, up and down, by which each engine's time varies every noisePeriod; 0 for none.
	Noise float64 `toml:"noise"`
}

// noisePeriod is the interval of the engines' noise.
const noisePeriod = 600 * time.Millisecond

// varySpeeds sets the speeds of the engines for the coming tick. The periods of the engines are shifted against
// each other.
func (r *run) varySpeeds() {
	u := r.pattern.Fleet.Uneven
	if u.Share == 0 && u.Noise == 0 {
		return
	}
	for i, e := range r.engines {
		shift := time.Duration(i) * 97 * tick
		if r.now == 0 || u.Period > 0 && (r.now+shift)%u.Period == 0 {
			e.slowdown = 1
			if r.speedRNG.Float64() < u.Share {
				e.slowdown = u.Factor
			}
		}
		if u.Noise > 0 && (r.now == 0 || (r.now+shift)%noisePeriod == 0) {
			e.noise = 1 + u.Noise*(2*r.speedRNG.Float64()-1)
		}
	}
}

func newRNG(seed, stream uint64) *rand.Rand { return rand.New(rand.NewPCG(seed, stream)) }
