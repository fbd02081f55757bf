package placement

// DrainingFilter drops upstreams that the operators or the platform take out of service.
type DrainingFilter struct{}

// Keep implements Filter.
func (DrainingFilter) Keep(req *Request, c Candidate) bool {
	return !c.Draining && !req.Draining[c.ID]
}
