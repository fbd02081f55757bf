// Package rollout decides the next actions that bring the engines of one pool to the confirmed
// configuration without interrupting a request. Its input is a View and its output a Decision. It has no
// side effects and keeps no state: each decision follows from the newest configuration, the journal of
// orders and the observations. So a new lease holder continues where the previous one stopped.
//
// A disruptive change has these steps:
//   - A new version marks the engine as draining.
//   - Every instance has the version in force, and reports no streams of its own on the engine.
//   - The engine, queried after that, reports no running requests.
//   - The order is sent, and its result is read back.
//   - Another version returns the engine to routing.
package rollout

import (
	"maps"
	"slices"
	"time"

	"sassafrasfield/internal/config"
	"sassafrasfield/internal/engine"
	"sassafrasfield/internal/order"
)

// InstanceView is the reported state of an instance.
type InstanceView struct {
	ID string
	// Answered is true if the instance's entry answered in this round.
	Answered bool
	// Version is the version in force in its entry.
	Version int64
	// Streams is the number of streams of its entry by engine.
	Streams map[string]int
}

// EngineView is the reported state of an engine, which is queried after the instances have answered.
type EngineView struct {
	Reachable bool
	Status    engine.Status
	// UnansweredFor is how long the engine has not answered queries, as UnreachableTimer measures it.
	UnansweredFor time.Duration
	// RoutingAge is how long the lease holder has known the version that set the engine's routing, by its
	// own clock.
	RoutingAge time.Duration
	// RecentlyOrdered is true if an order was sent so recently that it should not be resent yet.
	RecentlyOrdered bool
}

// Limits are the timeouts of a rollout and the limit of its concurrency.
type Limits struct {
	// InstanceTimeout is the time after a version was accepted from which an instance that does not answer
	// is assumed to accept no new work under an older version. It must exceed the time after which an entry
	// without heartbeats refuses requests, plus the time for which a disconnected daemon keeps an old
	// version in force.
	InstanceTimeout time.Duration
	// UnreachableAfter is the time without an answer after which a serving engine is marked as draining.
	UnreachableAfter time.Duration
	// MaxLoads is the maximum number of engines that load weights at a time; 0 means no limit.
	MaxLoads int
}

// View is the input of a decision.
type View struct {
	Config *config.Config
	Pool   string
	Limits Limits
	// Instances are the instances that may route to the pool's engines. If the list is empty, they were not
	// queried, and no engine is treated as idle.
	Instances []InstanceView
	Engines   map[string]EngineView
	Orders    map[string]order.Row
	// ShuttingDown are the engines that the platform announced it will shut down.
	ShuttingDown map[string]bool
}

// Action is one of CloseOrder, SendOrder and UpdateRouting.
type Action interface {
	action()
}

// Reason is the reason for a change of an engine's routing.
type Reason string

// Reasons for a change.
const (
	// ReasonDrain means that a planned change requires an idle engine.
	ReasonDrain Reason = "drain"
	// ReasonLost means that the engine lost its loaded state.
	ReasonLost Reason = "lost"
	// ReasonUnreachable means that the engine does not answer.
	ReasonUnreachable Reason = "unreachable"
	// ReasonRestore means that the engine has the wanted state.
	ReasonRestore Reason = "restore"
	// ReasonWithdraw means that the engine is idle and is to be withdrawn.
	ReasonWithdraw Reason = "withdraw"
)

// Change sets an engine's routing, and its loaded state if Loaded is not nil.
type Change struct {
	Engine  string
	Routing config.Routing
	Loaded  *config.EngineState
	Reason  Reason
}

// UpdateRouting writes one version of the configuration with all changes.
type UpdateRouting struct {
	Changes []Change
}

// SendOrder writes an order to the journal, unless it is there already, and sends it.
type SendOrder struct {
	Engine string
	Want   config.EngineState
}

// CloseOrder marks the engine's order in the journal as done.
type CloseOrder struct {
	Engine string
}

func (UpdateRouting) action() {}
func (SendOrder) action()     {}
func (CloseOrder) action()    {}

// Decision lists the actions that are possible now, and why other engines have to wait.
type Decision struct {
	// Actions are to be performed in this order.
	Actions []Action
	// Waits has a short reason for each engine that has to wait.
	Waits map[string]string
	// QueryInstances is true if an engine waits only because View.Instances is empty.
	QueryInstances bool
}

// Next returns the actions that are possible now. The list is empty if all engines have the confirmed
// state, or have to wait.
func Next(v View) []Action {
	return Decide(v).Actions
}

// Decide returns the actions that are possible now, and what other engines wait for.
func Decide(v View) Decision {
	d := newDecider(v)
	for _, e := range v.Config.PoolEngines(v.Pool) {
		d.decide(e)
	}
	return Decision{Actions: d.actions(), Waits: d.waits, QueryInstances: slices.Contains(slices.Collect(maps.Values(d.waits)), reasonNotQueried)}
}

// Apply makes the change in a document that is about to become doc.Version. A converged engine no longer
// belongs to a plan.
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

// Converged reports whether an engine has the state that the configuration wants.
func Converged(e *config.Engine) bool {
	if e.Leave {
		return e.Routing == config.RoutingOut
	}
	return e.Routing == config.RoutingServing && e.Loaded.Equal(e.Want)
}
