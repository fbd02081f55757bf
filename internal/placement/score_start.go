package placement

import (
	"time"

	"sassafrasfield/internal/config"
	"sassafrasfield/internal/rendezvous"
)

// PrefillScorer prefers the engine that is predicted to bring the first token
// soonest, from what the instances told one another: the prompts ahead, the
// request's own less what is cached there or can be fetched, and the hand-over
// to a decode engine. The score is 1 for no wait and falls towards 0; it is a
// half at half a second. Reason: where shared parts live decides most, so an
// engine that does not rank first for the part also pays for another copy.
type PrefillScorer struct{}

// Score implements Scorer, for a candidate alone.
func (s PrefillScorer) Score(req *Request, c Candidate) float64 {
	return s.ForCandidates(req, []Candidate{c}, []Candidate{c}).Score(req, c)
}

// ForCandidates implements Comparer.
func (s PrefillScorer) ForCandidates(req *Request, kept, all []Candidate) Scorer {
	key := req.Prompt.SharedKey()
	among := startAmong{
		prefill: rendezvous.Leader{Key: key}, other: rendezvous.Leader{Key: key}, sources: sourcesOf(req, all),
	}
	for i := range kept {
		among.leaderOf(kept[i].role()).Offer(kept[i].ID)
	}
	return &among
}

// startAmong scores candidates against all others.
type startAmong struct {
	// prefill and other are the candidates that rank first for the shared part, of
	// the prefill engines and of those that generate too.
	prefill, other rendezvous.Leader
	sources        sources
}

func (s *startAmong) leaderOf(role config.Role) *rendezvous.Leader {
	if role == config.RolePrefill {
		return &s.prefill
	}
	return &s.other
}

// Score implements Scorer.
func (s *startAmong) Score(req *Request, c Candidate) float64 {
	cost := req.Costs.startCost(req.Costs.startOn(req, c, s.sources))
	if s.leaderOf(c.role()).Node != c.ID {
		cost += req.Costs.copyCost(req.Prompt, c.Aggregate.CachedTokens)
	}
	if c.role() != config.RolePrefill {
		cost += req.Costs.send(req.Zone, c) // the answer comes from there
	}
	return scoreOf(cost)
}

// startCost is the predicted time until a generation that starts there has begun.
func (c Costs) startCost(s Prefill) time.Duration {
	told := s.Engine.Aggregate
	if s.Direct() {
		return told.Backlog + c.between(s.BusyTime, told.Utilization) + c.crowd(told.Requests)
	}
	return told.Backlog + s.BusyTime + c.HandOver
}

// mostBetween bounds the part of an engine's time that prompts are reckoned to take
// between the tokens of others: beyond it, the time ahead tells.
const mostBetween = 0.9

// between is the time of a prompt that is processed between the tokens of other
// requests, on an engine of whose time other prompts take a part.
func (c Costs) between(work time.Duration, use float64) time.Duration {
	return time.Duration(float64(work) / (1 - min(use, mostBetween)))
}

// Prefill is where a generation begins.
type Prefill struct {
	Engine Candidate
	// Source is the engine to fetch the shared part from; its ID is empty when
	// nothing is to be fetched.
	Source Candidate
	// UncachedTokens is how many of the prompt's tokens the engine processes.
	UncachedTokens int
	// BusyTime is the predicted time that the prompt keeps the engine busy.
	BusyTime time.Duration
}

// Direct tells whether the engine generates too.
func (s Prefill) Direct() bool { return s.Engine.role() != config.RolePrefill }

// startOn works out how a prompt would be processed on an engine.
func (c Costs) startOn(req *Request, on Candidate, from sources) Prefill {
	start := Prefill{Engine: on}
	cached := on.Aggregate.CachedTokens
	if source, ok := c.source(on, from); ok {
		start.Source = source
		start.BusyTime = c.fetch(source.Aggregate.CachedTokens-cached, source.Zone, on.Zone)
		cached = source.Aggregate.CachedTokens
	}
	start.UncachedTokens = max(0, req.Prompt.Tokens-cached)
	work := c.work(req.Prompt, cached)
	if start.Direct() {
		work = time.Duration(float64(work) * c.DirectSlowdown)
	}
	start.BusyTime += work
	return start
}

// sources are the candidates that have the most leading tokens of a prompt cached.
type sources struct {
	tokens int
	list   []Candidate
}

// sourcesOf finds the sources among the candidates that can be reached; none when
// nobody has any of the prompt. It is called once a choice, as the search for each
// candidate among all others would grow with their square.
func sourcesOf(req *Request, all []Candidate) sources {
	var s sources
	for i := range all {
		cached := all[i].Aggregate.CachedTokens
		if cached == 0 || cached < s.tokens || !(HealthFilter{}).Keep(req, all[i]) {
			continue
		}
		if cached > s.tokens {
			s.tokens, s.list = cached, s.list[:0]
		}
		s.list = append(s.list, all[i])
	}
	return s
}

// source is the engine to fetch a prompt's shared part from, if that is enough more
// than one has to be worth a fetch; the nearest of equals.
func (c Costs) source(to Candidate, from sources) (Candidate, bool) {
	if len(from.list) == 0 || from.tokens-to.Aggregate.CachedTokens < max(1, c.MinFetchTokens) {
		return Candidate{}, false
	}
	for i := range from.list {
		if from.list[i].Zone == to.Zone {
			return from.list[i], true
		}
	}
	return from.list[0], true
}
