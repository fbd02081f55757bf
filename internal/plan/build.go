package plan

import (
	"fmt"
	"slices"
	"time"

	"sassafrasfield/internal/config"
	"sassafrasfield/internal/rollout"
)

// Costs are the expected times of changes.
type Costs struct {
	// ChangeSeconds is a change of role, or of model or version without the
	// transfer of weights; LoadSeconds the loading of adapters.
	ChangeSeconds float64
	LoadSeconds   float64
	// WeightRate is the weight store's rate in bytes a second; 0 is unknown.
	WeightRate float64
	// TargetLoadTime is within which an engine should get its weights; it bounds the
	// loads at once, see rollout.ParallelLoads.
	TargetLoadTime time.Duration
}

// Build compares two configurations and returns the steps between them.
func Build(from, to *config.Config, costs Costs) *Plan {
	b := builder{from: from, to: to, costs: costs, plan: &Plan{BuiltFrom: from.Intent, State: StateDeclared}}
	for i := range to.Engines {
		b.engine(&to.Engines[i])
	}
	if len(b.plan.Steps) == 0 || settingsDiffer(from, to) {
		b.add(Step{Kind: KindConfigure, Text: "put the declared settings in force"})
	}
	b.order()
	b.estimate()
	b.predict()
	b.warn()
	b.refuse()
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

// order sorts the steps so that what adds capacity comes first.
func (b *builder) order() {
	slices.SortStableFunc(b.plan.Steps, func(x, y Step) int {
		return slices.Index(kindOrder, x.Kind) - slices.Index(kindOrder, y.Kind)
	})
	for i := range b.plan.Steps {
		b.plan.Steps[i].Number = i + 1
	}
}

// changed tells whether the intent asks for something else of an engine.
func changed(before, after *config.Engine) bool {
	return before == nil || before.Leave != after.Leave || !before.Want.Equal(after.Want)
}

// engine adds the step of one engine, if the intent changes it.
func (b *builder) engine(e *config.Engine) {
	before := b.from.Engine(e.ID)
	if !changed(before, e) || rollout.Converged(e) {
		return
	}
	step := Step{Pool: e.Pool, Engine: e.ID}
	switch {
	case e.Leave:
		step.Kind, step.Text = KindWithdraw, fmt.Sprintf("drain %s and take it out", e.ID)
	case e.Routing != config.RoutingServing:
		step.Kind, step.Text = KindReturn, fmt.Sprintf("bring %s into service with %s", e.ID, describe(e.Want))
	case e.Loaded.Disruptive(e.Want):
		step.Kind = KindChange
		step.Text = fmt.Sprintf("drain %s, change it to %s, bring it back", e.ID, describe(e.Want))
	default:
		step.Kind = KindLoad
		step.Text = fmt.Sprintf("load adapters %v into %s while it serves", e.Want.Adapters, e.ID)
	}
	b.add(step)
}

// weightSeconds is how long an engine's change loads weights when it has the
// weight store to itself.
func (b *builder) weightSeconds(e *config.Engine) float64 {
	model := b.to.Model(e.Want.Model)
	if model == nil || b.costs.WeightRate == 0 || !rollout.NeedsWeights(e.Loaded, e.Want) {
		return 0
	}
	return float64(model.WeightBytes) / b.costs.WeightRate
}

// estimate fills in how long each engine is out. Loads at once share the
// weight store's rate.
func (b *builder) estimate() {
	for i := range b.plan.Steps {
		step := &b.plan.Steps[i]
		if step.Kind != KindChange {
			continue
		}
		e := b.to.Engine(step.Engine)
		step.OutSeconds = b.costs.ChangeSeconds + b.weightSeconds(e)*float64(b.loadsAtOnce(e))
	}
}

// loadsAtOnce is how many engines of an engine's pool are expected to load
// weights at the same time.
func (b *builder) loadsAtOnce(e *config.Engine) int {
	pool, model := b.to.Pool(e.Pool), b.to.Model(e.Want.Model)
	if model == nil || model.WeightBytes == 0 || b.costs.WeightRate == 0 {
		return 1
	}
	loads := rollout.ParallelLoads(b.costs.WeightRate, model.WeightBytes, b.costs.TargetLoadTime, 1)
	return max(1, min(loads, b.capacityOf(pool).parallel, b.count(e.Pool, KindChange)))
}

func describe(s config.EngineState) string {
	return fmt.Sprintf("%s version %s, adapters %v, role %s", s.Model, s.Version, s.Adapters, s.Role)
}

// settingsDiffer compares what is in no engine.
func settingsDiffer(from, to *config.Config) bool {
	a, b := *from, *to
	a.Engines, b.Engines = nil, nil
	a.Version, b.Version = 0, 0
	return string(a.Encode()) != string(b.Encode())
}

// count is the number of a pool's steps of a kind.
func (b *builder) count(pool string, kind Kind) int {
	n := 0
	for _, step := range b.plan.Steps {
		if step.Pool == pool && step.Kind == kind {
			n++
		}
	}
	return n
}
