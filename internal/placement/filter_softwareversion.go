package placement

// SoftwareVersionFilter drops upstreams of another software version than the request requires.
type SoftwareVersionFilter struct{}

// Keep implements Filter.
func (SoftwareVersionFilter) Keep(req *Request, c Candidate) bool {
	return req.SoftwareVersion == "" || req.SoftwareVersion == c.SoftwareVersion
}
