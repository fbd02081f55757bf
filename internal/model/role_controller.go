package model

import (
	"slices"
	"strings"
	"time"

	"sassafrasfield/internal/roles"
)

// roleController is the state of the instance that controls the split of the engines between the roles.
type roleController struct {
	target   roles.Target
	workload roles.Workload
	tracker  roles.TargetTracker
}

// Intervals and limits of the role controller, as in package rolekeeper. At most maxConcurrentChanges engines
// change their role at a time.
const (
	measureEvery         = 400 * time.Millisecond
	checkEvery           = time.Second
	maxConcurrentChanges = 2
)

// controlRoles adjusts the target split to the workload, if the policy says so, and orders role changes.
func (r *run) controlRoles() {
	view := r.instances[0].state
	splitPolicy := roles.DefaultSplitPolicy()
	if r.now%measureEvery == 0 && r.now > 0 && view.Times(service).Known {
		r.controller.workload = r.controller.workload.Add(r.observedEngines(), measureEvery, splitPolicy.SmoothingTime)
	}
	if r.now%checkEvery != 0 {
		return
	}
	list := r.observedEngines()
	if r.policy.AdaptSplit {
		times := view.Times(service)
		splitPolicy.StepMillis, splitPolicy.StepMillisPerRequest = 1e3*times.Step.Seconds(), 1e3*times.StepPerRequest.Seconds()
		splitPolicy.Slots = times.Slots
		tracker, target := r.controller.tracker.Update(splitPolicy, r.controller.target, r.controller.workload, roles.CountPrefill(list), len(list), checkEvery)
		r.controller.tracker, r.controller.target = tracker, target
	}
	for _, change := range r.controller.target.Changes(list, maxConcurrentChanges-r.pendingChanges()) {
		e := r.byID[change.Engine]
		e.orderRole(change.To)
		r.result.Orders++
		for _, in := range r.instances {
			in.state.MarkUnavailable(e.id, r.now+e.spec.RoleChange)
		}
	}
	for _, e := range r.engines { // the engines' entries carry their roles
		for _, in := range r.instances {
			if !e.down && in.state.Upstream(e.id).Role != e.role {
				in.state.UpdateUpstream(e.upstream())
			}
		}
	}
}

// pendingChanges counts the engines whose role change is not complete.
func (r *run) pendingChanges() int {
	n := 0
	for _, e := range r.engines {
		if e.targetRole != e.role {
			n++
		}
	}
	return n
}

// observedEngines returns the engines as the controlling instance sees them. An engine counts with the role
// that was ordered for it.
func (r *run) observedEngines() []roles.Engine {
	var list []roles.Engine
	for _, e := range r.instances[0].state.Engines(r.now)[service] {
		role := e.Role
		if at := r.byID[e.ID]; at.targetRole != at.role {
			role = at.targetRole
		}
		list = append(list, roles.Engine{ID: e.ID, Zone: e.Zone, Version: e.Version, Role: role, Running: e.Load.Requests, PrefillUtilization: e.Load.Utilization})
	}
	slices.SortFunc(list, func(a, b roles.Engine) int { return strings.Compare(a.ID, b.ID) })
	return list
}
