package placement

import "slices"

// AvoidedVersionFilter drops upstreams of the software versions that the request avoids.
type AvoidedVersionFilter struct{}

// Keep implements Filter.
func (AvoidedVersionFilter) Keep(req *Request, c Candidate) bool {
	return !slices.Contains(req.AvoidedVersions, c.SoftwareVersion)
}
