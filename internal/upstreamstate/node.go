package upstreamstate

import (
	"time"

	"sassafrasfield/internal/config"
	"sassafrasfield/internal/load"
)

// node is an upstream with all that is known of it, so that a choice among many
// looks nothing up by their ids. The picture's lock protects it.
type node struct {
	Upstream
	// hash names it in reports.
	hash uint32
	// engine is how placement sees its configuration; nil for one of a plain service.
	engine *config.Engine
	// load is this instance's own part, in the picture's table.
	load *load.Upstream
	work workload
	// told is what the other instances have there.
	told *toldLoad
}

// engineOf is how placement sees an upstream's configuration; nil for one of a
// plain service.
func engineOf(u Upstream) *config.Engine {
	if u.Role == "" {
		return nil
	}
	return &config.Engine{
		ID: u.ID, Zone: u.Zone, Address: u.Address, Routing: config.RoutingServing, Loaded: config.EngineState{Role: u.Role},
	}
}

// own is what this instance has on the upstream.
func (n *node) own(now time.Duration) EngineLoad {
	return EngineLoad{
		Engine: n.hash, Requests: n.load.Streams, Backlog: n.work.own, DeferredBacklog: n.work.yielding,
		Utilization: n.work.use.now(now), Inflow: n.work.inflow.now(now),
	}
}

// here is what the instances of this zone together have on the upstream.
func (n *node) here(now time.Duration) EngineLoad {
	l := n.own(now)
	l.add(n.told.beside.at(now))
	return l
}

// all is what all instances together have on the upstream.
func (n *node) all(now time.Duration) EngineLoad {
	l := n.here(now)
	l.add(n.told.beyond.at(now))
	return l
}
