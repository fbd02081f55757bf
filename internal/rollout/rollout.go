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
	"sassafrasfield/internal/config"
	"sassafrasfield/internal/engine"
	"sassafrasfield/internal/order"
)

// InstanceView is what an instance reported of itself.
type InstanceView struct {
	ID string
	// Known is true when the instance's entry answered in this round, or is
	// known to take no new work any more.
	Known bool
	// Version in force in its entry.
	Version int64
	// Streams of its entry for each engine.
	Streams map[string]int
}

// EngineView is what an engine reported, asked after the instances answered.
type EngineView struct {
	Reachable bool
	Status    engine.Status
}

// View is all that a decision rests on.
type View struct {
	Config    *config.Config
	Pool      string
	Instances []InstanceView
	Engines   map[string]EngineView
	Orders    map[string]order.Row
}

// Action is one thing to do: Mark, SendOrder or CloseOrder.
type Action interface {
	action()
}

// Mark writes a version that sets an engine's routing, and its loaded state
// when Loaded is given.
type Mark struct {
	Engine  string
	Routing config.Routing
	Loaded  *config.EngineState
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

func (Mark) action()       {}
func (SendOrder) action()  {}
func (CloseOrder) action() {}

// Next returns what may be done now. The list is empty when all is as
// confirmed, or when there is only waiting left.
func Next(v View) []Action {
	var actions []Action
	budget := v.drainBudget()
	for _, e := range v.Config.PoolEngines(v.Pool) {
		action := v.nextFor(e, &budget)
		if action != nil {
			actions = append(actions, action)
		}
	}
	return actions
}

// drainBudget is how many more engines may leave service now: the pool's floor
// stays served.
func (v View) drainBudget() int {
	serving := 0
	for _, e := range v.Config.PoolEngines(v.Pool) {
		if e.Routing == config.RoutingServing {
			serving++
		}
	}
	return serving - v.Config.Pool(v.Pool).MinServing
}

func (v View) nextFor(e *config.Engine, budget *int) Action {
	if open, ok := v.openOrder(e.ID); ok {
		return v.settle(e, open)
	}
	if e.Leave {
		return v.leave(e, budget)
	}
	if e.Loaded.Equal(e.Want) {
		return v.bringBack(e)
	}
	if e.Routing == config.RoutingServing && e.Loaded.Disruptive(e.Want) {
		return drain(e, budget)
	}
	if e.Routing == config.RoutingDraining && !v.empty(e) {
		return nil
	}
	return SendOrder{Engine: e.ID, Want: e.Want}
}

func (v View) openOrder(id string) (order.Row, bool) {
	row, ok := v.Orders[id]
	return row, ok && row.State == order.StateOpen
}

// settle brings an open order to its end: the same order again until the
// engine's read-back agrees.
func (v View) settle(e *config.Engine, open order.Row) Action {
	seen := v.Engines[e.ID]
	if !seen.Reachable || seen.Status.Changing {
		return nil
	}
	if !open.Settled(seen.Status) {
		return SendOrder{Engine: e.ID, Want: open.Want}
	}
	if !e.Loaded.Equal(open.Want) {
		return Mark{Engine: e.ID, Routing: e.Routing, Loaded: &open.Want}
	}
	return CloseOrder{Engine: e.ID}
}

func (v View) leave(e *config.Engine, budget *int) Action {
	switch e.Routing {
	case config.RoutingServing:
		return drain(e, budget)
	case config.RoutingDraining:
		if v.empty(e) {
			return Mark{Engine: e.ID, Routing: config.RoutingOut}
		}
	}
	return nil
}

func drain(e *config.Engine, budget *int) Action {
	if *budget <= 0 {
		return nil
	}
	*budget--
	return Mark{Engine: e.ID, Routing: config.RoutingDraining}
}

// bringBack returns an engine that has what it should to routing.
func (v View) bringBack(e *config.Engine) Action {
	if e.Routing == config.RoutingServing {
		return nil
	}
	seen := v.Engines[e.ID]
	if !seen.Reachable || seen.Status.Changing || !seen.Status.State.Equal(e.Want) {
		return nil
	}
	return Mark{Engine: e.ID, Routing: config.RoutingServing}
}

// empty tells whether no request runs on the engine and none can come.
func (v View) empty(e *config.Engine) bool {
	for _, instance := range v.Instances {
		if !instance.Known || instance.Version < e.RoutingSince || instance.Streams[e.ID] > 0 {
			return false
		}
	}
	seen := v.Engines[e.ID]
	return seen.Reachable && seen.Status.Running == 0
}
