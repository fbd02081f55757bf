package rolekeeper

import (
	"context"
	"slices"
	"time"

	"github.com/pkg/errors"

	"sassafrasfield/internal/bootclock"
	"sassafrasfield/internal/config"
	"sassafrasfield/internal/lease"
	"sassafrasfield/internal/roles"
	"sassafrasfield/internal/upstreamstate"
)

// Timings of orders.
const (
	// callTimeout bounds each call to an engine.
	callTimeout = 800 * time.Millisecond
	// pendingFor is for how long an order without a visible effect is counted
	// as done; late orders are carried out within twelve seconds.
	pendingFor = 15 * time.Second
)

// pending is an order that the engine's entry does not show yet.
type pending struct {
	to config.Role
	at time.Duration
	// incarnation of the engine: one that starts again knows of no order.
	incarnation uint32
}

// announced is an order that waits until all instances leave its engine out.
type announced struct {
	engine upstreamstate.Upstream
	to     config.Role
	at     time.Duration
}

// look compares the split with the wanted one and gives the orders it takes.
func (k *Keeper) look(ctx context.Context) {
	grant, held := k.machine.Held(bootclock.Now())
	if !held || !k.settled(grant) {
		return
	}
	now := bootclock.Now()
	k.lookedAt, k.sinceLook = now, min(now-k.lookedAt, awayAfter)
	services := k.view.Engines()
	k.forgetOrders(services)
	for service, engines := range services {
		k.lookAt(ctx, service, engines, grant)
	}
}

// forgetOrders drops the orders that count no more as under way: those that had
// their effect, those that lapsed, and those to engines that are gone.
func (k *Keeper) forgetOrders(services map[string][]upstreamstate.Engine) {
	listed := map[string]upstreamstate.Upstream{}
	for _, engines := range services {
		for _, e := range engines {
			listed[e.ID] = e.Upstream
		}
	}
	now := bootclock.Now()
	for id, p := range k.pending {
		engine, ok := listed[id]
		if !ok || engine.Role == p.to || engine.Incarnation() != p.incarnation || now-p.at > pendingFor {
			delete(k.pending, id)
			delete(k.announced, id)
		}
	}
}

func (k *Keeper) lookAt(ctx context.Context, service string, engines []upstreamstate.Engine, grant lease.Grant) {
	list := k.asPlanned(engines)
	d, ok := k.dutyOf(ctx, service)
	if !ok {
		return
	}
	k.follow(service, d, seen(engines))
	k.keep(ctx, service, d, grant)
	most := len(list)
	if k.view.Serving() {
		most = k.atOnce(len(list)) - len(k.pending)
	}
	changes := d.target.Changes(list, most)
	if len(changes) == 0 {
		d.wrong = 0
		return
	}
	if d.wrong++; d.wrong < k.confirm(d, len(list)) {
		return
	}
	k.log.Info("roles: the split differs", "service", service, "engines", len(list),
		"wanted_prefill", d.target.PrefillCount(len(list)), "changes", len(changes), "at_once", most)
	for _, change := range changes {
		at := slices.IndexFunc(engines, func(e upstreamstate.Engine) bool { return e.ID == change.Engine })
		if k.view.Serving() && k.settings.AnnounceDelay > 0 {
			k.announce(engines[at].Upstream, change.To)
			continue
		}
		k.tryOrder(ctx, engines[at].Upstream, change.To, grant)
	}
}

// announce has all instances leave an engine out, and its order wait until they do.
func (k *Keeper) announce(engine upstreamstate.Upstream, to config.Role) {
	now := bootclock.Now()
	k.pending[engine.ID] = pending{to: to, at: now, incarnation: engine.Incarnation()}
	k.announced[engine.ID] = announced{engine: engine, to: to, at: now}
	k.view.MarkUnavailable(engine.ID, k.settings.AnnounceDelay+k.awayFor(engine.Service))
	k.log.Info("roles: order announced", "engine", engine.ID, "to", to)
}

// awayMargin is for the engine's entry to tell of its new role.
const awayMargin = time.Second

// awayFor is how long an engine that changes its role takes no requests, unless its
// entry shows the new role before: its answers end first, most of them within twice
// their mean.
func (k *Keeper) awayFor(service string) time.Duration {
	times := k.view.Times(service)
	return times.RoleChange + 2*times.SlotTime + awayMargin
}

// giveAnnounced gives the orders that all instances know of.
func (k *Keeper) giveAnnounced(ctx context.Context) {
	now := bootclock.Now()
	grant, held := k.machine.Held(now)
	for id, a := range k.announced {
		if now-a.at < k.settings.AnnounceDelay {
			continue
		}
		delete(k.announced, id)
		if held {
			k.tryOrder(ctx, a.engine, a.to, grant)
		}
	}
}

func (k *Keeper) tryOrder(ctx context.Context, engine upstreamstate.Upstream, to config.Role, grant lease.Grant) {
	if err := k.order(ctx, engine, to, grant); err != nil {
		k.log.Info("roles: order failed", "engine", engine.ID, "to", to, "epoch", grant.Epoch, "error", err)
	}
}

// settledLooks is how many looks on end must find the same number of engines
// before the first orders of all: a list that is still filling has any split.
const settledLooks = 2

// confirm is how many looks on end must find the split wrong before orders are
// given.
func (k *Keeper) confirm(d *duty, engines int) int {
	if k.view.Serving() {
		return k.settings.ConfirmChecks
	}
	if d.engines != engines {
		d.engines, d.wrong = engines, 1
	}
	return settledLooks
}

// atOnce is how many of so many engines may change while requests are served.
func (k *Keeper) atOnce(engines int) int {
	return max(k.settings.MaxConcurrentChanges, int(k.settings.SplitPolicy.MaxPrefillDecrease*float64(engines)))
}

// asPlanned are the engines with the roles that they have or were ordered to
// take.
func (k *Keeper) asPlanned(engines []upstreamstate.Engine) []roles.Engine {
	var list []roles.Engine
	for _, e := range engines {
		role := e.Role
		if p, ok := k.pending[e.ID]; ok {
			role = p.to
		}
		list = append(list, roles.Engine{ID: e.ID, Zone: e.Zone, Role: role})
	}
	return list
}

// errNotHeld: the lease ended before the order went out.
var errNotHeld = errors.New("roles: the lease has ended")

func (k *Keeper) order(ctx context.Context, engine upstreamstate.Upstream, to config.Role, grant lease.Grant) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	state, err := k.orderer.State(ctx, engine)
	if err != nil {
		return err
	}
	if state.Busy {
		k.pending[engine.ID] = pending{to: to, at: bootclock.Now(), incarnation: engine.Incarnation()}
		return errors.New("roles: the engine carries another order out")
	}
	now, held := k.machine.Held(bootclock.Now())
	if !held || now.Epoch != grant.Epoch {
		return errNotHeld
	}
	k.pending[engine.ID] = pending{to: to, at: bootclock.Now(), incarnation: engine.Incarnation()}
	err = k.orderer.Order(ctx, engine, Order{To: to, Holder: k.settings.Instance, Epoch: grant.Epoch, AcceptedOrders: state.AcceptedOrders})
	k.log.Info("roles: order", "engine", engine.ID, "zone", engine.Zone, "to", to, "epoch", grant.Epoch,
		"orders", state.AcceptedOrders, "error", err)
	if err == nil {
		k.view.MarkUnavailable(engine.ID, k.awayFor(engine.Service))
	}
	return err
}
