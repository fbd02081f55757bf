package route

// QueueScorer prefers engines with fewer requests and less prefill ahead. The
// score falls from 1 for an idle engine towards 0.
type QueueScorer struct{}

// tokensPerRequest weighs prompt tokens against requests.
const tokensPerRequest = 512

// Score implements Scorer.
func (QueueScorer) Score(_ *Request, c Candidate) float64 {
	ahead := float64(c.Load.Requests()) + float64(c.Load.PrefillTokens())/tokensPerRequest
	return 1 / (1 + ahead)
}
