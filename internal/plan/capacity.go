package plan

import (
	"sassafrasfield/internal/config"
	"sassafrasfield/internal/rollout"
)

// poolCapacity is the number of serving engines of a pool before, during and after a plan.
type poolCapacity struct {
	before, lowest, after int
	// maxConcurrent is how many engines may be out of service for a change at a time. Below 1, MinServing
	// allows none.
	maxConcurrent int
}

// capacityOf predicts the capacity of a pool of the target configuration.
func (b *builder) capacityOf(pool *config.Pool) poolCapacity {
	var c poolCapacity
	c.before = countServing(b.from, pool.Name)
	total := 0
	for _, e := range b.to.PoolEngines(pool.Name) {
		if !e.Leave {
			total++
		}
	}
	c.after = total
	returns, changes := b.countSteps(pool.Name, KindReturn), b.countSteps(pool.Name, KindChange)
	withdrawals := b.countSteps(pool.Name, KindWithdraw)
	spare := min(c.before+returns, c.after) - pool.MinServing
	c.maxConcurrent = min(rollout.MaxOut(total), spare)
	out := min(max(c.maxConcurrent, 0), changes)
	minimum := min(c.before, pool.MinServing)
	c.lowest = min(c.before, c.after, max(c.before-withdrawals-out, minimum))
	return c
}

// countServing returns the number of engines of a pool that are in routing.
func countServing(doc *config.Config, pool string) int {
	n := 0
	for _, e := range doc.PoolEngines(pool) {
		if e.Routing == config.RoutingServing {
			n++
		}
	}
	return n
}

// predictEffects sets the effects on each model and the duration of the plan.
func (b *builder) predictEffects() {
	index := map[string]int{}
	effect := func(model string) *Effect {
		i, ok := index[model]
		if !ok {
			i = len(b.plan.Effects)
			index[model] = i
			b.plan.Effects = append(b.plan.Effects, Effect{Model: model})
		}
		return &b.plan.Effects[i]
	}
	for i := range b.to.Pools {
		pool := &b.to.Pools[i]
		c := b.capacityOf(pool)
		e := effect(pool.Model)
		e.Before += c.before
		e.Lowest += c.lowest
		e.After += c.after
		b.plan.Seconds = max(b.plan.Seconds, b.durationSeconds(pool, c))
	}
	for i := range b.from.Pools {
		if pool := &b.from.Pools[i]; b.to.Pool(pool.Name) == nil {
			effect(pool.Model).Before += countServing(b.from, pool.Name)
		}
	}
}

// durationSeconds returns the expected duration of a pool's steps in seconds. Pools change concurrently.
// Loads share the rate of the weight store, so concurrent loads take as long in total as consecutive ones.
func (b *builder) durationSeconds(pool *config.Pool, c poolCapacity) float64 {
	weights, changes := 0.0, 0
	for _, step := range b.plan.Steps {
		if step.Pool != pool.Name || step.Kind != KindChange {
			continue
		}
		changes++
		weights += b.weightSeconds(b.to.Engine(step.Engine))
	}
	rounds := (changes + max(c.maxConcurrent, 1) - 1) / max(c.maxConcurrent, 1)
	total := float64(rounds)*b.costs.ChangeSeconds + weights
	if b.countSteps(pool.Name, KindLoad) > 0 || b.countSteps(pool.Name, KindReturn) > 0 {
		total = max(total, b.costs.LoadSeconds)
	}
	return total
}
