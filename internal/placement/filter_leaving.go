package placement

// DrainingFilter drops upstreams that leave, by the operators' or the
// platform's word.
type DrainingFilter struct{}

// Keep implements Filter.
func (DrainingFilter) Keep(req *Request, c Candidate) bool {
	return !c.Draining && !req.Draining[c.ID]
}
