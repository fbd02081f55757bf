package upstreamstate

import (
	"strings"
	"time"
)

// InstanceSourcePrefix begins the names of report sources that are instances of the
// same zone. Other sources are zones.
const InstanceSourcePrefix = "instance "

// Times for which what others told counts.
const (
	// sourceTTL is how long a source's word counts once it is silent. A source
	// with nothing new tells so each 0.4 s, so three reports may be lost.
	sourceTTL = 1700 * time.Millisecond
	// loadTTL is how long the load of one engine counts that its source names
	// no more: more than three of the times after which it is told again (retellAfter).
	loadTTL = 3300 * time.Millisecond
	// expireEvery is how late it may be noticed that a word counts no longer.
	expireEvery = 200 * time.Millisecond
)

// peerLoads is what the other instances have on the upstreams, as the sources of
// reports told. The sums are kept up as reports come, so that a choice costs the
// same however many sources there are.
type peerLoads struct {
	sources map[string]*source
	byHash  map[uint32]*peerLoad
	// nextExpiry is when to look for words that count no longer.
	nextExpiry time.Duration
}

// peerLoad is what other instances have on one upstream.
type peerLoad struct {
	// sameZone is of the instances of this zone, otherZones of those of other zones.
	sameZone, otherZones loadSum
}

// source is one instance of this zone, or another zone.
type source struct {
	sameZone bool
	at       time.Duration
	round    uint64 // counts its reports
	loads    map[uint32]receivedLoad
}

// receivedLoad is a source's load on an upstream, as of when it was told.
type receivedLoad struct {
	EngineLoad
	at    time.Duration
	round uint64
}

func newPeerLoads() peerLoads {
	return peerLoads{sources: map[string]*source{}, byHash: map[uint32]*peerLoad{}}
}

// of returns what others have on an upstream.
func (t *peerLoads) of(hash uint32) *peerLoad {
	l, ok := t.byHash[hash]
	if !ok {
		l = &peerLoad{}
		t.byHash[hash] = l
	}
	return l
}

// apply takes a report's loads.
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
	for hash, h := range s.loads {
		if h.round != s.round {
			t.set(s, zeroLoad(hash), now)
		}
	}
}

// set has a source's load on an upstream take the place of the one before.
func (t *peerLoads) set(s *source, l EngineLoad, now time.Duration) {
	sum := t.sum(s, l.Engine)
	if before, ok := s.loads[l.Engine]; ok {
		sum.subtract(before, now)
	}
	if l == zeroLoad(l.Engine) {
		delete(s.loads, l.Engine)
		return
	}
	s.loads[l.Engine] = receivedLoad{EngineLoad: l, at: now, round: s.round}
	sum.add(l, now)
}

// sum is where the loads of a source on an upstream are added up.
func (t *peerLoads) sum(s *source, hash uint32) *loadSum {
	l := t.of(hash)
	if s.sameZone {
		return &l.sameZone
	}
	return &l.otherZones
}

// expire forgets the sources that have not reported for long, and the loads that
// were not told again.
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
		for hash, h := range s.loads {
			if now-h.at > loadTTL {
				t.set(s, zeroLoad(hash), now)
			}
		}
	}
}

// drop forgets a source.
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

// loadSum is a sum of loads on one upstream. Rates fade alike whenever they were
// told, so that their sum fades as each of them does.
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

// subtract takes a load off that was added when it was told.
func (t *loadSum) subtract(h receivedLoad, now time.Duration) {
	t.backlog -= h.Backlog
	t.deferredBacklog -= h.DeferredBacklog
	t.requests -= h.Requests
	t.utilization.set(max(0, t.utilization.valueAt(now)-decayed(h.Utilization, now-h.at)), now)
	t.inflow.set(max(0, t.inflow.valueAt(now)-decayed(h.Inflow, now-h.at)), now)
}

// at is the sum at a time.
func (t *loadSum) at(now time.Duration) EngineLoad {
	return EngineLoad{
		Backlog: t.backlog, DeferredBacklog: t.deferredBacklog, Requests: t.requests, Utilization: t.utilization.valueAt(now), Inflow: t.inflow.valueAt(now),
	}
}
