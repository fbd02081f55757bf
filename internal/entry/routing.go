package entry

import (
	"time"

	"github.com/rcrowley/go-metrics"

	"sassafrasfield/internal/config"
	"sassafrasfield/internal/engine"
	"sassafrasfield/internal/load"
	"sassafrasfield/internal/placement"
)

// servicePrefix distinguishes the IDs of plain services' upstreams from those of engines in the load
// table.
const servicePrefix = "service/"

// maxPrefixBlocks is the maximum number of a prompt's blocks that are hashed for prefix hints.
const maxPrefixBlocks = 1024

// routeMeters are the counters and gauges of routing.
type routeMeters struct {
	ejections     metrics.Counter
	reports       metrics.Counter
	reportsFailed metrics.Counter
	hintedTokens  metrics.Counter
	charges       metrics.Gauge
	excluded      metrics.Gauge
	lag           metrics.Gauge
}

func newRouteMeters(registry metrics.Registry) *routeMeters {
	return &routeMeters{
		ejections:     metrics.GetOrRegisterCounter("route.ejections", registry),
		reports:       metrics.GetOrRegisterCounter("route.reports", registry),
		reportsFailed: metrics.GetOrRegisterCounter("route.reports_failed", registry),
		hintedTokens:  metrics.GetOrRegisterCounter("route.hinted_tokens", registry),
		charges:       metrics.GetOrRegisterGauge("route.charges", registry),
		excluded:      metrics.GetOrRegisterGauge("route.shunned", registry),
		lag:           metrics.GetOrRegisterGauge("route.report_lag_ms", registry),
	}
}

// subset returns the engines of a configuration to which this entry routes.
func (s *state) subset(doc *config.Config) []*config.Engine {
	pools := map[string][]string{}
	for i := range doc.Engines {
		pool := doc.Engines[i].Pool
		pools[pool] = append(pools[pool], doc.Engines[i].ID)
	}
	seen := map[string]bool{}
	for _, ids := range pools {
		for _, id := range load.Subset(s.instance, ids, s.routing.Subset) {
			seen[id] = true
		}
	}
	var engines []*config.Engine
	for i := range doc.Engines {
		if seen[doc.Engines[i].ID] {
			engines = append(engines, &doc.Engines[i])
		}
	}
	return engines
}

// retain removes the upstreams that are no longer in the configuration from the load table.
func (s *state) retain(doc *config.Config) {
	keep := map[string]bool{}
	for i := range doc.Engines {
		keep[doc.Engines[i].ID] = true
	}
	for i := range doc.Services {
		for _, u := range doc.Services[i].Upstreams {
			keep[servicePrefix+u.ID] = true
		}
	}
	s.table.Retain(keep)
}

// watched returns the engines whose reports this entry reads.
func (s *state) watched() []*config.Engine {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.engines
}

// candidates returns the engines on which a request may be placed, with their loads. The caller must hold
// s.mu.
func (s *state) candidates(now time.Duration) []placement.Candidate {
	candidates := make([]placement.Candidate, 0, len(s.engines))
	for _, e := range s.engines {
		candidates = append(candidates, placement.Candidate{
			ID: e.ID, Zone: e.Zone, Draining: e.Leave, Engine: e,
			Load: s.table.Upstream(e.ID), Suspect: s.table.Silent(e.ID, now),
		})
	}
	return candidates
}

// assignment is the engine to which a request, or a phase of it, was charged.
type assignment struct {
	// engine belongs to the configuration and must not be modified.
	engine *config.Engine
	phase  placement.Phase
	// prefillTokens is the number of prompt tokens that the engine has to process.
	prefillTokens int
}

// place chooses an engine for a request and charges the request to it. The returned engine belongs to the
// configuration and must not be modified.
func (s *state) place(req *placement.Request, p load.Placement) (*config.Engine, bool) {
	placed, ok := s.assign(req, p)
	return placed.engine, ok
}

// assign chooses the engine that starts a request, and charges the request to it.
func (s *state) assign(req *placement.Request, p load.Placement) (assignment, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.table.Expire(p.At)
	req.Zone, req.Draining, req.Now = s.zone, s.draining, p.At
	req.Blocks, req.Prefix = p.Blocks, p.Prefix
	chosen, work, ok := s.scheduler.Assign(req, s.candidates(p.At), s.rng)
	if !ok {
		return assignment{}, false
	}
	cached := placement.CachedTokens(req, chosen)
	p.PrefillTokens -= cached
	s.meters.hintedTokens.Inc(int64(cached))
	s.table.Place(chosen.ID, p)
	return assignment{engine: chosen.Engine, phase: work, prefillTokens: p.PrefillTokens}, true
}

// placeOn charges a request to the engine that already runs its stream.
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

// placeCall chooses an upstream of a plain service and charges the call to it.
func (s *state) placeCall(svc *config.Service, request string, excluded map[string]bool, now time.Duration) (*config.ServiceUpstream, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	candidates := make([]placement.Candidate, 0, len(svc.Upstreams))
	for _, u := range svc.Upstreams {
		candidates = append(candidates, placement.Candidate{
			ID: u.ID, Zone: u.Zone, Draining: u.Leave, Load: s.table.Upstream(servicePrefix + u.ID),
		})
	}
	req := &placement.Request{Zone: s.zone, Excluded: excluded, Draining: s.draining, Now: now}
	chosen, ok := s.services.Schedule(req, candidates, s.rng)
	if !ok {
		return nil, false
	}
	s.table.Place(servicePrefix+chosen.ID, load.Placement{ID: request, At: now})
	for i := range svc.Upstreams {
		if svc.Upstreams[i].ID == chosen.ID {
			return &svc.Upstreams[i], true
		}
	}
	return nil, false
}

// release removes a request's charge from an upstream.
func (s *state) release(id, request string, now time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.table.End(id, request, now)
}

// accepted records the sequence number that the engine gave a request.
func (s *state) accepted(id, request string, a load.Acceptance) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.table.Accepted(id, request, a)
}

// started records the first token of a request.
func (s *state) started(id, request string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.table.Started(id, request)
}

// recordCall records the result of a call to an upstream, and reports whether it ejects the upstream.
func (s *state) recordCall(id string, result load.CallResult, now time.Duration) (ejected bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.table.RecordCall(id, result, now)
}

func (s *state) reported(id string, report engine.Report, now time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.table.Reported(id, report, now)
}

func (s *state) cacheEvents(id string, events engine.CacheEvents) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.table.CacheEvents(id, events)
}

// eventsAfter returns the sequence number of the last cache event received from an engine.
func (s *state) eventsAfter(id string) int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.table.Upstream(id).Prefixes.LastSeq()
}

// updateGauges updates the gauges of routing.
func (s *state) updateGauges(now time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	charges, excluded := 0, 0
	for _, e := range s.engines {
		upstream := s.table.Upstream(e.ID)
		charges += upstream.Charges()
		if s.table.Silent(e.ID, now) || upstream.Health.Ejected(now) {
			excluded++
		}
	}
	s.meters.charges.Update(int64(charges))
	s.meters.excluded.Update(int64(excluded))
	s.meters.lag.Update(s.table.Traffic.Lag().Milliseconds())
}
