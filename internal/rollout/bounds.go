package rollout

import (
	"fmt"
	"math"
	"time"

	"sassafrasfield/internal/config"
)

// maxOutDivisor limits planned changes: for these, at most 1/maxOutDivisor of a pool's engines, but at least
// one, are out of service at a time.
const maxOutDivisor = 4

// MaxOut returns how many engines of a pool may be out of service for planned changes at a time. The pool's
// MinServing may allow fewer.
func MaxOut(engines int) int {
	return max(1, engines/maxOutDivisor)
}

// NeedsWeights reports whether a change from one state to another loads weights.
func NeedsWeights(from, to config.EngineState) bool {
	return from.Model != to.Model || from.Version != to.Version
}

// ParallelLoads returns how many engines of one pool may load weights at a time so that each load completes
// within the given time. The rate is in bytes per second and shared by the number of pools. The result is
// at least 1.
func ParallelLoads(rate float64, weightBytes int64, within time.Duration, pools int) int {
	loads := rate * within.Seconds() / float64(weightBytes)
	return max(1, int(loads)/max(1, pools))
}

// serviceBudget returns how many more engines may be taken out of service now: the first result is the
// budget by the pool's MinServing, the second one the budget for changes by MaxOut. Engines that only the
// configuration lists as serving do not count as serving.
func (v View) serviceBudget() (minServingBudget, outBudget int) {
	serving, out, total := 0, 0, 0
	for _, e := range v.Config.PoolEngines(v.Pool) {
		if v.isServing(e) {
			serving++
		}
		if e.Leave {
			continue
		}
		total++
		if e.Routing == config.RoutingDraining {
			out++
		}
	}
	return serving - v.Config.Pool(v.Pool).MinServing, MaxOut(total) - out
}

// isServing reports whether an engine can serve: it is in routing, answers, and has the state that routing
// assumes.
func (v View) isServing(e *config.Engine) bool {
	view := v.Engines[e.ID]
	return e.Routing == config.RoutingServing && !v.ShuttingDown[e.ID] &&
		view.Reachable && !e.Loaded.Disruptive(view.Status.State)
}

// loadBudget returns how many more engines may be drained to load weights, and how many more may start to
// load them.
func (v View) loadBudget() (drains, loads int) {
	if v.Limits.MaxLoads == 0 {
		return math.MaxInt, math.MaxInt
	}
	drains, loads = v.Limits.MaxLoads, v.Limits.MaxLoads
	for _, e := range v.Config.PoolEngines(v.Pool) {
		if e.Routing == config.RoutingDraining && !e.Leave && NeedsWeights(e.Loaded, e.Want) {
			drains--
		}
		open, ok := v.openOrder(e.ID)
		if ok && v.Engines[e.ID].Status.Changing && NeedsWeights(v.Engines[e.ID].Status.State, open.Want) {
			loads--
		}
	}
	return drains, loads
}

// reachesHalf reports whether at least half of the engines that should serve answer. If fewer do, it is
// more likely that the lease holder itself is disconnected.
func (v View) reachesHalf() bool {
	total, reachable := 0, 0
	for _, e := range v.Config.PoolEngines(v.Pool) {
		if e.Leave {
			continue
		}
		total++
		if v.Engines[e.ID].Reachable {
			reachable++
		}
	}
	return 2*reachable >= total
}

// notIdleReason returns why an engine may still run or receive a request. It is empty if no request is
// running and none can arrive.
func (v View) notIdleReason(e *config.Engine, view EngineView) string {
	if reason := v.busyInstanceReason(e, view); reason != "" {
		return reason
	}
	if !view.Reachable {
		return "does not answer"
	}
	if view.Status.Running > 0 {
		return fmt.Sprintf("runs %d streams", view.Status.Running)
	}
	return ""
}

// reasonNotQueried is the reason to wait if View.Instances is empty.
const reasonNotQueried = "no instance was asked yet"

// busyInstanceReason returns why an instance may still send requests to an engine, or else the empty string.
func (v View) busyInstanceReason(e *config.Engine, view EngineView) string {
	if len(v.Instances) == 0 {
		return reasonNotQueried
	}
	for _, i := range v.Instances {
		switch {
		case !i.Answered && view.RoutingAge < v.Limits.InstanceTimeout:
			return fmt.Sprintf("instance %s does not answer", i.ID)
		case !i.Answered:
			// After InstanceTimeout, the instance has the version or accepts no new work. The requests
			// that it still runs are in the engine's own count. That it did not answer before the
			// version was accepted proves nothing, because other processes may have reached it in between.
		case i.Version < e.RoutingSince:
			return fmt.Sprintf("instance %s has version %d in force, not yet %d", i.ID, i.Version, e.RoutingSince)
		case i.Streams[e.ID] > 0:
			return fmt.Sprintf("instance %s has %d streams there", i.ID, i.Streams[e.ID])
		}
	}
	return ""
}
