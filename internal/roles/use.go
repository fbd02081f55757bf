package roles

import (
	"math"
	"time"

	"sassafrasfield/internal/config"
)

// Workload is what the engines of a service are used for, smoothed over time.
type Workload struct {
	// PrefillLoad is how many prefill engines' time the prompts take.
	PrefillLoad float64
	// Generations is the number of requests at a time on the other engines,
	// DirectPrefillLoad how many of these engines' time their prompts take.
	Generations, DirectPrefillLoad float64
	// span is how long was measured.
	span time.Duration
}

// AfterSplitChange returns the measurement after the split has changed: it has to follow for
// a while before it is known again.
func (u Workload) AfterSplitChange() Workload {
	u.span /= 2
	return u
}

// Add takes a look at the engines that stands for the time since the one before,
// and fades to a third over a time. Until then it is the mean of all looks.
func (u Workload) Add(engines []Engine, since, over time.Duration) Workload {
	var now Workload
	for _, e := range engines {
		if e.Role == config.RolePrefill {
			now.PrefillLoad += e.PrefillUtilization
			continue
		}
		now.DirectPrefillLoad += e.PrefillUtilization
		now.Generations += float64(e.Running)
	}
	weight := 1.0
	if u.span > 0 {
		weight = 1 - math.Exp(-since.Seconds()/(u.span+since).Seconds())
	}
	u.PrefillLoad += weight * (now.PrefillLoad - u.PrefillLoad)
	u.DirectPrefillLoad += weight * (now.DirectPrefillLoad - u.DirectPrefillLoad)
	u.Generations += weight * (now.Generations - u.Generations)
	u.span = min(u.span+since, over)
	return u
}
