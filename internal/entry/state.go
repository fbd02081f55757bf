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

// state is the configuration in force and the picture of the engines. A
// placement and a change of configuration exclude each other: once apply has
// returned, each new placement follows the new version.
type state struct {
	instance, zone string
	routing        RoutingSettings
	scheduler      *placement.Scheduler // for engines
	services       *placement.Scheduler // for plain services
	meters         *routeMeters
	log            *slog.Logger

	mu        sync.Mutex // protects all below
	doc       *config.Config
	engines   []*config.Engine // those of doc that this entry looks at
	keys      *apikey.Table[*config.Organisation]
	leaving   map[string]bool
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
		leaving:   map[string]bool{},
		table:     table,
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
		s.keys = s.tableOfKeys(doc)
		s.engines = s.subset(doc)
		s.retain(doc)
	}
	s.heartbeat.take(beat, s.doc.Version)
	return s.doc.Version
}

// tableOfKeys returns the organisations by their keys. What is no hash is nobody's key.
func (s *state) tableOfKeys(doc *config.Config) *apikey.Table[*config.Organisation] {
	keys := apikey.NewTable[*config.Organisation]()
	for i := range doc.Organisations {
		o := &doc.Organisations[i]
		for _, text := range o.KeyHashes {
			hash, err := apikey.ParseHash(text)
			if err != nil {
				s.log.Error("config: a key of an organisation is not taken", "organisation", o.Name, "error", err)
				continue
			}
			keys.Add(hash, o)
		}
	}
	return keys
}

// organisation returns the owner of a request's key; false when nobody owns it.
func (s *state) organisation(c apikey.Credential) (*config.Organisation, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.keys.Owner(c)
}

// streams counts this entry's streams on each configured engine.
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
