package upstreamstate

import (
	"strings"
	"time"
)

// InstanceSourcePrefix starts the names of report sources that are instances of the same zone.
// Other sources are zones.
const InstanceSourcePrefix = "instance "

// Lifetimes of reported data.
const (
	// sourceTTL is how long the data of a silent source are kept. A source without changes still
	// reports every 0.4 s, so three reports may be lost.
	sourceTTL = 1700 * time.Millisecond
	// loadTTL is how long a load is kept that its source no longer reports. It is more than three
	// times the interval at which unchanged loads are sent again (resendAfter).
	loadTTL = 3300 * time.Millisecond
	// expireEvery is the interval between checks for expired data.
	expireEvery = 200 * time.Millisecond
)

// peerLoads are the loads from the other instances on the upstreams, by source of the reports. The
// sums are updated with each report, so that the cost of a choice does not depend on the number of
// sources.
type peerLoads struct {
	sources map[string]*source
	byHash  map[uint32]*peerLoad
	// nextExpiry is when to check for expired data next.
	nextExpiry time.Duration
}

// peerLoad is the load from other instances on one upstream.
type peerLoad struct {
	// sameZone is from the instances of this zone, otherZones from those of other zones.
	sameZone, otherZones loadSum
}

// source is one instance of this zone, or one or several other zones.
type source struct {
	sameZone bool
	at       time.Duration
	round    uint64 // counts its reports
	loads    map[uint32]receivedLoad
}

// receivedLoad is a source's load on an upstream, as received at a time.
type receivedLoad struct {
	EngineLoad
	at    time.Duration
	round uint64
}

func newPeerLoads() peerLoads {
	return peerLoads{sources: map[string]*source{}, byHash: map[uint32]*peerLoad{}}
}

// of returns the load from other instances on an upstream.
func (t *peerLoads) of(hash uint32) *peerLoad {
	l, ok := t.byHash[hash]
	if !ok {
		l = &peerLoad{}
		t.byHash[hash] = l
	}
	return l
}

// apply applies the loads of a report.
func (t *peerLoads) apply(from string, report Report, now time.Duration) {
	s, ok := t.sources[from]
	if !ok {
		s = &source{sameZone: strings.HasPrefix(from, InstanceSourcePrefix), loads: map[uint32]receivedLoad{}}
		t.sources[from] = s
	}
	s.at = now
	s.round++
	for _, l := range report.Loads {
		t.set(s, l, now)
	}
	if !report.Complete {
		return
	}
	for hash, received := range s.loads {
		if received.round != s.round {
			t.set(s, zeroLoad(hash), now)
		}
	}
}

// set replaces a source's load on an upstream.
func (t *peerLoads) set(s *source, l EngineLoad, now time.Duration) {
	sum := t.sum(s, l.Engine)
	if previous, ok := s.loads[l.Engine]; ok {
		sum.subtract(previous, now)
	}
	if l == zeroLoad(l.Engine) {
		delete(s.loads, l.Engine)
		return
	}
	s.loads[l.Engine] = receivedLoad{EngineLoad: l, at: now, round: s.round}
	sum.add(l, now)
}

// sum returns the sum that includes a source's load on an upstream.
func (t *peerLoads) sum(s *source, hash uint32) *loadSum {
	l := t.of(hash)
	if s.sameZone {
		return &l.sameZone
	}
	return &l.otherZones
}

// expire removes the sources that have not reported for sourceTTL, and the loads that were not sent
// again within loadTTL.
func (t *peerLoads) expire(now time.Duration) {
	if now < t.nextExpiry {
		return
	}
	t.nextExpiry = now + expireEvery
	for name, s := range t.sources {
		if now-s.at > sourceTTL {
			t.drop(name, now)
			continue
		}
		for hash, received := range s.loads {
			if now-received.at > loadTTL {
				t.set(s, zeroLoad(hash), now)
			}
		}
	}
}

// drop removes a source.
func (t *peerLoads) drop(name string, now time.Duration) {
	s, ok := t.sources[name]
	if !ok {
		return
	}
	for hash := range s.loads {
		t.set(s, zeroLoad(hash), now)
	}
	delete(t.sources, name)
}

// loadSum is a sum of loads on one upstream. All rates decay by the same factor regardless of when
// they were reported, so their sum decays by that factor too.
type loadSum struct {
	backlog, deferredBacklog time.Duration
	requests                 int
	utilization, inflow      rate
}

func (t *loadSum) add(l EngineLoad, now time.Duration) {
	t.backlog += l.Backlog
	t.deferredBacklog += l.DeferredBacklog
	t.requests += l.Requests
	t.utilization.set(t.utilization.valueAt(now)+l.Utilization, now)
	t.inflow.set(t.inflow.valueAt(now)+l.Inflow, now)
}

// subtract removes a load that was added when it was received.
func (t *loadSum) subtract(l receivedLoad, now time.Duration) {
	t.backlog -= l.Backlog
	t.deferredBacklog -= l.DeferredBacklog
	t.requests -= l.Requests
	t.utilization.set(max(0, t.utilization.valueAt(now)-decayed(l.Utilization, now-l.at)), now)
	t.inflow.set(max(0, t.inflow.valueAt(now)-decayed(l.Inflow, now-l.at)), now)
}

// at returns the sum at a time.
func (t *loadSum) at(now time.Duration) EngineLoad {
	return EngineLoad{
		Backlog: t.backlog, DeferredBacklog: t.deferredBacklog, Requests: t.requests, Utilization: t.utilization.valueAt(now), Inflow: t.inflow.valueAt(now),
	}
}
