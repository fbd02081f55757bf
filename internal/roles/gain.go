package roles

import (
	"time"

	"sassafrasfield/internal/config"
)

// integrationSteps is the number of intervals into which a time span is divided to
// integrate the predicted goodput.
const integrationSteps = 12

// minGainShare is the smallest gain of a change, as a fraction of one engine's
// share of the goodput that the pool serves over the horizon. It applies whatever
// the cost of the change: an engine that contributes less than this in its new
// role would be missing in its old role once the load swings back.
const minGainShare = 0.5

// allRoles lists the roles in the order in which they are evaluated.
var allRoles = []config.Role{config.RolePrefill, config.RoleDecode, config.RoleMixed}

// bestChange returns the change with the largest gain minus cost, if any change is
// worth its cost.
func (s State) bestChange(settings Settings, obs Observation) (Change, Decision, bool) {
	middle := s.steps(settings, settings.Horizon/2)
	decision := Decision{ForecastPrefill: s.prefill.at(middle), ForecastDecode: s.decode.at(middle), OutOfService: s.expectedOutOfService(settings)}
	prefillRate, decodeRate, ok := meanRates(obs.Engines)
	if !ok {
		return Change{}, decision, false
	}
	model := goodputModel{state: s, settings: settings, prefillRate: prefillRate, decodeRate: decodeRate, current: countRoles(obs.Engines)}
	var best Change
	found := false
	minGain := minGainShare * model.servedTime(0, settings.Horizon, model.current) / float64(max(1, model.current.total()))
	for _, c := range candidates(obs) {
		gain, cost := model.evaluate(c, obs.Bounds.Weight)
		if gain <= cost || gain < minGain {
			continue
		}
		if !found || gain-cost > decision.Gain-decision.Cost {
			best, found = c, true
			decision.Gain, decision.Cost = gain, cost
		}
	}
	return best, decision, found
}

// steps converts a time to a number of observation intervals.
func (s State) steps(settings Settings, ahead time.Duration) float64 {
	return ahead.Seconds() / settings.Every.Seconds()
}

// expectedOutOfService returns how long a change is expected to take an engine out
// of service.
func (s State) expectedOutOfService(settings Settings) time.Duration {
	if s.timer.mean > 0 {
		return s.timer.mean
	}
	return settings.OutOfService
}

// candidates returns the changes that the bounds allow, at most one for each pair
// of roles. Each changes the least loaded engine of its role; ties are broken by ID.
func candidates(obs Observation) []Change {
	current := countRoles(obs.Engines)
	if current.total()-1 < obs.Bounds.MinServing {
		return nil
	}
	var changes []Change
	for _, from := range allRoles {
		e, ok := leastLoaded(obs.Engines, from)
		if !ok || !current.plus(from, -1).servesBoth() {
			continue
		}
		for _, to := range allRoles {
			after := current.plus(from, -1).plus(to, 1)
			if from != to && after.servesBoth() && allowed(current, after, obs.Bounds) {
				changes = append(changes, Change{Engine: e.ID, From: from, To: to})
			}
		}
	}
	return changes
}

// allowed reports whether the bounds allow a change. If the current counts violate
// the bounds, a change is also allowed if it reduces the violation.
func allowed(current, after roleCounts, b Bounds) bool {
	violation := after.violation(b)
	return violation == 0 || violation < current.violation(b)
}

// leastLoaded returns the serving engine of a role with the fewest streams.
func leastLoaded(engines []Engine, role config.Role) (Engine, bool) {
	var best Engine
	found := false
	for _, e := range engines {
		if e.Role != role || !e.Serving || !e.Reported {
			continue
		}
		if !found || e.streams() < best.streams() || (e.streams() == best.streams() && e.ID < best.ID) {
			best, found = e, true
		}
	}
	return best, found
}

func (e Engine) streams() int { return e.Running + e.Waiting }

// goodputModel predicts the goodput of a pool.
type goodputModel struct {
	state                   State
	settings                Settings
	prefillRate, decodeRate float64
	current                 roleCounts
}

// evaluate returns the gain of a change once it is complete, and its weighted
// cost, both in seconds of the whole pool's goodput. The cost is the goodput lost
// while the engine is out of service, but at least the engine's share of the pool
// for that time: the forecast does not include unexpected load, which the engine
// could not serve.
func (m goodputModel) evaluate(c Change, weight float64) (gain, cost float64) {
	without := m.current.plus(c.From, -1)
	after := without.plus(c.To, 1)
	outOfService := min(m.state.expectedOutOfService(m.settings), m.settings.Horizon)
	gain = m.servedTime(outOfService, m.settings.Horizon, after) - m.servedTime(outOfService, m.settings.Horizon, m.current)
	lost := m.servedTime(0, outOfService, m.current) - m.servedTime(0, outOfService, without)
	share := outOfService.Seconds() / float64(m.current.total())
	return gain, weight * max(lost, share)
}

// servedTime integrates the served share of the forecast demand over a time span.
// The result is in seconds.
func (m goodputModel) servedTime(from, to time.Duration, c roleCounts) float64 {
	capacity := c.capacity(m.settings, m.prefillRate, m.decodeRate)
	step := (to - from) / integrationSteps
	total := 0.0
	for i := range integrationSteps {
		steps := m.state.steps(m.settings, from+time.Duration(i)*step+step/2)
		total += capacity.servedShare(m.state.prefill.at(steps), m.state.decode.at(steps)) * step.Seconds()
	}
	return total
}
