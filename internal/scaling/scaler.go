package scaling

import (
	"context"
	"encoding/json"
	"log/slog"
	"maps"
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
	// Scalable are the services whose engines may be ordered, each with the zones in
	// which it runs.
	Scalable() []Service
}

// Timings of orders.
const (
	// settledLooks is how many looks on end must find the same number of engines before
	// that is taken for what the deployment began with: the list may still be filling.
	settledLooks = 3
	// againAfter is the pause before an order that was refused for want of engines.
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
	refused bool
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
	orders   map[Subject]ordered
}

// service is what the holder knows of a service.
type service struct {
	// engines is how many it began with; 0 while that is not known.
	engines int
	// seen and looks are the number of engines at the last looks, and for how many
	// looks on end it was that.
	seen, looks int
}

// NewScaler returns a scaler that orders under an instance's name, and a lease's.
func NewScaler(instance, leaseName string, s Settings, table platform.Table, sender Sender, view View, log *slog.Logger) *Scaler {
	k := &Scaler{instance: instance, lease: leaseName, settings: s, table: table, sender: sender, view: view, log: log}
	k.Taken()
	return k
}

// Taken implements rolekeeper.Duty.
func (k *Scaler) Taken() {
	k.services, k.orders = map[string]*service{}, map[Subject]ordered{}
}

// Do implements rolekeeper.Duty.
func (k *Scaler) Do(ctx context.Context, grant lease.Grant) {
	for _, s := range k.view.Scalable() {
		if k.known(ctx, s, grant) {
			k.bring(ctx, s, grant)
		}
	}
}

// known finds out how many engines a service began with, and tells whether it is known.
func (k *Scaler) known(ctx context.Context, s Service, grant lease.Grant) bool {
	state, ok := k.services[s.Name]
	if !ok {
		state = &service{}
		k.services[s.Name] = state
	}
	if state.engines > 0 {
		return true
	}
	if !state.settled(s) {
		return false
	}
	engines, err := k.read(ctx, s, grant)
	if err != nil {
		k.log.Info("scaling: how many engines there were at first is not known yet", "service", s.Name, "error", err)
		return false
	}
	state.engines = engines
	return true
}

// settled tells whether the number of engines stands for some looks.
func (s *service) settled(of Service) bool {
	total := 0
	for _, z := range of.Zones {
		total += z.Engines[Lasting] + z.Engines[Spot]
	}
	if total != s.seen || total == 0 {
		s.seen, s.looks = total, 0
	}
	s.looks++
	return s.looks >= settledLooks && total > 0
}

// read reads how many engines a service began with. The first holder of all writes what it
// found; only the newest holder may.
func (k *Scaler) read(ctx context.Context, s Service, grant lease.Grant) (int, error) {
	row, err := k.table.Get(ctx, begunKey(s.Name))
	if err == nil {
		var kept begun
		err = json.Unmarshal(row.Value, &kept)
		return kept.Engines, errors.Wrap(err, "scaling: decode")
	}
	if !errors.Is(err, platform.ErrNotFound) {
		return 0, err
	}
	found := k.services[s.Name].seen
	value, err := json.Marshal(begun{Engines: found})
	if err != nil {
		return 0, errors.Wrap(err, "scaling: encode")
	}
	_, err = k.table.Commit(ctx, platform.Txn{
		Checks: []platform.Check{
			{Key: leaserows.EpochKey(k.lease), Revision: grant.EpochRevision},
			{Key: begunKey(s.Name), Revision: 0},
		},
		Writes: []platform.Write{{Key: begunKey(s.Name), Value: value}},
	})
	if err != nil {
		return 0, err
	}
	k.log.Info("scaling: engines counted", "service", s.Name, "engines", found, "zones", len(s.Zones), "epoch", grant.Epoch)
	return found, nil
}

// bring orders what it takes to have the wanted engines of a service.
func (k *Scaler) bring(ctx context.Context, s Service, grant lease.Grant) {
	wants := k.settings.plan(s.Limits, s.Zones, k.services[s.Name].engines)
	for i, zone := range s.Zones {
		next := step(s.Limits, zone, wants[i])
		for _, kind := range []Kind{Spot, Lasting} { // what is cheaper comes first
			subject := Subject{Service: s.Name, Zone: zone.Name, Kind: kind}
			if k.due(subject, next[kind], zone.Engines[kind], s.Limits.Boot) && ctx.Err() == nil {
				k.order(ctx, Order{Subject: subject, Engines: next[kind], Holder: k.instance, Epoch: grant.Epoch}, zone, wants[i])
			}
		}
	}
}

// due tells whether to order a number of engines where there are so many: when it is not
// what was ordered last, or has not had its effect in time.
func (k *Scaler) due(subject Subject, engines, here int, boot time.Duration) bool {
	last, known := k.orders[subject]
	age := bootclock.Now() - last.at
	switch {
	case !known:
		return engines != here
	case last.refused:
		return age >= againAfter && engines != here
	case last.engines != engines:
		return true
	default:
		return engines != here && age >= boot+effectMargin
	}
}

func (k *Scaler) order(ctx context.Context, o Order, zone Zone, want Want) {
	err := k.sender.Scale(ctx, o)
	k.orders[o.Subject] = ordered{engines: o.Engines, at: bootclock.Now(), refused: err != nil}
	k.log.Info("scaling: order", "service", o.Service, "zone", o.Zone, "kind", o.Kind.String(), "engines", o.Engines,
		"here", zone.Engines[o.Kind], "leaving", zone.Leaving[o.Kind], "wanted", want[o.Kind], "epoch", o.Epoch, "error", err)
	name := "ordered"
	switch {
	case errors.Is(err, ErrNone):
		name = "none_to_be_had"
	case err != nil:
		name = "failed"
	}
	metrics.GetOrRegisterCounter("scaling."+name, metrics.DefaultRegistry).Inc(1)
}

// ZonesOf lists zones by name.
func ZonesOf(zones map[string]Zone) []Zone {
	return slices.SortedFunc(maps.Values(zones), func(a, b Zone) int {
		if a.Name < b.Name {
			return -1
		}
		return 1
	})
}
