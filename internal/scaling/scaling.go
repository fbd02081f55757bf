// Package scaling decides how many engines of which kind run in each availability zone, and
// orders them. Two kinds are to be had: engines that stay until they are ordered away, and
// spot engines, which cost a part of that and may be taken back, all of a zone at once.
//
// The decision (plan.go) is pure. The holder of the lease carries it out (scaler.go): it
// orders what is missing first, and orders away what that replaces once it is there.
//
// Callers: instance (the duty).
package scaling

import (
	"time"

	"github.com/pkg/errors"
)

// Kind of engines.
type Kind int

const (
	// OnDemand engines stay until they are ordered away.
	OnDemand Kind = iota
	// Spot engines cost less, and may be taken back.
	Spot
)

// String returns the kind's name in logs.
func (k Kind) String() string {
	if k == Spot {
		return "spot"
	}
	return "lasting"
}

// EngineGroup is what one order is about.
type EngineGroup struct {
	Service, Zone string
	Kind          Kind
}

// Order has a number of engines run.
type Order struct {
	EngineGroup
	Engines int
	// Holder is the name of the instance that orders, Epoch the fencing number.
	Holder string
	Epoch  int64
}

// ErrNoCapacity: there are no such engines to be had now. Compare with errors.Is.
var ErrNoCapacity = errors.New("scaling: no engines of this kind to be had in the zone")

// Zone is what runs of a service in an availability zone: the engines that stay, and those
// that are leaving already.
type Zone struct {
	Name              string
	Engines, Draining [2]int // by kind
	// SpotRefusedFor is for how long spot engines were not to be had there; 0 when they are,
	// as far as it is known.
	SpotRefusedFor time.Duration
}

// Settings of the plan.
type Settings struct {
	// OnDemandReserve is how many lasting engines each zone keeps: what is left at once when
	// all spot engines are taken back, of which the first ones must come back.
	OnDemandReserve int
	// EngineShare is how many engines run for each one that the deployment began with, where
	// the work is done by spot engines. With 1.2 of four zones, 0.9 are left when one is
	// taken back; that served 0.004 to 0.009 more of the days' credit and cost 0.013,
	// where a spot engine costs 0.18 of a lasting one.
	EngineShare float64
	// OnDemandAfter is how long spot engines are to be had in no zone until lasting ones
	// take their place.
	OnDemandAfter time.Duration
	// MaxConcurrentChanges is how many engines start at a time, and how many leave.
	MaxConcurrentChanges int
}

// DefaultSettings returns the defaults.
func DefaultSettings() Settings {
	return Settings{OnDemandReserve: 0, EngineShare: 1, OnDemandAfter: lastingAfter, MaxConcurrentChanges: atOnce}
}
