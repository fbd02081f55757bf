// Package upstreamstate is an instance's picture of the upstreams: who there is, what all
// instances have under way on each, what each has cached, what each takes, and who
// could not be reached. Placement is decided on it (package placement), and what
// requests meet is noted in it. The instances tell one another their parts of it in
// reports.
//
// It has no clock, no I/O and no goroutine: times are passed in, on the instance's
// monotonic clock. So package model plays the same code in virtual time.
//
// Callers: relay (requests), peers (reports), rolekeeper by way of instance (the
// engines' use), model.
package upstreamstate

import (
	"math/rand/v2"
	"slices"
	"strconv"
	"sync"
	"time"

	"sassafrasfield/internal/config"
	"sassafrasfield/internal/estimate"
	"sassafrasfield/internal/load"
	"sassafrasfield/internal/placement"
	"sassafrasfield/internal/routes"
)

// Upstream is an engine or a plain service's process.
type Upstream struct {
	ID, Service, Address, Zone string
	// StartedAt is the Unix millisecond of the process's start, by its own clock; 0 where the
	// platform does not tell it. A process may start again under the id that it had.
	StartedAt int64
	// Draining upstreams take no new requests, by their entry or by their answers.
	Draining bool
	// Spot upstreams may be taken back by the platform, all of a zone at once.
	Spot  bool
	Slots int
	// Role is empty for a plain service.
	Role config.Role
}

// Incarnation is a hash of this start of the upstream.
func (u Upstream) Incarnation() uint32 {
	if u.StartedAt == 0 {
		return hashOf(u.ID)
	}
	return hashOf(u.ID + "@" + strconv.FormatInt(u.StartedAt, 10))
}

// Load is what an upstream says of its load with an answer.
type Load struct {
	Known                   bool
	Running, Waiting, Slots int
}

// Settings of a Picture.
type Settings struct {
	// Zone of this instance.
	Zone string
	// Placement is what is weighed against the engines' times.
	Placement placement.Settings
	// Prior is what is assumed of engines that nothing was observed of.
	Prior    estimate.Prior
	Outliers load.OutlierRules
	// Seed of the draws that spread requests; 0 for any.
	Seed uint64
	// OnChange is called when the next report of this instance would differ from the
	// last one. It must not call the picture, and not block. Nil for nothing.
	OnChange func()
}

// State is the configuration in force and what is known of the upstreams. It is
// safe for use by several goroutines.
type State struct {
	settings Settings
	// engineScheduler and calls choose engines and the upstreams of plain services.
	engineScheduler  *placement.DisaggregatedScheduler
	serviceScheduler *placement.Scheduler

	mu      sync.Mutex // protects all below
	table   *routes.Table
	tableAt time.Duration
	// nodes are the upstreams by id, byHash by the hash that reports name them with,
	// and byService those of each service.
	nodes     map[string]*node
	byHash    map[uint32]*node
	byService map[string][]*node
	// busy are the upstreams on which this instance has something under way, or had
	// a short while ago.
	busy  map[*node]bool
	loads *load.Table
	// models are what the engines of each service take.
	models map[string]*estimate.Model
	peers  peerLoads
	// unreachable are the upstreams that instances could not reach, unavailable those that take no
	// requests for a time.
	unreachable, unavailable notices
	limits                   limits
	// parts are the prompt parts that the engines are believed to have.
	parts partTable
	// placed are the parts that were placed here since this instance's last report,
	// zonePlaced here and beside since the zone's last one, otherZonesPlaced in other
	// zones since these were last passed on.
	placed, zonePlaced, otherZonesPlaced []PlacedPart
	// zoneSent and otherZonesSent are what the last reports of the zoneSent, and of the other zones
	// together, told.
	zoneSent, otherZonesSent sentLoads
	rng                      *rand.Rand
	// candidateBuf is kept from one choice to the next.
	candidateBuf []placement.Candidate
}

// New returns a picture that knows no routes and no upstreams.
func New(s Settings) *State {
	loads := load.NewTable()
	loads.Outliers = s.Outliers
	if s.Seed == 0 {
		s.Seed = rand.Uint64()
	}
	if s.OnChange == nil {
		s.OnChange = func() {}
	}
	return &State{
		settings: s, engineScheduler: placement.NewDisaggregatedScheduler(), serviceScheduler: placement.NewAggregateServiceScheduler(),
		table: routes.NewTable(0, nil, nil, routes.Limits{}),
		nodes: map[string]*node{}, byHash: map[uint32]*node{}, byService: map[string][]*node{}, busy: map[*node]bool{},
		loads: loads, models: map[string]*estimate.Model{}, peers: newPeerLoads(), parts: newPartTable(),
		unreachable: newNotices(), unavailable: newNotices(), limits: newLimits(), zoneSent: newSentLoads(), otherZonesSent: newSentLoads(),
		rng: rand.New(rand.NewPCG(s.Seed, s.Seed)),
	}
}

// SetRoutes puts a version of the configuration in force unless it is older, and
// tells whether it did.
func (p *State) SetRoutes(t *routes.Table, now time.Duration) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if t.Version <= p.table.Version {
		return false
	}
	p.table, p.tableAt = t, now
	return true
}

// Routes returns the version in force and its age.
func (p *State) Routes(now time.Duration) (*routes.Table, time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.table, now - p.tableAt
}

// UpdateUpstream takes an upstream's newest entry. One that has started again under its id has
// nothing and knows nothing of before, so that all that is known of it is dropped.
func (p *State) UpdateUpstream(u Upstream) {
	p.mu.Lock()
	defer p.mu.Unlock()
	n, ok := p.nodes[u.ID]
	if ok && n.StartedAt != u.StartedAt {
		p.limits.announcements.Forget(n.hash)
		delete(p.limits.exhausted, n.hash)
		delete(p.limits.backoffs, n.hash)
		p.removeNode(n)
		p.loads.Reset(u.ID)
		ok = false
	}
	if !ok {
		n = &node{hash: u.Incarnation(), load: p.loads.Upstream(u.ID)}
		n.peers = p.peers.of(n.hash)
		p.nodes[u.ID], p.byHash[n.hash] = n, n
	}
	if n.Service != u.Service {
		p.removeFromService(n)
		p.byService[u.Service] = append(p.byService[u.Service], n)
	}
	if n.Role != u.Role {
		p.unavailable.remove(n.hash) // the order is carried out
	}
	n.Upstream, n.engine = u, engineOf(u)
	n.Draining = u.Draining || p.limits.announcements.Draining(n.hash)
}

// removeFromService takes an upstream off its service's list. The lock is held.
func (p *State) removeFromService(n *node) {
	list := p.byService[n.Service]
	if i := slices.Index(list, n); i >= 0 {
		p.byService[n.Service] = slices.Delete(list, i, i+1)
	}
}

// RemoveUpstream drops an upstream that is gone.
func (p *State) RemoveUpstream(id string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	n, ok := p.nodes[id]
	if !ok {
		return
	}
	p.removeNode(n)
	p.loads.Drop(id)
}

// removeNode drops what is known of one start of an upstream. The lock is held.
func (p *State) removeNode(n *node) {
	p.removeFromService(n)
	delete(p.nodes, n.ID)
	delete(p.busy, n)
	delete(p.byHash, n.hash)
	p.unreachable.remove(n.hash)
	p.unavailable.remove(n.hash)
}

// hash names an upstream in reports. The lock is held.
func (p *State) hash(id string) uint32 {
	if n, ok := p.nodes[id]; ok {
		return n.hash
	}
	return hashOf(id)
}

// Upstream returns an upstream's entry; the zero value when it is gone.
func (p *State) Upstream(id string) Upstream {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.upstream(id)
}

// upstream is Upstream. The lock is held.
func (p *State) upstream(id string) Upstream {
	if n, ok := p.nodes[id]; ok {
		return n.Upstream
	}
	return Upstream{}
}

// Upstreams returns the upstreams of a service, those that are leaving too.
func (p *State) Upstreams(service string) []Upstream {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := make([]Upstream, 0, len(p.byService[service]))
	for _, n := range p.byService[service] {
		list = append(list, n.Upstream)
	}
	return list
}

// Count returns how many upstreams there are of a service.
func (p *State) Count(service string) int {
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
func (p *State) Engines(now time.Duration) map[string][]Engine {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.peers.expire(now)
	lists := map[string][]Engine{}
	for _, n := range p.nodes {
		if n.Role == "" || n.Draining {
			continue
		}
		lists[n.Service] = append(lists[n.Service], Engine{Upstream: n.Upstream, Load: n.totalLoad(now)})
	}
	return lists
}

// MarkUnavailable has all instances leave an upstream out for a time in which it takes no
// requests, or until its role has changed.
func (p *State) MarkUnavailable(id string, until time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.markUnavailable(id, until)
}
