package plan

import (
	"fmt"
	"slices"
	"time"

	"sassafrasfield/internal/config"
	"sassafrasfield/internal/rollout"
)

// Costs are the expected durations of changes.
type Costs struct {
	// ChangeSeconds is the duration of a change of role, model or version, without the transfer of weights.
	// LoadSeconds is the time to load adapters.
	ChangeSeconds float64
	LoadSeconds   float64
	// WeightRate is the rate of the weight store in bytes per second; 0 if unknown.
	WeightRate float64
	// TargetLoadTime is the time within which an engine should load its weights. It limits the concurrent
	// loads, see rollout.ParallelLoads.
	TargetLoadTime time.Duration
}

// Build compares two configurations and returns the plan that leads from one to the other.
func Build(from, to *config.Config, costs Costs) *Plan {
	b := builder{from: from, to: to, costs: costs, plan: &Plan{BuiltFrom: from.Intent, State: StateDeclared}}
	for i := range to.Engines {
		b.addEngineStep(&to.Engines[i])
	}
	if len(b.plan.Steps) == 0 || settingsDiffer(from, to) {
		b.add(Step{Kind: KindConfigure, Text: "put the declared settings in force"})
	}
	b.sortSteps()
	b.estimateOutSeconds()
	b.predictEffects()
	b.addWarnings()
	b.addRefusals()
	return b.plan
}

// builder builds one plan.
type builder struct {
	from, to *config.Config
	costs    Costs
	plan     *Plan
}

func (b *builder) add(step Step) {
	b.plan.Steps = append(b.plan.Steps, step)
}

// sortSteps sorts the steps so that those that add capacity come first, and numbers them.
func (b *builder) sortSteps() {
	slices.SortStableFunc(b.plan.Steps, func(x, y Step) int {
		return slices.Index(kindOrder, x.Kind) - slices.Index(kindOrder, y.Kind)
	})
	for i := range b.plan.Steps {
		b.plan.Steps[i].Number = i + 1
	}
}

// wantChanged reports whether the intent changes what is wanted of an engine.
func wantChanged(before, after *config.Engine) bool {
	return before == nil || before.Leave != after.Leave || !before.Want.Equal(after.Want)
}

// addEngineStep adds the step of an engine if the intent changes it.
func (b *builder) addEngineStep(e *config.Engine) {
	before := b.from.Engine(e.ID)
	if !wantChanged(before, e) || rollout.Converged(e) {
		return
	}
	step := Step{Pool: e.Pool, Engine: e.ID}
	switch {
	case e.Leave:
		step.Kind, step.Text = KindWithdraw, fmt.Sprintf("drain %s and take it out", e.ID)
	case e.Routing != config.RoutingServing:
		step.Kind, step.Text = KindReturn, fmt.Sprintf("bring %s into service with %s", e.ID, describeState(e.Want))
	case e.Loaded.Disruptive(e.Want):
		step.Kind = KindChange
		step.Text = fmt.Sprintf("drain %s, change it to %s, bring it back", e.ID, describeState(e.Want))
	default:
		step.Kind = KindLoad
		step.Text = fmt.Sprintf("load adapters %v into %s while it serves", e.Want.Adapters, e.ID)
	}
	b.add(step)
}

// weightSeconds returns the time to load weights for an engine's change, in seconds, if no other engine
// uses the weight store.
func (b *builder) weightSeconds(e *config.Engine) float64 {
	model := b.to.Model(e.Want.Model)
	if model == nil || b.costs.WeightRate == 0 || !rollout.NeedsWeights(e.Loaded, e.Want) {
		return 0
	}
	return float64(model.WeightBytes) / b.costs.WeightRate
}

// estimateOutSeconds sets the time that each engine is out of service. Concurrent loads share the rate of
// the weight store.
func (b *builder) estimateOutSeconds() {
	for i := range b.plan.Steps {
		step := &b.plan.Steps[i]
		if step.Kind != KindChange {
			continue
		}
		e := b.to.Engine(step.Engine)
		step.OutSeconds = b.costs.ChangeSeconds + b.weightSeconds(e)*float64(b.concurrentLoads(e))
	}
}

// concurrentLoads returns how many engines of the pool of an engine are expected to load weights at the
// same time.
func (b *builder) concurrentLoads(e *config.Engine) int {
	pool, model := b.to.Pool(e.Pool), b.to.Model(e.Want.Model)
	if model == nil || model.WeightBytes == 0 || b.costs.WeightRate == 0 {
		return 1
	}
	loads := rollout.ParallelLoads(b.costs.WeightRate, model.WeightBytes, b.costs.TargetLoadTime, 1)
	return max(1, min(loads, b.capacityOf(pool).maxConcurrent, b.countSteps(e.Pool, KindChange)))
}

func describeState(s config.EngineState) string {
	return fmt.Sprintf("%s version %s, adapters %v, role %s", s.Model, s.Version, s.Adapters, s.Role)
}

// settingsDiffer reports whether anything but the engines differs.
func settingsDiffer(from, to *config.Config) bool {
	a, b := *from, *to
	a.Engines, b.Engines = nil, nil
	a.Version, b.Version = 0, 0
	return string(a.Encode()) != string(b.Encode())
}

// countSteps returns the number of steps of a kind in a pool.
func (b *builder) countSteps(pool string, kind Kind) int {
	n := 0
	for _, step := range b.plan.Steps {
		if step.Pool == pool && step.Kind == kind {
			n++
		}
	}
	return n
}
