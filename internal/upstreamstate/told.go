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
	// sourceLasts is how long a source's word counts once it is silent. A source
	// with nothing new tells so each 0.4 s, so three reports may be lost.
	sourceLasts = 1700 * time.Millisecond
	// entryLasts is how long the load of one engine counts that its source names
	// no more: more than three of the times after which it is told again (retellAfter).
	entryLasts = 3300 * time.Millisecond
	// lapseEvery is how late it may be noticed that a word counts no longer.
	lapseEvery = 200 * time.Millisecond
)

// toldLoads is what the other instances have on the upstreams, as the sources of
// reports told. The sums are kept up as reports come, so that a choice costs the
// same however many sources there are.
type toldLoads struct {
	sources map[string]*source
	byHash  map[uint32]*toldLoad
	// lapseAt is when to look for words that count no longer.
	lapseAt time.Duration
}

// toldLoad is what other instances have on one upstream.
type toldLoad struct {
	// beside is of the instances of this zone, beyond of those of other zones.
	beside, beyond total
}

// source is one instance of this zone, or another zone.
type source struct {
	beside bool
	at     time.Duration
	round  uint64 // counts its reports
	loads  map[uint32]heard
}

// heard is a source's load on an upstream, as of when it was told.
type heard struct {
	EngineLoad
	at    time.Duration
	round uint64
}

func newToldLoads() toldLoads {
	return toldLoads{sources: map[string]*source{}, byHash: map[uint32]*toldLoad{}}
}

// of returns what others have on an upstream.
func (t *toldLoads) of(hash uint32) *toldLoad {
	l, ok := t.byHash[hash]
	if !ok {
		l = &toldLoad{}
		t.byHash[hash] = l
	}
	return l
}

// take takes a report's loads.
func (t *toldLoads) take(from string, report Report, now time.Duration) {
	s, ok := t.sources[from]
	if !ok {
		s = &source{beside: strings.HasPrefix(from, InstanceSourcePrefix), loads: map[uint32]heard{}}
		t.sources[from] = s
	}
	s.at = now
	s.round++
	for _, l := range report.Loads {
		t.put(s, l, now)
	}
	if !report.Complete {
		return
	}
	for hash, h := range s.loads {
		if h.round != s.round {
			t.put(s, none(hash), now)
		}
	}
}

// put has a source's load on an upstream take the place of the one before.
func (t *toldLoads) put(s *source, l EngineLoad, now time.Duration) {
	sum := t.sum(s, l.Engine)
	if before, ok := s.loads[l.Engine]; ok {
		sum.take(before, now)
	}
	if l == none(l.Engine) {
		delete(s.loads, l.Engine)
		return
	}
	s.loads[l.Engine] = heard{EngineLoad: l, at: now, round: s.round}
	sum.add(l, now)
}

// sum is where the loads of a source on an upstream are added up.
func (t *toldLoads) sum(s *source, hash uint32) *total {
	l := t.of(hash)
	if s.beside {
		return &l.beside
	}
	return &l.beyond
}

// lapse forgets the sources that have not reported for long, and the loads that
// were not told again.
func (t *toldLoads) lapse(now time.Duration) {
	if now < t.lapseAt {
		return
	}
	t.lapseAt = now + lapseEvery
	for name, s := range t.sources {
		if now-s.at > sourceLasts {
			t.drop(name, now)
			continue
		}
		for hash, h := range s.loads {
			if now-h.at > entryLasts {
				t.put(s, none(hash), now)
			}
		}
	}
}

// drop forgets a source.
func (t *toldLoads) drop(name string, now time.Duration) {
	s, ok := t.sources[name]
	if !ok {
		return
	}
	for hash := range s.loads {
		t.put(s, none(hash), now)
	}
	delete(t.sources, name)
}

// total is a sum of loads on one upstream. Rates fade alike whenever they were
// told, so that their sum fades as each of them does.
type total struct {
	ahead, yielding time.Duration
	requests        int
	use, inflow     rate
}

func (t *total) add(l EngineLoad, now time.Duration) {
	t.ahead += l.Backlog
	t.yielding += l.DeferredBacklog
	t.requests += l.Requests
	t.use.put(t.use.now(now)+l.Utilization, now)
	t.inflow.put(t.inflow.now(now)+l.Inflow, now)
}

// take takes a load off that was added when it was told.
func (t *total) take(h heard, now time.Duration) {
	t.ahead -= h.Backlog
	t.yielding -= h.DeferredBacklog
	t.requests -= h.Requests
	t.use.put(max(0, t.use.now(now)-faded(h.Utilization, now-h.at)), now)
	t.inflow.put(max(0, t.inflow.now(now)-faded(h.Inflow, now-h.at)), now)
}

// at is the sum at a time.
func (t *total) at(now time.Duration) EngineLoad {
	return EngineLoad{
		Backlog: t.ahead, DeferredBacklog: t.yielding, Requests: t.requests, Utilization: t.use.now(now), Inflow: t.inflow.now(now),
	}
}
