// Package routes holds one version of the operators' configuration, and finds the route, the service and the
// organisation of a request.
//
// Inputs are the decoded configuration and the host, path and API key of a request. The package consists of
// plain data and pure functions.
package routes

import (
	"strings"
	"time"

	"sassafrasfield/internal/apikey"
	"sassafrasfield/internal/placement"
)

// Kind is the class of a route's requests. It determines which of them may be repeated.
type Kind int

const (
	// Idempotent requests may run more than once.
	Idempotent Kind = iota
	// NonIdempotent requests may run at most once.
	NonIdempotent
	// Generation requests are answered by a stream of a model's events. They may run once, unless the route
	// is resumable.
	Generation
)

// String returns the name of the kind in logs.
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

// Share is the part of a route's traffic that goes to one service.
type Share struct {
	Service string
	// Weight is relative to the weights of the route's other shares.
	Weight float64
}

// Route is one route of the configuration.
type Route struct {
	Name string
	Host string
	// Prefix is the prefix of the path. It begins and ends with a slash.
	Prefix string
	Kind   Kind
	// Resumable generations may continue on another engine after the last event.
	Resumable bool
	// Timeout is how long a request may wait for its answer; 0 means no limit.
	Timeout time.Duration
	// Objective is the latency objective: an answer within this time is on time.
	Objective time.Duration
	// MaxPause is the latency objective of each event after the first: the longest pause between two events
	// that is on time.
	MaxPause time.Duration
	// WaitBudget is how long callers wait for the first or next event of a stream; 0 if that is not known.
	WaitBudget time.Duration
	// MaxAttempts is the number of upstreams on which one request may run.
	MaxAttempts int
	// Priority is the priority of the route; 0 is the most urgent.
	Priority int
	// Shares has one entry if the traffic is not split.
	Shares []Share
	// Public routes require no API key.
	Public bool
}

// Organisation is an organisation to which callers belong.
type Organisation struct {
	// Name is sent to upstreams.
	Name string
	// Priority replaces the route's priority; nil if the organisation has none.
	Priority *int
	// Quota bounds the organisation's requests over all instances.
	Quota Quota
}

// Quota bounds the requests of an organisation.
type Quota struct {
	// Rate is in units a second and Burst in units; a Rate of 0 or less means no limit.
	Rate, Burst float64
	// CountsTokens is true if a unit is a token, and false if it is a request.
	CountsTokens bool
	// PlainTokens is the number of tokens that a request without a prompt counts as.
	PlainTokens float64
}

// Limited reports whether the quota limits anything.
func (q Quota) Limited() bool { return q.Rate > 0 }

// Cost returns what a request counts as, in the quota's units. Prompt is nil for a request without one.
func (q Quota) Cost(prompt *placement.Prompt) float64 {
	switch {
	case !q.CountsTokens:
		return 1
	case prompt == nil:
		return q.PlainTokens
	default:
		return float64(prompt.Tokens + prompt.MaxOutput)
	}
}

// Service is a group of interchangeable upstreams.
type Service struct {
	Name       string
	HealthPath string
	// MaxConns is the number of connections that an upstream accepts from all instances together.
	MaxConns int
	// Engine is set for a service of model engines.
	Engine *EngineLimits
	// Scale is set for a service whose upstreams can be scaled.
	Scale *ScaleLimits
}

// ScaleLimits bounds the scaling of a service.
type ScaleLimits struct {
	// Min and Max bound the number of upstreams in each zone, spot and on-demand together.
	Min, Max int
	// BootTime is the time from an order to the first request that the new upstream accepts.
	BootTime time.Duration
	// SpotPrice is the price of a spot upstream as a fraction of that of an on-demand one; 0 if there are no
	// spot upstreams.
	SpotPrice float64
	// ZonePrices holds the price per second of each zone, relative to the other zones.
	ZonePrices map[string]float64
}

// EngineLimits is the capacity of each engine of a service.
type EngineLimits struct {
	// Slots is the number of requests that an engine runs at a time.
	Slots int
	// KVTokens is the size of the KV cache in tokens.
	KVTokens int
	// TransferTime is the time to send the KV cache of one token to another engine of the zone, in
	// nanoseconds.
	TransferTime float64
	// EventTokens is the number of tokens in one event of a stream.
	EventTokens int
	// KVHold is how long a prefilled KV cache is kept for the engine that fetches it.
	KVHold time.Duration
	// RoleSwitch is how long an engine is unavailable while its role changes.
	RoleSwitch time.Duration
}

// Limits bounds what callers may send.
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
	// Keys maps API keys to organisations. It is nil for a configuration without organisations, whose routes
	// require no key.
	Keys *apikey.Table[*Organisation]

	byHost map[string][]*Route
}

// NewTable returns the table of one version of the configuration.
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

// Identity is the origin of a request according to the configuration.
type Identity struct {
	// Organisation is nil for a request without a known key, on a route that allows this.
	Organisation *Organisation
	// KeyChecked is true if this system checks API keys. Then no key is forwarded to upstreams.
	KeyChecked bool
}

// Identify returns the identity of a request on a route. It returns false if the route requires a key and the
// request carries none that belongs to an organisation.
func (t *Table) Identify(r *Route, c apikey.Credential) (Identity, bool) {
	if t.Keys == nil {
		return Identity{}, true
	}
	owner, known := t.Keys.Owner(c)
	return Identity{Organisation: owner, KeyChecked: true}, known || r.Public
}

// Name returns the name of the organisation; empty if there is none.
func (i Identity) Name() string {
	if i.Organisation == nil {
		return ""
	}
	return i.Organisation.Name
}

// Priority returns the priority of the requests on a route; 0 is the most urgent.
func (i Identity) Priority(r *Route) int {
	if i.Organisation == nil || i.Organisation.Priority == nil {
		return r.Priority
	}
	return *i.Organisation.Priority
}

// Match returns the route of the host whose prefix is the longest that matches the path, or nil.
func (t *Table) Match(host, path string) *Route {
	var best *Route
	for _, r := range t.byHost[host] {
		if strings.HasPrefix(path, r.Prefix) && (best == nil || len(r.Prefix) > len(best.Prefix)) {
			best = r
		}
	}
	return best
}

// Pick returns the service for a random draw from [0, 1), by the weights of the route's shares. It returns ""
// if the route has no shares.
func (r *Route) Pick(draw float64) string {
	total := 0.0
	for _, s := range r.Shares {
		total += s.Weight
	}
	remaining := draw * total
	for _, s := range r.Shares {
		if remaining -= s.Weight; remaining < 0 {
			return s.Service
		}
	}
	if len(r.Shares) == 0 {
		return ""
	}
	return r.Shares[len(r.Shares)-1].Service
}
