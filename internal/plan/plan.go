// Package plan works out what an intent would do, as steps that an operator
// can read before anything changes. It is pure.
package plan

import (
	"encoding/json"
	"slices"

	"github.com/pkg/errors"

	"sassafrasfield/internal/config"
)

// State of a plan, as its row has it.
type State string

// States of a plan.
const (
	// StateDeclared plans wait for a confirmation.
	StateDeclared State = "declared"
	// StateConfirmed plans were accepted as a version.
	StateConfirmed State = "confirmed"
	// StateCancelled plans were given up, before or after the confirmation.
	StateCancelled State = "cancelled"
	// StateRefused plans can't be confirmed any more.
	StateRefused State = "refused"
)

// Kind of a step.
type Kind string

// Kinds of step, in the order of a plan: what adds capacity comes first.
const (
	// KindConfigure puts settings in force that touch no engine.
	KindConfigure Kind = "configure"
	// KindReturn brings an engine into service.
	KindReturn Kind = "return"
	// KindLoad loads adapters into a serving engine.
	KindLoad Kind = "load"
	// KindChange takes an engine out, changes it and brings it back.
	KindChange Kind = "change"
	// KindWithdraw drains an engine and takes it out.
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
	// OutSeconds is the expected time out of service, after draining.
	OutSeconds float64 `json:"out_seconds,omitempty"`
	// Cancelled is true when the plan was cancelled before the step started.
	Cancelled bool `json:"cancelled,omitempty"`
}

// Effect is the predicted change in a model's serving engines.
type Effect struct {
	Model  string `json:"model"`
	Before int    `json:"before"`
	// Lowest is the fewest engines that serve at any step.
	Lowest int `json:"lowest"`
	After  int `json:"after"`
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
	// Seconds is the expected time of all steps, without the time in which
	// engines finish their streams.
	Seconds  float64  `json:"seconds"`
	Warnings []string `json:"warnings,omitempty"`
	// Refusals are what forbids the plan as things stand.
	Refusals []string `json:"refusals,omitempty"`
	State    State    `json:"state"`
	// Reason of the state, when it needs one.
	Reason string `json:"reason,omitempty"`
	// Version that the confirmation created; 0 before.
	Version int64 `json:"version"`
	// ConfirmedBy is the operator who confirmed the plan.
	ConfirmedBy string `json:"confirmed_by,omitempty"`
	// File and Source are the intent as it was declared. A confirmation
	// applies it again.
	File   string `json:"file"`
	Source []byte `json:"source"`
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

// SameSteps tells whether two plans do the same to the same engines.
func (p *Plan) SameSteps(other *Plan) bool {
	return slices.EqualFunc(p.Steps, other.Steps, func(a, b Step) bool {
		return a.Kind == b.Kind && a.Engine == b.Engine
	})
}

// ClaimEngines makes the plan's engines its own in the document that its confirmation
// creates. Until they have arrived, or the plan is cancelled, an intent that
// would change them contradicts it.
func (p *Plan) ClaimEngines(doc *config.Config) {
	for _, step := range p.Steps {
		if e := doc.Engine(step.Engine); e != nil {
			e.Plan = p.ID
		}
	}
}

// RunningIDs names the plans that still have engines to change, in order.
func RunningIDs(doc *config.Config) []string {
	var ids []string
	for i := range doc.Engines {
		if id := doc.Engines[i].Plan; id != "" && !slices.Contains(ids, id) {
			ids = append(ids, id)
		}
	}
	return ids
}
