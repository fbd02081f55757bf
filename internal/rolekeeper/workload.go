package rolekeeper

import (
	"time"

	"sassafrasfield/internal/bootclock"
	"sassafrasfield/internal/roles"
	"sassafrasfield/internal/upstreamstate"
)

const (
	// measureInterval is the time between two measurements. The measurements are smoothed over seconds, and
	// each iterates over all engines.
	measureInterval = 400 * time.Millisecond
	// maxMeasurementGap is the longest time that one measurement or check accounts for. After a longer gap,
	// the process is assumed to have been suspended.
	maxMeasurementGap = 3 * time.Second
)

// measureWorkloads adds the current load of the engines to the workloads while requests arrive.
func (k *Keeper) measureWorkloads() {
	now := bootclock.Now()
	elapsed := now - k.measuredAt
	if elapsed < measureInterval {
		return
	}
	k.measuredAt = now
	if !(k.watchesLease || k.held) || !k.view.Serving() || elapsed > maxMeasurementGap {
		return // the workload meanwhile is unknown, or this instance does not need it
	}
	for service, engines := range k.view.Engines() {
		if !k.view.Times(service).Known {
			continue // the load would be computed from the assumed times, not from those of the engines
		}
		k.workloads[service] = k.workloads[service].Add(engineLoads(engines), elapsed, k.settings.SplitPolicy.SmoothingTime)
	}
}

// engineLoads returns the engines with their current load.
func engineLoads(engines []upstreamstate.Engine) []roles.Engine {
	list := make([]roles.Engine, len(engines))
	for i, e := range engines {
		list[i] = roles.Engine{ID: e.ID, Zone: e.Zone, Role: e.Role, Running: e.Load.Requests, PrefillUtilization: e.Load.Utilization}
	}
	return list
}

// splitPolicy returns the split policy with the measured times of a service's engines.
func (k *Keeper) splitPolicy(service string) roles.SplitPolicy {
	policy, times := k.settings.SplitPolicy, k.view.Times(service)
	policy.StepMillis, policy.StepMillisPerRequest = milliseconds(times.Step), milliseconds(times.StepPerRequest)
	policy.Slots = times.Slots
	return policy
}

func milliseconds(d time.Duration) float64 { return d.Seconds() * 1e3 }

// updateTarget adjusts the target split of a service to its workload.
func (k *Keeper) updateTarget(service string, s *serviceState, engines []roles.Engine) {
	prefill := roles.CountPrefill(engines)
	workload := k.workloads[service]
	tracker, target := s.tracker.Update(k.splitPolicy(service), s.target, workload, prefill, len(engines), k.sinceCheck)
	s.tracker = tracker
	before, after := s.target.PrefillCount(len(engines)), target.PrefillCount(len(engines))
	if before == after {
		return
	}
	s.target, s.mismatches = target, k.settings.ConfirmChecks // needs no further checks: measured over seconds
	k.log.Info("roles: target split changed with the workload", "service", service, "engines", len(engines), "prefill", prefill,
		"wanted_before", before, "wanted", after, "prompts", workload.PrefillLoad, "generations", workload.Generations, "direct", workload.DirectPrefillLoad)
	k.workloads[service] = workload.AfterSplitChange()
}
