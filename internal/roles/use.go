package roles

import (
	"math"
	"time"

	"sassafrasfield/internal/config"
)

// Workload is the measured load on the engines of a service, smoothed over time.
type Workload struct {
	// PrefillLoad is the load of prompts on the prefill engines, as a number of
	// fully used engines.
	PrefillLoad float64
	// Generations is the number of concurrent requests on the other engines.
	// DirectPrefillLoad is the load of the prompts that these engines process
	// themselves, as a number of fully used engines.
	Generations, DirectPrefillLoad float64
	// measured is the time that the measurements cover, up to the time constant.
	measured time.Duration
}

// AfterSplitChange returns the workload after the split has changed. It halves the
// time that the measurements cover: TargetTracker does not move the target again
// until new measurements have made up for that.
func (w Workload) AfterSplitChange() Workload {
	w.measured /= 2
	return w
}

// Add adds a measurement of the engines that stands for the elapsed time since the
// previous one. Older measurements decay exponentially, to about a third over the
// time constant. Until they cover the time constant, the workload is the mean of
// all of them.
func (w Workload) Add(engines []Engine, elapsed, timeConstant time.Duration) Workload {
	var current Workload
	for _, e := range engines {
		if e.Role == config.RolePrefill {
			current.PrefillLoad += e.PrefillUtilization
			continue
		}
		current.DirectPrefillLoad += e.PrefillUtilization
		current.Generations += float64(e.Running)
	}
	weight := 1.0
	if w.measured > 0 {
		weight = 1 - math.Exp(-elapsed.Seconds()/(w.measured+elapsed).Seconds())
	}
	w.PrefillLoad += weight * (current.PrefillLoad - w.PrefillLoad)
	w.DirectPrefillLoad += weight * (current.DirectPrefillLoad - w.DirectPrefillLoad)
	w.Generations += weight * (current.Generations - w.Generations)
	w.measured = min(w.measured+elapsed, timeConstant)
	return w
}
