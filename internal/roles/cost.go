package roles

import "time"

// newestWeight is the weight of the newest measurement in the moving average.
const newestWeight = 0.3

// changeTimer measures how long a role change takes an engine out of service.
type changeTimer struct {
	// mean is a moving average, 0 before the first measurement.
	mean time.Duration
	// engine is the engine that is changing its role, or empty.
	engine string
	// since is when the change was decided, or when a new lease holder first saw it.
	since time.Duration
	// stopped is true once the engine was seen out of service.
	stopped bool
}

// start starts a measurement.
func (c changeTimer) start(engine string, at time.Duration) changeTimer {
	return changeTimer{mean: c.mean, engine: engine, since: at}
}

// observe follows the changing engine until it serves again.
func (c changeTimer) observe(obs Observation) changeTimer {
	for _, e := range obs.Engines {
		if c.engine == "" && e.Changing && !e.Serving {
			c = c.start(e.ID, obs.At)
		}
		if c.engine == e.ID {
			return c.update(e, obs.At)
		}
	}
	return changeTimer{mean: c.mean}
}

// update processes an observation of the changing engine.
func (c changeTimer) update(e Engine, at time.Duration) changeTimer {
	switch {
	case !e.Serving:
		c.stopped = true
		return c
	case c.stopped:
		return c.record(at - c.since)
	case e.Changing:
		return c
	default: // the change was not made
		return changeTimer{mean: c.mean}
	}
}

// record adds a finished measurement to the average.
func (c changeTimer) record(outOfService time.Duration) changeTimer {
	if c.mean > 0 {
		outOfService = time.Duration(newestWeight*float64(outOfService) + (1-newestWeight)*float64(c.mean))
	}
	return changeTimer{mean: outOfService}
}
