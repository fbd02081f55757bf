package plan

import (
	"fmt"
	"slices"

	"sassafrasfield/internal/config"
)

func (b *builder) warning(format string, args ...any) {
	b.plan.Warnings = append(b.plan.Warnings, fmt.Sprintf(format, args...))
}

func (b *builder) refusal(format string, args ...any) {
	b.plan.Refusals = append(b.plan.Refusals, fmt.Sprintf(format, args...))
}

// addWarnings adds warnings about effects that the operator may not have intended.
func (b *builder) addWarnings() {
	for _, effect := range b.plan.Effects {
		switch {
		case effect.After == 1 && effect.Before != 1:
			b.warning("model %s is left with one engine", effect.Model)
		case effect.After == 0 && effect.Before > 0:
			b.warning("model %s is left without an engine", effect.Model)
		case effect.Lowest == 0 && effect.Before > 0:
			b.warning("model %s has no engine in service for a while", effect.Model)
		}
	}
	for i := range b.from.Pools {
		b.warnAboutZones(&b.from.Pools[i])
	}
	for i := range b.from.Models {
		b.warnAboutCallers(&b.from.Models[i])
	}
	for i := range b.from.Organisations {
		name := b.from.Organisations[i].Name
		if !slices.ContainsFunc(b.to.Organisations, func(o config.Organisation) bool { return o.Name == name }) {
			b.warning("organisation %s is removed; its callers are refused", name)
		}
	}
}

// warnAboutZones adds a warning for each zone that loses its last engine of a pool.
func (b *builder) warnAboutZones(pool *config.Pool) {
	remaining := map[string]bool{}
	for _, e := range b.to.PoolEngines(pool.Name) {
		if !e.Leave {
			remaining[e.Zone] = true
		}
	}
	for _, e := range b.from.PoolEngines(pool.Name) {
		if !e.Leave && !remaining[e.Zone] {
			remaining[e.Zone] = true
			b.warning("zone %s is left without an engine of pool %s", e.Zone, pool.Name)
		}
	}
}

// warnAboutCallers adds warnings for callers that lose a model or one of its adapters.
func (b *builder) warnAboutCallers(before *config.Model) {
	after := b.to.Model(before.Name)
	if after == nil {
		b.warning("model %s is removed; callers that ask for it are refused", before.Name)
		return
	}
	for _, adapter := range before.Adapters {
		if !slices.Contains(after.Adapters, adapter) {
			b.warning("callers lose adapter %s of model %s", adapter, before.Name)
		}
	}
	for _, o := range b.to.Organisations {
		if mayCall(before, o.Name) && !mayCall(after, o.Name) {
			b.warning("organisation %s loses model %s", o.Name, before.Name)
		}
	}
}

func mayCall(m *config.Model, organisation string) bool {
	return len(m.Callers) == 0 || slices.Contains(m.Callers, organisation)
}

// addRefusals adds the reasons why the plan can't be confirmed in the current configuration.
func (b *builder) addRefusals() {
	for i := range b.to.Pools {
		b.refuseBelowMinServing(&b.to.Pools[i])
	}
	for i := range b.from.Engines {
		b.refuseContradiction(&b.from.Engines[i])
	}
	for i := range b.from.Pools {
		b.refuseModelChange(&b.from.Pools[i])
	}
}

// refuseBelowMinServing refuses plans that leave a pool with too few engines, or change its MinServing
// while another plan is in progress.
func (b *builder) refuseBelowMinServing(pool *config.Pool) {
	c := b.capacityOf(pool)
	affected := b.countSteps(pool.Name, KindWithdraw) + b.countSteps(pool.Name, KindReturn) + b.countSteps(pool.Name, KindChange)
	before := b.from.Pool(pool.Name)
	minServingChanged := before == nil || before.MinServing != pool.MinServing
	switch {
	case c.after < pool.MinServing && (affected > 0 || minServingChanged):
		b.refusal("pool %s would keep %d engines, fewer than its min_serving %d", pool.Name, c.after, pool.MinServing)
	case c.maxConcurrent < 1 && b.countSteps(pool.Name, KindChange) > 0:
		b.refusal("pool %s can't take an engine out for a change: min_serving %d leaves none to spare", pool.Name, pool.MinServing)
	}
	if running := planInProgress(b.from, pool.Name); minServingChanged && before != nil && running != "" {
		b.refusal("pool %s is being changed by plan %s, which was built for min_serving %d; wait for it or cancel it", pool.Name, running, before.MinServing)
	}
}

// refuseContradiction refuses changes of an engine that another plan is changing, and changes of the address
// or the pool of an engine that has not been withdrawn.
func (b *builder) refuseContradiction(before *config.Engine) {
	after := b.to.Engine(before.ID)
	if before.Plan != "" && (after == nil || wantChanged(before, after)) {
		b.refusal("engine %s is still being changed by plan %s; wait for it or cancel it", before.ID, before.Plan)
	}
	if after == nil || before.Routing == config.RoutingOut {
		return
	}
	if before.Address != after.Address {
		b.refusal("engine %s is %s, so its address can't change; let it leave first", before.ID, before.Routing)
	}
	if before.Pool != after.Pool {
		b.refusal("engine %s is %s, so it can't move to pool %s; let it leave first", before.ID, before.Routing, after.Pool)
	}
}

// refuseModelChange refuses to change the model of a pool while another plan changes the pool's engines.
func (b *builder) refuseModelChange(pool *config.Pool) {
	after := b.to.Pool(pool.Name)
	if after != nil && after.Model != pool.Model && planInProgress(b.from, pool.Name) != "" {
		b.refusal("pool %s is being changed by plan %s; wait for it or cancel it", pool.Name, planInProgress(b.from, pool.Name))
	}
}

// planInProgress returns the ID of a plan that still changes engines of a pool, or the empty string.
func planInProgress(doc *config.Config, pool string) string {
	for _, e := range doc.PoolEngines(pool) {
		if e.Plan != "" {
			return e.Plan
		}
	}
	return ""
}
