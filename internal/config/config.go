// Package config holds the versioned configuration document: what operators
// accepted, and for each engine what the system has made of it so far. It is
// plain data with pure functions; how it is kept and spread is in the
// packages versions and gossip.
package config

import (
	"encoding/json"
	"slices"

	"github.com/pkg/errors"
)

// Role is the kind of work that an engine takes.
type Role string

// Roles of an engine.
const (
	// RoleMixed engines take prefill and decode.
	RoleMixed Role = "mixed"
	// RolePrefill engines take prompts and export their KV cache.
	RolePrefill Role = "prefill"
	// RoleDecode engines import KV cache and generate.
	RoleDecode Role = "decode"
)

// Fencing tells how an engine treats an order with an old fencing number.
type Fencing string

// Ways of an engine with old fencing numbers.
const (
	// FencingRefuse engines refuse such an order.
	FencingRefuse Fencing = "refuse"
	// FencingIgnore engines do not look at the number.
	FencingIgnore Fencing = "ignore"
)

// Routing tells whether an upstream gets new work.
type Routing string

// Routing states of an upstream.
const (
	// RoutingServing upstreams get new work.
	RoutingServing Routing = "serving"
	// RoutingDraining upstreams get none and finish what they have.
	RoutingDraining Routing = "draining"
	// RoutingOut upstreams have left.
	RoutingOut Routing = "out"
)

// Config is one version of the whole configuration. Treat a Config that is
// shared as read-only; Clone before a change.
type Config struct {
	// Version rises by one with each accepted document.
	Version int64 `json:"version"`
	// Intent rises by one with each change that an operator confirmed. The
	// system's own steps raise Version alone.
	Intent        int64          `json:"intent"`
	Models        []Model        `json:"models,omitempty"`
	Pools         []Pool         `json:"pools,omitempty"`
	Engines       []Engine       `json:"engines,omitempty"`
	Services      []Service      `json:"services,omitempty"`
	Organisations []Organisation `json:"organisations,omitempty"`
}

// Model is a model that callers may ask for.
type Model struct {
	Name string `json:"name"`
	// Version is the weights' version that each engine of the model should
	// have loaded.
	Version string `json:"version"`
	// Adapters that each engine of the model should have loaded.
	Adapters []string `json:"adapters,omitempty"`
	// Callers are the organisations that may use the model; empty means all.
	Callers []string `json:"callers,omitempty"`
	// MaxPromptTokens bounds a prompt; 0 means the entry's own bound.
	MaxPromptTokens int `json:"max_prompt_tokens,omitempty"`
	// WeightBytes is the size of the weights, for the pace at which they are
	// loaded; 0 means unknown.
	WeightBytes int64 `json:"weight_bytes,omitempty"`
}

// Pool is a set of engines for one model in one region. One lease guards the
// orders to its engines.
type Pool struct {
	Name   string `json:"name"`
	Model  string `json:"model"`
	Region string `json:"region,omitempty"`
	// MinServing is the capacity floor: planned changes never leave fewer
	// engines serving.
	MinServing int `json:"min_serving"`
	// MinPrefill and MaxPrefill bound the engines in the prefill role, and
	// MinDecode those in the decode role, for the role policy. All 0 forbids
	// role changes that no operator declared.
	MinPrefill int `json:"min_prefill,omitempty"`
	MaxPrefill int `json:"max_prefill,omitempty"`
	MinDecode  int `json:"min_decode,omitempty"`
	// RoleChangeWeight multiplies the cost of a role change in the role
	// policy; 1 counts lost service time as it is.
	RoleChangeWeight float64 `json:"role_change_weight,omitempty"`
	// LastRoleChange is the role policy's newest change; nil before the first.
	LastRoleChange *RoleChange `json:"last_role_change,omitempty"`
}

// RoleChange records a change of the role policy, for the next lease holder.
type RoleChange struct {
	// Version that made the change.
	Version int64  `json:"version"`
	Engine  string `json:"engine"`
	From    Role   `json:"from"`
	To      Role   `json:"to"`
	// OutSeconds is the time out of service that the decision reckoned with:
	// measured, where there was a change before.
	OutSeconds float64 `json:"out_seconds"`
}

// EngineState is what an engine has loaded, or should have.
type EngineState struct {
	Model    string   `json:"model"`
	Version  string   `json:"version"`
	Adapters []string `json:"adapters,omitempty"`
	Role     Role     `json:"role"`
}

// Equal compares two states; the order of adapters does not matter.
func (s EngineState) Equal(o EngineState) bool {
	if s.Model != o.Model || s.Version != o.Version || s.Role != o.Role {
		return false
	}
	a, b := slices.Clone(s.Adapters), slices.Clone(o.Adapters)
	slices.Sort(a)
	slices.Sort(b)
	return slices.Equal(a, b)
}

// Disruptive tells whether going from s to o takes the engine out of service.
// Loading an adapter does not; a model, version or role does.
func (s EngineState) Disruptive(o EngineState) bool {
	return s.Model != o.Model || s.Version != o.Version || s.Role != o.Role
}

// Engine is one model engine.
type Engine struct {
	ID      string  `json:"id"`
	Address string  `json:"address"`
	Zone    string  `json:"zone"`
	Pool    string  `json:"pool"`
	Fencing Fencing `json:"fencing"`
	// Leave is the operators' word that the engine should leave.
	Leave bool `json:"leave,omitempty"`
	// Want is the state that the confirmed intents ask for.
	Want EngineState `json:"want"`
	// Loaded is the state that the lease holder last read back from the
	// engine. Routing trusts it.
	Loaded EngineState `json:"loaded"`
	// Routing is set by the lease holder alone.
	Routing Routing `json:"routing"`
	// RoutingSince is the version that set Routing.
	RoutingSince int64 `json:"routing_since"`
	// Plan is the id of the confirmed plan that still has to change the engine;
	// empty when none has.
	Plan string `json:"plan,omitempty"`
}

// Service is a plain service under a path prefix.
type Service struct {
	Name      string            `json:"name"`
	Prefix    string            `json:"prefix"`
	Upstreams []ServiceUpstream `json:"upstreams,omitempty"`
	// NonIdempotent lists "METHOD /path/prefix" pairs of calls that may not be
	// repeated. The path includes Prefix.
	NonIdempotent []string `json:"non_idempotent,omitempty"`
}

// ServiceUpstream is one instance of a plain service.
type ServiceUpstream struct {
	ID      string `json:"id"`
	Address string `json:"address"`
	Zone    string `json:"zone"`
	Leave   bool   `json:"leave,omitempty"`
}

// Organisation is a caller's organisation.
type Organisation struct {
	Name string `json:"name"`
	// KeyHashes are SHA-256 sums of API keys in lower-case hexadecimal.
	KeyHashes []string `json:"key_hashes,omitempty"`
	// RequestsPerSecond limits the organisation over all entries; 0 is no
	// limit.
	RequestsPerSecond float64 `json:"requests_per_second,omitempty"`
	// Burst is how many requests may come at once.
	Burst int `json:"burst,omitempty"`
	// Share is the weight in fair sharing under load; 0 means 1.
	Share float64 `json:"share,omitempty"`
}

// Clone returns a deep copy.
func (c *Config) Clone() *Config {
	data, err := json.Marshal(c)
	if err != nil {
		panic(errors.Wrap(err, "config: clone")) // plain data always marshals
	}
	copied := &Config{}
	if err := json.Unmarshal(data, copied); err != nil {
		panic(errors.Wrap(err, "config: clone"))
	}
	return copied
}

// Encode returns the document as JSON.
func (c *Config) Encode() []byte {
	data, err := json.Marshal(c)
	if err != nil {
		panic(errors.Wrap(err, "config: encode"))
	}
	return data
}

// Decode reads a document that Encode wrote.
func Decode(data []byte) (*Config, error) {
	c := &Config{}
	if err := json.Unmarshal(data, c); err != nil {
		return nil, errors.Wrap(err, "config: decode")
	}
	return c, nil
}

// Engine returns the engine with the id, or nil. The pointer is into c.
func (c *Config) Engine(id string) *Engine {
	for i := range c.Engines {
		if c.Engines[i].ID == id {
			return &c.Engines[i]
		}
	}
	return nil
}

// Pool returns the pool with the name, or nil. The pointer is into c.
func (c *Config) Pool(name string) *Pool {
	for i := range c.Pools {
		if c.Pools[i].Name == name {
			return &c.Pools[i]
		}
	}
	return nil
}

// Model returns the model with the name, or nil. The pointer is into c.
func (c *Config) Model(name string) *Model {
	for i := range c.Models {
		if c.Models[i].Name == name {
			return &c.Models[i]
		}
	}
	return nil
}

// PoolEngines returns the engines of a pool, as pointers into c.
func (c *Config) PoolEngines(pool string) []*Engine {
	var engines []*Engine
	for i := range c.Engines {
		if c.Engines[i].Pool == pool {
			engines = append(engines, &c.Engines[i])
		}
	}
	return engines
}

// SetRouting changes an engine's routing state in a document that is about to
// become c.Version.
func (c *Config) SetRouting(id string, routing Routing) {
	e := c.Engine(id)
	e.Routing = routing
	e.RoutingSince = c.Version
}
