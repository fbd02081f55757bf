package placement

// LeavingFilter drops upstreams that leave, by the operators' or the
// platform's word.
type LeavingFilter struct{}

// Keep implements Filter.
func (LeavingFilter) Keep(req *Request, c Candidate) bool {
	return !c.Draining && !req.Draining[c.ID]
}
