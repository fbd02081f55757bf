package scaling

import (
	"context"
	"encoding/json"
	"log/slog"
	"maps"
	"math"
	"slices"
	"time"

	"github.com/pkg/errors"
	"github.com/rcrowley/go-metrics"

	"sassafrasfield/internal/bootclock"
	"sassafrasfield/internal/lease"
	"sassafrasfield/internal/leaserows"
	"sassafrasfield/internal/platform"
	"sassafrasfield/internal/routes"
)

// Sender sends an order to the platform. It returns ErrNoCapacity if the platform refused
// the order. After any other error it is unknown whether the order arrived.
type Sender interface {
	Scale(ctx context.Context, o Order) error
}

// Service is the state of a service whose engines may be ordered.
type Service struct {
	Name   string
	Limits routes.ScaleLimits
	Zones  []Zone
}

// View is the scaler's view of the data path.
type View interface {
	// ScalableServices returns the services whose engines may be ordered, each with the
	// zones in which it runs.
	ScalableServices() []Service
}

// Timings of orders.
const (
	// stableObservations is the number of consecutive observations with the same number of
	// engines after which that counts as the number that the deployment began with. The
	// list of engines may still be incomplete before.
	stableObservations = 3
	// retryAfter is the delay before repeating an order that was refused or failed.
	retryAfter = 2 * time.Second
	// heartbeatMargin is added to the time that an engine takes to start, before an order
	// without effect is repeated: an engine's entry arrives with its heartbeat.
	heartbeatMargin = 4 * time.Second
)

// initialCountKey returns the key of the row with the number of engines that a service
// began with.
func initialCountKey(service string) string { return "engines/" + service }

// initialCount is the value of that row.
type initialCount struct {
	Engines int `json:"engines"`
}

// lastOrder is the last order of an engine group.
type lastOrder struct {
	engines int
	at      time.Duration
	// failed is true if the order was refused, or may not have arrived.
	failed bool
	// refusedAt is the time of the first of the latest consecutive refusals, 0 if there are
	// none. An order that may not have arrived does not change it.
	refusedAt time.Duration
}

// Scaler implements the scaling duty. It must be used by one goroutine at a time.
type Scaler struct {
	instance, lease string
	settings        Settings
	table           platform.Table
	sender          Sender
	view            View
	log             *slog.Logger

	services map[string]*service
	orders   map[EngineGroup]lastOrder
}

// service is the lease holder's state of a service.
type service struct {
	// initialEngines is the number of engines that the service began with, or the most that
	// were seen while that is not known. stableFor counts the consecutive observations
	// without more engines. known is true once the number is stored.
	initialEngines, stableFor int
	known                     bool
}

// NewScaler returns a scaler. Its orders carry the name of the instance, and its writes
// require that the instance holds the named lease.
func NewScaler(instance, leaseName string, s Settings, table platform.Table, sender Sender, view View, log *slog.Logger) *Scaler {
	k := &Scaler{instance: instance, lease: leaseName, settings: s, table: table, sender: sender, view: view, log: log}
	k.Reset()
	return k
}

// Reset implements rolekeeper.Duty.
func (k *Scaler) Reset() {
	k.services, k.orders = map[string]*service{}, map[EngineGroup]lastOrder{}
}

// Do implements rolekeeper.Duty.
func (k *Scaler) Do(ctx context.Context, grant lease.Grant) {
	for _, s := range k.view.ScalableServices() {
		if !spotIsCheaper(s.Limits) {
			continue
		}
		state, err := k.loadState(ctx, s.Name)
		if err == nil && !state.known {
			err = k.countInitialEngines(ctx, state, s, grant)
		}
		if err != nil {
			k.log.Info("scaling: initial number of engines is not known yet", "service", s.Name, "error", err)
			continue
		}
		if state.initialEngines > 0 {
			k.reconcile(ctx, state, s, grant)
		}
	}
}

// loadState returns the state of a service. It initially reads the row that an earlier
// lease holder may have written.
func (k *Scaler) loadState(ctx context.Context, name string) (*service, error) {
	if state, ok := k.services[name]; ok {
		return state, nil
	}
	state := &service{}
	row, err := k.table.Get(ctx, initialCountKey(name))
	if err == nil {
		var stored initialCount
		if err := json.Unmarshal(row.Value, &stored); err != nil {
			return nil, errors.Wrap(err, "scaling: decode")
		}
		state.initialEngines, state.known = stored.Engines, true
	} else if !errors.Is(err, platform.ErrNotFound) {
		return nil, err
	}
	k.services[name] = state
	return state, nil
}

// countInitialEngines counts the engines that the service began with. The very first lease
// holder does so, and stores the number once it is stable. Until then the scaler orders
// more engines as more are seen, and removes none.
func (k *Scaler) countInitialEngines(ctx context.Context, state *service, s Service, grant lease.Grant) error {
	total := 0
	for _, z := range s.Zones {
		total += z.Engines[OnDemand]
	}
	if total > state.initialEngines {
		state.initialEngines, state.stableFor = total, 0
	}
	if state.stableFor++; state.stableFor < stableObservations || total == 0 {
		return nil
	}
	return k.storeInitialCount(ctx, state, s, grant)
}

// storeInitialCount writes the number of engines that a service began with. The write
// succeeds only for the holder of the newest epoch, and only if no row exists.
func (k *Scaler) storeInitialCount(ctx context.Context, state *service, s Service, grant lease.Grant) error {
	value, err := json.Marshal(initialCount{Engines: state.initialEngines})
	if err != nil {
		return errors.Wrap(err, "scaling: encode")
	}
	_, err = k.table.Commit(ctx, platform.Txn{
		Checks: []platform.Check{
			{Key: leaserows.EpochKey(k.lease), Revision: grant.EpochRevision},
			{Key: initialCountKey(s.Name), Revision: 0},
		},
		Writes: []platform.Write{{Key: initialCountKey(s.Name), Value: value}},
	})
	if err != nil {
		return err
	}
	state.known = true
	k.log.Info("scaling: initial number of engines stored", "service", s.Name, "engines", state.initialEngines, "zones", len(s.Zones), "epoch", grant.Epoch)
	return nil
}

// reconcile orders the changes that bring a service to the wanted engines.
func (k *Scaler) reconcile(ctx context.Context, state *service, s Service, grant lease.Grant) {
	for i, zone := range s.Zones {
		s.Zones[i].SpotRefusedFor = k.refusedFor(EngineGroup{Service: s.Name, Zone: zone.Name, Kind: Spot})
	}
	wanted, total := k.settings.plan(s.Limits, s.Zones, state.initialEngines)
	if !state.known {
		total = math.MaxInt // no engine is surplus
	}
	next := limitChanges(s.Zones, nextCounts(s.Limits, s.Zones, wanted, total), k.settings.MaxConcurrentChanges)
	for i, zone := range s.Zones {
		engines := next[i]
		for _, kind := range state.kinds() {
			group := EngineGroup{Service: s.Name, Zone: zone.Name, Kind: kind}
			if k.due(group, engines[kind], zone.Engines[kind], s.Limits.BootTime) && ctx.Err() == nil {
				k.order(ctx, Order{EngineGroup: group, Engines: engines[kind], Holder: k.instance, Epoch: grant.Epoch}, zone, wanted[i])
			}
		}
	}
}

// kinds returns the kinds that may be ordered, the cheaper one first. On-demand engines are
// not ordered while their initial number is unknown: an order for those seen so far would
// remove the others.
func (s *service) kinds() []Kind {
	if s.known {
		return []Kind{Spot, OnDemand}
	}
	return []Kind{Spot}
}

// refusedFor returns for how long all orders of a group were refused, or 0 if none was
// since the last successful one.
func (k *Scaler) refusedFor(group EngineGroup) time.Duration {
	last := k.orders[group]
	if last.refusedAt == 0 {
		return 0
	}
	return max(bootclock.Now()-last.refusedAt, 1)
}

// due reports whether to order a number of engines, given the number that is running. An
// order is due if it differs from the last one, or if the last one had no effect in time.
func (k *Scaler) due(group EngineGroup, engines, running int, boot time.Duration) bool {
	last, known := k.orders[group]
	age := bootclock.Now() - last.at
	switch {
	case !known:
		return engines != running
	case last.failed:
		return age >= retryAfter && engines != running
	case last.engines != engines:
		return true
	default:
		return engines != running && age >= boot+heartbeatMargin
	}
}

func (k *Scaler) order(ctx context.Context, o Order, zone Zone, wanted EngineCounts) {
	err := k.sender.Scale(ctx, o)
	k.recordOrder(o, err)
	k.log.Info("scaling: order", "service", o.Service, "zone", o.Zone, "kind", o.Kind.String(), "engines", o.Engines,
		"here", zone.Engines[o.Kind], "leaving", zone.Draining[o.Kind], "wanted", wanted[o.Kind], "epoch", o.Epoch, "error", err)
	name := "ordered"
	switch {
	case errors.Is(err, ErrNoCapacity):
		name = "none_to_be_had"
	case err != nil:
		name = "failed"
	}
	metrics.GetOrRegisterCounter("scaling."+name, metrics.DefaultRegistry).Inc(1)
}

// recordOrder stores the result of an order. An order that may not have arrived does not
// change what is known about available capacity.
func (k *Scaler) recordOrder(o Order, err error) {
	previous := k.orders[o.EngineGroup]
	newest := lastOrder{engines: o.Engines, at: bootclock.Now(), failed: err != nil}
	switch {
	case errors.Is(err, ErrNoCapacity) && previous.refusedAt == 0:
		newest.refusedAt = newest.at
	case err != nil:
		newest.refusedAt = previous.refusedAt
	}
	k.orders[o.EngineGroup] = newest
}

// SortedZones returns the zones sorted by name.
func SortedZones(zones map[string]Zone) []Zone {
	return slices.SortedFunc(maps.Values(zones), func(a, b Zone) int {
		if a.Name < b.Name {
			return -1
		}
		return 1
	})
}
