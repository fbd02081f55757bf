package placement

// ExcludedFilter drops upstreams that failed this request already.
type ExcludedFilter struct{}

// Keep implements Filter.
func (ExcludedFilter) Keep(req *Request, c Candidate) bool {
	return !req.Excluded[c.ID]
}
