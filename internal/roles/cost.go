package roles

import "time"

// costWeight is the weight of the newest measurement.
const costWeight = 0.3

// costs measures how long a change takes an engine out of service.
type costs struct {
	// mean is 0 before the first measurement.
	mean time.Duration
	// engine that is changing its role; empty when none is.
	engine string
	// since is when the change was decided, or first seen by a new holder.
	since time.Duration
	// left is true once the engine was seen out of service.
	left bool
}

// begin starts a measurement.
func (c costs) begin(engine string, at time.Duration) costs {
	return costs{mean: c.mean, engine: engine, since: at}
}

// observe follows the engine that is out, until it serves again.
func (c costs) observe(obs Observation) costs {
	for _, e := range obs.Engines {
		if c.engine == "" && e.Changing && !e.Serving {
			c = c.begin(e.ID, obs.At)
		}
		if c.engine == e.ID {
			return c.follow(e, obs.At)
		}
	}
	return costs{mean: c.mean}
}

func (c costs) follow(e Engine, at time.Duration) costs {
	switch {
	case !e.Serving:
		c.left = true
		return c
	case c.left:
		return c.measured(at - c.since)
	case e.Changing:
		return c
	default: // the change did not come about
		return costs{mean: c.mean}
	}
}

func (c costs) measured(out time.Duration) costs {
	if c.mean > 0 {
		out = time.Duration(costWeight*float64(out) + (1-costWeight)*float64(c.mean))
	}
	return costs{mean: out}
}
