package placement

import (
	"time"

	"sassafrasfield/internal/config"
	"sassafrasfield/internal/rendezvous"
)

// PrefillScorer prefers the engine that is predicted to lead to the first token soonest. It uses the load
// that the instances share with one another: the prompt backlog, the time of the request's own prompt less
// what the engine has cached or can fetch, and the hand-over to a decode engine. The score is 1 for no wait,
// one half at half a second, and approaches 0. Where shared parts are cached matters most, so an engine that
// does not rank first for the shared part is also charged for another copy of it.
type PrefillScorer struct{}

// Score implements Scorer for a single candidate.
func (s PrefillScorer) Score(req *Request, c Candidate) float64 {
	return s.ForCandidates(req, []Candidate{c}, []Candidate{c}).Score(req, c)
}

// ForCandidates implements RelativeScorer.
func (s PrefillScorer) ForCandidates(req *Request, kept, all []Candidate) Scorer {
	key := req.Prompt.SharedKey()
	scorer := relativePrefillScorer{
		prefill: rendezvous.Leader{Key: key}, other: rendezvous.Leader{Key: key}, sources: findCacheSources(req, all),
	}
	for i := range kept {
		scorer.leaderOf(kept[i].role()).Offer(kept[i].ID)
	}
	return &scorer
}

// relativePrefillScorer scores a candidate in comparison with all others.
type relativePrefillScorer struct {
	// prefill and other are the candidates that rank first for the shared part: prefill among the prefill
	// engines, other among the engines that also generate.
	prefill, other rendezvous.Leader
	sources        cacheSources
}

func (s *relativePrefillScorer) leaderOf(role config.Role) *rendezvous.Leader {
	if role == config.RolePrefill {
		return &s.prefill
	}
	return &s.other
}

// Score implements Scorer.
func (s *relativePrefillScorer) Score(req *Request, c Candidate) float64 {
	cost := req.Costs.timeToStart(req.Costs.prefillOn(req, c, s.sources))
	if s.leaderOf(c.role()).Node != c.ID {
		cost += req.Costs.copyCost(req.Prompt, c.Aggregate.CachedTokens)
	}
	if c.role() == config.RolePrefill {
		cost += req.generation.of(c)
	} else {
		cost += req.Costs.sendCost(req.Zone, c) // this engine also sends the answer
	}
	return scoreOf(cost)
}

// timeToStart returns the predicted time until a generation with this placement has started.
func (c Costs) timeToStart(p Prefill) time.Duration {
	load := p.Engine.Aggregate
	if p.Direct() {
		busy := time.Duration(float64(p.BusyTime) * load.speed())
		return load.Backlog + c.interleavedTime(busy, load.Utilization) + c.occupancyCost(load)
	}
	return load.Backlog + p.BusyTime + c.HandOver
}

// maxUtilization bounds the share of an engine's time that prompts are assumed to take between the tokens of
// other requests. Above it, the backlog shows how busy the engine is.
const maxUtilization = 0.9

// interleavedTime returns the time of a prompt that is processed between the tokens of other requests, on an
// engine that spends the share utilization of its time on other prompts.
func (c Costs) interleavedTime(busyTime time.Duration, utilization float64) time.Duration {
	return time.Duration(float64(busyTime) / (1 - min(utilization, maxUtilization)))
}

// Prefill is the engine that a generation starts on, and how the prompt is processed there.
type Prefill struct {
	Engine Candidate
	// Source is the engine to fetch the shared part from; its ID is empty when nothing is fetched.
	Source Candidate
	// UncachedTokens is the number of prompt tokens that the engine processes.
	UncachedTokens int
	// BusyTime is the predicted time that the prompt occupies the engine, including the fetch.
	BusyTime time.Duration
}

// Direct reports whether the engine that processes the prompt also generates the answer.
func (p Prefill) Direct() bool { return p.Engine.role() != config.RolePrefill }

// prefillOn returns the placement of a prompt on an engine.
func (c Costs) prefillOn(req *Request, on Candidate, sources cacheSources) Prefill {
	result := Prefill{Engine: on}
	cached := on.Aggregate.CachedTokens
	if source, ok := c.pickSource(on, sources); ok {
		result.Source = source
		result.BusyTime = c.fetchTime(source.Aggregate.CachedTokens-cached, source.Zone, on.Zone)
		cached = source.Aggregate.CachedTokens
	}
	result.UncachedTokens = max(0, req.Prompt.Tokens-cached)
	prefill := c.prefillTime(req.Prompt, cached)
	if result.Direct() {
		prefill = time.Duration(float64(prefill) * c.DirectSlowdown)
	}
	result.BusyTime += prefill
	return result
}

// cacheSources are the candidates that have the most leading tokens of a prompt cached: of each software version, or of
// all if the KV cache of one version may be used by another one.
type cacheSources struct {
	across    bool
	byVersion []versionSources
}

// versionSources are the sources of one software version, or of all.
type versionSources struct {
	version string
	tokens  int
	list    []Candidate
}

// of returns the sources for a candidate; nil for none.
func (s *cacheSources) of(c Candidate) *versionSources {
	for i := range s.byVersion {
		if s.across || s.byVersion[i].version == c.SoftwareVersion {
			return &s.byVersion[i]
		}
	}
	return nil
}

// findCacheSources returns the sources among the candidates that pass the health filter. The list is empty
// when no candidate has any of the prompt cached. It is computed once per choice: searching all other
// candidates for each candidate would take quadratic time.
func findCacheSources(req *Request, all []Candidate) cacheSources {
	s := cacheSources{across: req.Costs.KVAcrossVersions}
	for i := range all {
		cached := all[i].Aggregate.CachedTokens
		if cached == 0 || !(HealthFilter{}).Keep(req, all[i]) {
			continue
		}
		s.add(all[i], cached)
	}
	return s
}

func (s *cacheSources) add(c Candidate, cached int) {
	sources := s.of(c)
	if sources == nil {
		s.byVersion = append(s.byVersion, versionSources{version: c.SoftwareVersion})
		sources = &s.byVersion[len(s.byVersion)-1]
	}
	if cached < sources.tokens {
		return
	}
	if cached > sources.tokens {
		sources.tokens, sources.list = cached, sources.list[:0]
	}
	sources.list = append(sources.list, c)
}

// pickSource returns the engine to fetch a prompt's shared part from. It returns false when the sources have
// too few additional tokens to be worth a fetch. Sources in the engine's own zone are preferred.
func (c Costs) pickSource(to Candidate, all cacheSources) (Candidate, bool) {
	sources := all.of(to)
	if sources == nil || sources.tokens-to.Aggregate.CachedTokens < max(1, c.MinFetchTokens) {
		return Candidate{}, false
	}
	for i := range sources.list {
		if sources.list[i].Zone == to.Zone {
			return sources.list[i], true
		}
	}
	return sources.list[0], true
}
