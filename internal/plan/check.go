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

// warn tells of what an operator may not have meant.
func (b *builder) warn() {
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
		b.warnZones(&b.from.Pools[i])
	}
	for i := range b.from.Models {
		b.warnCallers(&b.from.Models[i])
	}
	for i := range b.from.Organisations {
		name := b.from.Organisations[i].Name
		if !slices.ContainsFunc(b.to.Organisations, func(o config.Organisation) bool { return o.Name == name }) {
			b.warning("organisation %s is removed; its callers are refused", name)
		}
	}
}

// warnZones names the zones that lose their last engine of a pool.
func (b *builder) warnZones(pool *config.Pool) {
	kept := map[string]bool{}
	for _, e := range b.to.PoolEngines(pool.Name) {
		if !e.Leave {
			kept[e.Zone] = true
		}
	}
	for _, e := range b.from.PoolEngines(pool.Name) {
		if !e.Leave && !kept[e.Zone] {
			kept[e.Zone] = true
			b.warning("zone %s is left without an engine of pool %s", e.Zone, pool.Name)
		}
	}
}

// warnCallers names who loses a model or one of its adapters.
func (b *builder) warnCallers(before *config.Model) {
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
		if mayUse(before, o.Name) && !mayUse(after, o.Name) {
			b.warning("organisation %s loses model %s", o.Name, before.Name)
		}
	}
}

func mayUse(m *config.Model, organisation string) bool {
	return len(m.Callers) == 0 || slices.Contains(m.Callers, organisation)
}

// refuse tells what forbids the plan as things stand.
func (b *builder) refuse() {
	for i := range b.to.Pools {
		b.refuseFloor(&b.to.Pools[i])
	}
	for i := range b.from.Engines {
		b.refuseContradiction(&b.from.Engines[i])
	}
	for i := range b.from.Pools {
		b.refuseUsed(&b.from.Pools[i])
	}
}

func (b *builder) refuseFloor(pool *config.Pool) {
	c := b.capacityOf(pool)
	touched := b.count(pool.Name, KindWithdraw) + b.count(pool.Name, KindReturn) + b.count(pool.Name, KindChange)
	before := b.from.Pool(pool.Name)
	raised := before == nil || before.MinServing != pool.MinServing
	switch {
	case c.after < pool.MinServing && (touched > 0 || raised):
		b.refusal("pool %s would keep %d engines, fewer than its min_serving %d", pool.Name, c.after, pool.MinServing)
	case c.parallel < 1 && b.count(pool.Name, KindChange) > 0:
		b.refusal("pool %s can't take an engine out for a change: min_serving %d leaves none to spare", pool.Name, pool.MinServing)
	}
	if running := runningIn(b.from, pool.Name); raised && before != nil && running != "" {
		b.refusal("pool %s is being changed by plan %s, which was built for min_serving %d; wait for it or cancel it", pool.Name, running, before.MinServing)
	}
}

// refuseContradiction compares an engine with what the intent makes of it.
func (b *builder) refuseContradiction(before *config.Engine) {
	after := b.to.Engine(before.ID)
	if before.Plan != "" && (after == nil || changed(before, after)) {
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

// refuseUsed refuses to take the model of a pool away while engines serve it.
func (b *builder) refuseUsed(pool *config.Pool) {
	after := b.to.Pool(pool.Name)
	if after != nil && after.Model != pool.Model && runningIn(b.from, pool.Name) != "" {
		b.refusal("pool %s is being changed by plan %s; wait for it or cancel it", pool.Name, runningIn(b.from, pool.Name))
	}
}

// runningIn names a plan that still changes engines of a pool.
func runningIn(doc *config.Config, pool string) string {
	for _, e := range doc.PoolEngines(pool) {
		if e.Plan != "" {
			return e.Plan
		}
	}
	return ""
}
