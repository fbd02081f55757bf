package roles

import (
	"time"

	"sassafrasfield/internal/config"
)

// points is in how many parts the horizon is looked at.
const points = 12

// minUse is how much of an engine's share of what the pool serves, over the
// horizon, a change must gain, whatever its cost. An engine that is of less use
// in its new role is missed in the old one when the swing turns.
const minUse = 0.5

// allRoles in the order they are tried.
var allRoles = []config.Role{config.RolePrefill, config.RoleDecode, config.RoleMixed}

// best returns the change with the highest gain less cost, if any is worth it.
func (s State) best(settings Settings, obs Observation) (Change, Decision, bool) {
	middle := s.steps(settings, settings.Horizon/2)
	decision := Decision{ForecastPrefill: s.prefill.at(middle), ForecastDecode: s.decode.at(middle), OutOfService: s.out(settings)}
	prefillRate, decodeRate, ok := rates(obs.Engines)
	if !ok {
		return Change{}, decision, false
	}
	model := model{state: s, settings: settings, prefillRate: prefillRate, decodeRate: decodeRate, now: count(obs.Engines)}
	var best Change
	found := false
	least := minUse * model.over(0, settings.Horizon, model.now) / float64(max(1, model.now.total()))
	for _, c := range candidates(obs) {
		gain, cost := model.weigh(c, obs.Bounds.Weight)
		if gain <= cost || gain < least {
			continue
		}
		if !found || gain-cost > decision.Gain-decision.Cost {
			best, found = c, true
			decision.Gain, decision.Cost = gain, cost
		}
	}
	return best, decision, found
}

// steps is a time as a number of observations.
func (s State) steps(settings Settings, ahead time.Duration) float64 {
	return ahead.Seconds() / settings.Every.Seconds()
}

// out is the expected time out of service of a change.
func (s State) out(settings Settings) time.Duration {
	if s.cost.mean > 0 {
		return s.cost.mean
	}
	return settings.OutOfService
}

// candidates are the changes that the bounds allow, at most one for each pair
// of roles: the engine with the least work, by id when there are several.
func candidates(obs Observation) []Change {
	now := count(obs.Engines)
	if now.total()-1 < obs.Bounds.MinServing {
		return nil
	}
	var changes []Change
	for _, from := range allRoles {
		e, ok := idlest(obs.Engines, from)
		if !ok || !now.plus(from, -1).capable() {
			continue
		}
		for _, to := range allRoles {
			after := now.plus(from, -1).plus(to, 1)
			if from != to && after.capable() && allowed(now, after, obs.Bounds) {
				changes = append(changes, Change{Engine: e.ID, From: from, To: to})
			}
		}
	}
	return changes
}

// allowed tells whether the bounds allow the step. From outside of them, only
// a step towards them is allowed.
func allowed(now, after counts, b Bounds) bool {
	violation := after.violation(b)
	return violation == 0 || violation < now.violation(b)
}

// idlest returns the serving engine of a role with the least work.
func idlest(engines []Engine, role config.Role) (Engine, bool) {
	var best Engine
	found := false
	for _, e := range engines {
		if e.Role != role || !e.Serving || !e.Reported {
			continue
		}
		if !found || e.work() < best.work() || (e.work() == best.work() && e.ID < best.ID) {
			best, found = e, true
		}
	}
	return best, found
}

func (e Engine) work() int { return e.Running + e.Waiting }

// model predicts the goodput of a pool.
type model struct {
	state                   State
	settings                Settings
	prefillRate, decodeRate float64
	now                     counts
}

// weigh returns the gain of a change after it is done, and its weighted cost,
// in seconds of the pool's whole goodput. The cost is the goodput lost while
// the engine is out, and no less than the engine's share of the pool for that
// time: an engine that is out is missed by whoever comes unforeseen.
func (m model) weigh(c Change, weight float64) (gain, cost float64) {
	without := m.now.plus(c.From, -1)
	after := without.plus(c.To, 1)
	out := min(m.state.out(m.settings), m.settings.Horizon)
	gain = m.over(out, m.settings.Horizon, after) - m.over(out, m.settings.Horizon, m.now)
	lost := m.over(0, out, m.now) - m.over(0, out, without)
	share := out.Seconds() / float64(m.now.total())
	return gain, weight * max(lost, share)
}

// over sums the share of the forecast demand that is served, in seconds.
func (m model) over(from, to time.Duration, c counts) float64 {
	capacity := c.capacity(m.settings, m.prefillRate, m.decodeRate)
	step := (to - from) / points
	total := 0.0
	for i := range points {
		steps := m.state.steps(m.settings, from+time.Duration(i)*step+step/2)
		total += capacity.served(m.state.prefill.at(steps), m.state.decode.at(steps)) * step.Seconds()
	}
	return total
}
