// Package placement picks the upstream for a request: filters drop candidates that
// cannot take it, scorers rate the rest, a picker chooses. It is pure: the
// picture of the upstreams comes from package load, and randomness is passed
// in. Each plugin has a file. The layout follows that of the Gateway API
// Inference Extension's endpoint picker.
package placement

import (
	"math/rand/v2"
	"slices"
	"time"

	"sassafrasfield/internal/config"
	"sassafrasfield/internal/load"
)

// Phase is the part of a request that an engine is to do.
type Phase string

// Parts of a request.
const (
	// PhaseFull is prefill and decode on one engine.
	PhaseFull Phase = ""
	// PhasePrefill is the prompt alone; its KV cache is exported.
	PhasePrefill Phase = "prefill"
	// PhaseDecode is the answer alone, from imported KV cache.
	PhaseDecode Phase = "decode"
	// PhaseDirect is prefill and decode on a decode engine: a short prompt is
	// processed there between the tokens of other requests.
	PhaseDirect Phase = "direct"
	// PhaseAnyRole is prefill and decode on one engine of whatever role, where no
	// engine of the right one can take the request.
	PhaseAnyRole Phase = "any"
)

// Request is what the choice depends on.
type Request struct {
	Model, Adapter, Version string
	Phase                   Phase
	// Split allows a pair of prefill and decode engines; see Assign.
	Split bool
	// Zone of the instance.
	Zone   string
	Prompt Prompt
	// Costs are what the service's engines take, where the instances tell one
	// another what they have under way.
	Costs Costs
	// Objective is what is left of the time in which the answer is on time, RemainingWait
	// of the time that the caller waits for it; 0 when the route has none.
	Objective, RemainingWait time.Duration
	// KVZone is where the processed prompt's KV cache lies, for WorkDecode.
	KVZone string
	// CheckLimits: upstreams may limit the requests that they take. Without it no candidate
	// counts as Spent, which saves a look at all of them.
	CheckLimits bool
	// Blocks of KV memory that the request takes.
	Blocks int
	// Prefix has the hashes of the prompt's blocks; nil when hints are off.
	Prefix []uint64
	// Excluded upstreams failed this request already.
	Excluded map[string]bool
	// Draining upstreams get no new work, by the platform's word.
	Draining map[string]bool
	Now      time.Duration
}

// Candidate is an upstream with its picture.
type Candidate struct {
	ID, Zone string
	// Draining is the operators' word that the upstream should leave.
	Draining bool
	// Engine is nil for a plain service's upstream.
	Engine *config.Engine
	Load   *load.Upstream
	// Suspect: the engine went without a report for too long, or another instance
	// could not reach it.
	Suspect bool
	// Limited: it limits the requests that it takes. Exhausted: it has nothing left.
	Limited, Exhausted bool
	// Aggregate is what the instances told one another of an engine, where they do.
	Aggregate AggregateLoad
}

// AggregateLoad is the part of an engine's picture that all instances have made together.
type AggregateLoad struct {
	// Backlog is the predicted time of the prompts that wait there.
	Backlog time.Duration
	// DeferredBacklog is the part of Ahead that yields to other prompts.
	DeferredBacklog time.Duration
	// Utilization is the part of the engine's time that the prompts take which were
	// placed there lately; above 1 when they are more than it can process.
	Utilization float64
	// Requests that run or wait there.
	Requests int
	// CachedTokens is how many leading tokens of the request's prompt it is believed
	// to have.
	CachedTokens int
}

// role of a model engine; "" for other upstreams.
func (c Candidate) role() config.Role {
	if c.Engine == nil {
		return ""
	}
	return c.Engine.Loaded.Role
}

// Filter drops candidates that cannot take the request.
type Filter interface {
	// Keep tells whether the candidate may take the request.
	Keep(req *Request, c Candidate) bool
}

// Scorer rates a candidate from 0 to 1; higher is better.
type Scorer interface {
	Score(req *Request, c Candidate) float64
}

// RelativeScorer is a scorer whose score depends on the other candidates.
type RelativeScorer interface {
	Scorer
	// ForCandidates returns the scorer for a choice among the kept candidates; all are
	// those that the strict filters left.
	ForCandidates(req *Request, kept, all []Candidate) Scorer
}

// WeightedScorer is a scorer with its weight in the sum.
type WeightedScorer struct {
	Scorer Scorer
	Weight float64
}

// Picker chooses one of the scored candidates, of which there is one or more.
type Picker interface {
	Pick(req *Request, scored []Scored, rng *rand.Rand) Candidate
}

// Scored is a candidate with its weighted sum.
type Scored struct {
	Candidate Candidate
	Score     float64
}

// Scheduler runs the plugins. It is not safe for concurrent use.
type Scheduler struct {
	// Filters are strict: a candidate that one drops is never chosen.
	Filters []Filter
	// Preferences are filters that are passed over when they would leave
	// fewer than KeepShare of the candidates that the strict ones kept.
	Preferences []Preference
	Scorers     []WeightedScorer
	Picker      Picker

	// allowedBuf, leftBufs (one for each preference) and scoredBuf are kept from one
	// choice to the next, so that a choice among many candidates allocates nothing
	// that grows with them.
	allowedBuf []Candidate
	leftBufs   [][]Candidate
	scoredBuf  []Scored
}

// Preference is a filter that yields when it would leave too few.
type Preference struct {
	Filter Filter
	// MinShare is the least share of the candidates that has to be left;
	// 0 means at least one candidate.
	MinShare float64
	// Mandatory, of the filter on limits: it never yields. What it drops is not chosen, but unlike with a strict filter it
	// still counts as having cached parts that others can fetch.
	Mandatory bool
}

// Schedule picks an upstream; ok is false when none can take the request.
func (s *Scheduler) Schedule(req *Request, candidates []Candidate, rng *rand.Rand) (c Candidate, ok bool) {
	all := s.allowed(req, candidates)
	kept := s.preferred(req, all)
	if len(kept) == 0 {
		return Candidate{}, false
	}
	scorers := s.among(req, kept, all)
	scored := s.scoredBuf[:0]
	for _, candidate := range kept {
		scored = append(scored, Scored{Candidate: candidate, Score: sum(scorers, req, candidate)})
	}
	s.scoredBuf = scored
	return s.Picker.Pick(req, scored, rng), true
}

// Eligible returns the candidates that Schedule would choose from. They are valid
// until the scheduler's next choice.
func (s *Scheduler) Eligible(req *Request, candidates []Candidate) []Candidate {
	return s.preferred(req, s.allowed(req, candidates))
}

// allowed returns what the strict filters keep, until the scheduler's next choice.
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

// preferred applies the preferences in turn.
func (s *Scheduler) preferred(req *Request, candidates []Candidate) []Candidate {
	if s.leftBufs == nil {
		s.leftBufs = make([][]Candidate, len(s.Preferences))
	}
	for i, p := range s.Preferences {
		if p.Mandatory && !req.CheckLimits {
			continue
		}
		s.leftBufs[i] = p.kept(req, candidates, s.leftBufs[i][:0])
		if p.Mandatory || p.enough(len(s.leftBufs[i]), len(candidates)) {
			candidates = s.leftBufs[i]
		}
	}
	return candidates
}

// among returns the scorers for a choice among the kept candidates.
func (s *Scheduler) among(req *Request, kept, all []Candidate) []WeightedScorer {
	scorers := slices.Clone(s.Scorers)
	for i, w := range scorers {
		if comparer, ok := w.Scorer.(RelativeScorer); ok {
			scorers[i].Scorer = comparer.ForCandidates(req, kept, all)
		}
	}
	return scorers
}

func (s *Scheduler) keep(req *Request, c Candidate) bool {
	for _, f := range s.Filters {
		if !f.Keep(req, c) {
			return false
		}
	}
	return true
}

func (s *Scheduler) score(req *Request, c Candidate) float64 { return sum(s.Scorers, req, c) }

// sum is the weighted sum of a candidate's scores.
func sum(scorers []WeightedScorer, req *Request, c Candidate) float64 {
	total := 0.0
	for _, w := range scorers {
		total += w.Weight * w.Scorer.Score(req, c)
	}
	return total
}

// kept appends what the filter keeps.
func (p Preference) kept(req *Request, candidates, left []Candidate) []Candidate {
	for i := range candidates {
		if p.Filter.Keep(req, candidates[i]) {
			left = append(left, candidates[i])
		}
	}
	return left
}

// enough tells whether so many of a number of candidates are enough to choose from.
func (p Preference) enough(left, of int) bool {
	return left > 0 && float64(left) >= p.MinShare*float64(of)
}
