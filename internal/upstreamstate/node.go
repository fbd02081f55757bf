package upstreamstate

import (
	"time"

	"sassafrasfield/internal/config"
	"sassafrasfield/internal/load"
)

// node is an upstream with everything known about it, so that a choice among many upstreams needs
// no lookups by id. The mutex of the State protects it.
type node struct {
	Upstream
	// hash identifies the incarnation in reports.
	hash uint32
	// engine is the engine's configuration in the form that placement uses; nil for an upstream of
	// a plain service.
	engine *config.Engine
	// load is the load from this instance, an entry of the load table.
	load *load.Upstream
	work workload
	// peers is the load from the other instances.
	peers *peerLoad
}

// engineOf returns an upstream's configuration in the form that placement uses; nil for an upstream
// of a plain service.
func engineOf(u Upstream) *config.Engine {
	if u.Role == "" {
		return nil
	}
	return &config.Engine{
		ID: u.ID, Zone: u.Zone, Address: u.Address, Routing: config.RoutingServing, Loaded: config.EngineState{Role: u.Role},
	}
}

// ownLoad returns the load from this instance.
func (n *node) ownLoad(now time.Duration) EngineLoad {
	return EngineLoad{
		Engine: n.hash, Requests: n.load.Streams, Backlog: n.work.backlog, DeferredBacklog: n.work.deferredBacklog,
		Utilization: n.work.utilization.valueAt(now), Inflow: n.work.inflow.valueAt(now),
	}
}

// zoneLoad returns the load from all instances of this zone.
func (n *node) zoneLoad(now time.Duration) EngineLoad {
	l := n.ownLoad(now)
	l.add(n.peers.sameZone.at(now))
	return l
}

// totalLoad returns the load from all instances.
func (n *node) totalLoad(now time.Duration) EngineLoad {
	l := n.zoneLoad(now)
	l.add(n.peers.otherZones.at(now))
	return l
}
