// Package placement picks the upstream for a request. Filters drop candidates that cannot serve it, scorers
// rate the remaining ones, and a picker chooses. The inputs are the request, the candidates with the load
// that package load tracks for them, and a random source; the output is the chosen candidate. The package
// does no I/O and reads no clock. Each plugin has its own file. The layout follows that of the Gateway API
// Inference Extension's endpoint picker.
package placement

import (
	"math/rand/v2"
	"slices"
	"time"

	"sassafrasfield/internal/config"
	"sassafrasfield/internal/load"
)

// Phase is the part of a request that an engine runs.
type Phase string

// Phases of a request.
const (
	// PhaseFull is prefill and decode on one engine.
	PhaseFull Phase = ""
	// PhasePrefill is prefill only; the engine exports the KV cache.
	PhasePrefill Phase = "prefill"
	// PhaseDecode is decode only, from an imported KV cache.
	PhaseDecode Phase = "decode"
	// PhaseDirect is prefill and decode on a decode engine. The engine processes a short prompt between the
	// decode steps of other requests.
	PhaseDirect Phase = "direct"
	// PhaseAnyRole is prefill and decode on one engine of any role. It is the fallback when no engine of a
	// suitable role can take the request.
	PhaseAnyRole Phase = "any"
)

// Request holds the properties of a request that the choice depends on.
type Request struct {
	Model, Adapter, Version string
	Phase                   Phase
	// Split allows prefill and decode on two different engines; see Assign.
	Split bool
	// Zone is the availability zone of the instance that routes the request.
	Zone   string
	Prompt Prompt
	// Costs is the cost model of the service's engines. It is set where the instances share their load with
	// one another.
	Costs Costs
	// Objective is the time that remains until the answer misses its latency objective, RemainingWait the
	// time that the caller still waits for it; 0 when the route has none.
	Objective, RemainingWait time.Duration
	// KVZone is the zone that holds the prompt's KV cache, for PhaseDecode.
	KVZone string
	// CheckLimits is set when upstreams may limit the requests that they accept. Without it no candidate
	// counts as Exhausted, and the candidates need not be scanned for it.
	CheckLimits bool
	// Direct is set when one engine is to process the prompt and generate.
	Direct bool
	// Blocks is the number of KV memory blocks that the request needs.
	Blocks int
	// Prefix has the hashes of the prompt's blocks; nil when prefix hints are off.
	Prefix []uint64
	// SoftwareVersion is the version of the upstream's software that the request requires; empty for any. Version is
	// that of the model's weights.
	SoftwareVersion string
	// AvoidedVersions are the software versions of which the request takes no upstream.
	AvoidedVersions []string
	// generation are the costs of the generation by software version; nil if the version of the engine that processes the
	// prompt does not matter.
	generation generationCosts
	// Excluded has the upstreams on which this request has already failed.
	Excluded map[string]bool
	// Draining has the upstreams that the platform is shutting down. They get no new requests.
	Draining map[string]bool
	Now      time.Duration
}

// Candidate is an upstream and what is known of its load.
type Candidate struct {
	ID, Zone string
	// Draining is set when the operators take the upstream out of service.
	Draining bool
	// SoftwareVersion is the version of the upstream's software.
	SoftwareVersion string
	// Engine is nil for an upstream of a plain service.
	Engine *config.Engine
	Load   *load.Upstream
	// Suspect is set when the upstream may be unavailable: the engine's reports are overdue (see
	// load.Table.Silent), or another instance could not reach the upstream.
	Suspect bool
	// Limited is set when the upstream limits the requests that it accepts, Exhausted when its limit is used
	// up at present.
	Limited, Exhausted bool
	// Aggregate is the load of all instances on the upstream, where they share it with one another.
	Aggregate AggregateLoad
}

// AggregateLoad is the load that all instances together have placed on an upstream.
type AggregateLoad struct {
	// Backlog is the predicted processing time of the prompts that wait on the engine.
	Backlog time.Duration
	// DeferredBacklog is the part of Backlog that is processed after all other prompts.
	DeferredBacklog time.Duration
	// Utilization is the share of the engine's time that recently placed prompts take. It is above 1 when
	// they need more time than the engine has.
	Utilization float64
	// Requests is the number of running and waiting requests.
	Requests int
	// Inflow is the recent number of tokens a second that entered the engine's cache.
	Inflow float64
	// Speed is the time that the engine needs relative to the predicted one; 0 stands for 1.
	Speed float64
	// Slowness is how long work is expected to take on an upstream of a plain service, as a factor of the usual time; 0
	// counts as 1. Slots is the number of requests that the upstream runs at a time; 0 if it is not known.
	Slowness float64
	Slots    int
	// CachedTokens is the estimated number of leading tokens of the request's prompt that the engine has
	// cached.
	CachedTokens int
}

// speed returns the time that the engine needs relative to the predicted one.
func (l AggregateLoad) speed() float64 {
	if l.Speed <= 0 {
		return 1
	}
	return l.Speed
}

// role returns the role of a model engine; "" for other upstreams.
func (c Candidate) role() config.Role {
	if c.Engine == nil {
		return ""
	}
	return c.Engine.Loaded.Role
}

// Filter drops candidates that cannot take the request.
type Filter interface {
	// Keep reports whether the candidate may take the request.
	Keep(req *Request, c Candidate) bool
}

// Scorer rates a candidate from 0 to 1; higher is better.
type Scorer interface {
	Score(req *Request, c Candidate) float64
}

// RelativeScorer is a scorer whose score depends on the other candidates.
type RelativeScorer interface {
	Scorer
	// ForCandidates returns the scorer for one choice among the kept candidates; all has every candidate
	// that passed the strict filters.
	ForCandidates(req *Request, kept, all []Candidate) Scorer
}

// WeightedScorer is a scorer with its weight in the sum.
type WeightedScorer struct {
	Scorer Scorer
	Weight float64
}

// Picker chooses one of the scored candidates, of which there is at least one.
type Picker interface {
	Pick(req *Request, scored []Scored, rng *rand.Rand) Candidate
}

// Scored is a candidate with its weighted score.
type Scored struct {
	Candidate Candidate
	Score     float64
}

// Scheduler runs the plugins. It is not safe for concurrent use.
type Scheduler struct {
	// Filters are strict: a candidate that fails one is never chosen.
	Filters []Filter
	// Preferences are filters that are skipped when they would leave less than MinShare of the candidates
	// that the strict filters kept.
	Preferences []Preference
	Scorers     []WeightedScorer
	Picker      Picker

	// The buffers are reused by each choice, so that a choice makes no allocation that grows with the number
	// of candidates. preferredBufs has one buffer for each preference.
	allowedBuf    []Candidate
	preferredBufs [][]Candidate
	scoredBuf     []Scored
}

// Preference is a filter that is skipped when it would leave too few candidates.
type Preference struct {
	Filter Filter
	// MinShare is the smallest share of the candidates that has to remain; 0 means at least one candidate.
	MinShare float64
	// Mandatory is set for the filter on request limits, which is never skipped. Unlike with a strict
	// filter, a candidate that it drops can still serve as a source of cached KV for other engines.
	Mandatory bool
}

// Schedule picks an upstream; ok is false when none can take the request.
func (s *Scheduler) Schedule(req *Request, candidates []Candidate, rng *rand.Rand) (c Candidate, ok bool) {
	all := s.allowed(req, candidates)
	kept := s.preferred(req, all)
	if len(kept) == 0 {
		return Candidate{}, false
	}
	scorers := s.scorersFor(req, kept, all)
	scored := s.scoredBuf[:0]
	for _, candidate := range kept {
		scored = append(scored, Scored{Candidate: candidate, Score: sum(scorers, req, candidate)})
	}
	s.scoredBuf = scored
	return s.Picker.Pick(req, scored, rng), true
}

// Eligible returns the candidates that Schedule would choose from. The slice is valid until the scheduler's
// next choice.
func (s *Scheduler) Eligible(req *Request, candidates []Candidate) []Candidate {
	return s.preferred(req, s.allowed(req, candidates))
}

// allowed returns the candidates that pass the strict filters. The slice is valid until the scheduler's next
// choice.
func (s *Scheduler) allowed(req *Request, candidates []Candidate) []Candidate {
	kept := s.allowedBuf[:0]
	for i := range candidates {
		if s.keep(req, candidates[i]) {
			kept = append(kept, candidates[i])
		}
	}
	s.allowedBuf = kept
	return kept
}

// preferred applies the preferences one after another.
func (s *Scheduler) preferred(req *Request, candidates []Candidate) []Candidate {
	if s.preferredBufs == nil {
		s.preferredBufs = make([][]Candidate, len(s.Preferences))
	}
	for i, p := range s.Preferences {
		if p.Mandatory && !req.CheckLimits {
			continue
		}
		s.preferredBufs[i] = p.apply(req, candidates, s.preferredBufs[i][:0])
		if p.Mandatory || p.enough(len(s.preferredBufs[i]), len(candidates)) {
			candidates = s.preferredBufs[i]
		}
	}
	return candidates
}

// scorersFor returns the scorers for a choice among the kept candidates.
func (s *Scheduler) scorersFor(req *Request, kept, all []Candidate) []WeightedScorer {
	scorers := slices.Clone(s.Scorers)
	for i, w := range scorers {
		if relative, ok := w.Scorer.(RelativeScorer); ok {
			scorers[i].Scorer = relative.ForCandidates(req, kept, all)
		}
	}
	return scorers
}

// keep reports whether the candidate passes all strict filters.
func (s *Scheduler) keep(req *Request, c Candidate) bool {
	for _, f := range s.Filters {
		if !f.Keep(req, c) {
			return false
		}
	}
	return true
}

func (s *Scheduler) score(req *Request, c Candidate) float64 { return sum(s.Scorers, req, c) }

// sum returns the weighted sum of a candidate's scores.
func sum(scorers []WeightedScorer, req *Request, c Candidate) float64 {
	total := 0.0
	for _, w := range scorers {
		total += w.Weight * w.Scorer.Score(req, c)
	}
	return total
}

// apply appends the candidates that pass the filter to kept.
func (p Preference) apply(req *Request, candidates, kept []Candidate) []Candidate {
	for i := range candidates {
		if p.Filter.Keep(req, candidates[i]) {
			kept = append(kept, candidates[i])
		}
	}
	return kept
}

// enough reports whether kept out of total candidates are enough to choose from.
func (p Preference) enough(kept, total int) bool {
	return kept > 0 && float64(kept) >= p.MinShare*float64(total)
}
