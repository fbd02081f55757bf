package placement

// aheadShare is the part of the prompts ahead that delays a generation whose
// prompt is processed: both take turns.
const aheadShare = 2

// DecodeScorer prefers the decode engine that is predicted to have fetched a
// processed prompt and begun the answer soonest. The score is 1 for no wait and
// falls towards 0; it is a half at half a second. Reason: the fetch and the
// requests that run there delay the first token, and a far engine is paid for.
type DecodeScorer struct{}

// Score implements Scorer.
func (DecodeScorer) Score(req *Request, c Candidate) float64 {
	cost := req.Costs.fetch(req.Prompt.Tokens-c.Aggregate.CachedTokens, req.KVZone, c.Zone)
	cost += req.Costs.crowd(c.Aggregate.Requests)
	cost += c.Aggregate.Backlog/aheadShare + req.Costs.send(req.Zone, c)
	return scoreOf(cost)
}
