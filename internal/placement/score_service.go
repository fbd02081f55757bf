package placement

// crossZoneRequests is the cost of a call to another zone, as a number of requests. Traffic between zones is
// billed, but waiting in a queue is worse.
const crossZoneRequests = 3

// ServiceScorer prefers upstreams of plain services with fewer requests, and upstreams in the same zone
// because traffic between zones is billed by the byte. The score is 1 for an idle upstream of the same zone,
// one half at eight requests, and approaches 0. An upstream of another zone counts as having three more
// requests. A fixed bonus for the same zone would instead outweigh any queue once all upstreams are busy.
type ServiceScorer struct {
	View LoadView
}

// Score implements Scorer.
func (s ServiceScorer) Score(req *Request, c Candidate) float64 {
	requests := s.View(req, c).Requests
	if c.Zone != req.Zone {
		requests += crossZoneRequests
	}
	return 1 / (1 + float64(requests)/batchScale)
}
