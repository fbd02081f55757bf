// Package roles decides which engines of a pool should run in the prefill and
// decode roles. It contains two independent policies:
//
//   - Decide proposes one role change at a time. It compares the goodput that a
//     change is expected to gain over a horizon with the service time that the
//     change costs. Its inputs are the measured demand, the engines' reports and
//     the bounds that operators have confirmed.
//   - Target and TargetTracker keep a wanted share of prefill engines, and adjust
//     it to the measured workload as SplitPolicy describes.
//
// The package is pure: the lease holder provides the inputs and carries out the
// changes. All times are on the caller's single monotonic clock.
package roles

import (
	"time"

	"sassafrasfield/internal/config"
)

// Bounds are the limits that the confirmed intent sets for a pool.
type Bounds struct {
	// MinPrefill and MaxPrefill bound the number of engines in the prefill role.
	// MinDecode is the minimum number in the decode role. Role changes are
	// forbidden if all three are 0.
	MinPrefill, MaxPrefill, MinDecode int
	// MinServing is the number of engines that must remain in service during a
	// change.
	MinServing int
	// Weight multiplies the cost of a change.
	Weight float64
}

// BoundsOf returns the bounds in a pool's configuration.
func BoundsOf(p *config.Pool) Bounds {
	return Bounds{
		MinPrefill: p.MinPrefill, MaxPrefill: p.MaxPrefill, MinDecode: p.MinDecode,
		MinServing: p.MinServing, Weight: p.RoleChangeWeight,
	}
}

// ForbidsChanges reports whether the bounds allow no change at all.
func (b Bounds) ForbidsChanges() bool {
	return b.MinPrefill == 0 && b.MaxPrefill == 0 && b.MinDecode == 0
}

// Engine is the known state of one engine of the pool.
type Engine struct {
	ID string
	// Zone and Version, that of the engine's software, are used only by Target.
	Zone, Version string
	// PrefillUtilization is the fraction of the engine's time that its prompts
	// need. It is above 1 when they exceed what the engine can process. It is
	// used only by Workload.
	PrefillUtilization float64
	Role               config.Role
	// Serving is true when the configuration routes requests to the engine.
	Serving bool
	// Changing is true while the engine's role differs from the wanted one.
	Changing bool
	// Reported is true when a fresh report was received. The fields below are
	// taken from that report.
	Reported bool
	// PrefillRate is in prompt tokens per second, DecodeRate in generated tokens
	// per second for the whole engine. 0 means not measured.
	PrefillRate, DecodeRate float64
	// PrefillQueue is the number of queued prompt tokens.
	PrefillQueue int
	// Running and Waiting are numbers of streams.
	Running, Waiting int
}

// Demand is the load that the responding instances have admitted.
type Demand struct {
	// Prefill is in prompt tokens per second, without tokens of cached prefixes.
	// Decode is in generated tokens per second.
	Prefill, Decode float64
	// Instances is the number of instances in the system, Asked the number of them that
	// were queried, and Answered the number that responded.
	Instances, Asked, Answered int
}

// Observation is the state of a pool at one time.
type Observation struct {
	// At is when the collection of the data began.
	At      time.Duration
	Demand  Demand
	Engines []Engine
	Bounds  Bounds
	// Busy is true while any change is in progress in the pool: an operator's
	// plan or an earlier role change.
	Busy bool
	// ChangedAt is when this process first saw the pool's latest role change. That
	// is the time of the change or later. Changed is false when there was none.
	ChangedAt time.Duration
	Changed   bool
}

// Change is a role change of one engine.
type Change struct {
	Engine   string
	From, To config.Role
}

// Reason is the reason for a decision.
type Reason string

// Reasons for a decision.
const (
	// ReasonForbidden means that the bounds allow no change.
	ReasonForbidden Reason = "forbidden"
	// ReasonBusy means that a change is in progress in the pool.
	ReasonBusy Reason = "busy"
	// ReasonStale means that the observation is too old.
	ReasonStale Reason = "stale"
	// ReasonUncertain means that too few instances or engines responded.
	ReasonUncertain Reason = "uncertain"
	// ReasonLearning means that there are too few observations for a forecast.
	ReasonLearning Reason = "learning"
	// ReasonDwell means that the dwell time since the last change is not over.
	ReasonDwell Reason = "dwell"
	// ReasonNoGain means that no change is worth its cost.
	ReasonNoGain Reason = "no gain"
	// ReasonConfirming means that a change is worth its cost, but has not been so
	// for enough consecutive observations.
	ReasonConfirming Reason = "confirming"
	// ReasonChange means that the change should be made.
	ReasonChange Reason = "change"
)

// Decision is the result of the policy.
type Decision struct {
	Reason Reason
	// Change is set only for ReasonChange.
	Change *Change
	// Gain is the expected gain and Cost the weighted cost of the best change,
	// both in seconds of the whole pool's goodput.
	Gain, Cost float64
	// ForecastPrefill and ForecastDecode are the demand predicted for the middle
	// of the horizon, in tokens per second.
	ForecastPrefill, ForecastDecode float64
	// OutOfService is how long the engine is expected to be out of service.
	OutOfService time.Duration
}

// State is what the policy remembers of a pool between observations. A new lease
// holder starts with the zero value.
type State struct {
	prefill, decode trend
	lastAt          time.Duration
	samples         int
	candidate       Change
	confirmations   int
	timer           changeTimer
}

// WithOutOfService returns the state with the time out of service that an earlier
// lease holder measured.
func (s State) WithOutOfService(d time.Duration) State {
	s.timer.mean = d
	return s
}

// OutOfService returns the measured time that a change takes an engine out of
// service, or 0 before the first measurement.
func (s State) OutOfService() time.Duration { return s.timer.mean }

// Decide processes one observation at the time now. It returns the next state and
// the decision. It is deterministic.
func Decide(settings Settings, state State, obs Observation, now time.Duration) (State, Decision) {
	state.timer = state.timer.observe(obs)
	if obs.Bounds.ForbidsChanges() {
		return state.reset(), Decision{Reason: ReasonForbidden}
	}
	if now-obs.At > settings.StaleAfter {
		return state.reset(), Decision{Reason: ReasonStale}
	}
	if insufficientData(settings, obs) {
		return state.clearCandidate(), Decision{Reason: ReasonUncertain}
	}
	state = state.addSample(settings, obs)
	if obs.Busy {
		return state.clearCandidate(), Decision{Reason: ReasonBusy}
	}
	if state.samples < settings.Samples {
		return state.clearCandidate(), Decision{Reason: ReasonLearning}
	}
	if obs.Changed && now-obs.ChangedAt < settings.Dwell {
		return state.clearCandidate(), Decision{Reason: ReasonDwell}
	}
	return state.choose(settings, obs)
}

// choose finds the best change, and decides to make it once changes between the
// same roles were the best for enough consecutive observations.
func (s State) choose(settings Settings, obs Observation) (State, Decision) {
	best, decision, found := s.bestChange(settings, obs)
	if !found {
		decision.Reason = ReasonNoGain
		return s.clearCandidate(), decision
	}
	if best.From != s.candidate.From || best.To != s.candidate.To {
		s.confirmations = 0
	}
	s.candidate = best
	s.confirmations++
	if s.confirmations < settings.Confirm {
		decision.Reason = ReasonConfirming
		return s, decision
	}
	decision.Reason = ReasonChange
	decision.Change = &best
	s.timer = s.timer.start(best.Engine, obs.At)
	return s.clearCandidate(), decision
}

// insufficientData reports whether too few instances or serving engines responded.
func insufficientData(settings Settings, obs Observation) bool {
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

// addSample adds the observed demand to the forecast. It restarts the forecast
// after a gap, and ignores an observation that is not newer than the last.
func (s State) addSample(settings Settings, obs Observation) State {
	if s.samples > 0 && obs.At-s.lastAt > settings.StaleAfter {
		s = s.reset()
	}
	if s.samples > 0 && obs.At <= s.lastAt {
		return s
	}
	prefill, decode := estimateDemand(settings, obs)
	s.prefill = s.prefill.add(prefill, s.samples)
	s.decode = s.decode.add(decode, s.samples)
	s.samples++
	s.lastAt = obs.At
	return s
}

// clearCandidate discards the change that is being confirmed.
func (s State) clearCandidate() State {
	s.candidate, s.confirmations = Change{}, 0
	return s
}

// reset discards everything except the measured time out of service.
func (s State) reset() State {
	return State{timer: s.timer}
}
