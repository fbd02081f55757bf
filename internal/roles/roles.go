// Package roles decides when an engine of a pool should change its role. It
// weighs the goodput that a change is expected to bring over a horizon against
// the service time that it costs. It is pure: the lease holder feeds it with
// measured demand and the engines' reports, and carries out what it says. All
// times are on the caller's one monotonic clock.
package roles

import (
	"time"

	"sassafrasfield/internal/config"
)

// Bounds are what the confirmed intent allows in a pool.
type Bounds struct {
	// MinPrefill and MaxPrefill bound the engines in the prefill role,
	// MinDecode those in the decode role. All 0 forbids changes.
	MinPrefill, MaxPrefill, MinDecode int
	// MinServing is the fewest engines that a change may leave in service.
	MinServing int
	// Weight multiplies the cost of a change.
	Weight float64
}

// BoundsOf returns the bounds that a pool's configuration gives.
func BoundsOf(p *config.Pool) Bounds {
	return Bounds{
		MinPrefill: p.MinPrefill, MaxPrefill: p.MaxPrefill, MinDecode: p.MinDecode,
		MinServing: p.MinServing, Weight: p.RoleChangeWeight,
	}
}

// ForbidsChanges tells whether the bounds allow no change at all.
func (b Bounds) ForbidsChanges() bool {
	return b.MinPrefill == 0 && b.MaxPrefill == 0 && b.MinDecode == 0
}

// Engine is what is known of one engine of the pool.
type Engine struct {
	ID string
	// Zone is looked at by Target alone.
	Zone string
	// PrefillUtilization is the part of the engine's time that its prompts take, above 1 when
	// they are more than it can process. Looked at by PrefillUtilization alone.
	PrefillUtilization float64
	Role               config.Role
	// Serving is true when the configuration routes to the engine.
	Serving bool
	// Changing is true while the engine's role is not yet the wanted one.
	Changing bool
	// Reported is true when a fresh report came; the fields below are of it.
	Reported bool
	// PrefillRate is in prompt tokens a second, DecodeRate in generated tokens
	// a second for the whole engine; 0 is not measured.
	PrefillRate, DecodeRate float64
	// PrefillQueue is the prompt tokens that wait.
	PrefillQueue int
	// Running and Waiting count streams.
	Running, Waiting int
}

// Demand is the work that the instances which answered have admitted.
type Demand struct {
	// Prefill is in prompt tokens a second after cached prefixes, Decode in
	// generated tokens a second.
	Prefill, Decode float64
	// Instances of the system, how many of them were asked, and how many
	// answered.
	Instances, Asked, Answered int
}

// Observation is one look at a pool.
type Observation struct {
	// At is when the look began.
	At      time.Duration
	Demand  Demand
	Engines []Engine
	Bounds  Bounds
	// Busy is true while any change is under way in the pool: an operator's
	// plan or an earlier role change.
	Busy bool
	// ChangedAt is when this process first saw the pool's newest role change,
	// which is the change itself or later; Changed is false when there was none.
	ChangedAt time.Duration
	Changed   bool
}

// Change is a role change to make.
type Change struct {
	Engine   string
	From, To config.Role
}

// Reason tells why a decision was made.
type Reason string

// Reasons of a decision.
const (
	// ReasonForbidden: the bounds allow no change.
	ReasonForbidden Reason = "forbidden"
	// ReasonBusy: a change is under way in the pool.
	ReasonBusy Reason = "busy"
	// ReasonStale: the observation is too old.
	ReasonStale Reason = "stale"
	// ReasonUncertain: too few instances or engines answered.
	ReasonUncertain Reason = "uncertain"
	// ReasonLearning: there are too few observations for a forecast.
	ReasonLearning Reason = "learning"
	// ReasonDwell: the last change was a short while ago.
	ReasonDwell Reason = "dwell"
	// ReasonNoGain: no change is worth its cost.
	ReasonNoGain Reason = "no gain"
	// ReasonConfirming: a change is worth it, but was not for long enough.
	ReasonConfirming Reason = "confirming"
	// ReasonChange: the change should be made.
	ReasonChange Reason = "change"
)

// Decision is what the policy says.
type Decision struct {
	Reason Reason
	// Change is set for ReasonChange alone.
	Change *Change
	// Gain is the expected gain and Cost the weighted cost of the best change,
	// both in seconds of the pool's whole goodput.
	Gain, Cost float64
	// ForecastPrefill and ForecastDecode are the forecast demand in the middle of the horizon,
	// in tokens a second.
	ForecastPrefill, ForecastDecode float64
	// OutOfService is the expected time out of service.
	OutOfService time.Duration
}

// State is what the policy keeps of a pool between observations. The zero value
// knows nothing. A new lease holder starts from it.
type State struct {
	prefill, decode trend
	lastAt          time.Duration
	samples         int
	candidate       Change
	held            int
	cost            costs
}

// WithOutOfService returns the state with a known time out of service, as an earlier
// holder measured it.
func (s State) WithOutOfService(out time.Duration) State {
	s.cost.mean = out
	return s
}

// OutOfService is the measured time out of service of a change; 0 before the first.
func (s State) OutOfService() time.Duration { return s.cost.mean }

// Decide takes one observation at the time now. It returns the next state and
// what to do. The same arguments give the same result.
func Decide(settings Settings, state State, obs Observation, now time.Duration) (State, Decision) {
	state.cost = state.cost.observe(obs)
	if obs.Bounds.ForbidsChanges() {
		return state.forget(), Decision{Reason: ReasonForbidden}
	}
	if now-obs.At > settings.StaleAfter {
		return state.forget(), Decision{Reason: ReasonStale}
	}
	if uncertain(settings, obs) {
		return state.release(), Decision{Reason: ReasonUncertain}
	}
	state = state.sample(settings, obs)
	if obs.Busy {
		return state.release(), Decision{Reason: ReasonBusy}
	}
	if state.samples < settings.Samples {
		return state.release(), Decision{Reason: ReasonLearning}
	}
	if obs.Changed && now-obs.ChangedAt < settings.Dwell {
		return state.release(), Decision{Reason: ReasonDwell}
	}
	return state.choose(settings, obs)
}

// choose looks for the best change, and makes it once it was the best for
// enough observations on end.
func (s State) choose(settings Settings, obs Observation) (State, Decision) {
	best, decision, found := s.best(settings, obs)
	if !found {
		decision.Reason = ReasonNoGain
		return s.release(), decision
	}
	if best.From != s.candidate.From || best.To != s.candidate.To {
		s.held = 0
	}
	s.candidate = best
	s.held++
	if s.held < settings.Confirm {
		decision.Reason = ReasonConfirming
		return s, decision
	}
	decision.Reason = ReasonChange
	decision.Change = &best
	s.cost = s.cost.begin(best.Engine, obs.At)
	return s.release(), decision
}

// uncertain tells whether too much of the picture is missing.
func uncertain(settings Settings, obs Observation) bool {
	d := obs.Demand
	if d.Answered == 0 || float64(d.Answered) < settings.MinAnswered*float64(d.Asked) {
		return true
	}
	serving, reported := 0, 0
	for _, e := range obs.Engines {
		if !e.Serving {
			continue
		}
		serving++
		if e.Reported {
			reported++
		}
	}
	return reported == 0 || float64(reported) < settings.MinAnswered*float64(serving)
}

// sample takes the demand into the forecast. After a gap it starts anew.
func (s State) sample(settings Settings, obs Observation) State {
	if s.samples > 0 && obs.At-s.lastAt > settings.StaleAfter {
		s = s.forget()
	}
	if s.samples > 0 && obs.At <= s.lastAt {
		return s
	}
	prefill, decode := pressure(settings, obs)
	s.prefill = s.prefill.add(prefill, s.samples)
	s.decode = s.decode.add(decode, s.samples)
	s.samples++
	s.lastAt = obs.At
	return s
}

// release drops the candidate.
func (s State) release() State {
	s.candidate, s.held = Change{}, 0
	return s
}

// forget drops all but the measured cost.
func (s State) forget() State {
	return State{cost: s.cost}
}
