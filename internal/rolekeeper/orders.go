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

// Timeouts of orders.
const (
	// callTimeout limits each call to an engine or to the store.
	callTimeout = 800 * time.Millisecond
	// pendingTimeout is how long an order without a visible effect is treated as carried out. Engines carry
	// out late orders within twelve seconds.
	pendingTimeout = 15 * time.Second
)

// pendingOrder is an order whose effect the reported state of the engine does not show yet.
type pendingOrder struct {
	to config.Role
	at time.Duration
	// incarnation is the incarnation of the engine. A restarted engine has lost the order.
	incarnation uint32
}

// announcedOrder is an order that is sent once all instances exclude its engine.
type announcedOrder struct {
	service string
	engine  upstreamstate.Upstream
	to      config.Role
	at      time.Duration
}

// checkSplits compares the split of each service with its target, and starts the orders that are needed.
func (k *Keeper) checkSplits(ctx context.Context) {
	grant, held := k.lease.Held(bootclock.Now())
	if !held || !k.earlierOrdersArrived(grant) {
		return
	}
	now := bootclock.Now()
	k.checkedAt, k.sinceCheck = now, min(now-k.checkedAt, maxMeasurementGap)
	services := k.view.Engines()
	k.dropStaleOrders(services)
	for service, engines := range services {
		k.checkService(ctx, service, engines, grant)
	}
}

// dropStaleOrders drops pending orders that have taken effect or timed out, and those to engines that were
// removed or restarted.
func (k *Keeper) dropStaleOrders(services map[string][]upstreamstate.Engine) {
	listed := map[string]upstreamstate.Upstream{}
	for _, engines := range services {
		for _, e := range engines {
			listed[e.ID] = e.Upstream
		}
	}
	now := bootclock.Now()
	for id, p := range k.pendingOrders {
		engine, ok := listed[id]
		if !ok || engine.Role == p.to || engine.Incarnation() != p.incarnation || now-p.at > pendingTimeout {
			delete(k.pendingOrders, id)
			delete(k.announcedOrders, id)
		}
	}
}

// checkService updates the target of a service, and starts orders once enough checks found a different split.
func (k *Keeper) checkService(ctx context.Context, service string, engines []upstreamstate.Engine, grant lease.Grant) {
	list := k.withOrderedRoles(engines)
	s, ok := k.serviceState(ctx, service)
	if !ok {
		return
	}
	k.updateTarget(service, s, engineLoads(engines))
	k.keepAmpleSplit(service, s, list)
	k.storeTarget(ctx, service, s, grant)
	limit := k.maxChanges(service, s, len(list))
	changes := s.target.Changes(list, limit)
	if len(changes) == 0 {
		s.mismatches = 0
		return
	}
	if s.mismatches++; s.mismatches < k.requiredChecks(s, len(list)) {
		return
	}
	k.log.Info("roles: the split differs", "service", service, "engines", len(list),
		"wanted_prefill", s.target.PrefillCount(len(list)), "changes", len(changes), "at_once", limit)
	for _, change := range changes {
		i := slices.IndexFunc(engines, func(e upstreamstate.Engine) bool { return e.ID == change.Engine })
		if k.view.Serving() && k.settings.AnnounceDelay > 0 {
			k.announce(service, engines[i].Upstream, change.To)
			continue
		}
		k.sendOrderAndLog(ctx, service, engines[i].Upstream, change.To, grant)
	}
}

// maxUnmeasuredChanges is the most engines of a service whose roles a holder changes before it has measured the
// service's workload. It does not grow with the engines: the requests of the first seconds reach few of many.
const maxUnmeasuredChanges = 48

// maxChanges returns how many of a number of engines may start to change their roles now.
func (k *Keeper) maxChanges(service string, s *serviceState, engines int) int {
	limit := engines
	if k.view.Serving() {
		limit = k.maxConcurrentChanges(engines) - len(k.pendingOrders)
	}
	if !k.workloads[service].Measured() {
		limit = min(limit, maxUnmeasuredChanges-s.unmeasuredChanges-k.announcedTo(service))
	}
	return max(0, limit)
}

// announcedTo returns how many engines of a service have an announced order that was not sent yet.
func (k *Keeper) announcedTo(service string) int {
	n := 0
	for _, a := range k.announcedOrders {
		if a.service == service {
			n++
		}
	}
	return n
}

// keepAmpleSplit makes the current split the target if it has capacity to spare for the workload.
func (k *Keeper) keepAmpleSplit(service string, s *serviceState, engines []roles.Engine) {
	prefill := roles.CountPrefill(engines)
	wanted := s.target.PrefillCount(len(engines))
	if prefill == wanted || !k.splitPolicy(service).Ample(k.workloads[service], prefill, len(engines)) {
		return
	}
	s.target = s.target.WithPrefill(prefill, len(engines))
	k.log.Info("roles: the split has capacity to spare, keeping it", "service", service, "engines", len(engines), "prefill", prefill, "wanted_before", wanted)
}

// announce makes all instances exclude an engine. Its order is sent after AnnounceDelay.
func (k *Keeper) announce(service string, engine upstreamstate.Upstream, to config.Role) {
	now := bootclock.Now()
	k.pendingOrders[engine.ID] = pendingOrder{to: to, at: now, incarnation: engine.Incarnation()}
	k.announcedOrders[engine.ID] = announcedOrder{service: service, engine: engine, to: to, at: now}
	k.view.MarkUnavailable(engine.ID, k.settings.AnnounceDelay+k.unavailableFor(engine.Service))
	k.log.Info("roles: order announced", "engine", engine.ID, "to", to)
}

// roleReportMargin is the time for the report of the engine's new role to arrive.
const roleReportMargin = time.Second

// unavailableFor returns how long an engine that changes its role accepts no requests, unless it reports
// the new role earlier. It finishes its running answers first, most of which end within twice their mean
// time.
func (k *Keeper) unavailableFor(service string) time.Duration {
	times := k.view.Times(service)
	return times.RoleChange + 2*times.SlotTime + roleReportMargin
}

// sendAnnouncedOrders sends the orders whose announcement has reached all instances.
func (k *Keeper) sendAnnouncedOrders(ctx context.Context) {
	now := bootclock.Now()
	grant, held := k.lease.Held(now)
	for id, a := range k.announcedOrders {
		if now-a.at < k.settings.AnnounceDelay {
			continue
		}
		delete(k.announcedOrders, id)
		if held {
			k.sendOrderAndLog(ctx, a.service, a.engine, a.to, grant)
		}
	}
}

// sendOrderAndLog sends an order and logs a failure.
func (k *Keeper) sendOrderAndLog(ctx context.Context, service string, engine upstreamstate.Upstream, to config.Role, grant lease.Grant) {
	if err := k.sendOrder(ctx, service, engine, to, grant); err != nil {
		k.log.Info("roles: order failed", "engine", engine.ID, "to", to, "epoch", grant.Epoch, "error", err)
	}
}

// stableChecks is the number of consecutive checks that must find the same number of engines before the first
// orders. While the list of engines is still incomplete, its split is arbitrary.
const stableChecks = 2

// requiredChecks returns the number of consecutive checks that must find a wrong split before orders are
// sent.
func (k *Keeper) requiredChecks(s *serviceState, engines int) int {
	if k.view.Serving() {
		return k.settings.ConfirmChecks
	}
	if s.engineCount != engines {
		s.engineCount, s.mismatches = engines, 1
	}
	return stableChecks
}

// maxConcurrentChanges returns how many of a number of engines may change their roles at a time while
// requests are served.
func (k *Keeper) maxConcurrentChanges(engines int) int {
	return max(k.settings.MaxConcurrentChanges, int(k.settings.SplitPolicy.MaxPrefillDecrease*float64(engines)))
}

// withOrderedRoles returns the engines with the roles of their pending orders, or else the current ones.
func (k *Keeper) withOrderedRoles(engines []upstreamstate.Engine) []roles.Engine {
	var list []roles.Engine
	for _, e := range engines {
		role := e.Role
		if p, ok := k.pendingOrders[e.ID]; ok {
			role = p.to
		}
		list = append(list, roles.Engine{ID: e.ID, Zone: e.Zone, Version: e.Version, Role: role})
	}
	return list
}

// errLeaseEnded is returned if the lease ended before the order was sent.
var errLeaseEnded = errors.New("roles: lease ended before the order was sent")

// sendOrder sends an order to an engine, unless the engine is carrying out another one or the lease has
// ended.
func (k *Keeper) sendOrder(ctx context.Context, service string, engine upstreamstate.Upstream, to config.Role, grant lease.Grant) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	state, err := k.orderer.State(ctx, engine)
	if err != nil {
		return err
	}
	if state.Busy {
		k.pendingOrders[engine.ID] = pendingOrder{to: to, at: bootclock.Now(), incarnation: engine.Incarnation()}
		return errors.New("roles: engine is carrying out another order")
	}
	current, held := k.lease.Held(bootclock.Now())
	if !held || current.Epoch != grant.Epoch {
		return errLeaseEnded
	}
	k.pendingOrders[engine.ID] = pendingOrder{to: to, at: bootclock.Now(), incarnation: engine.Incarnation()}
	k.countOrder(service)
	err = k.orderer.Order(ctx, engine, Order{To: to, Holder: k.settings.Instance, Epoch: grant.Epoch, AcceptedOrders: state.AcceptedOrders})
	k.log.Info("roles: order sent", "engine", engine.ID, "zone", engine.Zone, "to", to, "epoch", grant.Epoch,
		"orders", state.AcceptedOrders, "error", err)
	if err == nil {
		k.view.MarkUnavailable(engine.ID, k.unavailableFor(engine.Service))
	}
	return err
}

// countOrder counts an order that is sent. Orders that were never sent do not count, so that others are sent instead.
func (k *Keeper) countOrder(service string) {
	if s, ok := k.services[service]; ok && !k.workloads[service].Measured() {
		s.unmeasuredChanges++
	}
}
