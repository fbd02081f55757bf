package placement

// LimitFilter drops upstreams whose own request limit is exhausted at present.
type LimitFilter struct{}

// Keep implements Filter.
func (LimitFilter) Keep(_ *Request, c Candidate) bool { return !c.Exhausted }
