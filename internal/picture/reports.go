package picture

import (
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"sassafrasfield/internal/estimate"
)

// EngineLoad is one instance's part of an engine's load, or of the calls that an
// upstream of a plain service has.
type EngineLoad struct {
	// Engine is a hash of the upstream's id.
	Engine uint32
	// Ahead is the predicted time of the prompts that wait there.
	Ahead time.Duration
	// Yielding is the part of Ahead that yields to other prompts.
	Yielding time.Duration
	// Requests that generate there.
	Requests int
	// Use is the part of the engine's time that the prompts take which were
	// placed there lately.
	Use float64
	// Inflow are the tokens a second that lately came into the engine's cache.
	Inflow float64
}

// add adds another instance's part.
func (l *EngineLoad) add(other EngineLoad) {
	l.Ahead += other.Ahead
	l.Yielding += other.Yielding
	l.Requests += other.Requests
	l.Use += other.Use
	l.Inflow += other.Inflow
}

// Placed tells that a shared prompt part went to an engine, which has it cached
// from then on. Both are hashes of ids.
type Placed struct {
	Engine, Part uint32
}

// Report is what one instance tells the others.
type Report struct {
	Loads []EngineLoad
	// Placed since the last report.
	Placed []Placed
	// Gone are hashes of the upstreams that could not be reached lately.
	Gone []uint32
	// Times are what the sender learned of the engines, by a hash of the service.
	Times map[uint32]estimate.Learned
}

func hashOf(id string) uint32 { return uint32(xxhash.Sum64String(id)) }

// peerLoad is what one other instance has on the engines.
type peerLoad struct {
	at    time.Duration
	loads map[uint32]EngineLoad
}

// peerLoadLasts is how long an instance's word counts: three reports may be
// lost before it is taken to have nothing under way.
const peerLoadLasts = 900 * time.Millisecond

// OwnReport returns what this instance has under way on the engines, and what
// it has placed there since the last report.
func (p *Picture) OwnReport(now time.Duration) Report {
	p.mu.Lock()
	defer p.mu.Unlock()
	report := Report{Placed: p.placed, Gone: p.goneNow(p.goneHere, now), Times: p.learned()}
	p.placed = nil
	report.Loads = p.loadsHere(now, nil)
	return report
}

// loadsHere lists what this instance has under way on each upstream, on top of what
// others have there; nil for nothing. The lock is held.
func (p *Picture) loadsHere(now time.Duration, others func(id string) EngineLoad) []EngineLoad {
	var loads []EngineLoad
	for id := range p.upstreams {
		load := EngineLoad{Engine: hashOf(id)}
		if others != nil {
			load = others(id)
		}
		load.add(p.own(id, now))
		if load.Ahead > 0 || load.Requests > 0 || load.Use > leastUse {
			loads = append(loads, load)
		}
	}
	return loads
}

// leastUse is the use below which an idle engine is not reported: it would fade
// for long.
const leastUse = 0.01

// own is what this instance has on an engine. The lock is held.
func (p *Picture) own(id string, now time.Duration) EngineLoad {
	load := EngineLoad{Requests: p.loads.Engine(id).Streams}
	if w, ok := p.work[id]; ok {
		load.Ahead, load.Yielding = w.own, w.yielding
		load.Use, load.Inflow = w.use.now(now), w.inflow.now(now)
	}
	return load
}

// zonePlacedAtMost bounds the parts that are kept for the zone's report.
const zonePlacedAtMost = 256

// ZoneReport sums what this instance and those beside it have under way, and
// what was placed since the last one. Sources beside it have names that begin
// with BesidePrefix.
func (p *Picture) ZoneReport(now time.Duration) Report {
	p.mu.Lock()
	defer p.mu.Unlock()
	report := Report{Placed: p.zonePlaced, Gone: p.goneNow(p.goneBeside, now), Times: p.learned()}
	p.zonePlaced = nil
	p.dropSilent(now)
	report.Loads = p.loadsHere(now, p.beside)
	return report
}

// BesidePrefix begins the names of report sources that are instances of the
// same zone.
const BesidePrefix = "instance "

// TakeReport takes the report of another instance, or of a whole zone.
func (p *Picture) TakeReport(source string, report Report, now time.Duration) {
	table := make(map[uint32]EngineLoad, len(report.Loads))
	for _, load := range report.Loads {
		table[load.Engine] = load
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.peers[source] = peerLoad{at: now, loads: table}
	p.stale = true
	for _, placed := range report.Placed {
		p.parts.note(placed, now)
	}
	p.hear(report.Times)
	for _, id := range report.Gone {
		p.gone[id] = now + goneFor
	}
	if strings.HasPrefix(source, BesidePrefix) {
		p.keepForZone(report.Placed)
		for _, id := range report.Gone {
			p.goneBeside[id] = now + goneFor
		}
	}
}

// keepForZone keeps placed parts for the zone's next report. The lock is held.
func (p *Picture) keepForZone(placed []Placed) {
	p.zonePlaced = append(p.zonePlaced, placed...)
	p.zonePlaced = p.zonePlaced[max(0, len(p.zonePlaced)-zonePlacedAtMost):]
}

// dropSilent forgets the sources that have not reported for long. The lock is
// held.
func (p *Picture) dropSilent(now time.Duration) {
	for source, peer := range p.peers {
		if now-peer.at > peerLoadLasts {
			delete(p.peers, source)
			p.stale = true
		}
	}
}

// sum adds up what all sources told of each engine, if there is news. The lock is
// held.
func (p *Picture) sum(now time.Duration) {
	p.dropSilent(now)
	if !p.stale {
		return
	}
	p.stale = false
	clear(p.sums)
	for _, peer := range p.peers {
		for engine, load := range peer.loads {
			total := p.sums[engine]
			total.add(load)
			p.sums[engine] = total
		}
	}
}

// all is what all instances together have on an engine. The lock is held.
func (p *Picture) all(id string, now time.Duration) EngineLoad {
	p.sum(now)
	load := p.sums[hashOf(id)]
	load.Engine = hashOf(id)
	load.add(p.own(id, now))
	return load
}

// beside sums what the instances of this zone told of an engine. The lock is held.
func (p *Picture) beside(id string) EngineLoad {
	total := EngineLoad{Engine: hashOf(id)}
	for source, peer := range p.peers {
		if strings.HasPrefix(source, BesidePrefix) {
			total.add(peer.loads[total.Engine])
		}
	}
	return total
}
