// Package config defines the versioned configuration document: the intents that
// operators confirmed, and for each engine how far they have been carried out.
// It contains plain data and functions without side effects. The packages
// versions and gossip store and distribute the document.
package config

import (
	"encoding/json"
	"slices"

	"github.com/pkg/errors"
)

// Role is the kind of work that an engine accepts.
type Role string

// Roles of an engine.
const (
	// RoleMixed engines run prefill and decode.
	RoleMixed Role = "mixed"
	// RolePrefill engines prefill prompts and export their KV cache.
	RolePrefill Role = "prefill"
	// RoleDecode engines import a KV cache and generate tokens.
	RoleDecode Role = "decode"
)

// Fencing is how an engine treats an order with an old fencing number.
type Fencing string

// Ways in which engines treat old fencing numbers.
const (
	// FencingRefuse engines refuse such an order.
	FencingRefuse Fencing = "refuse"
	// FencingIgnore engines do not check the number.
	FencingIgnore Fencing = "ignore"
)

// Routing is the routing state of an upstream: whether it gets new requests.
type Routing string

// Routing states of an upstream.
const (
	// RoutingServing upstreams get new requests.
	RoutingServing Routing = "serving"
	// RoutingDraining upstreams get no new requests and finish those in flight.
	RoutingDraining Routing = "draining"
	// RoutingOut upstreams are out of service.
	RoutingOut Routing = "out"
)

// Config is one version of the complete configuration. A shared Config is
// read-only; Clone it before a change.
type Config struct {
	// Version rises by one with each accepted document.
	Version int64 `json:"version"`
	// Intent rises by one with each change that an operator confirmed. Steps that
	// the system takes by itself raise only Version.
	Intent        int64          `json:"intent"`
	Models        []Model        `json:"models,omitempty"`
	Pools         []Pool         `json:"pools,omitempty"`
	Engines       []Engine       `json:"engines,omitempty"`
	Services      []Service      `json:"services,omitempty"`
	Organisations []Organisation `json:"organisations,omitempty"`
}

// Model is a model that callers may request.
type Model struct {
	Name string `json:"name"`
	// Version is the version of the weights that each engine of the model should
	// have loaded.
	Version string `json:"version"`
	// Adapters are the adapters that each engine of the model should have loaded.
	Adapters []string `json:"adapters,omitempty"`
	// Callers are the organisations that may use the model; empty means all.
	Callers []string `json:"callers,omitempty"`
	// MaxPromptTokens bounds the length of a prompt; 0 means the entry's own bound.
	MaxPromptTokens int `json:"max_prompt_tokens,omitempty"`
	// WeightBytes is the size of the weights, used to pace their loading; 0 means
	// unknown.
	WeightBytes int64 `json:"weight_bytes,omitempty"`
}

// Pool is a set of engines for one model in one region. One lease per pool
// decides which instance may send orders to its engines.
type Pool struct {
	Name   string `json:"name"`
	Model  string `json:"model"`
	Region string `json:"region,omitempty"`
	// MinServing is the capacity floor: planned changes never reduce the number of
	// serving engines below it.
	MinServing int `json:"min_serving"`
	// MinPrefill and MaxPrefill bound the number of engines to which the role policy
	// gives the prefill role. MinDecode is the lower bound for the decode role. If all
	// are 0, only operators may change roles.
	MinPrefill int `json:"min_prefill,omitempty"`
	MaxPrefill int `json:"max_prefill,omitempty"`
	MinDecode  int `json:"min_decode,omitempty"`
	// RoleChangeWeight multiplies the cost of a role change in the role policy.
	// With 1 the cost is the lost service time.
	RoleChangeWeight float64 `json:"role_change_weight,omitempty"`
	// LastRoleChange is the latest change by the role policy; nil before the first.
	LastRoleChange *RoleChange `json:"last_role_change,omitempty"`
}

// RoleChange records a role change by the role policy, for the next lease holder.
type RoleChange struct {
	// Version is the configuration version that made the change.
	Version int64  `json:"version"`
	Engine  string `json:"engine"`
	From    Role   `json:"from"`
	To      Role   `json:"to"`
	// OutSeconds is the time out of service, in seconds, that the decision assumed.
	// It is a measured value if there was an earlier change.
	OutSeconds float64 `json:"out_seconds"`
}

// EngineState is the actual or wanted state of an engine.
type EngineState struct {
	Model    string   `json:"model"`
	Version  string   `json:"version"`
	Adapters []string `json:"adapters,omitempty"`
	Role     Role     `json:"role"`
}

// Equal reports whether two states are equal, regardless of the order of adapters.
func (s EngineState) Equal(o EngineState) bool {
	if s.Model != o.Model || s.Version != o.Version || s.Role != o.Role {
		return false
	}
	a, b := slices.Clone(s.Adapters), slices.Clone(o.Adapters)
	slices.Sort(a)
	slices.Sort(b)
	return slices.Equal(a, b)
}

// Disruptive reports whether a change from s to o takes the engine out of
// service. A change of model, version or role does; loading an adapter does not.
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
	// Leave is set by operators to take the engine out of service.
	Leave bool `json:"leave,omitempty"`
	// Want is the state that the confirmed intents require.
	Want EngineState `json:"want"`
	// Loaded is the state that the lease holder last read from the engine. Routing
	// relies on it.
	Loaded EngineState `json:"loaded"`
	// Routing is set by the lease holder only.
	Routing Routing `json:"routing"`
	// RoutingSince is the configuration version that set Routing.
	RoutingSince int64 `json:"routing_since"`
	// Plan is the id of the confirmed plan that has not yet changed the engine;
	// empty if there is none.
	Plan string `json:"plan,omitempty"`
}

// Service is a plain service that is reached under a path prefix.
type Service struct {
	Name      string            `json:"name"`
	Prefix    string            `json:"prefix"`
	Upstreams []ServiceUpstream `json:"upstreams,omitempty"`
	// NonIdempotent lists the calls that must not be retried, as
	// "METHOD /path/prefix". The path includes Prefix.
	NonIdempotent []string `json:"non_idempotent,omitempty"`
}

// ServiceUpstream is one instance of a plain service.
type ServiceUpstream struct {
	ID      string `json:"id"`
	Address string `json:"address"`
	Zone    string `json:"zone"`
	Leave   bool   `json:"leave,omitempty"`
}

// Organisation is an organisation of callers.
type Organisation struct {
	Name string `json:"name"`
	// KeyHashes are SHA-256 sums of API keys in lower-case hexadecimal.
	KeyHashes []string `json:"key_hashes,omitempty"`
	// RequestsPerSecond limits the organisation's rate over all entries; 0 means
	// no limit.
	RequestsPerSecond float64 `json:"requests_per_second,omitempty"`
	// Burst is the number of requests that may arrive at once.
	Burst int `json:"burst,omitempty"`
	// Share is the organisation's weight in fair sharing under load; 0 means 1.
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

// Decode decodes a document that Encode wrote.
func Decode(data []byte) (*Config, error) {
	c := &Config{}
	if err := json.Unmarshal(data, c); err != nil {
		return nil, errors.Wrap(err, "config: decode")
	}
	return c, nil
}

// Engine returns a pointer into c to the engine with the id, or nil.
func (c *Config) Engine(id string) *Engine {
	for i := range c.Engines {
		if c.Engines[i].ID == id {
			return &c.Engines[i]
		}
	}
	return nil
}

// Pool returns a pointer into c to the pool with the name, or nil.
func (c *Config) Pool(name string) *Pool {
	for i := range c.Pools {
		if c.Pools[i].Name == name {
			return &c.Pools[i]
		}
	}
	return nil
}

// Model returns a pointer into c to the model with the name, or nil.
func (c *Config) Model(name string) *Model {
	for i := range c.Models {
		if c.Models[i].Name == name {
			return &c.Models[i]
		}
	}
	return nil
}

// PoolEngines returns pointers into c to the engines of a pool.
func (c *Config) PoolEngines(pool string) []*Engine {
	var engines []*Engine
	for i := range c.Engines {
		if c.Engines[i].Pool == pool {
			engines = append(engines, &c.Engines[i])
		}
	}
	return engines
}

// SetRouting changes an engine's routing state in a document whose Version is
// already set to the next version.
func (c *Config) SetRouting(id string, routing Routing) {
	e := c.Engine(id)
	e.Routing = routing
	e.RoutingSince = c.Version
}
