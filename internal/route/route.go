// Package route picks the engine for a request: filters drop candidates that
// cannot take it, scorers rate the rest, a picker chooses. It is pure: the
// picture of the engines comes from package load. Each plugin has a file.
package route

import (
	"math/rand/v2"
	"time"

	"sassafrasfield/internal/config"
	"sassafrasfield/internal/load"
)

// Request is what the choice depends on.
type Request struct {
	Model, Adapter, Version string
	// Zone of the entry.
	Zone         string
	PromptTokens int
	// Excluded engines failed this request already.
	Excluded map[string]bool
	// Leaving upstreams get no new work, by the platform's word.
	Leaving map[string]bool
	Now     time.Duration
}

// Candidate is an engine with its picture.
type Candidate struct {
	Engine *config.Engine
	Load   *load.Engine
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

// WeightedScorer is a scorer with its weight in the sum.
type WeightedScorer struct {
	Scorer Scorer
	Weight float64
}

// Picker chooses one of the scored candidates, of which there is one or more.
type Picker interface {
	Pick(scored []Scored, rng *rand.Rand) Candidate
}

// Scored is a candidate with its weighted sum.
type Scored struct {
	Candidate Candidate
	Score     float64
}

// Scheduler runs the plugins.
type Scheduler struct {
	Filters []Filter
	Scorers []WeightedScorer
	Picker  Picker
}

// Default returns the scheduler that an entry uses.
func Default() *Scheduler {
	return &Scheduler{
		Filters: []Filter{ServingFilter{}, ModelFilter{}, HealthFilter{Backoff: time.Second}},
		Scorers: []WeightedScorer{{Scorer: QueueScorer{}, Weight: 1}},
		Picker:  BestPicker{},
	}
}

// Schedule picks an engine; ok is false when none can take the request.
func (s *Scheduler) Schedule(req *Request, candidates []Candidate, rng *rand.Rand) (c Candidate, ok bool) {
	var scored []Scored
	for _, candidate := range candidates {
		if s.keep(req, candidate) {
			scored = append(scored, Scored{Candidate: candidate, Score: s.score(req, candidate)})
		}
	}
	if len(scored) == 0 {
		return Candidate{}, false
	}
	return s.Picker.Pick(scored, rng), true
}

func (s *Scheduler) keep(req *Request, c Candidate) bool {
	for _, f := range s.Filters {
		if !f.Keep(req, c) {
			return false
		}
	}
	return true
}

func (s *Scheduler) score(req *Request, c Candidate) float64 {
	total := 0.0
	for _, w := range s.Scorers {
		total += w.Weight * w.Scorer.Score(req, c)
	}
	return total
}
