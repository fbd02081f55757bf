package entry

import (
	"log/slog"
	"math/rand/v2"
	"sync"

	"github.com/rcrowley/go-metrics"

	"sassafrasfield/internal/apikey"
	"sassafrasfield/internal/config"
	"sassafrasfield/internal/load"
	"sassafrasfield/internal/placement"
)

// state is the configuration in force and the load of the upstreams. Placements and configuration changes
// are serialized: once apply has returned, each new placement uses the new version.
type state struct {
	instance, zone string
	routing        RoutingSettings
	scheduler      *placement.Scheduler // for engines
	services       *placement.Scheduler // for plain services
	meters         *routeMeters
	log            *slog.Logger

	mu        sync.Mutex // protects the fields below
	doc       *config.Config
	engines   []*config.Engine // the engines of doc to which this entry routes
	keys      *apikey.Table[*config.Organisation]
	draining  map[string]bool
	heartbeat heartbeat
	table     *load.Table
	rng       *rand.Rand
}

func newState(settings *Settings, log *slog.Logger) *state {
	routing := settings.Routing
	table := load.NewTable()
	table.ChargeFor, table.Outliers = routing.ChargeFor, routing.outliers()
	return &state{
		instance:  settings.Instance,
		zone:      settings.Zone,
		routing:   routing,
		scheduler: placement.NewScheduler(routing.Policy, routing.Pick),
		services:  placement.NewServiceScheduler(),
		meters:    newRouteMeters(metrics.DefaultRegistry),
		log:       log,
		doc:       &config.Config{},
		keys:      apikey.NewTable[*config.Organisation](),
		draining:  map[string]bool{},
		table:     table,
		rng:       rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
	}
}

// config returns the configuration in force. It must not be modified.
func (s *state) config() *config.Config {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.doc
}

// apply puts a configuration in force unless it is older than the current one; doc is nil if there is only
// a heartbeat. It returns the version in force.
func (s *state) apply(doc *config.Config, draining []string, beat heartbeat) int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.draining = map[string]bool{}
	for _, id := range draining {
		s.draining[id] = true
	}
	if doc != nil && doc.Version > s.doc.Version {
		s.doc = doc
		s.keys = s.keyTable(doc)
		s.engines = s.subset(doc)
		s.retain(doc)
	}
	s.heartbeat.update(beat, s.doc.Version)
	return s.doc.Version
}

// keyTable returns the organisations by their API keys. Invalid key hashes are skipped.
func (s *state) keyTable(doc *config.Config) *apikey.Table[*config.Organisation] {
	keys := apikey.NewTable[*config.Organisation]()
	for i := range doc.Organisations {
		o := &doc.Organisations[i]
		for _, text := range o.KeyHashes {
			hash, err := apikey.ParseHash(text)
			if err != nil {
				s.log.Error("config: skipping an invalid key hash", "organisation", o.Name, "error", err)
				continue
			}
			keys.Add(hash, o)
		}
	}
	return keys
}

// organisation returns the organisation to which a key belongs, or false if the key is unknown.
func (s *state) organisation(c apikey.Credential) (*config.Organisation, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.keys.Owner(c)
}

// countServing returns the number of engines that accept new work, and of those that have loaded a model version; all
// have it if it is empty.
func (s *state) countServing(version string) (serving, ofVersion int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, e := range s.engines {
		if e.Routing != config.RoutingServing || e.Leave || s.draining[e.ID] {
			continue
		}
		serving++
		if version == "" || e.Loaded.Version == version {
			ofVersion++
		}
	}
	return serving, ofVersion
}

// streams returns the number of this entry's streams on each configured engine.
func (s *state) streams() map[string]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	counts := map[string]int{}
	for _, e := range s.doc.Engines {
		if n := s.table.Upstream(e.ID).Streams; n > 0 {
			counts[e.ID] = n
		}
	}
	return counts
}
