package rollout

import (
	"fmt"

	"sassafrasfield/internal/config"
	"sassafrasfield/internal/order"
)

// decider collects the decisions for the engines of one pool.
type decider struct {
	View
	closes  []Action
	orders  []Action
	changes []Change
	waits   map[string]string
	// minServingBudget is how many more engines may be taken out of service before the pool is at its
	// MinServing, and outBudget how many more may be out of service for a change.
	minServingBudget, outBudget int
	// drains is how many more engines may be drained to load weights. loads is how many more may start to
	// load weights.
	drains, loads int
}

func newDecider(v View) *decider {
	d := &decider{View: v, waits: map[string]string{}}
	d.minServingBudget, d.outBudget = v.serviceBudget()
	d.drains, d.loads = v.loadBudget()
	return d
}

// actions returns the actions in order. Orders come before UpdateRouting, so that the version on which they
// are based is still the newest.
func (d *decider) actions() []Action {
	actions := append(d.closes, d.orders...)
	if len(d.changes) > 0 {
		actions = append(actions, UpdateRouting{Changes: d.changes})
	}
	return actions
}

func (d *decider) wait(e *config.Engine, format string, args ...any) {
	d.waits[e.ID] = fmt.Sprintf(format, args...)
}

func (d *decider) change(e *config.Engine, routing config.Routing, reason Reason, loaded *config.EngineState) {
	d.changes = append(d.changes, Change{Engine: e.ID, Routing: routing, Reason: reason, Loaded: loaded})
}

// decide decides what to do with one engine.
func (d *decider) decide(e *config.Engine) {
	if e.Leave && e.Routing == config.RoutingOut {
		return
	}
	view := d.Engines[e.ID]
	open, hasOpen := d.openOrder(e.ID)
	switch {
	case !view.Reachable:
		d.handleUnreachable(e, view)
	case view.Status.Changing:
		d.wait(e, "carries an order out")
	case !hasOpen:
		d.withoutOpenOrder(e, view, true)
	case open.Settled(view.Status) || superseded(e, open, view):
		d.closes = append(d.closes, CloseOrder{Engine: e.ID})
		d.withoutOpenOrder(e, view, false)
	default:
		d.resumeOrder(e, view, open.Want)
	}
}

func (v View) openOrder(id string) (order.Row, bool) {
	row, ok := v.Orders[id]
	return row, ok && row.State == order.StateOpen
}

// superseded reports whether an order has permanently failed at the engine and another state is wanted now.
func superseded(e *config.Engine, open order.Row, view EngineView) bool {
	failed := view.Status.LastOrder == open.ID && view.Status.Fault != ""
	return failed && !open.Want.Equal(e.Want)
}

// withoutOpenOrder handles an engine without an open order. maySend is false in the round that closes its
// last order.
func (d *decider) withoutOpenOrder(e *config.Engine, view EngineView, maySend bool) {
	state := view.Status.State
	switch {
	case e.Leave:
		d.withdraw(e, view)
	case state.Equal(e.Want):
		d.restore(e)
	case e.Routing == config.RoutingServing && !state.Equal(e.Loaded):
		d.handleLostState(e, state)
	case maySend:
		d.advance(e, view, e.Want)
	}
}

// resumeOrder continues an open order that the engine is not carrying out, because the order was lost or
// the engine crashed.
func (d *decider) resumeOrder(e *config.Engine, view EngineView, want config.EngineState) {
	state := view.Status.State
	switch {
	case e.Routing == config.RoutingServing && state.Disruptive(want):
		d.change(e, config.RoutingDraining, ReasonLost, &state)
	case view.RecentlyOrdered:
		d.wait(e, "was just sent its order")
	default:
		d.advance(e, view, want)
	}
}

// advance decides the next step of an engine towards a state that it does not have yet.
func (d *decider) advance(e *config.Engine, view EngineView, want config.EngineState) {
	state := view.Status.State
	if !state.Disruptive(want) {
		d.orders = append(d.orders, SendOrder{Engine: e.ID, Want: want})
		return
	}
	loadsWeights := NeedsWeights(state, want)
	if e.Routing == config.RoutingServing {
		d.drainForChange(e, loadsWeights)
		return
	}
	if reason := d.notIdleReason(e, view); reason != "" {
		d.wait(e, "%s", reason)
		return
	}
	if loadsWeights && !takeOne(&d.loads) {
		d.wait(e, "the weight store's rate allows no more loads at once")
		return
	}
	d.orders = append(d.orders, SendOrder{Engine: e.ID, Want: want})
}

// drainForChange marks an engine as draining if all limits allow it.
func (d *decider) drainForChange(e *config.Engine, loadsWeights bool) {
	switch {
	case d.minServingBudget <= 0:
		d.wait(e, "the pool's floor of %d serving engines leaves none to drain", d.Config.Pool(d.Pool).MinServing)
	case d.outBudget <= 0:
		d.wait(e, "as many engines as may be out for a change are out")
	case loadsWeights && !takeOne(&d.drains):
		d.wait(e, "the weight store's rate allows no more loads at once")
	default:
		d.minServingBudget--
		d.outBudget--
		d.change(e, config.RoutingDraining, ReasonDrain, nil)
	}
}

// withdraw drains an engine that is to be withdrawn, and takes it out of routing once it is idle.
func (d *decider) withdraw(e *config.Engine, view EngineView) {
	if e.Routing == config.RoutingServing {
		if !takeOne(&d.minServingBudget) {
			d.wait(e, "the pool's floor of %d serving engines leaves none to drain", d.Config.Pool(d.Pool).MinServing)
			return
		}
		d.change(e, config.RoutingDraining, ReasonDrain, nil)
		return
	}
	if reason := d.notIdleReason(e, view); reason != "" {
		d.wait(e, "%s", reason)
		return
	}
	d.change(e, config.RoutingOut, ReasonWithdraw, nil)
}

// restore returns an engine that has the wanted state to routing.
func (d *decider) restore(e *config.Engine) {
	if Converged(e) && e.Plan == "" {
		return
	}
	want := e.Want
	d.change(e, config.RoutingServing, ReasonRestore, &want)
}

// handleLostState records the state of a serving engine that differs from the one that routing assumes. The
// engine stays in routing if the difference is not disruptive.
func (d *decider) handleLostState(e *config.Engine, state config.EngineState) {
	routing := config.RoutingServing
	if e.Loaded.Disruptive(state) {
		routing = config.RoutingDraining
	}
	d.change(e, routing, ReasonLost, &state)
}

// handleUnreachable handles an engine that does not answer. After UnreachableAfter it marks a serving
// engine as draining, so that it receives no new work, and takes an engine that is to be withdrawn out of
// routing.
func (d *decider) handleUnreachable(e *config.Engine, view EngineView) {
	if view.UnansweredFor < d.Limits.UnreachableAfter {
		d.wait(e, "does not answer")
		return
	}
	switch {
	case e.Routing == config.RoutingServing && !d.reachesHalf():
		d.wait(e, "does not answer; nor do most engines of the pool, so it stays in routing")
	case e.Routing == config.RoutingServing:
		d.change(e, config.RoutingDraining, ReasonUnreachable, nil)
	case e.Leave:
		if reason := d.busyInstanceReason(e, view); reason != "" {
			d.wait(e, "%s", reason)
			return
		}
		d.change(e, config.RoutingOut, ReasonWithdraw, nil)
	default:
		d.wait(e, "does not answer")
	}
}

// takeOne reduces a budget by one. It returns false if the budget is exhausted.
func takeOne(budget *int) bool {
	if *budget <= 0 {
		return false
	}
	*budget--
	return true
}
