// Package routes holds the routes of one version of the operators'
// configuration, and finds the route and the service of a request. It is plain
// data with pure functions.
package routes

import (
	"strings"
	"time"

	"sassafrasfield/internal/apikey"
)

// Kind tells what of a route's requests may be repeated.
type Kind int

const (
	// Idempotent requests may run more than once.
	Idempotent Kind = iota
	// NonIdempotent requests may run at most once.
	NonIdempotent
	// Generation requests are answered by a stream of events of a model. They
	// may run once, unless the route is resumable.
	Generation
)

// String returns the kind's name in logs.
func (k Kind) String() string {
	switch k {
	case Idempotent:
		return "idempotent"
	case NonIdempotent:
		return "non-idempotent"
	default:
		return "generation"
	}
}

// Share is a service's part of a route's traffic.
type Share struct {
	Service string
	// Weight relative to the route's other shares.
	Weight float64
}

// Route is one route of the configuration.
type Route struct {
	Name string
	Host string
	// Prefix of the path; it begins and ends with a slash.
	Prefix string
	Kind   Kind
	// Resumable generations may go on at another engine after the last event.
	Resumable bool
	// Timeout is how long a request may wait for its answer; 0 is no bound.
	Timeout time.Duration
	// Objective is the time in which an answer is on time.
	Objective time.Duration
	// MaxPause is the longest pause between two events that is on time.
	MaxPause time.Duration
	// WaitBudget is how long callers wait for the first event of a stream, or the next
	// one; 0 when that is not known.
	WaitBudget time.Duration
	// MaxAttempts is how many upstreams one request may run on.
	MaxAttempts int
	// Priority of the route; 0 is the most urgent.
	Priority int
	// Shares has one entry for a route that is not split.
	Shares []Share
	// Public routes ask for no API key.
	Public bool
}

// Organisation is a caller's.
type Organisation struct {
	// Name is told to upstreams.
	Name string
	// Priority takes the place of the route's; nil for an organisation without one.
	Priority *int
}

// Service is a group of upstreams that are alike.
type Service struct {
	Name       string
	HealthPath string
	// MaxConns is how many connections an upstream takes from all instances.
	MaxConns int
	// Engine is set for a service of model engines.
	Engine *EngineLimits
	// Scale is set for a service whose upstreams may be ordered.
	Scale *ScaleLimits
}

// ScaleLimits are what the operators' configuration allows for a service.
type ScaleLimits struct {
	// Min and Max bound the upstreams of both kinds together in each zone.
	Min, Max int
	// Boot is the time from an order to the first request that a new upstream takes.
	Boot time.Duration
	// SpotPrice is a spot upstream's price as a part of a lasting one's; 0 where there
	// are no spot upstreams.
	SpotPrice float64
	// ZonePrices are the prices of a second by zone, to one another.
	ZonePrices map[string]float64
}

// EngineLimits are what a service's engines bear.
type EngineLimits struct {
	// Slots is how many requests an engine runs at a time.
	Slots int
	// KVTokens is the KV cache's size in tokens.
	KVTokens int
	// TransferTime is the time to send a token's KV cache to another engine of the
	// zone, in nanoseconds.
	TransferTime float64
	// EventTokens is how many tokens an event of a stream has.
	EventTokens int
	// KVHold is how long a prefilled KV cache is kept for its taker.
	KVHold time.Duration
	// RoleSwitch is how long an engine is away when its role changes.
	RoleSwitch time.Duration
}

// Limits bound what callers may send.
type Limits struct {
	MaxHeaderBytes int
	MaxBodyBytes   int64
	HeaderTimeout  time.Duration
	IdleTimeout    time.Duration
}

// Table is one version of the configuration. Treat it as read-only.
type Table struct {
	Version  int64
	Routes   []Route
	Services map[string]Service
	Limits   Limits
	// Keys finds the organisation of a request. It is nil for a configuration without
	// organisations, whose routes ask for no key.
	Keys *apikey.Table[*Organisation]

	byHost map[string][]*Route
}

// NewTable returns the table of a version.
func NewTable(version int64, routes []Route, services []Service, limits Limits) *Table {
	t := &Table{
		Version: version, Routes: routes, Limits: limits,
		Services: map[string]Service{}, byHost: map[string][]*Route{},
	}
	for _, s := range services {
		t.Services[s.Name] = s
	}
	for i := range routes {
		r := &routes[i]
		t.byHost[r.Host] = append(t.byHost[r.Host], r)
	}
	return t
}

// Identity is who a request comes from, as a configuration tells.
type Identity struct {
	// Organisation is nil for a request of nobody's, on a route that allows this.
	Organisation *Organisation
	// KeyChecked tells that keys are this system's to read: an upstream gets none.
	KeyChecked bool
}

// Identify returns who a request on a route comes from; false when the route asks for a
// key and the request bears none that an organisation has.
func (t *Table) Identify(r *Route, c apikey.Credential) (Identity, bool) {
	if t.Keys == nil {
		return Identity{}, true
	}
	owner, known := t.Keys.Owner(c)
	return Identity{Organisation: owner, KeyChecked: true}, known || r.Public
}

// Name is the organisation's name; empty for nobody's.
func (i Identity) Name() string {
	if i.Organisation == nil {
		return ""
	}
	return i.Organisation.Name
}

// Priority is that of its requests on a route; 0 is the most urgent.
func (i Identity) Priority(r *Route) int {
	if i.Organisation == nil || i.Organisation.Priority == nil {
		return r.Priority
	}
	return *i.Organisation.Priority
}

// Match returns the route of the host with the longest prefix of the path, or
// nil.
func (t *Table) Match(host, path string) *Route {
	var best *Route
	for _, r := range t.byHost[host] {
		if strings.HasPrefix(path, r.Prefix) && (best == nil || len(r.Prefix) > len(best.Prefix)) {
			best = r
		}
	}
	return best
}

// Pick returns the service for a draw from [0, 1), by the weights of the
// route's shares; "" when the route has none.
func (r *Route) Pick(draw float64) string {
	total := 0.0
	for _, s := range r.Shares {
		total += s.Weight
	}
	rest := draw * total
	for _, s := range r.Shares {
		if rest -= s.Weight; rest < 0 {
			return s.Service
		}
	}
	if len(r.Shares) == 0 {
		return ""
	}
	return r.Shares[len(r.Shares)-1].Service
}
