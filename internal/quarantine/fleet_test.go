package quarantine

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

// Parameters of the simulated fleet.
const (
	fleetStep      = 20 * time.Millisecond
	reportInterval = 200 * time.Millisecond
	// A crash is noticed by the instances crashDelay after the engine began to answer the request that caused it.
	crashDelay   = 80 * time.Millisecond
	restartDelay = 3500 * time.Millisecond
	beginDelay   = 200 * time.Millisecond
	// justBegun and aliveAfter are as in the relay.
	justBegun    = time.Second
	aliveAfter   = time.Second
	contactDelay = 3 * time.Second
	service      = "s"
	deadlyID     = "deadly"
)

// simRequest is a request at an engine.
type simRequest struct {
	id       string
	instance int
	parts    []Subject
	deadly   bool
	repeated bool
	began    time.Duration
	ends     time.Duration
	alive    bool
}

// simEngine is an engine; it is down until a time.
type simEngine struct {
	incarnation uint32
	downUntil   time.Duration
	requests    []*simRequest
}

// simReport is evidence on its way to an instance.
type simReport struct {
	to       int
	sameZone bool
	evidence Evidence
	at       time.Duration
}

// fleetLoad describes what happens to a simulated fleet.
type fleetLoad struct {
	instances, zones, engines int
	// rate and deadlyRate are requests a second.
	rate, deadlyRate float64
	// crash returns which engines crash by themselves at a time.
	crash func(at time.Duration, rng *rand.Rand, engines int) []int
	// loss is the share of the reports that are lost.
	loss     float64
	duration time.Duration
	// deadlyFrom is when requests with the part that crashes engines begin to come. If known is set, the part was
	// served before.
	deadlyFrom time.Duration
	known      bool
}

// fleetResult is what happened.
type fleetResult struct {
	deadlyCrashes, ownCrashes int
	// arrivals are the deadly requests sent later than contactDelay after the fifth crash.
	arrivals int
	// sound are the sound requests, refused those of them that were refused, falseParts the sound parts that were
	// quarantined anywhere.
	sound, refused, falseParts int
	// worstSecond is the greatest share of sound requests that were refused in a second.
	worstSecond float64
	// bytes are those of all evidence in reports, counted once per sender.
	bytes int
}

// simFleet plays a load.
type simFleet struct {
	load      fleetLoad
	rng       *rand.Rand
	tables    []*Table
	engines   []*simEngine
	reports   []simReport
	now       time.Duration
	next      uint32
	requests  int
	fifth     time.Duration
	result    fleetResult
	deadly    Subject
	perSecond map[int][2]int
	falseSeen map[Subject]bool
}

func newSimFleet(l fleetLoad, s Settings, seed uint64) *simFleet {
	f := &simFleet{load: l, rng: rand.New(rand.NewPCG(seed, 1)), deadly: PartOf(service, deadlyID), perSecond: map[int][2]int{}, falseSeen: map[Subject]bool{}}
	for i := range l.instances {
		s.Seed = seed*1000 + uint64(i)
		f.tables = append(f.tables, NewTable(s))
	}
	for range l.engines {
		f.next++
		f.engines = append(f.engines, &simEngine{incarnation: f.next})
	}
	return f
}

func (f *simFleet) zone(instance int) int { return instance % f.load.zones }

func (f *simFleet) isHub(instance int) bool { return instance < f.load.zones }

// partsOf draws the shared parts of a prompt: one of its kind of request, a document, a session.
func (f *simFleet) partsOf() []Subject {
	zipf := func(n int) int { return int(float64(n) * f.rng.Float64() * f.rng.Float64() * f.rng.Float64()) }
	return []Subject{
		PartOf(service, fmt.Sprint("kind", f.rng.IntN(5))), PartOf(service, fmt.Sprint("document", zipf(300))),
		PartOf(service, fmt.Sprint("session", f.requests/8+zipf(200))),
	}
}

// arrive sends a new request to an instance.
func (f *simFleet) arrive(deadly bool) {
	f.requests++
	r := &simRequest{id: fmt.Sprint(f.requests), instance: f.rng.IntN(len(f.tables)), parts: f.partsOf(), deadly: deadly}
	if deadly {
		r.parts[1+f.rng.IntN(2)] = f.deadly
	}
	f.send(r)
}

// send gives a request to an engine unless one of its parts is quarantined.
func (f *simFleet) send(r *simRequest) {
	second := int(f.now / time.Second)
	counts := f.perSecond[second]
	if !r.deadly && !r.repeated {
		f.result.sound++
		counts[0]++
	}
	for _, s := range r.parts {
		if f.tables[r.instance].Blocks(s, r.id, f.now) {
			if !r.deadly && !r.repeated {
				f.result.refused++
				counts[1]++
			}
			f.perSecond[second] = counts
			return
		}
	}
	f.perSecond[second] = counts
	for range 20 {
		e := f.engines[f.rng.IntN(len(f.engines))]
		if f.now < e.downUntil {
			continue
		}
		if r.deadly && f.fifth > 0 && f.now > f.fifth+contactDelay {
			f.result.arrivals++
		}
		r.began = f.now + beginDelay
		r.ends = r.began + time.Duration((0.3+2*f.rng.ExpFloat64())*float64(time.Second))
		r.alive = false
		e.requests = append(e.requests, r)
		return
	}
}

// evidenceBytes is about the size of a crash or a notice in a report.
const evidenceBytes = 14

// crashEngine ends an engine and records the crash at the instances that had requests there.
func (f *simFleet) crashEngine(e *simEngine) {
	cut := e.requests
	e.requests, e.downUntil = nil, f.now+restartDelay
	for _, r := range cut {
		if f.now-r.began < justBegun && !r.repeated {
			for _, s := range r.parts {
				f.tables[r.instance].RecordCrash(Crash{Subject: s, Upstream: e.incarnation}, f.now)
			}
		}
	}
	f.next++
	e.incarnation = f.next
	for _, r := range cut {
		if !r.repeated && !r.deadly {
			r.repeated = true
			f.send(r)
		}
	}
}

// serve lets the engines work.
func (f *simFleet) serve() {
	for _, e := range f.engines {
		var kept []*simRequest
		crashes := false
		for _, r := range e.requests {
			switch {
			case r.deadly && f.now >= r.began+crashDelay:
				crashes = true
				kept = append(kept, r)
			case f.now >= r.ends:
				f.recordServed(r)
			default:
				if !r.alive && f.now >= r.began+aliveAfter {
					r.alive = true
					f.recordServed(r)
				}
				kept = append(kept, r)
			}
		}
		e.requests = kept
		if crashes {
			f.result.deadlyCrashes++
			if f.result.deadlyCrashes == 5 {
				f.fifth = f.now
			}
			f.crashEngine(e)
		}
	}
}

func (f *simFleet) recordServed(r *simRequest) {
	for _, s := range r.parts {
		f.tables[r.instance].RecordServed(s, f.now)
	}
}

// report passes evidence on: within a zone by its hub, between zones by the hubs.
func (f *simFleet) report() {
	for i, t := range f.tables {
		own := t.DueOwn(f.now)
		var zone, others Evidence
		if f.isHub(i) {
			zone, others = t.DueZone(f.now), t.DueOtherZones(f.now)
		}
		f.result.bytes += evidenceBytes * (own.size() + zone.size() + others.size())
		t.Expire(f.now)
		if own.size()+zone.size()+others.size() == 0 {
			continue
		}
		for j := range f.tables {
			if j == i {
				continue
			}
			if f.zone(i) == f.zone(j) {
				f.deliver(j, true, own, 100*time.Millisecond)
				f.deliver(j, false, others, 50*time.Millisecond)
			} else if f.isHub(j) {
				f.deliver(j, false, zone, 50*time.Millisecond)
			}
		}
	}
}

func (e Evidence) size() int { return len(e.Crashes) + len(e.Served) }

func (f *simFleet) deliver(to int, sameZone bool, e Evidence, after time.Duration) {
	if e.size() > 0 && f.rng.Float64() >= f.load.loss {
		f.reports = append(f.reports, simReport{to, sameZone, e, f.now + after})
	}
}

func (f *simFleet) receive() {
	var pending []simReport
	for _, r := range f.reports {
		if f.now < r.at {
			pending = append(pending, r)
			continue
		}
		for _, c := range r.evidence.Crashes {
			f.tables[r.to].ReceiveCrash(c, r.sameZone, f.now)
		}
		for _, s := range r.evidence.Served {
			f.tables[r.to].ReceiveServed(s, r.sameZone, f.now)
		}
	}
	f.reports = pending
}

// draw returns how many requests arrive in a step.
func (f *simFleet) draw(rate float64) int {
	mean := rate * fleetStep.Seconds()
	n := int(mean)
	if f.rng.Float64() < mean-float64(n) {
		n++
	}
	return n
}

func (f *simFleet) play() fleetResult {
	for ; f.now < f.load.duration; f.now += fleetStep {
		f.receive()
		for range f.draw(f.load.rate) {
			f.arrive(false)
		}
		if f.now >= f.load.deadlyFrom {
			for range f.draw(f.load.deadlyRate) {
				f.arrive(true)
			}
		} else if f.load.known && f.now%(500*time.Millisecond) == 0 {
			f.tables[f.rng.IntN(len(f.tables))].RecordServed(f.deadly, f.now)
		}
		f.serve()
		if f.load.crash != nil {
			for _, e := range f.load.crash(f.now, f.rng, len(f.engines)) {
				if f.now >= f.engines[e].downUntil {
					f.result.ownCrashes++
					f.crashEngine(f.engines[e])
				}
			}
		}
		if f.now%reportInterval == 0 {
			f.report()
		}
		if f.now%reportInterval == 0 {
			f.noteFalse()
		}
	}
	f.result.falseParts = len(f.falseSeen)
	for _, counts := range f.perSecond {
		f.result.worstSecond = max(f.result.worstSecond, float64(counts[1])/float64(max(1, counts[0])))
	}
	return f.result
}

// noteFalse remembers the sound parts that are quarantined.
func (f *simFleet) noteFalse() {
	for _, t := range f.tables {
		for s := range t.quarantines {
			if s != f.deadly {
				f.falseSeen[s] = true
			}
		}
	}
}

// waves crashes a share of the engines at the same moment, every five seconds.
func waves(share float64) func(time.Duration, *rand.Rand, int) []int {
	return func(at time.Duration, rng *rand.Rand, engines int) []int {
		if at == 0 || at%(5*time.Second) != 0 {
			return nil
		}
		return rng.Perm(engines)[:int(share*float64(engines))]
	}
}

// rolling crashes one engine after the other.
func rolling(interval time.Duration) func(time.Duration, *rand.Rand, int) []int {
	return func(at time.Duration, rng *rand.Rand, engines int) []int {
		if at%interval != 0 {
			return nil
		}
		return []int{rng.IntN(engines)}
	}
}

// fleetSize is the size of a simulated fleet and its load.
type fleetSize struct {
	instances, zones, engines int
	rate                      float64
}

var (
	oneInstance = fleetSize{1, 1, 8, 8}
	smallFleet  = fleetSize{9, 4, 12, 30}
	largeFleet  = fleetSize{62, 6, 80, 150}
	targetFleet = fleetSize{400, 12, 600, 400}
)

func loadOf(z fleetSize) fleetLoad {
	return fleetLoad{instances: z.instances, zones: z.zones, engines: z.engines, rate: z.rate, duration: 20 * time.Second, deadlyFrom: 5 * time.Second, loss: 0.05}
}

// arrivalsAllowed is how many requests with a part that crashes engines may be sent to engines later than contactDelay
// after the fifth crash.
const arrivalsAllowed = 3

// TestFleetRefusesPartThatCrashesEngines guards against requests that crash one engine after another because of a part of
// their prompts, no two of them alike and at any instance. Each instance sees few of the crashes.
func TestFleetRefusesPartThatCrashesEngines(t *testing.T) {
	for _, c := range []struct {
		size       fleetSize
		deadlyRate float64
		loss       float64
	}{
		{oneInstance, 1, 0}, {oneInstance, 4, 0}, {oneInstance, 10, 0},
		{smallFleet, 1, 0.05}, {smallFleet, 4, 0.05}, {smallFleet, 10, 0.05}, {smallFleet, 4, 0.5},
		{largeFleet, 1, 0.05}, {largeFleet, 4, 0.05}, {largeFleet, 10, 0.5},
		{targetFleet, 4, 0.05},
	} {
		t.Run(fmt.Sprintf("%d instances, %.0f a second, %.0f%% lost", c.size.instances, c.deadlyRate, 100*c.loss), func(t *testing.T) {
			t.Parallel()
			l := loadOf(c.size)
			l.deadlyRate, l.loss = c.deadlyRate, c.loss
			r := newSimFleet(l, DefaultSettings(), 1).play()
			t.Logf("%d crashes, %d arrivals; of %d sound requests %d refused, %.2f in the worst second; %d bytes a second an instance",
				r.deadlyCrashes, r.arrivals, r.sound, r.refused, r.worstSecond, r.bytes/c.size.instances/int(l.duration.Seconds()))
			if r.arrivals > arrivalsAllowed || r.worstSecond > 0.5 {
				t.Errorf("%d arrivals, %.2f of the sound requests refused in the worst second", r.arrivals, r.worstSecond)
			}
		})
	}
}

// TestFleetServesOnWhenEnginesCrashByThemselves guards against refusing sound requests because engines crash for other
// reasons, many at once or one after the other.
func TestFleetServesOnWhenEnginesCrashByThemselves(t *testing.T) {
	inWaves, inTurn := waves(0.4), rolling(500*time.Millisecond)
	for name, c := range map[string]struct {
		size  fleetSize
		crash func(time.Duration, *rand.Rand, int) []int
	}{
		"1 instance, in waves": {oneInstance, inWaves}, "9 instances, in waves": {smallFleet, inWaves}, "9 instances, in turn": {smallFleet, inTurn},
		"62 instances, in waves": {largeFleet, inWaves}, "62 instances, in turn": {largeFleet, inTurn}, "400 instances, in waves": {targetFleet, inWaves},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			l := loadOf(c.size)
			l.crash = c.crash
			r := newSimFleet(l, DefaultSettings(), 2).play()
			t.Logf("%d crashes; of %d sound requests %d refused, %.2f in the worst second; %d parts; %d bytes a second an instance",
				r.ownCrashes, r.sound, r.refused, r.worstSecond, r.falseParts, r.bytes/c.size.instances/int(l.duration.Seconds()))
			if r.worstSecond > 0.5 {
				t.Errorf("%.2f of the sound requests refused in the worst second", r.worstSecond)
			}
		})
	}
}
