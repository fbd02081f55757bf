// Package scaling decides how many engines of each kind run in each availability zone, and
// orders them from the platform. There are two kinds: on-demand engines, which run until an
// order removes them, and spot engines, which cost a fraction of that but may be reclaimed
// by the platform, all of a zone at once.
//
// The decision (plan.go) is pure. Its inputs are the limits of a service and the engines
// running in each zone, its output is the number of engines to order. The lease holder
// carries it out (scaler.go): it orders missing engines first, and removes the engines that
// they replace once the new ones are running.
//
// Callers: instance (the duty).
package scaling

import (
	"time"

	"github.com/pkg/errors"
)

// Kind is a kind of engine.
type Kind int

const (
	// OnDemand engines run until an order removes them. Logs call them "lasting".
	OnDemand Kind = iota
	// Spot engines cost less, and may be reclaimed by the platform.
	Spot
)

// String returns the kind's name in logs.
func (k Kind) String() string {
	if k == Spot {
		return "spot"
	}
	return "lasting"
}

// EngineGroup identifies the engines that an order applies to.
type EngineGroup struct {
	Service, Zone string
	Kind          Kind
}

// Order sets the number of engines in a group.
type Order struct {
	EngineGroup
	Engines int
	// Holder is the name of the instance that gives the order, Epoch its fencing number.
	Holder string
	Epoch  int64
}

// ErrNoCapacity means that no engines of the kind are available in the zone now.
var ErrNoCapacity = errors.New("scaling: no engines of this kind available in the zone")

// Zone is the state of a service in an availability zone. Engines are the running engines,
// without those that are draining.
type Zone struct {
	Name              string
	Engines, Draining [2]int // by kind
	// SpotRefusedFor is for how long all orders of spot engines in the zone were refused; 0
	// if none was, as far as known.
	SpotRefusedFor time.Duration
}

// Settings are the settings of the plan.
type Settings struct {
	// OnDemandReserve is the number of on-demand engines that each zone keeps. They are all
	// that is left when all spot engines are reclaimed, until the first ones are replaced.
	OnDemandReserve int
	// EngineShare is the number of engines to run for each engine that the deployment
	// began with, where spot engines do the work. With 1.2 in four zones, 0.9 are left
	// after one zone is reclaimed. That served 0.004 to 0.009 more of the days' credit and
	// cost 0.013, with a spot engine at 0.18 of the price of an on-demand one.
	EngineShare float64
	// OnDemandAfter is how long spot engines must be unavailable in all zones before
	// on-demand engines replace them.
	OnDemandAfter time.Duration
	// MaxConcurrentChanges is the maximum number of engines that start at a time, and also
	// of those that shut down.
	MaxConcurrentChanges int
}

// DefaultSettings returns the defaults.
func DefaultSettings() Settings {
	return Settings{OnDemandReserve: 0, EngineShare: 1, OnDemandAfter: defaultOnDemandAfter, MaxConcurrentChanges: defaultMaxConcurrentChanges}
}
