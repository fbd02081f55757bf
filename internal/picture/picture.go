// Package picture is an instance's picture of the upstreams: who there is, what all
// instances have under way on each, what each has cached, what each takes, and who
// could not be reached. Placement is decided on it (package route), and what
// requests meet is noted in it. The instances tell one another their parts of it in
// reports.
//
// It has no clock, no I/O and no goroutine: times are passed in, on the instance's
// monotonic clock. So package model plays the same code in virtual time.
//
// Callers: relay (requests), peers (reports), rolekeeper by way of instance (the
// engines' use), model.
package picture

import (
	"math/rand/v2"
	"sync"
	"time"

	"sassafrasfield/internal/config"
	"sassafrasfield/internal/estimate"
	"sassafrasfield/internal/load"
	"sassafrasfield/internal/route"
	"sassafrasfield/internal/routes"
)

// Upstream is an engine or a plain service's process.
type Upstream struct {
	// ID is new with each start of the process.
	ID, Service, Address, Zone string
	// Draining upstreams take no new requests.
	Draining bool
	Slots    int
	// Role is empty for a plain service.
	Role config.Role
}

// Load is what an upstream says of itself with an answer.
type Load struct {
	Known                   bool
	Running, Waiting, Slots int
}

// Settings of a Picture.
type Settings struct {
	// Zone of this instance.
	Zone string
	// Placement is what is weighed against the engines' times.
	Placement route.Settings
	// Prior is what is assumed of engines that nothing was observed of.
	Prior    estimate.Prior
	Outliers load.OutlierRules
	// Seed of the draws that spread requests; 0 for any.
	Seed uint64
}

// Picture is the configuration in force and what is known of the upstreams. It is
// safe for use by several goroutines.
type Picture struct {
	settings Settings
	// stages and calls choose engines and the upstreams of plain services.
	stages *route.Stages
	calls  *route.Scheduler

	mu        sync.Mutex // protects all below
	table     *routes.Table
	tableAt   time.Duration
	upstreams map[string]Upstream
	engines   map[string]*config.Engine
	byService map[string][]Upstream
	loads     *load.Table
	work      map[string]*workload
	// models are what the engines of each service take.
	models map[string]*estimate.Model
	// peers are the loads that the other instances told of, sums what all of them
	// told of each engine; stale tells that the sums are not those of the peers.
	peers map[string]peerLoad
	sums  map[uint32]EngineLoad
	stale bool
	// gone are the upstreams that other instances could not reach, goneHere
	// those that this one could not, goneBeside those of the whole zone, each
	// with the end of the word's time.
	gone, goneHere, goneBeside map[uint32]time.Duration
	// awayHere are the upstreams that this instance sent away, with the end of
	// that time.
	awayHere map[uint32]time.Duration
	// parts are the prompt parts that the engines are believed to have; placed
	// are those since the last report to the other instances.
	parts  partTable
	placed []Placed
	// zonePlaced are those of this instance and the ones beside it since the
	// last report of the zone.
	zonePlaced []Placed
	rng        *rand.Rand
}

// New returns a picture that knows no routes and no upstreams.
func New(s Settings) *Picture {
	loads := load.NewTable()
	loads.Outliers = s.Outliers
	if s.Seed == 0 {
		s.Seed = rand.Uint64()
	}
	return &Picture{
		settings: s, stages: route.NewStages(), calls: route.NewToldServiceScheduler(),
		table:     routes.NewTable(0, nil, nil, routes.Limits{}),
		upstreams: map[string]Upstream{}, engines: map[string]*config.Engine{}, byService: map[string][]Upstream{},
		loads: loads, work: map[string]*workload{}, models: map[string]*estimate.Model{},
		peers: map[string]peerLoad{}, sums: map[uint32]EngineLoad{}, parts: newPartTable(),
		gone: map[uint32]time.Duration{}, goneHere: map[uint32]time.Duration{}, goneBeside: map[uint32]time.Duration{},
		awayHere: map[uint32]time.Duration{},
		rng:      rand.New(rand.NewPCG(s.Seed, s.Seed)),
	}
}

// SetRoutes puts a version of the configuration in force unless it is older, and
// tells whether it did.
func (p *Picture) SetRoutes(t *routes.Table, now time.Duration) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if t.Version <= p.table.Version {
		return false
	}
	p.table, p.tableAt = t, now
	return true
}

// Routes returns the version in force and its age.
func (p *Picture) Routes(now time.Duration) (*routes.Table, time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.table, now - p.tableAt
}

// Learn takes an upstream's newest entry.
func (p *Picture) Learn(u Upstream) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.upstreams[u.ID] = u
	p.engines[u.ID] = engineOf(u)
	p.regroup()
}

// Forget drops an upstream that is gone.
func (p *Picture) Forget(id string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.upstreams, id)
	delete(p.engines, id)
	delete(p.work, id)
	delete(p.gone, hashOf(id))
	delete(p.awayHere, hashOf(id))
	p.regroup()
}

// regroup sorts the upstreams by service anew. The lock is held.
func (p *Picture) regroup() {
	keep := map[string]bool{}
	p.byService = map[string][]Upstream{}
	for id, u := range p.upstreams {
		keep[id] = true
		p.byService[u.Service] = append(p.byService[u.Service], u)
	}
	p.loads.Retain(keep)
}

// engineOf is how placement sees an upstream's configuration; nil for one of a
// plain service.
func engineOf(u Upstream) *config.Engine {
	if u.Role == "" {
		return nil
	}
	return &config.Engine{
		ID: u.ID, Zone: u.Zone, Address: u.Address, Routing: config.RoutingServing, Loaded: config.EngineState{Role: u.Role},
	}
}

// Upstream returns an upstream's entry; the zero value when it is gone.
func (p *Picture) Upstream(id string) Upstream {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.upstreams[id]
}

// Count returns how many upstreams there are of a service.
func (p *Picture) Count(service string) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.byService[service])
}

// Engine is a model engine with what all instances together have on it.
type Engine struct {
	Upstream
	Load EngineLoad
}

// Engines returns the model engines that take requests, by service.
func (p *Picture) Engines(now time.Duration) map[string][]Engine {
	p.mu.Lock()
	defer p.mu.Unlock()
	lists := map[string][]Engine{}
	for id, u := range p.upstreams {
		if u.Role == "" || u.Draining {
			continue
		}
		lists[u.Service] = append(lists[u.Service], Engine{Upstream: u, Load: p.all(id, now)})
	}
	return lists
}

// Away has all instances leave an upstream out for a time in which it takes no
// requests.
func (p *Picture) Away(id string, until time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.away(id, until)
}
