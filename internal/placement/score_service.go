package placement

// crossZoneRequests is the cost of a call to another zone, as a number of requests. Traffic between zones is
// billed, but waiting in a queue is worse.
const crossZoneRequests = 3

// ServiceScorer prefers upstreams of plain services with fewer requests, and upstreams in the same zone
// because traffic between zones is billed by the byte. The score is 1 for an idle upstream of the same zone,
// one half at eight requests, and approaches 0. An upstream of another zone counts as having three more
// requests. A fixed bonus for the same zone would instead outweigh any queue once all upstreams are busy.
//
// On an upstream that is slow by a factor, the requests there and the new one take longer by it. The new one itself
// counts as many requests as the upstream has slots, as that many end in the time of one.
type ServiceScorer struct {
	View LoadView
}

// Score implements Scorer.
func (s ServiceScorer) Score(req *Request, c Candidate) float64 {
	requests := float64(s.View(req, c).Requests)
	if slowness := c.Aggregate.Slowness; slowness > 0 && slowness != 1 {
		requests = max(0, slowness*(requests+ownRequests(c))-ownRequests(c))
	}
	if c.Zone != req.Zone {
		requests += crossZoneRequests
	}
	return 1 / (1 + requests/batchScale)
}

// ownRequests returns the number of requests that a new one counts as.
func ownRequests(c Candidate) float64 { return float64(max(1, c.Aggregate.Slots)) }
