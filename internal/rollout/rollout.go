// Package rollout decides the next steps that bring the engines of one pool to
// the confirmed configuration without cutting off a request. It is pure and
// keeps nothing: each decision follows from the newest configuration, the
// journal of orders and what was observed. So a new lease holder goes on where
// the last one stopped.
//
// The order of a disruptive change: a version marks the engine as draining;
// every instance has it in force and reports no stream of its own there; the
// engine, asked after that, reports nothing running; the order goes out; it is
// read back; a version returns the engine to routing.
package rollout

import (
	"maps"
	"slices"
	"time"

	"sassafrasfield/internal/config"
	"sassafrasfield/internal/engine"
	"sassafrasfield/internal/order"
)

// InstanceView is what an instance reported of itself.
type InstanceView struct {
	ID string
	// Answered is true when the instance's entry answered in this round.
	Answered bool
	// Version in force in its entry.
	Version int64
	// Streams of its entry for each engine.
	Streams map[string]int
}

// EngineView is what an engine reported, asked after the instances answered.
type EngineView struct {
	Reachable bool
	Status    engine.Status
	// UnansweredFor is how long it was asked without an answer; see Silence.
	UnansweredFor time.Duration
	// RoutingAge is how long the holder has known the version that set the
	// engine's routing, on its own clock.
	RoutingAge time.Duration
	// RecentlyOrdered is true when an order was sent so shortly ago that it is
	// not worth sending again.
	RecentlyOrdered bool
}

// Limits bound the pace of a rollout.
type Limits struct {
	// InstanceTimeout is how long after a version was accepted an instance that does
	// not answer counts as taking no new work by an older one. It must exceed
	// the time after which an entry without heartbeats refuses, plus the time
	// for which a daemon that is cut off holds an old version.
	InstanceTimeout time.Duration
	// UnreachableAfter is how long an engine must have been silent to be marked
	// out of routing.
	UnreachableAfter time.Duration
	// MaxLoads bounds the engines that load weights at once; 0 is no bound.
	MaxLoads int
}

// View is all that a decision rests on.
type View struct {
	Config *config.Config
	Pool   string
	Limits Limits
	// Instances that may route to the pool's engines. None at all means that
	// they were not asked, and no engine counts as empty.
	Instances []InstanceView
	Engines   map[string]EngineView
	Orders    map[string]order.Row
	// ShuttingDown are engines that leave by the platform's word.
	ShuttingDown map[string]bool
}

// Action is one thing to do: CloseOrder, SendOrder or Mark.
type Action interface {
	action()
}

// Reason of a change in an engine's routing.
type Reason string

// Reasons of a change.
const (
	// ReasonDrain: a planned change needs the engine empty.
	ReasonDrain Reason = "drain"
	// ReasonLost: the engine lost what it had loaded.
	ReasonLost Reason = "lost"
	// ReasonUnreachable: the engine does not answer.
	ReasonUnreachable Reason = "unreachable"
	// ReasonRestore: the engine has what it should have.
	ReasonRestore Reason = "restore"
	// ReasonWithdraw: the engine is empty and leaves.
	ReasonWithdraw Reason = "withdraw"
)

// Change sets an engine's routing, and its loaded state when Loaded is given.
type Change struct {
	Engine  string
	Routing config.Routing
	Loaded  *config.EngineState
	Reason  Reason
}

// UpdateRouting writes one version with all changes.
type UpdateRouting struct {
	Changes []Change
}

// SendOrder journals an order, if it is not journalled yet, and sends it.
type SendOrder struct {
	Engine string
	Want   config.EngineState
}

// CloseOrder marks the engine's journalled order as done.
type CloseOrder struct {
	Engine string
}

func (UpdateRouting) action() {}
func (SendOrder) action()     {}
func (CloseOrder) action()    {}

// Decision is what may be done now, and why the rest has to wait.
type Decision struct {
	// Actions in the order in which to do them.
	Actions []Action
	// Waits tells for an engine what it waits for, in a few words.
	Waits map[string]string
	// AskInstances is true when an engine waits only because View.Instances is
	// empty.
	AskInstances bool
}

// Next returns what may be done now. The list is empty when all is as
// confirmed, or when there is only waiting left.
func Next(v View) []Action {
	return Decide(v).Actions
}

// Decide returns what may be done now, and what is waited for.
func Decide(v View) Decision {
	d := newDecider(v)
	for _, e := range v.Config.PoolEngines(v.Pool) {
		d.engine(e)
	}
	return Decision{Actions: d.actions(), Waits: d.waits, AskInstances: slices.Contains(slices.Collect(maps.Values(d.waits)), notAsked)}
}

// Apply makes the change in a document that is about to become doc.Version. An
// engine that has arrived is no part of its plan any more.
func (c Change) Apply(doc *config.Config) {
	e := doc.Engine(c.Engine)
	if e.Routing != c.Routing {
		doc.SetRouting(c.Engine, c.Routing)
	}
	if c.Loaded != nil {
		e.Loaded = *c.Loaded
	}
	if Converged(e) {
		e.Plan = ""
	}
}

// Converged tells whether the configuration has nothing left to do for an
// engine.
func Converged(e *config.Engine) bool {
	if e.Leave {
		return e.Routing == config.RoutingOut
	}
	return e.Routing == config.RoutingServing && e.Loaded.Equal(e.Want)
}
