// Package plan computes the effects of an intent before anything changes. It compares the current
// configuration with the one that the intent asks for, and returns a plan for operators: the steps, the
// predicted effects, warnings and refusals. It also tracks the progress of confirmed plans and cancels
// them. It has no side effects.
package plan

import (
	"encoding/json"
	"slices"

	"github.com/pkg/errors"

	"sassafrasfield/internal/config"
)

// State is the stored state of a plan.
type State string

// States of a plan.
const (
	// StateDeclared plans await confirmation.
	StateDeclared State = "declared"
	// StateConfirmed plans were accepted as a version.
	StateConfirmed State = "confirmed"
	// StateCancelled plans were cancelled, before or after the confirmation.
	StateCancelled State = "cancelled"
	// StateRefused plans can no longer be confirmed.
	StateRefused State = "refused"
)

// Kind is the kind of a step.
type Kind string

// Kinds of steps, in the order of a plan. Steps that add capacity come first.
const (
	// KindConfigure applies settings that do not affect an engine.
	KindConfigure Kind = "configure"
	// KindReturn brings an engine into service.
	KindReturn Kind = "return"
	// KindLoad loads adapters into a serving engine.
	KindLoad Kind = "load"
	// KindChange drains an engine, changes it and returns it to service.
	KindChange Kind = "change"
	// KindWithdraw drains an engine and takes it out of service.
	KindWithdraw Kind = "withdraw"
)

var kindOrder = []Kind{KindConfigure, KindReturn, KindLoad, KindChange, KindWithdraw}

// Step is one line of a plan.
type Step struct {
	Number int    `json:"number"`
	Kind   Kind   `json:"kind"`
	Pool   string `json:"pool,omitempty"`
	Engine string `json:"engine,omitempty"`
	Text   string `json:"text"`
	// OutSeconds is the expected time out of service in seconds, without the draining.
	OutSeconds float64 `json:"out_seconds,omitempty"`
	// Cancelled is true if the plan was cancelled before the step started.
	Cancelled bool `json:"cancelled,omitempty"`
}

// Effect is the predicted change of the number of engines that serve a model.
type Effect struct {
	Model  string `json:"model"`
	Before int    `json:"before"`
	// Lowest is the smallest number of serving engines at any step.
	Lowest int `json:"lowest"`
	After  int `json:"after"`
}

// Plan is a declared intent and its predicted effects.
type Plan struct {
	ID       string `json:"id"`
	Name     string `json:"name"`
	Operator string `json:"operator"`
	// BuiltFrom is the intent number of the configuration from which the plan was built.
	BuiltFrom int64    `json:"built_from"`
	Steps     []Step   `json:"steps"`
	Effects   []Effect `json:"effects"`
	// Seconds is the expected duration of all steps in seconds, without the time in which engines finish
	// their streams.
	Seconds  float64  `json:"seconds"`
	Warnings []string `json:"warnings,omitempty"`
	// Refusals are the reasons why the plan can't be confirmed in the current configuration.
	Refusals []string `json:"refusals,omitempty"`
	State    State    `json:"state"`
	// Reason explains the state where necessary.
	Reason string `json:"reason,omitempty"`
	// Version is the version that the confirmation created; 0 before.
	Version int64 `json:"version"`
	// ConfirmedBy is the operator who confirmed the plan.
	ConfirmedBy string `json:"confirmed_by,omitempty"`
	// File and Source are the name and the content of the declared intent file. The confirmation applies it
	// again.
	File   string `json:"file"`
	Source []byte `json:"source"`
}

// Key returns the table key of a plan.
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

// Decode parses a plan that was written by Encode.
func Decode(data []byte) (*Plan, error) {
	p := &Plan{}
	return p, errors.Wrap(json.Unmarshal(data, p), "plan: decode")
}

// SameSteps reports whether two plans have the same kinds of steps for the same engines.
func (p *Plan) SameSteps(other *Plan) bool {
	return slices.EqualFunc(p.Steps, other.Steps, func(a, b Step) bool {
		return a.Kind == b.Kind && a.Engine == b.Engine
	})
}

// ClaimEngines assigns the engines of the plan to it in the document that its confirmation creates. Until
// they have converged, or the plan is cancelled, an intent that would change them is refused.
func (p *Plan) ClaimEngines(doc *config.Config) {
	for _, step := range p.Steps {
		if e := doc.Engine(step.Engine); e != nil {
			e.Plan = p.ID
		}
	}
}

// RunningIDs returns the IDs of the plans that still change engines, in the order of the engines.
func RunningIDs(doc *config.Config) []string {
	var ids []string
	for i := range doc.Engines {
		if id := doc.Engines[i].Plan; id != "" && !slices.Contains(ids, id) {
			ids = append(ids, id)
		}
	}
	return ids
}
