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
	// floor is how many more engines may leave service before the pool is at
	// its floor; share how many more may be out for a change.
	floor, share int
	// drains and loads are how many more engines may be drained for weights,
	// and may load weights.
	drains, loads int
}

func newDecider(v View) *decider {
	d := &decider{View: v, waits: map[string]string{}}
	d.floor, d.share = v.serviceBudget()
	d.drains, d.loads = v.loadBudget()
	return d
}

// actions puts orders before the mark, so that the version that they rest on
// is still the newest.
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

func (d *decider) engine(e *config.Engine) {
	if e.Leave && e.Routing == config.RoutingOut {
		return
	}
	seen := d.Engines[e.ID]
	open, isOpen := d.openOrder(e.ID)
	switch {
	case !seen.Reachable:
		d.unreachable(e, seen)
	case seen.Status.Changing:
		d.wait(e, "carries an order out")
	case !isOpen:
		d.steady(e, seen, true)
	case open.Settled(seen.Status) || superseded(e, open, seen):
		d.closes = append(d.closes, CloseOrder{Engine: e.ID})
		d.steady(e, seen, false)
	default:
		d.repair(e, seen, open.Want)
	}
}

func (v View) openOrder(id string) (order.Row, bool) {
	row, ok := v.Orders[id]
	return row, ok && row.State == order.StateOpen
}

// superseded tells whether an order failed at the engine for good, and another
// state is wanted by now.
func superseded(e *config.Engine, open order.Row, seen EngineView) bool {
	failed := seen.Status.LastOrder == open.ID && seen.Status.Fault != ""
	return failed && !open.Want.Equal(e.Want)
}

// steady handles an engine without an open order. MaySend is false in the
// round that closes its last order.
func (d *decider) steady(e *config.Engine, seen EngineView, maySend bool) {
	state := seen.Status.State
	switch {
	case e.Leave:
		d.leave(e, seen)
	case state.Equal(e.Want):
		d.restore(e)
	case e.Routing == config.RoutingServing && !state.Equal(e.Loaded):
		d.lost(e, state)
	case maySend:
		d.advance(e, seen, e.Want)
	}
}

// repair sends an open order again, to an engine that is not at it: the order
// was lost, or the engine crashed partway.
func (d *decider) repair(e *config.Engine, seen EngineView, want config.EngineState) {
	state := seen.Status.State
	switch {
	case e.Routing == config.RoutingServing && state.Disruptive(want):
		d.change(e, config.RoutingDraining, ReasonLost, &state)
	case seen.RecentlyOrdered:
		d.wait(e, "was just sent its order")
	default:
		d.advance(e, seen, want)
	}
}

// advance brings an engine a step towards a state that it does not have.
func (d *decider) advance(e *config.Engine, seen EngineView, want config.EngineState) {
	state := seen.Status.State
	if !state.Disruptive(want) {
		d.orders = append(d.orders, SendOrder{Engine: e.ID, Want: want})
		return
	}
	weights := NeedsWeights(state, want)
	if e.Routing == config.RoutingServing {
		d.drainForChange(e, weights)
		return
	}
	if reason := d.notEmpty(e, seen); reason != "" {
		d.wait(e, "%s", reason)
		return
	}
	if weights && !take(&d.loads) {
		d.wait(e, "the weight store's rate allows no more loads at once")
		return
	}
	d.orders = append(d.orders, SendOrder{Engine: e.ID, Want: want})
}

// drainForChange marks an engine as draining, within all bounds.
func (d *decider) drainForChange(e *config.Engine, weights bool) {
	switch {
	case d.floor <= 0:
		d.wait(e, "the pool's floor of %d serving engines leaves none to drain", d.Config.Pool(d.Pool).MinServing)
	case d.share <= 0:
		d.wait(e, "as many engines as may be out for a change are out")
	case weights && !take(&d.drains):
		d.wait(e, "the weight store's rate allows no more loads at once")
	default:
		d.floor--
		d.share--
		d.change(e, config.RoutingDraining, ReasonDrain, nil)
	}
}

// leave drains an engine that should leave, and takes it out when it is empty.
func (d *decider) leave(e *config.Engine, seen EngineView) {
	if e.Routing == config.RoutingServing {
		if !take(&d.floor) {
			d.wait(e, "the pool's floor of %d serving engines leaves none to drain", d.Config.Pool(d.Pool).MinServing)
			return
		}
		d.change(e, config.RoutingDraining, ReasonDrain, nil)
		return
	}
	if reason := d.notEmpty(e, seen); reason != "" {
		d.wait(e, "%s", reason)
		return
	}
	d.change(e, config.RoutingOut, ReasonWithdraw, nil)
}

// restore returns an engine that has what it should to routing.
func (d *decider) restore(e *config.Engine) {
	if Converged(e) && e.Plan == "" {
		return
	}
	want := e.Want
	d.change(e, config.RoutingServing, ReasonRestore, &want)
}

// lost marks a serving engine whose state is not the one that routing trusts.
// What it still has in common with that may go on to be served.
func (d *decider) lost(e *config.Engine, state config.EngineState) {
	routing := config.RoutingServing
	if e.Loaded.Disruptive(state) {
		routing = config.RoutingDraining
	}
	d.change(e, routing, ReasonLost, &state)
}

// unreachable marks an engine that was silent for long as draining, so that it
// gets no new work, and lets one that should leave go.
func (d *decider) unreachable(e *config.Engine, seen EngineView) {
	if seen.UnansweredFor < d.Limits.UnreachableAfter {
		d.wait(e, "does not answer")
		return
	}
	switch {
	case e.Routing == config.RoutingServing && !d.reachesMost():
		d.wait(e, "does not answer; nor do most engines of the pool, so it stays in routing")
	case e.Routing == config.RoutingServing:
		d.change(e, config.RoutingDraining, ReasonUnreachable, nil)
	case e.Leave:
		if reason := d.busyInstance(e, seen); reason != "" {
			d.wait(e, "%s", reason)
			return
		}
		d.change(e, config.RoutingOut, ReasonWithdraw, nil)
	default:
		d.wait(e, "does not answer")
	}
}

// take uses up one of a budget, if there is any left.
func take(budget *int) bool {
	if *budget <= 0 {
		return false
	}
	*budget--
	return true
}
