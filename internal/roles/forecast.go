package roles

import "math"

// Smoothing parameters of the forecast, per observation: Holt's linear method with
// a damped trend (Gardner and McKenzie 1985). Damping limits how far a swing is
// extrapolated. Otherwise the end of a swing could cause a change that has to be
// reverted when the load swings back.
const (
	levelWeight = 0.5
	trendWeight = 0.3
	damping     = 0.8
)

// trend is a smoothed rate in tokens per second, and its change per observation.
type trend struct {
	level, slope float64
}

// add adds a value; samples is the number of values before it.
func (t trend) add(value float64, samples int) trend {
	if samples == 0 {
		return trend{level: value}
	}
	expected := t.level + damping*t.slope
	level := levelWeight*value + (1-levelWeight)*expected
	slope := trendWeight*(level-t.level) + (1-trendWeight)*damping*t.slope
	return trend{level: level, slope: slope}
}

// at returns the forecast for a number of observations ahead. It is never negative.
func (t trend) at(steps float64) float64 {
	ahead := damping * (1 - math.Pow(damping, steps)) / (1 - damping)
	return math.Max(0, t.level+t.slope*ahead)
}

// estimateDemand returns the demand on the engines. It extrapolates the admitted
// demand from the responding instances to all of them, and adds the work that is
// queued at the engines. Queued prompts are to be processed within the horizon.
func estimateDemand(settings Settings, obs Observation) (prefill, decode float64) {
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
