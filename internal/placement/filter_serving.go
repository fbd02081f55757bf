package placement

import "sassafrasfield/internal/config"

// ServingFilter keeps engines that the configuration marks as serving.
type ServingFilter struct{}

// Keep implements Filter.
func (ServingFilter) Keep(_ *Request, c Candidate) bool {
	return c.Engine.Routing == config.RoutingServing
}
