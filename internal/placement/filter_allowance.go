package placement

// LimitFilter drops upstreams that limit the requests which they take, and have nothing
// left at the moment.
type LimitFilter struct{}

// Keep implements Filter.
func (LimitFilter) Keep(_ *Request, c Candidate) bool { return !c.Exhausted }
