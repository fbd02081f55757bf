package placement

// AllowanceFilter drops upstreams that limit the requests which they take, and have nothing
// left at the moment.
type AllowanceFilter struct{}

// Keep implements Filter.
func (AllowanceFilter) Keep(_ *Request, c Candidate) bool { return !c.Exhausted }
