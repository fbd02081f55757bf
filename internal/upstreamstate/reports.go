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

// EngineLoad is one instance's part of an engine's load, or of the calls that an
// upstream of a plain service has.
type EngineLoad struct {
	// Engine is a hash of the upstream's incarnation.
	Engine uint32
	// Backlog is the predicted time of the prompts that wait there.
	Backlog time.Duration
	// DeferredBacklog is the part of Ahead that yields to other prompts.
	DeferredBacklog time.Duration
	// Requests that generate there.
	Requests int
	// Utilization is the part of the engine's time that the prompts take which were
	// placed there lately.
	Utilization float64
	// Inflow are the tokens a second that lately came into the engine's cache.
	Inflow float64
}

// add adds another instance's part.
func (l *EngineLoad) add(other EngineLoad) {
	l.Backlog += other.Backlog
	l.DeferredBacklog += other.DeferredBacklog
	l.Requests += other.Requests
	l.Utilization += other.Utilization
	l.Inflow += other.Inflow
}

// PlacedPart tells that a shared prompt part went to an engine, which has it cached
// from then on. Both are hashes.
type PlacedPart struct {
	Engine, Part uint32
}

// idle tells that there is nothing worth telling of.
func (l EngineLoad) idle() bool {
	return l.Backlog <= 0 && l.Requests <= 0 && l.Utilization <= minUtilization
}

// zeroLoad is no load at all on an upstream.
func zeroLoad(hash uint32) EngineLoad { return EngineLoad{Engine: hash} }

// minUtilization is the use below which an idle engine is not reported: it would fade
// for long.
const minUtilization = 0.01

// Report is what one instance, or all of some zones, tell others.
type Report struct {
	// Complete: the source has nothing under way on the engines that Loads does not
	// name. Else their loads are as they were told before.
	Complete bool
	Loads    []EngineLoad
	// Placed since the last report.
	Placed []PlacedPart
	// Unreachable are hashes of the upstreams that could not be reached lately.
	Unreachable []uint32
	// Unavailable are the upstreams that take no requests for a time.
	Unavailable []UnavailableUpstream
	// Times are what the sender learned of the engines, by a hash of the service;
	// nil while they are not due.
	Times map[uint32]estimate.Snapshot
	// RetryOverflow is what an instance's requests paid for of its zone's pool of further
	// sends, in sends since its start, by a hash of the service.
	RetryOverflow map[uint32]float64
	// Boot is another number with each start of the source's process; 0 for a zone.
	Boot uint32
	// Usage are totals of requests that began to run.
	Usage []usage.Count
	// Crashes are those of upstreams under a request's content that are to be known to all.
	Crashes []quarantine.Crash
	// Limits of upstreams, as far as they are due.
	Limits []quota.UpstreamLimit
}

// maxSplitLoads is how many loads one part of a report has: about half a datagram.
const maxSplitLoads = 128

// Split splits a report that names many engines. The parts are told one by one, so
// none of them is whole: what is named no more counts for a while still.
func (r Report) Split() []Report {
	if len(r.Loads) <= maxSplitLoads {
		return []Report{r}
	}
	var parts []Report
	for loads := range slices.Chunk(r.Loads, maxSplitLoads) {
		parts = append(parts, Report{Loads: loads})
	}
	parts[0].Placed, parts[0].Unreachable, parts[0].Unavailable, parts[0].Times = r.Placed, r.Unreachable, r.Unavailable, r.Times
	parts[0].RetryOverflow, parts[0].Crashes, parts[0].Usage, parts[0].Limits = r.RetryOverflow, r.Crashes, r.Usage, r.Limits
	return parts
}

func hashOf(id string) uint32 { return uint32(xxhash.Sum64String(id)) }

// OwnReport returns what this instance has under way on the upstreams, and what
// it has placed there since the last report.
func (p *State) OwnReport(now time.Duration) Report {
	p.mu.Lock()
	defer p.mu.Unlock()
	report := Report{Complete: true, Placed: p.placed, Unreachable: p.unreachableList(p.unreachable.own, now), Unavailable: unavailableList(p.unavailable.own, now)}
	p.placed = nil
	p.expireLimits(now)
	report.Limits = p.limits.announcements.DueOwn(now)
	for n := range p.busy {
		load := n.ownLoad(now)
		if load.idle() {
			delete(p.busy, n)
			continue
		}
		report.Loads = append(report.Loads, load)
	}
	return report
}

// Learned returns what this instance has learned of the engines, by a hash of the
// service, for the others.
func (p *State) LearnedTimes() map[uint32]estimate.Snapshot {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.learnedTimes()
}

// maxPendingPlaced bounds the parts that are kept until a report tells of them.
const maxPendingPlaced = 512

// ZoneReport tells other zones what this instance and those beside it have under
// way, as far as that changed, and what they placed since the last one.
func (p *State) ZoneReport(now time.Duration) Report {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.peers.expire(now)
	report := Report{Placed: p.zonePlaced, Unreachable: p.unreachableList(p.unreachable.sameZone, now), Unavailable: unavailableList(p.unavailable.sameZone, now)}
	p.zonePlaced = nil
	report.Limits = p.limits.announcements.DueZone(now)
	report.Loads = p.due(&p.zoneSent, now, func(n *node) EngineLoad { return n.zoneLoad(now) })
	return report
}

// OtherZonesReport tells the instances beside this one what those of all other zones
// have under way, as far as that changed, and what they placed since the last one.
func (p *State) OtherZonesReport(now time.Duration) Report {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.peers.expire(now)
	report := Report{Placed: p.otherZonesPlaced, Unreachable: p.unreachableList(p.unreachable.otherZones, now), Unavailable: unavailableList(p.unavailable.otherZones, now)}
	p.otherZonesPlaced = nil
	report.Limits = p.limits.announcements.DueOtherZones(now)
	report.Loads = p.due(&p.otherZonesSent, now, func(n *node) EngineLoad {
		load := n.peers.otherZones.at(now)
		load.Engine = n.hash
		return load
	})
	return report
}

// due lists the loads that a ledger's receivers are to be told of. The lock is held.
func (p *State) due(l *sentLoads, now time.Duration, of func(*node) EngineLoad) []EngineLoad {
	var loads []EngineLoad
	for _, n := range p.nodes {
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

// ApplyReport takes the report of another instance, or of other zones.
func (p *State) ApplyReport(source string, report Report, now time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.peers.expire(now)
	p.peers.apply(source, report, now)
	for _, placed := range report.Placed {
		p.parts.record(placed, now)
	}
	p.mergeTimes(report.Times)
	beside := strings.HasPrefix(source, InstanceSourcePrefix)
	p.mergeNotices(report, beside, now)
	p.applyLimits(report.Limits, beside, now)
	if beside {
		p.zonePlaced = newest(append(p.zonePlaced, report.Placed...))
	} else {
		p.otherZonesPlaced = newest(append(p.otherZonesPlaced, report.Placed...))
	}
}

// newest keeps the newest of the parts that wait to be told of.
func newest(placed []PlacedPart) []PlacedPart { return placed[max(0, len(placed)-maxPendingPlaced):] }

// DropSource forgets what a source told.
func (p *State) DropSource(source string, now time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.peers.drop(source, now)
}
