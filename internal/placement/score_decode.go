package placement

// backlogDivisor divides the prompt backlog of a decode engine: the engine alternates between prompts and
// generation, so that a generation whose prompt is already processed is delayed by only a part of the
// backlog.
const backlogDivisor = 2

// DecodeScorer prefers the decode engine that is predicted to fetch the KV cache of a processed prompt and
// start the answer soonest. The score is 1 for no wait, one half at half a second, and approaches 0. The
// fetch and the requests that run on the engine delay the first token, and traffic to another zone is billed.
type DecodeScorer struct{}

// Score implements Scorer.
func (DecodeScorer) Score(req *Request, c Candidate) float64 {
	cost := req.Costs.fetchTime(req.Prompt.Tokens-c.Aggregate.CachedTokens, req.KVZone, c.Zone)
	cost += req.Costs.occupancyCost(c.Aggregate)
	cost += c.Aggregate.Backlog/backlogDivisor + req.Costs.sendCost(req.Zone, c)
	return scoreOf(cost)
}
