package route

import (
	"time"

	"sassafrasfield/internal/config"
	"sassafrasfield/internal/rendezvous"
)

// StartScorer prefers the engine that is predicted to bring the first token
// soonest, from what the instances told one another: the prompts ahead, the
// request's own less what is cached there or can be fetched, and the hand-over
// to a decode engine. The score is 1 for no wait and falls towards 0; it is a
// half at half a second. Reason: where shared parts live decides most, so an
// engine that does not rank first for the part also pays for another copy.
type StartScorer struct{}

// Score implements Scorer, for a candidate alone.
func (s StartScorer) Score(req *Request, c Candidate) float64 {
	return s.Among(req, []Candidate{c}, []Candidate{c}).Score(req, c)
}

// Among implements Comparer.
func (s StartScorer) Among(req *Request, kept, all []Candidate) Scorer {
	leading := map[config.Role]string{}
	key := req.Prompt.SharedKey()
	for _, c := range kept {
		first, ok := leading[c.role()]
		if !ok || rendezvous.Compare(key, c.ID, first) < 0 {
			leading[c.role()] = c.ID
		}
	}
	return startAmong{leading: leading, all: all}
}

// startAmong scores candidates against all others.
type startAmong struct {
	// leading is the candidate of each role that ranks first for the part.
	leading map[config.Role]string
	// all may be asked for parts that they have cached.
	all []Candidate
}

// Score implements Scorer.
func (s startAmong) Score(req *Request, c Candidate) float64 {
	cost := req.Costs.startCost(req.Costs.startOn(req, c, s.all))
	if s.leading[c.role()] != c.ID {
		cost += req.Costs.copyCost(req.Prompt, c.Told.Cached)
	}
	if c.role() != config.RolePrefill {
		cost += req.Costs.send(req.Zone, c) // the answer comes from there
	}
	return scoreOf(cost)
}

// startCost is the predicted time until a generation that starts there has begun.
func (c Costs) startCost(s Start) time.Duration {
	told := s.Engine.Told
	if s.Direct() {
		return told.Ahead + c.between(s.Work, told.Use) + c.crowd(told.Requests)
	}
	return told.Ahead + s.Work + c.HandOver
}

// mostBetween bounds the part of an engine's time that prompts are reckoned to take
// between the tokens of others: beyond it, the time ahead tells.
const mostBetween = 0.9

// between is the time of a prompt that is processed between the tokens of other
// requests, on an engine of whose time other prompts take a part.
func (c Costs) between(work time.Duration, use float64) time.Duration {
	return time.Duration(float64(work) / (1 - min(use, mostBetween)))
}

// Start is where a generation begins.
type Start struct {
	Engine Candidate
	// Source is the engine to fetch the shared part from; its ID is empty when
	// nothing is to be fetched.
	Source Candidate
	// Fresh is how many of the prompt's tokens the engine processes.
	Fresh int
	// Work is the predicted time that the prompt keeps the engine busy.
	Work time.Duration
}

// Direct tells whether the engine generates too.
func (s Start) Direct() bool { return s.Engine.role() != config.RolePrefill }

// startOn works out how a prompt would be processed on an engine.
func (c Costs) startOn(req *Request, on Candidate, all []Candidate) Start {
	start := Start{Engine: on}
	cached := on.Told.Cached
	if source, ok := c.source(req, on, all); ok {
		start.Source = source
		start.Work = c.fetch(source.Told.Cached-cached, source.Zone, on.Zone)
		cached = source.Told.Cached
	}
	start.Fresh = max(0, req.Prompt.Tokens-cached)
	work := c.work(req.Prompt, cached)
	if start.Direct() {
		work = time.Duration(float64(work) * c.MixedFactor)
	}
	start.Work += work
	return start
}

// source is the engine that has most of the prompt, if that is enough more than
// one has to be worth a fetch; the nearest of equals.
func (c Costs) source(req *Request, to Candidate, all []Candidate) (Candidate, bool) {
	best := to
	for _, other := range all {
		if other.ID == to.ID || other.Told.Cached < best.Told.Cached || !(HealthFilter{}).Keep(req, other) {
			continue
		}
		if other.Told.Cached > best.Told.Cached || best.Zone != to.Zone && other.Zone == to.Zone {
			best = other
		}
	}
	return best, best.Told.Cached-to.Told.Cached >= c.FetchFrom
}
