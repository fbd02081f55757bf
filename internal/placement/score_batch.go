package placement

// batchScale is the number of requests that halves the score.
const batchScale = 8

// BatchScorer prefers engines with fewer requests. The score is 1 for an idle engine, one half at eight
// requests, and approaches 0. The time between tokens grows with the batch, which the number of queued prompt
// tokens does not show.
type BatchScorer struct {
	View LoadView
}

// Score implements Scorer.
func (s BatchScorer) Score(req *Request, c Candidate) float64 {
	return 1 / (1 + float64(s.View(req, c).Requests)/batchScale)
}
