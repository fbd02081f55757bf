// Package upstreamstate holds what an instance knows about the upstreams: which ones exist, the
// load that all instances put on each, what each has cached, how long its work takes, and which
// ones could not be reached. Package placement chooses an upstream from these data, and the outcomes of
// requests are recorded here. Instances exchange their parts of the data in reports.
//
// The package has no clock, no I/O and no goroutine. Times are passed in, on the instance's
// monotonic clock, so package model can run the same code in virtual time.
//
// Callers are relay (requests), peers (reports), rolekeeper through instance (utilization of the
// engines) and model.
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

// Upstream is an engine or a process of a plain service.
type Upstream struct {
	ID, Service, Address, Zone string
	// StartedAt is the start of the process in Unix milliseconds, by its own clock; 0 if the
	// platform does not report it. A process may restart under the same id.
	StartedAt int64
	// Draining upstreams accept no new requests, according to their entry or their announcements.
	Draining bool
	// Spot upstreams may be reclaimed by the platform, all those of a zone at once.
	Spot  bool
	Slots int
	// Role is empty for a plain service.
	Role config.Role
	// Version is that of the upstream's software. Upstreams of several versions may serve side by side.
	Version string
}

// Incarnation returns a hash that identifies this run of the upstream's process.
func (u Upstream) Incarnation() uint32 {
	if u.StartedAt == 0 {
		return hashOf(u.ID)
	}
	return hashOf(u.ID + "@" + strconv.FormatInt(u.StartedAt, 10))
}

// Load is the load that an upstream reports in an answer.
type Load struct {
	Known                   bool
	Running, Waiting, Slots int
	// Slowness is how long work takes on the upstream, as a factor of the usual time; 0 if the upstream does not say.
	Slowness float64
}

// Settings of a State.
type Settings struct {
	// Zone of this instance.
	Zone string
	// Placement has the weights that placement combines with the engines' times.
	Placement placement.Settings
	// Prior is assumed for engines without observations.
	Prior    estimate.Prior
	Outliers load.OutlierRules
	// Seed of the random choices that spread requests; 0 for a random seed.
	Seed uint64
	// OnChange is called when the next report of this instance would differ from the last one. It
	// must neither call the State nor block. It may be nil.
	OnChange func()
}

// State holds the current configuration and what is known about the upstreams. It is safe for
// concurrent use.
type State struct {
	settings Settings
	// engineScheduler chooses engines, serviceScheduler the upstreams of plain services.
	engineScheduler  *placement.DisaggregatedScheduler
	serviceScheduler *placement.Scheduler

	mu           sync.Mutex // protects all below
	routeTable   *routes.Table
	routeTableAt time.Duration
	// nodes has the upstreams by id, byHash by the hash of their incarnation as used in reports,
	// and byService by service.
	nodes     map[string]*node
	byHash    map[uint32]*node
	byService map[string][]*node
	// busy are the upstreams on which this instance has load, or had until recently.
	busy  map[*node]bool
	loads *load.Table
	// models has the learned times of the engines, by service.
	models map[string]*estimate.Model
	// callTimes has the mean times of the responses of plain services, by service.
	callTimes map[string]*callTime
	peers     peerLoads
	// unreachable has the upstreams that instances could not reach, unavailable those that accept
	// no requests for a time.
	unreachable, unavailable notices
	limits                   limits
	// parts are the prompt parts that the engines are assumed to have cached.
	parts partTable
	// placed has the parts that this instance placed since its last report, and zonePlaced those
	// that this zone placed since its last report. otherZonesPlaced has those that other zones
	// placed, until they are passed on.
	placed, zonePlaced, otherZonesPlaced []PlacedPart
	// zoneSent are the loads last sent in zone reports, otherZonesSent those last sent in reports
	// on the other zones.
	zoneSent, otherZonesSent sentLoads
	rng                      *rand.Rand
	// candidateBuf is reused for the candidates of each choice.
	candidateBuf []placement.Candidate
}

// New returns a State without routes and upstreams.
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
		routeTable: routes.NewTable(0, nil, nil, routes.Limits{}),
		nodes:      map[string]*node{}, byHash: map[uint32]*node{}, byService: map[string][]*node{}, busy: map[*node]bool{},
		loads: loads, models: map[string]*estimate.Model{}, callTimes: map[string]*callTime{}, peers: newPeerLoads(), parts: newPartTable(),
		unreachable: newNotices(), unavailable: newNotices(), limits: newLimits(), zoneSent: newSentLoads(), otherZonesSent: newSentLoads(),
		rng: rand.New(rand.NewPCG(s.Seed, s.Seed)),
	}
}

// SetRoutes applies a version of the configuration and reports whether it did. A version that is
// not newer than the current one is ignored.
func (s *State) SetRoutes(t *routes.Table, now time.Duration) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if t.Version <= s.routeTable.Version {
		return false
	}
	s.routeTable, s.routeTableAt = t, now
	return true
}

// Routes returns the current version and its age.
func (s *State) Routes(now time.Duration) (*routes.Table, time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.routeTable, now - s.routeTableAt
}

// UpdateUpstream applies the newest entry of an upstream. If the upstream restarted under its id,
// everything known about it is dropped, because the new process has no requests, cache or state of
// the old one.
func (s *State) UpdateUpstream(u Upstream) {
	s.mu.Lock()
	defer s.mu.Unlock()
	n, ok := s.nodes[u.ID]
	if ok && n.StartedAt != u.StartedAt {
		s.limits.announcements.Remove(n.hash)
		delete(s.limits.exhausted, n.hash)
		delete(s.limits.backoffs, n.hash)
		s.removeNode(n)
		s.loads.Reset(u.ID)
		ok = false
	}
	if !ok {
		n = &node{hash: u.Incarnation(), load: idleLoad, work: noWork, peers: noPeerLoad}
		if l, reported := s.peers.byHash[n.hash]; reported {
			n.peers = l
		}
		s.nodes[u.ID], s.byHash[n.hash] = n, n
		n.ID = u.ID
		if s.loads.Has(u.ID) { // requests are still in progress there
			s.use(n)
		}
	}
	if n.Service != u.Service {
		s.removeFromService(n)
		s.byService[u.Service] = append(s.byService[u.Service], n)
	}
	if n.Role != u.Role {
		s.unavailable.remove(n.hash) // the order was carried out
	}
	n.Upstream, n.engine = u, engineOf(u)
	n.Draining = u.Draining || s.limits.announcements.Draining(n.hash)
}

// removeFromService removes an upstream from the list of its service. The lock is held.
func (s *State) removeFromService(n *node) {
	list := s.byService[n.Service]
	if i := slices.Index(list, n); i >= 0 {
		s.byService[n.Service] = slices.Delete(list, i, i+1)
	}
}

// RemoveUpstream removes an upstream that no longer exists.
func (s *State) RemoveUpstream(id string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	n, ok := s.nodes[id]
	if !ok {
		return
	}
	s.removeNode(n)
	s.loads.Remove(id)
}

// removeNode removes what is known about one incarnation of an upstream. The lock is held.
func (s *State) removeNode(n *node) {
	s.removeFromService(n)
	delete(s.nodes, n.ID)
	delete(s.busy, n)
	delete(s.byHash, n.hash)
	s.unreachable.remove(n.hash)
	s.unavailable.remove(n.hash)
}

// hash returns the hash that identifies an upstream in reports. The lock is held.
func (s *State) hash(id string) uint32 {
	if n, ok := s.nodes[id]; ok {
		return n.hash
	}
	return hashOf(id)
}

// Upstream returns an upstream's entry; the zero value if it was removed.
func (s *State) Upstream(id string) Upstream {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.upstream(id)
}

// upstream is Upstream with the lock held.
func (s *State) upstream(id string) Upstream {
	if n, ok := s.nodes[id]; ok {
		return n.Upstream
	}
	return Upstream{}
}

// Upstreams returns the upstreams of a service, including the draining ones.
func (s *State) Upstreams(service string) []Upstream {
	s.mu.Lock()
	defer s.mu.Unlock()
	list := make([]Upstream, 0, len(s.byService[service]))
	for _, n := range s.byService[service] {
		list = append(list, n.Upstream)
	}
	return list
}

// AllUpstreams returns the upstreams of all services.
func (s *State) AllUpstreams() []Upstream {
	s.mu.Lock()
	defer s.mu.Unlock()
	list := make([]Upstream, 0, len(s.nodes))
	for _, n := range s.nodes {
		list = append(list, n.Upstream)
	}
	return list
}

// Count returns the number of upstreams of a service.
func (s *State) Count(service string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.byService[service])
}

// Engine is a model engine with its load from all instances.
type Engine struct {
	Upstream
	Load EngineLoad
}

// Engines returns the model engines that accept requests, by service.
func (s *State) Engines(now time.Duration) map[string][]Engine {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.peers.expire(now)
	lists := map[string][]Engine{}
	for _, n := range s.nodes {
		if n.Role == "" || n.Draining {
			continue
		}
		lists[n.Service] = append(lists[n.Service], Engine{Upstream: n.Upstream, Load: n.totalLoad(now)})
	}
	return lists
}

// MarkUnavailable excludes an upstream from placement on all instances until a time, or until its
// role has changed.
func (s *State) MarkUnavailable(id string, until time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.markUnavailable(id, until)
}
