package model

import (
	"slices"
	"strings"
	"time"

	"sassafrasfield/internal/roles"
)

// keeper is what the instance that keeps the split knows.
type keeper struct {
	target   roles.Target
	use      roles.Workload
	follower roles.TargetTracker
}

// Pace of the keeper, as package rolekeeper has it.
const (
	measureEvery = 400 * time.Millisecond
	lookEvery    = time.Second
	atOnce       = 2
)

// keep has the split follow the use, where the policy says so, and gives orders.
func (r *run) keep() {
	view := r.instances[0].picture
	balance := roles.DefaultSplitPolicy()
	if r.now%measureEvery == 0 && r.now > 0 && view.Times(service).Known {
		r.keeper.use = r.keeper.use.Add(r.seen(), measureEvery, balance.SmoothingTime)
	}
	if r.now%lookEvery != 0 {
		return
	}
	list := r.seen()
	if r.policy.AdaptSplit {
		times := view.Times(service)
		balance.StepMillis, balance.StepMillisPerRequest = 1e3*times.Step.Seconds(), 1e3*times.StepPerRequest.Seconds()
		balance.Slots = times.Slots
		follower, target := r.keeper.follower.Update(balance, r.keeper.target, r.keeper.use, roles.CountPrefill(list), len(list), lookEvery)
		r.keeper.follower, r.keeper.target = follower, target
	}
	for _, change := range r.keeper.target.Changes(list, atOnce-r.changing()) {
		e := r.byID[change.Engine]
		e.order(change.To)
		r.result.Orders++
		for _, in := range r.instances {
			in.picture.MarkUnavailable(e.id, r.now+e.spec.RoleChange)
		}
	}
	for _, e := range r.engines { // the engines' entries tell of their roles
		for _, in := range r.instances {
			if !e.gone && in.picture.Upstream(e.id).Role != e.role {
				in.picture.UpdateUpstream(e.upstream())
			}
		}
	}
}

// changing counts the engines that carry an order out.
func (r *run) changing() int {
	n := 0
	for _, e := range r.engines {
		if e.wanted != e.role {
			n++
		}
	}
	return n
}

// seen are the engines as the keeper sees them.
func (r *run) seen() []roles.Engine {
	var list []roles.Engine
	for _, e := range r.instances[0].picture.Engines(r.now)[service] {
		role := e.Role
		if at := r.byID[e.ID]; at.wanted != at.role {
			role = at.wanted
		}
		list = append(list, roles.Engine{ID: e.ID, Zone: e.Zone, Role: role, Running: e.Load.Requests, PrefillUtilization: e.Load.Utilization})
	}
	slices.SortFunc(list, func(a, b roles.Engine) int { return strings.Compare(a.ID, b.ID) })
	return list
}
