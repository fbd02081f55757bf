package placement

import "sassafrasfield/internal/config"

// RoleFilter keeps engines whose role covers the request's phase. An engine without a role counts as mixed.
type RoleFilter struct{}

// Keep implements Filter.
func (RoleFilter) Keep(req *Request, c Candidate) bool {
	role := c.role()
	if role == "" || role == config.RoleMixed || req.Phase == PhaseAnyRole {
		return true
	}
	if req.Phase == PhaseDirect {
		return role == config.RoleDecode
	}
	return string(role) == string(req.Phase)
}
