package roles

import "math"

// Smoothing of the forecast, for each observation: Holt's linear method with a
// damped trend (Gardner and McKenzie 1985). The damping bounds how far a swing
// is carried on, so that its end does not call for a change that its turn
// would revoke.
const (
	levelWeight = 0.5
	trendWeight = 0.3
	damping     = 0.8
)

// trend is a smoothed rate in tokens a second with its change for each
// observation.
type trend struct {
	level, slope float64
}

// add takes one value; samples is how many came before.
func (t trend) add(value float64, samples int) trend {
	if samples == 0 {
		return trend{level: value}
	}
	expected := t.level + damping*t.slope
	level := levelWeight*value + (1-levelWeight)*expected
	slope := trendWeight*(level-t.level) + (1-trendWeight)*damping*t.slope
	return trend{level: level, slope: slope}
}

// at returns the forecast for a number of observations ahead, 0 at least.
func (t trend) at(steps float64) float64 {
	ahead := damping * (1 - math.Pow(damping, steps)) / (1 - damping)
	return math.Max(0, t.level+t.slope*ahead)
}

// pressure is the demand that the engines face: what was admitted, scaled up
// to all instances, and what waits at the engines already, to be worked off
// within the horizon.
func pressure(settings Settings, obs Observation) (prefill, decode float64) {
	d := obs.Demand
	scale := math.Max(1, float64(d.Instances)/float64(d.Answered))
	queue, running, waiting := 0, 0, 0
	for _, e := range obs.Engines {
		if !e.Reported {
			continue
		}
		queue += e.PrefillQueue
		running += e.Running
		waiting += e.Waiting
	}
	prefill = d.Prefill*scale + float64(queue)/settings.Horizon.Seconds()
	decode = d.Decode * scale
	if running > 0 {
		decode *= 1 + float64(waiting)/float64(running)
	}
	return prefill, decode
}
