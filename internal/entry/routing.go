package entry

import (
	"time"

	"github.com/rcrowley/go-metrics"

	"sassafrasfield/internal/config"
	"sassafrasfield/internal/engine"
	"sassafrasfield/internal/load"
	"sassafrasfield/internal/placement"
)

// servicePrefix keeps the ids of plain services' upstreams apart from those of
// engines in the table.
const servicePrefix = "service/"

// prefixBlocksAtMost bounds the blocks of a prompt that are hashed for prefix
// hints.
const prefixBlocksAtMost = 1024

// routeMeters count what routing did.
type routeMeters struct {
	ejections     metrics.Counter
	reports       metrics.Counter
	reportsFailed metrics.Counter
	hintedTokens  metrics.Counter
	charges       metrics.Gauge
	shunned       metrics.Gauge
	lag           metrics.Gauge
}

func newRouteMeters(registry metrics.Registry) *routeMeters {
	return &routeMeters{
		ejections:     metrics.GetOrRegisterCounter("route.ejections", registry),
		reports:       metrics.GetOrRegisterCounter("route.reports", registry),
		reportsFailed: metrics.GetOrRegisterCounter("route.reports_failed", registry),
		hintedTokens:  metrics.GetOrRegisterCounter("route.hinted_tokens", registry),
		charges:       metrics.GetOrRegisterGauge("route.charges", registry),
		shunned:       metrics.GetOrRegisterGauge("route.shunned", registry),
		lag:           metrics.GetOrRegisterGauge("route.report_lag_ms", registry),
	}
}

// subset returns the engines that this entry looks at.
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

// retain forgets the upstreams that the configuration has no more.
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

// watched are the engines that this entry reads reports of.
func (s *state) watched() []*config.Engine {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.engines
}

// candidates are the engines that a request may be placed on, with their
// pictures. The lock is held.
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

// assignment is the engine that a request, or a part of it, was charged to.
type assignment struct {
	// engine is an entry of the configuration; treat it as read-only.
	engine *config.Engine
	work   placement.Phase
	// prefillTokens are the prompt tokens that the engine has to process.
	prefillTokens int
}

// place picks an engine for a request and charges it. The engine's entry of
// the configuration is read-only.
func (s *state) place(req *placement.Request, p load.Placement) (*config.Engine, bool) {
	placed, ok := s.assign(req, p)
	return placed.engine, ok
}

// assign picks the engine that begins a request, and charges the request to it.
func (s *state) assign(req *placement.Request, p load.Placement) (assignment, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.table.Expire(p.At)
	req.Zone, req.Draining, req.Now = s.zone, s.leaving, p.At
	req.Blocks, req.Prefix = p.Blocks, p.Prefix
	chosen, work, ok := s.scheduler.Assign(req, s.candidates(p.At), s.rng)
	if !ok {
		return assignment{}, false
	}
	cached := placement.CachedTokens(req, chosen)
	p.PrefillTokens -= cached
	s.meters.hintedTokens.Inc(int64(cached))
	s.table.Place(chosen.ID, p)
	return assignment{engine: chosen.Engine, work: work, prefillTokens: p.PrefillTokens}, true
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

// placeCall picks an upstream of a plain service and counts the call on it.
func (s *state) placeCall(svc *config.Service, request string, excluded map[string]bool, now time.Duration) (*config.ServiceUpstream, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	candidates := make([]placement.Candidate, 0, len(svc.Upstreams))
	for _, u := range svc.Upstreams {
		candidates = append(candidates, placement.Candidate{
			ID: u.ID, Zone: u.Zone, Draining: u.Leave, Load: s.table.Upstream(servicePrefix + u.ID),
		})
	}
	req := &placement.Request{Zone: s.zone, Excluded: excluded, Draining: s.leaving, Now: now}
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

// end takes a request off an upstream.
func (s *state) end(id, request string, now time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.table.End(id, request, now)
}

// accepted records the engine's number for a request.
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

// judge records what a call told of an upstream, and reports whether that ejects
// it.
func (s *state) judge(id string, v load.CallResult, now time.Duration) (ejected bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.table.RecordCall(id, v, now)
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

// eventsAfter is the sequence number up to which cache events are known.
func (s *state) eventsAfter(id string) int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.table.Upstream(id).Prefixes.LastSeq()
}

// measure brings the gauges up to date.
func (s *state) measure(now time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	charges, shunned := 0, 0
	for _, e := range s.engines {
		picture := s.table.Upstream(e.ID)
		charges += picture.Charges()
		if s.table.Silent(e.ID, now) || picture.Health.Ejected(now) {
			shunned++
		}
	}
	s.meters.charges.Update(int64(charges))
	s.meters.shunned.Update(int64(shunned))
	s.meters.lag.Update(s.table.Traffic.Lag().Milliseconds())
}
