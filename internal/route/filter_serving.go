package route

import "sassafrasfield/internal/config"

// ServingFilter keeps engines that the configuration routes to and that are
// not leaving.
type ServingFilter struct{}

// Keep implements Filter.
func (ServingFilter) Keep(req *Request, c Candidate) bool {
	return c.Engine.Routing == config.RoutingServing && !c.Engine.Leave && !req.Leaving[c.Engine.ID]
}
