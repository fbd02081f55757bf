package placement

// batchScale is the number of requests that halves the score.
const batchScale = 8

// BatchScorer prefers engines with fewer requests. The score is 1 for an idle
// engine and falls towards 0; it is a half at eight requests. Reason: the time
// between tokens grows with the batch, which the prompt tokens do not show.
type BatchScorer struct {
	View LoadView
}

// Score implements Scorer.
func (s BatchScorer) Score(req *Request, c Candidate) float64 {
	return 1 / (1 + float64(s.View(req, c).Requests)/batchScale)
}
