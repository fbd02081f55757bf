package rollout

import (
	"fmt"
	"math"
	"time"

	"sassafrasfield/internal/config"
)

// outShare: at most one in so many engines of a pool is out for a change.
const outShare = 4

// MaxOut is how many engines of a pool may be out of service for planned
// changes at once, whatever the floor.
func MaxOut(engines int) int {
	return max(1, engines/outShare)
}

// NeedsWeights tells whether going from one state to another loads weights.
func NeedsWeights(from, to config.EngineState) bool {
	return from.Model != to.Model || from.Version != to.Version
}

// ParallelLoads is how many engines of one pool may load weights at once, so
// that each load is done within a time: rate is in bytes a second and shared by
// so many pools. It is at least 1.
func ParallelLoads(rate float64, weightBytes int64, within time.Duration, pools int) int {
	loads := rate * within.Seconds() / float64(weightBytes)
	return max(1, int(loads)/max(1, pools))
}

// serviceBudget is how many more engines may leave service now. Engines that
// serve by the configuration alone do not count for the floor.
func (v View) serviceBudget() (floor, share int) {
	serving, out, total := 0, 0, 0
	for _, e := range v.Config.PoolEngines(v.Pool) {
		if v.serves(e) {
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

// serves tells whether an engine really serves: it is in routing, answers and
// has what routing trusts it to have.
func (v View) serves(e *config.Engine) bool {
	seen := v.Engines[e.ID]
	return e.Routing == config.RoutingServing && !v.ShuttingDown[e.ID] &&
		seen.Reachable && !e.Loaded.Disruptive(seen.Status.State)
}

// loadBudget is how many more engines may be drained to load weights, and may
// begin to load them.
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

// reachesMost tells whether at least half of the engines that should serve
// answer. A holder that hears of fewer is more likely cut off itself.
func (v View) reachesMost() bool {
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

// notEmpty tells why an engine may still run a request or get one; empty when
// none runs and none can come.
func (v View) notEmpty(e *config.Engine, seen EngineView) string {
	if reason := v.busyInstance(e, seen); reason != "" {
		return reason
	}
	if !seen.Reachable {
		return "does not answer"
	}
	if seen.Status.Running > 0 {
		return fmt.Sprintf("runs %d streams", seen.Status.Running)
	}
	return ""
}

// notAsked is the reason to wait when View.Instances is empty.
const notAsked = "no instance was asked yet"

// busyInstance names an instance that may still send work to an engine.
func (v View) busyInstance(e *config.Engine, seen EngineView) string {
	if len(v.Instances) == 0 {
		return notAsked
	}
	for _, i := range v.Instances {
		switch {
		case !i.Answered && seen.RoutingAge < v.Limits.InstanceTimeout:
			return fmt.Sprintf("instance %s does not answer", i.ID)
		case !i.Answered:
			// By now it has the version, or takes no new work; what it still
			// runs shows in the engine's own count. That it was silent before
			// proves nothing: it may have been heard by others in between.
		case i.Version < e.RoutingSince:
			return fmt.Sprintf("instance %s has version %d in force, not yet %d", i.ID, i.Version, e.RoutingSince)
		case i.Streams[e.ID] > 0:
			return fmt.Sprintf("instance %s has %d streams there", i.ID, i.Streams[e.ID])
		}
	}
	return ""
}
