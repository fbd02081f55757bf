package upstreamstate

import (
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"sassafrasfield/internal/estimate"
	"sassafrasfield/internal/quarantine"
	"sassafrasfield/internal/quota"
	"sassafrasfield/internal/usage"
)

// EngineLoad is the load from one instance or several, on an engine or on an upstream of a plain
// service.
type EngineLoad struct {
	// Engine is the hash of the upstream's incarnation.
	Engine uint32
	// Backlog is the predicted processing time of the prompts that wait there.
	Backlog time.Duration
	// DeferredBacklog is the part of Backlog that has low priority.
	DeferredBacklog time.Duration
	// Requests is the number of requests there.
	Requests int
	// Utilization is the share of the engine's time that recently placed prompts take.
	Utilization float64
	// Inflow is the recent number of tokens a second that entered the engine's cache.
	Inflow float64
}

// add adds the load from another instance.
func (l *EngineLoad) add(other EngineLoad) {
	l.Backlog += other.Backlog
	l.DeferredBacklog += other.DeferredBacklog
	l.Requests += other.Requests
	l.Utilization += other.Utilization
	l.Inflow += other.Inflow
}

// PlacedPart is a shared prompt part and the engine that it was sent to, which caches it. Both are
// hashes.
type PlacedPart struct {
	Engine, Part uint32
}

// idle reports whether the load is too small to be reported.
func (l EngineLoad) idle() bool {
	return l.Backlog <= 0 && l.Requests <= 0 && l.Utilization <= minUtilization
}

// zeroLoad returns a load of zero on an upstream.
func zeroLoad(hash uint32) EngineLoad { return EngineLoad{Engine: hash} }

// minUtilization is the utilization below which an idle engine is not reported. The decay towards
// zero would otherwise be reported for a long time.
const minUtilization = 0.01

// Report is what one instance, or all instances of one or several zones, send to others.
type Report struct {
	// Complete means that the source has no load on engines that Loads does not list. Otherwise
	// their loads are unchanged since the last report.
	Complete bool
	Loads    []EngineLoad
	// Placed are the parts placed since the last report.
	Placed []PlacedPart
	// Unreachable are the hashes of upstreams that could not be reached recently.
	Unreachable []uint32
	// Unavailable are the upstreams that accept no requests for a time.
	Unavailable []UnavailableUpstream
	// Times are the estimates that the sender learned about the engines, by a hash of the service;
	// nil when they are not due.
	Times map[uint32]estimate.Snapshot
	// RetryOverflow is the retry credit that an instance's requests earned beyond its own budget
	// and paid into its zone's retry pool, in sends since the instance's start, by a hash of the
	// service.
	RetryOverflow map[uint32]float64
	// Boot is a random number that changes with each start of the source's process; 0 for a zone.
	Boot uint32
	// Usage are totals of the requests that began to run.
	Usage []usage.Count
	// Evidence is what all instances should know about the contents and the prompts' parts under which upstreams
	// crashed.
	Evidence quarantine.Evidence
	// Limits are the announcements of upstreams that are due.
	Limits []quota.UpstreamLimit
	// Unreached are the hashes of the services to whose upstreams the sender has no network path.
	Unreached []uint32
}

// maxSplitLoads is the number of loads in each report that Split returns: about half a datagram.
const maxSplitLoads = 128

// Split splits a report with many engines. The resulting reports are sent one by one, so none of
// them is complete. The receivers therefore keep the loads of engines that are no longer listed
// until these expire.
func (r Report) Split() []Report {
	if len(r.Loads) <= maxSplitLoads {
		return []Report{r}
	}
	var reports []Report
	for loads := range slices.Chunk(r.Loads, maxSplitLoads) {
		reports = append(reports, Report{Loads: loads})
	}
	reports[0].Placed, reports[0].Unreachable, reports[0].Unavailable, reports[0].Times = r.Placed, r.Unreachable, r.Unavailable, r.Times
	for i := range reports {
		reports[i].Unreached = r.Unreached // each report replaces the previous one's
	}
	reports[0].RetryOverflow, reports[0].Evidence, reports[0].Usage, reports[0].Limits = r.RetryOverflow, r.Evidence, r.Usage, r.Limits
	return reports
}

func hashOf(id string) uint32 { return uint32(xxhash.Sum64String(id)) }

// OwnReport returns the load from this instance on the upstreams and the parts placed since the
// last report.
func (s *State) OwnReport(now time.Duration) Report {
	s.mu.Lock()
	defer s.mu.Unlock()
	report := Report{Complete: true, Placed: s.placed, Unreachable: s.unreachableList(s.unreachable.own, now), Unavailable: unavailableList(s.unavailable.own, now)}
	s.placed = nil
	s.expireLimits(now)
	report.Limits = s.limits.announcements.DueOwn(now)
	for n := range s.busy {
		load := n.ownLoad(now)
		if load.idle() {
			delete(s.busy, n)
			continue
		}
		report.Loads = append(report.Loads, load)
	}
	return report
}

// LearnedTimes returns the estimates that this instance learned itself, by a hash of the service.
func (s *State) LearnedTimes() map[uint32]estimate.Snapshot {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.learnedTimes()
}

// maxPendingPlaced bounds the placed parts that are kept until the next report.
const maxPendingPlaced = 512

// ZoneReport returns the report of this zone to other zones: the changed loads and the parts placed
// since the last one.
func (s *State) ZoneReport(now time.Duration) Report {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.peers.expire(now)
	report := Report{Placed: s.zonePlaced, Unreachable: s.unreachableList(s.unreachable.sameZone, now), Unavailable: unavailableList(s.unavailable.sameZone, now)}
	s.zonePlaced = nil
	report.Limits = s.limits.announcements.DueZone(now)
	report.Loads = s.due(&s.zoneSent, now, func(n *node) EngineLoad { return n.zoneLoad(now) })
	return report
}

// OtherZonesReport returns the report on all other zones to the instances of this zone: the changed
// loads and the parts placed since the last one.
func (s *State) OtherZonesReport(now time.Duration) Report {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.peers.expire(now)
	report := Report{Placed: s.otherZonesPlaced, Unreachable: s.unreachableList(s.unreachable.otherZones, now), Unavailable: unavailableList(s.unavailable.otherZones, now)}
	s.otherZonesPlaced = nil
	report.Limits = s.limits.announcements.DueOtherZones(now)
	report.Loads = s.due(&s.otherZonesSent, now, func(n *node) EngineLoad {
		load := n.peers.otherZones.at(now)
		load.Engine = n.hash
		return load
	})
	return report
}

// due lists the loads that are to be sent to a group of receivers. The lock is held.
func (s *State) due(l *sentLoads, now time.Duration, of func(*node) EngineLoad) []EngineLoad {
	var loads []EngineLoad
	for _, n := range s.nodes {
		load := of(n)
		if load.idle() {
			load = zeroLoad(n.hash)
		}
		if l.due(load, now) {
			loads = append(loads, load)
		}
		if len(loads) == maxReportLoads {
			break
		}
	}
	return loads
}

// ApplyReport applies the report of another instance or of other zones.
func (s *State) ApplyReport(source string, report Report, now time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.peers.expire(now)
	s.peers.apply(source, report, now)
	for _, l := range report.Loads {
		if n, ok := s.byHash[l.Engine]; ok && n.peers == noPeerLoad {
			n.peers = s.peers.of(l.Engine)
		}
	}
	for _, placed := range report.Placed {
		s.parts.record(placed, now)
	}
	s.mergeTimes(report.Times)
	sameZone := strings.HasPrefix(source, InstanceSourcePrefix)
	s.applyNotices(report, sameZone, now)
	s.applyLimits(report.Limits, sameZone, now)
	if sameZone {
		s.zonePlaced = newest(append(s.zonePlaced, report.Placed...))
	} else {
		s.otherZonesPlaced = newest(append(s.otherZonesPlaced, report.Placed...))
	}
}

// newest keeps the newest of the parts that wait for a report.
func newest(placed []PlacedPart) []PlacedPart { return placed[max(0, len(placed)-maxPendingPlaced):] }

// DropSource drops the loads that a source reported.
func (s *State) DropSource(source string, now time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.peers.drop(source, now)
}
