package entry

import (
	"math/rand/v2"
	"sync"
	"time"

	"sassafrasfield/internal/config"
	"sassafrasfield/internal/engine"
	"sassafrasfield/internal/load"
	"sassafrasfield/internal/route"
)

// state is the configuration in force and the picture of the engines. A
// placement and a change of configuration exclude each other: once apply has
// returned, each new placement follows the new version.
type state struct {
	scheduler *route.Scheduler
	zone      string

	mu        sync.Mutex // protects all below
	doc       *config.Config
	byKey     map[string]*config.Organisation
	leaving   map[string]bool
	heartbeat heartbeat
	table     *load.Table
	rng       *rand.Rand
}

func newState(zone string) *state {
	return &state{
		scheduler: route.Default(),
		zone:      zone,
		doc:       &config.Config{},
		byKey:     map[string]*config.Organisation{},
		leaving:   map[string]bool{},
		table:     load.NewTable(),
		rng:       rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
	}
}

// config returns the configuration in force. Treat it as read-only.
func (s *state) config() *config.Config {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.doc
}

// apply puts a configuration in force unless it is older; doc is nil for a
// heartbeat alone. It returns the version in force.
func (s *state) apply(doc *config.Config, leaving []string, beat heartbeat) int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.leaving = map[string]bool{}
	for _, id := range leaving {
		s.leaving[id] = true
	}
	if doc != nil && doc.Version > s.doc.Version {
		s.doc = doc
		s.byKey = indexKeys(doc)
	}
	s.heartbeat.take(beat, s.doc.Version)
	return s.doc.Version
}

func indexKeys(doc *config.Config) map[string]*config.Organisation {
	index := map[string]*config.Organisation{}
	for i := range doc.Organisations {
		o := &doc.Organisations[i]
		for _, hash := range o.KeyHashes {
			index[hash] = o
		}
	}
	return index
}

// organisation returns the owner of an API key's hash, or nil.
func (s *state) organisation(hash string) *config.Organisation {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.byKey[hash]
}

// place picks an engine for a request and charges it. The engine's entry of
// the configuration is read-only.
func (s *state) place(req *route.Request, p load.Placement) (*config.Engine, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	req.Zone, req.Leaving, req.Now = s.zone, s.leaving, p.At
	candidates := make([]route.Candidate, 0, len(s.doc.Engines))
	for i := range s.doc.Engines {
		e := &s.doc.Engines[i]
		candidates = append(candidates, route.Candidate{Engine: e, Load: s.table.Engine(e.ID)})
	}
	chosen, ok := s.scheduler.Schedule(req, candidates, s.rng)
	if !ok {
		return nil, false
	}
	s.table.Place(chosen.Engine.ID, p)
	return chosen.Engine, true
}

// placeOn charges a request to the engine that runs its stream already.
func (s *state) placeOn(id string, p load.Placement) (*config.Engine, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	e := s.doc.Engine(id)
	if e == nil || e.Routing == config.RoutingOut {
		return nil, false
	}
	s.table.Place(id, p)
	return e, true
}

func (s *state) end(engineID, request string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.table.End(engineID, request)
}

func (s *state) failed(engineID string, now time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.table.Failed(engineID, now)
}

func (s *state) reported(engineID string, report engine.Report, now time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.table.Reported(engineID, report, now)
}

// streams counts this entry's streams on each configured engine.
func (s *state) streams() map[string]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	counts := map[string]int{}
	for _, e := range s.doc.Engines {
		if n := s.table.Engine(e.ID).Streams; n > 0 {
			counts[e.ID] = n
		}
	}
	return counts
}
