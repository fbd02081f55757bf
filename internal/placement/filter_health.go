package placement

// HealthFilter drops upstreams that are ejected or silent, and returning ones
// that have as many requests as they may. It is a preference: an entry that
// finds most upstreams failing rather doubts itself (it was paused, or its own
// network is cut) than send all work to the few that are left.
type HealthFilter struct{}

// Keep implements Filter.
func (HealthFilter) Keep(req *Request, c Candidate) bool {
	return !c.Suspect && c.Load.Health.Admits(req.Now)
}
