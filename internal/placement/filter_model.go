package placement

import "slices"

// ModelFilter keeps engines that have loaded the requested model, version and adapter.
type ModelFilter struct{}

// Keep implements Filter.
func (ModelFilter) Keep(req *Request, c Candidate) bool {
	loaded := c.Engine.Loaded
	if loaded.Model != req.Model {
		return false
	}
	if req.Version != "" && loaded.Version != req.Version {
		return false
	}
	return req.Adapter == "" || slices.Contains(loaded.Adapters, req.Adapter)
}
