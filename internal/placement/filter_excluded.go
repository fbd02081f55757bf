package placement

// ExcludedFilter drops upstreams on which this request has already failed.
type ExcludedFilter struct{}

// Keep implements Filter.
func (ExcludedFilter) Keep(req *Request, c Candidate) bool {
	return !req.Excluded[c.ID]
}
