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
	// peers is what the other instances have there.
	peers *peerLoad
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

// ownLoad is what this instance has on the upstream.
func (n *node) ownLoad(now time.Duration) EngineLoad {
	return EngineLoad{
		Engine: n.hash, Requests: n.load.Streams, Backlog: n.work.backlog, DeferredBacklog: n.work.deferredBacklog,
		Utilization: n.work.utilization.valueAt(now), Inflow: n.work.inflow.valueAt(now),
	}
}

// zoneLoad is what the instances of this zone together have on the upstream.
func (n *node) zoneLoad(now time.Duration) EngineLoad {
	l := n.ownLoad(now)
	l.add(n.peers.sameZone.at(now))
	return l
}

// totalLoad is what totalLoad instances together have on the upstream.
func (n *node) totalLoad(now time.Duration) EngineLoad {
	l := n.zoneLoad(now)
	l.add(n.peers.otherZones.at(now))
	return l
}
