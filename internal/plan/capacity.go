package plan

import (
	"sassafrasfield/internal/config"
	"sassafrasfield/internal/rollout"
)

// capacity of a pool in engines that serve.
type capacity struct {
	before, lowest, after int
	// parallel is how many engines may be out for a change at once; below 1
	// the floor allows none.
	parallel int
}

// capacityOf predicts the capacity of a pool of the target.
func (b *builder) capacityOf(pool *config.Pool) capacity {
	var c capacity
	c.before = serving(b.from, pool.Name)
	total := 0
	for _, e := range b.to.PoolEngines(pool.Name) {
		if !e.Leave {
			total++
		}
	}
	c.after = total
	returns, changes := b.count(pool.Name, KindReturn), b.count(pool.Name, KindChange)
	withdrawals := b.count(pool.Name, KindWithdraw)
	spare := min(c.before+returns, c.after) - pool.MinServing
	c.parallel = min(rollout.MaxOut(total), spare)
	out := min(max(c.parallel, 0), changes)
	floor := min(c.before, pool.MinServing)
	c.lowest = min(c.before, c.after, max(c.before-withdrawals-out, floor))
	return c
}

// serving counts the engines of a pool in routing.
func serving(doc *config.Config, pool string) int {
	n := 0
	for _, e := range doc.PoolEngines(pool) {
		if e.Routing == config.RoutingServing {
			n++
		}
	}
	return n
}

// predict fills in the effects on each model, and the time.
func (b *builder) predict() {
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
		b.plan.Seconds = max(b.plan.Seconds, b.seconds(pool, c))
	}
	for i := range b.from.Pools {
		if pool := &b.from.Pools[i]; b.to.Pool(pool.Name) == nil {
			effect(pool.Model).Before += serving(b.from, pool.Name)
		}
	}
}

// seconds is the expected time of a pool's steps. Pools go on side by side;
// the weight store's rate is shared, so that loads at once do not add to it.
func (b *builder) seconds(pool *config.Pool, c capacity) float64 {
	weights, changes := 0.0, 0
	for _, step := range b.plan.Steps {
		if step.Pool != pool.Name || step.Kind != KindChange {
			continue
		}
		changes++
		weights += b.weightSeconds(b.to.Engine(step.Engine))
	}
	rounds := (changes + max(c.parallel, 1) - 1) / max(c.parallel, 1)
	total := float64(rounds)*b.costs.ChangeSeconds + weights
	if b.count(pool.Name, KindLoad) > 0 || b.count(pool.Name, KindReturn) > 0 {
		total = max(total, b.costs.LoadSeconds)
	}
	return total
}
