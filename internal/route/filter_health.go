package route

import "time"

// HealthFilter drops engines that failed this request, or any request a short
// while ago.
type HealthFilter struct {
	// Backoff is how long a failed engine gets no new work.
	Backoff time.Duration
}

// Keep implements Filter.
func (f HealthFilter) Keep(req *Request, c Candidate) bool {
	if req.Excluded[c.Engine.ID] {
		return false
	}
	return c.Load.FailedAt == 0 || req.Now-c.Load.FailedAt >= f.Backoff
}
