package placement

// HealthFilter drops upstreams that are ejected or suspect, and recovering upstreams that already have as
// many requests as they are allowed. It is used as a preference: when an instance sees most upstreams fail,
// the fault is more likely its own (it was paused, or its network is cut off), and it should not send all
// requests to the few that remain.
type HealthFilter struct{}

// Keep implements Filter.
func (HealthFilter) Keep(req *Request, c Candidate) bool {
	return !c.Suspect && c.Load.Health.Admits(req.Now)
}
