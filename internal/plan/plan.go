// Package plan works out what an intent would do, as steps that an operator
// can read before anything changes. It is pure.
package plan

import (
	"encoding/json"
	"fmt"

	"github.com/pkg/errors"

	"sassafrasfield/internal/config"
)

// State of a plan.
type State string

// States of a plan.
const (
	StateDeclared  State = "declared"
	StateConfirmed State = "confirmed"
	StateCancelled State = "cancelled"
)

// Kind of a step.
type Kind string

// Kinds of step.
const (
	// KindConfigure puts settings in force that touch no engine.
	KindConfigure Kind = "configure"
	// KindLoad loads adapters into a serving engine.
	KindLoad Kind = "load"
	// KindChange takes an engine out, changes it and brings it back.
	KindChange Kind = "change"
	// KindWithdraw drains an engine and takes it out.
	KindWithdraw Kind = "withdraw"
	// KindReturn brings an engine into service.
	KindReturn Kind = "return"
)

// Step is one line of a plan.
type Step struct {
	Number int    `json:"number"`
	Kind   Kind   `json:"kind"`
	Pool   string `json:"pool,omitempty"`
	Engine string `json:"engine,omitempty"`
	Text   string `json:"text"`
	// OutSeconds is the expected time out of service, after draining.
	OutSeconds float64 `json:"out_seconds,omitempty"`
}

// Effect is the predicted change in a model's serving engines.
type Effect struct {
	Model  string `json:"model"`
	Before int    `json:"before"`
	Lowest int    `json:"lowest"`
	After  int    `json:"after"`
}

// Plan is a declared intent with what it would do.
type Plan struct {
	ID       string `json:"id"`
	Name     string `json:"name"`
	Operator string `json:"operator"`
	// BuiltFrom is the intent number of the configuration it was built from.
	BuiltFrom int64    `json:"built_from"`
	Steps     []Step   `json:"steps"`
	Effects   []Effect `json:"effects"`
	Warnings  []string `json:"warnings,omitempty"`
	Refusals  []string `json:"refusals,omitempty"`
	State     State    `json:"state"`
	// Version that the confirmation created; 0 before.
	Version int64 `json:"version"`
	// File and Source are the intent as it was declared. A confirmation
	// applies it again.
	File   string `json:"file"`
	Source []byte `json:"source"`
}

// Costs are the expected times of changes.
type Costs struct {
	// ChangeSeconds is a change of model, version or role; LoadSeconds the
	// loading of adapters.
	ChangeSeconds float64
	LoadSeconds   float64
}

// Build compares two configurations and returns the steps between them.
func Build(from, to *config.Config, costs Costs) *Plan {
	p := &Plan{BuiltFrom: from.Intent, State: StateDeclared}
	for i := range to.Engines {
		p.addEngine(from, &to.Engines[i], costs)
	}
	if len(p.Steps) == 0 || metadataDiffers(from, to) {
		p.Steps = append([]Step{{Kind: KindConfigure, Text: "put the declared settings in force"}}, p.Steps...)
	}
	for i := range p.Steps {
		p.Steps[i].Number = i + 1
	}
	p.predict(from, to)
	return p
}

func (p *Plan) addEngine(from *config.Config, e *config.Engine, costs Costs) {
	before := from.Engine(e.ID)
	if e.Leave {
		if before != nil && before.Routing != config.RoutingOut {
			p.add(Step{Kind: KindWithdraw, Pool: e.Pool, Engine: e.ID, Text: fmt.Sprintf("drain %s and take it out", e.ID)})
		}
		return
	}
	switch {
	case before == nil || e.Routing != config.RoutingServing:
		p.add(Step{Kind: KindReturn, Pool: e.Pool, Engine: e.ID, Text: fmt.Sprintf("bring %s into service with %s", e.ID, describe(e.Want))})
	case e.Loaded.Disruptive(e.Want):
		p.add(Step{Kind: KindChange, Pool: e.Pool, Engine: e.ID, OutSeconds: costs.ChangeSeconds,
			Text: fmt.Sprintf("drain %s, change it to %s, bring it back", e.ID, describe(e.Want))})
	case !e.Loaded.Equal(e.Want):
		p.add(Step{Kind: KindLoad, Pool: e.Pool, Engine: e.ID, Text: fmt.Sprintf("load adapters %v into %s while it serves", e.Want.Adapters, e.ID)})
	}
}

func (p *Plan) add(step Step) {
	p.Steps = append(p.Steps, step)
}

func describe(s config.EngineState) string {
	return fmt.Sprintf("%s version %s, adapters %v, role %s", s.Model, s.Version, s.Adapters, s.Role)
}

// predict fills in the effects, the warnings and the refusals.
func (p *Plan) predict(from, to *config.Config) {
	for i := range to.Pools {
		pool := &to.Pools[i]
		effect := Effect{Model: pool.Model}
		for _, e := range from.PoolEngines(pool.Name) {
			if e.Routing == config.RoutingServing {
				effect.Before++
			}
		}
		for _, e := range to.PoolEngines(pool.Name) {
			if !e.Leave {
				effect.After++
			}
		}
		effect.Lowest = min(effect.Before, effect.After)
		if p.changes(pool.Name) && effect.Before > 0 {
			effect.Lowest = min(effect.Lowest, max(effect.Before-1, pool.MinServing))
		}
		p.Effects = append(p.Effects, effect)
		p.judge(pool, effect)
	}
}

func (p *Plan) judge(pool *config.Pool, effect Effect) {
	if effect.After < pool.MinServing {
		p.Refusals = append(p.Refusals, fmt.Sprintf("pool %s would keep %d engines, fewer than its min_serving %d", pool.Name, effect.After, pool.MinServing))
	}
	if effect.After == 1 {
		p.Warnings = append(p.Warnings, fmt.Sprintf("pool %s is left with one engine", pool.Name))
	}
}

func (p *Plan) changes(pool string) bool {
	for _, step := range p.Steps {
		if step.Pool == pool && step.Kind == KindChange {
			return true
		}
	}
	return false
}

// metadataDiffers compares what is in no engine.
func metadataDiffers(from, to *config.Config) bool {
	a, b := from.Clone(), to.Clone()
	a.Engines, b.Engines = nil, nil
	return string(a.Encode()) != string(b.Encode())
}

// Key is the table key of a plan.
func Key(id string) string {
	return "plan/" + id
}

// Encode returns the plan as JSON.
func (p *Plan) Encode() []byte {
	data, err := json.Marshal(p)
	if err != nil {
		panic(errors.Wrap(err, "plan: encode")) // plain data always marshals
	}
	return data
}

// Decode reads a plan that Encode wrote.
func Decode(data []byte) (*Plan, error) {
	p := &Plan{}
	return p, errors.Wrap(json.Unmarshal(data, p), "plan: decode")
}

// StepState of a step of a confirmed plan, by the newest configuration.
type StepState string

// States of a step.
const (
	StepWaiting StepState = "waiting"
	StepRunning StepState = "running"
	StepDone    StepState = "done"
)

// Progress tells how far a step is in the configuration.
func (s Step) Progress(now *config.Config) StepState {
	e := now.Engine(s.Engine)
	if s.Kind == KindConfigure || e == nil {
		return StepDone
	}
	arrived := e.Routing == config.RoutingServing && e.Loaded.Equal(e.Want)
	if s.Kind == KindWithdraw {
		arrived = e.Routing == config.RoutingOut
	}
	switch {
	case arrived:
		return StepDone
	case e.Routing == config.RoutingDraining:
		return StepRunning
	default:
		return StepWaiting
	}
}
