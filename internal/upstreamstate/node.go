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
	// load is the load from this instance. It is an entry of the load table, or idleLoad until this
	// instance first uses the upstream: most instances use few of many upstreams.
	load *load.Upstream
	// work is noWork until this instance first uses the upstream.
	work *workload
	// speed is the published speed of an engine.
	speed publishedSpeed
	// peers is the load from the other instances; noPeerLoad until one reports any.
	peers *peerLoad
}

// State of upstreams that nobody uses. Treat it as read-only.
var (
	idleLoad   = &load.Upstream{}
	noWork     = &workload{}
	noPeerLoad = &peerLoad{}
)

// engineOf returns an upstream's configuration in the form that placement uses; nil for an upstream
// of a plain service. All engines with a role share one, as placement depends on nothing else.
func engineOf(u Upstream) *config.Engine { return servingEngines[u.Role] }

var servingEngines = map[config.Role]*config.Engine{
	config.RolePrefill: servingEngine(config.RolePrefill),
	config.RoleDecode:  servingEngine(config.RoleDecode),
	config.RoleMixed:   servingEngine(config.RoleMixed),
}

func servingEngine(role config.Role) *config.Engine {
	return &config.Engine{Routing: config.RoutingServing, Loaded: config.EngineState{Role: role}}
}

// use prepares an upstream for data about this instance's use of it. The lock is held.
func (s *State) use(n *node) {
	if n.load == idleLoad {
		n.load, n.work = s.loads.Upstream(n.ID), &workload{}
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
