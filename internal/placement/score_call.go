package placement

// farCosts is what a call to another zone costs against one that waits: the
// transfer is paid for, but a queue is worse.
const farCosts = 3

// ServiceScorer prefers upstreams of plain services with fewer requests, and those
// near by where bytes between zones are paid for. The score is 1 for an idle
// upstream of the own zone and falls towards 0; it is a half at eight requests,
// and one of another zone counts as three requests more. Reason: a fixed bonus
// for the own zone would outweigh any queue once all are busy.
type ServiceScorer struct {
	View LoadView
}

// Score implements Scorer.
func (s ServiceScorer) Score(req *Request, c Candidate) float64 {
	requests := s.View(req, c).Requests
	if c.Zone != req.Zone {
		requests += farCosts
	}
	return 1 / (1 + float64(requests)/batchScale)
}
