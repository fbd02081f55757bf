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

// Sender gives an order to the platform. Errors: ErrNone, and others when it may not have
// come.
type Sender interface {
	Scale(ctx context.Context, o Order) error
}

// Service is what is known of a service whose engines may be ordered.
type Service struct {
	Name   string
	Limits routes.ScaleLimits
	Zones  []Zone
}

// View is what the scaler needs to know of the data path.
type View interface {
	// ScalableServices are the services whose engines may be ordered, each with the zones in
	// which it runs.
	ScalableServices() []Service
}

// Timings of orders.
const (
	// settledLooks is how many looks on end must find the same number of engines before
	// that is taken for what the deployment began with: the list may still be filling.
	settledLooks = 3
	// againAfter is the pause before an order that was refused, or may not have come.
	againAfter = 2 * time.Second
	// effectMargin is how long beyond the time that an engine takes to start an order is
	// believed to be carried out still: an engine's entry comes with its heartbeat.
	effectMargin = 4 * time.Second
)

// begunKey is the key of the row with how many engines a service began with.
func begunKey(service string) string { return "engines/" + service }

// begun is the row's value.
type begun struct {
	Engines int `json:"engines"`
}

// ordered is the newest order of a subject.
type ordered struct {
	engines int
	at      time.Duration
	// failed: it was refused, or may not have come.
	failed bool
	// refusedAt is when the first of the orders was refused that were refused on end; 0
	// when the newest was not.
	refusedAt time.Duration
}

// Scaler does the duty. It is used by one goroutine.
type Scaler struct {
	instance, lease string
	settings        Settings
	table           platform.Table
	sender          Sender
	view            View
	log             *slog.Logger

	services map[string]*service
	orders   map[EngineGroup]ordered
}

// service is what the holder knows of a service.
type service struct {
	// engines is how many it began with, or as many as were seen while that is not
	// known; looks is for how many looks on end no more were.
	engines, looks int
	known          bool
}

// NewScaler returns a scaler that orders under an instance's name, and a lease's.
func NewScaler(instance, leaseName string, s Settings, table platform.Table, sender Sender, view View, log *slog.Logger) *Scaler {
	k := &Scaler{instance: instance, lease: leaseName, settings: s, table: table, sender: sender, view: view, log: log}
	k.Taken()
	return k
}

// Taken implements rolekeeper.Duty.
func (k *Scaler) Taken() {
	k.services, k.orders = map[string]*service{}, map[EngineGroup]ordered{}
}

// Do implements rolekeeper.Duty.
func (k *Scaler) Do(ctx context.Context, grant lease.Grant) {
	for _, s := range k.view.ScalableServices() {
		if !spotIsCheaper(s.Limits) {
			continue
		}
		state, err := k.stateOf(ctx, s.Name)
		if err == nil && !state.known {
			err = k.count(ctx, state, s, grant)
		}
		if err != nil {
			k.log.Info("scaling: how many engines there were at first is not known yet", "service", s.Name, "error", err)
			continue
		}
		if state.engines > 0 {
			k.bring(ctx, state, s, grant)
		}
	}
}

// stateOf returns what is known of a service, by the row that an earlier holder wrote.
func (k *Scaler) stateOf(ctx context.Context, name string) (*service, error) {
	if state, ok := k.services[name]; ok {
		return state, nil
	}
	state := &service{}
	row, err := k.table.Get(ctx, begunKey(name))
	if err == nil {
		var kept begun
		if err := json.Unmarshal(row.Value, &kept); err != nil {
			return nil, errors.Wrap(err, "scaling: decode")
		}
		state.engines, state.known = kept.Engines, true
	} else if !errors.Is(err, platform.ErrNotFound) {
		return nil, err
	}
	k.services[name] = state
	return state, nil
}

// count takes what the first holder of all sees for what the service began with, once it
// stands for some looks. Until then more are ordered as more are seen, and none away.
func (k *Scaler) count(ctx context.Context, state *service, s Service, grant lease.Grant) error {
	total := 0
	for _, z := range s.Zones {
		total += z.Engines[OnDemand]
	}
	if total > state.engines {
		state.engines, state.looks = total, 0
	}
	if state.looks++; state.looks < settledLooks || total == 0 {
		return nil
	}
	return k.keep(ctx, state, s, grant)
}

// keep writes how many engines a service began with; only the newest holder may.
func (k *Scaler) keep(ctx context.Context, state *service, s Service, grant lease.Grant) error {
	value, err := json.Marshal(begun{Engines: state.engines})
	if err != nil {
		return errors.Wrap(err, "scaling: encode")
	}
	_, err = k.table.Commit(ctx, platform.Txn{
		Checks: []platform.Check{
			{Key: leaserows.EpochKey(k.lease), Revision: grant.EpochRevision},
			{Key: begunKey(s.Name), Revision: 0},
		},
		Writes: []platform.Write{{Key: begunKey(s.Name), Value: value}},
	})
	if err != nil {
		return err
	}
	state.known = true
	k.log.Info("scaling: engines counted", "service", s.Name, "engines", state.engines, "zones", len(s.Zones), "epoch", grant.Epoch)
	return nil
}

// bring orders what it takes to have the wanted engines of a service.
func (k *Scaler) bring(ctx context.Context, state *service, s Service, grant lease.Grant) {
	for i, zone := range s.Zones {
		s.Zones[i].SpotRefusedFor = k.refusedFor(EngineGroup{Service: s.Name, Zone: zone.Name, Kind: Spot})
	}
	wants, total := k.settings.plan(s.Limits, s.Zones, state.engines)
	if !state.known {
		total = math.MaxInt // none is one too many
	}
	nexts := paced(s.Zones, steps(s.Limits, s.Zones, wants, total), k.settings.MaxConcurrentChanges)
	for i, zone := range s.Zones {
		next := nexts[i]
		for _, kind := range state.kinds() {
			subject := EngineGroup{Service: s.Name, Zone: zone.Name, Kind: kind}
			if k.due(subject, next[kind], zone.Engines[kind], s.Limits.Boot) && ctx.Err() == nil {
				k.order(ctx, Order{EngineGroup: subject, Engines: next[kind], Holder: k.instance, Epoch: grant.Epoch}, zone, wants[i])
			}
		}
	}
}

// kinds are those that are ordered, the cheaper ones first. While it is not known how many
// lasting engines a service began with, an order of those that are seen would send the
// others away.
func (s *service) kinds() []Kind {
	if s.known {
		return []Kind{Spot, OnDemand}
	}
	return []Kind{Spot}
}

// refusedFor is for how long all orders of a subject were refused; 0 when none was.
func (k *Scaler) refusedFor(subject EngineGroup) time.Duration {
	last := k.orders[subject]
	if last.refusedAt == 0 {
		return 0
	}
	return max(bootclock.Now()-last.refusedAt, 1)
}

// due tells whether to order a number of engines where there are so many: when it is not
// what was ordered last, or has not had its effect in time.
func (k *Scaler) due(subject EngineGroup, engines, here int, boot time.Duration) bool {
	last, known := k.orders[subject]
	age := bootclock.Now() - last.at
	switch {
	case !known:
		return engines != here
	case last.failed:
		return age >= againAfter && engines != here
	case last.engines != engines:
		return true
	default:
		return engines != here && age >= boot+effectMargin
	}
}

func (k *Scaler) order(ctx context.Context, o Order, zone Zone, want EngineCounts) {
	err := k.sender.Scale(ctx, o)
	k.note(o, err)
	k.log.Info("scaling: order", "service", o.Service, "zone", o.Zone, "kind", o.Kind.String(), "engines", o.Engines,
		"here", zone.Engines[o.Kind], "leaving", zone.Draining[o.Kind], "wanted", want[o.Kind], "epoch", o.Epoch, "error", err)
	name := "ordered"
	switch {
	case errors.Is(err, ErrNoCapacity):
		name = "none_to_be_had"
	case err != nil:
		name = "failed"
	}
	metrics.GetOrRegisterCounter("scaling."+name, metrics.DefaultRegistry).Inc(1)
}

// note keeps what came of an order. One that may not have come says nothing of what is to
// be had.
func (k *Scaler) note(o Order, err error) {
	before := k.orders[o.EngineGroup]
	newest := ordered{engines: o.Engines, at: bootclock.Now(), failed: err != nil}
	switch {
	case errors.Is(err, ErrNoCapacity) && before.refusedAt == 0:
		newest.refusedAt = newest.at
	case err != nil:
		newest.refusedAt = before.refusedAt
	}
	k.orders[o.EngineGroup] = newest
}

// SortedZones lists zones by name.
func SortedZones(zones map[string]Zone) []Zone {
	return slices.SortedFunc(maps.Values(zones), func(a, b Zone) int {
		if a.Name < b.Name {
			return -1
		}
		return 1
	})
}
