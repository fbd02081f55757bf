package scenario

import (
	"context"
	"fmt"
	"math/rand/v2"
	"syscall"

	"sassafrasfield/internal/testfleet"
	"sassafrasfield/internal/testservers"
)

// faultKind is a kind of fault.
type faultKind string

// Kinds of fault. A pair has two different ones.
const (
	killEntry     faultKind = "kill sf-entry"
	killControl   faultKind = "kill sf-control"
	freezeEntry   faultKind = "freeze sf-entry"
	freezeControl faultKind = "freeze sf-control"
	cutPlatform   faultKind = "cut off from the platform"
	slowPlatform  faultKind = "platform slow"
	platformDown  faultKind = "platform down"
	lostReplies   faultKind = "replies of writes lost"
	staleReads    faultKind = "reads of the table stale"
	cutEngine     faultKind = "engine cut off"
	slowEngine    faultKind = "link to engine slow"
	crashEngine   faultKind = "engine crash"
	breakStreams  faultKind = "engine breaks streams"
	lateReports   faultKind = "load reports late"
	lostAnswers   faultKind = "answers of services lost"
)

// faultKinds lists all kinds in a fixed order, so that a seed always draws the same faults.
var faultKinds = []faultKind{
	killEntry, killControl, freezeEntry, freezeControl, cutPlatform, slowPlatform, platformDown,
	lostReplies, staleReads, cutEngine, slowEngine, crashEngine, breakStreams, lateReports, lostAnswers,
}

// direction is the direction in which a link is cut.
type direction string

// Directions of a cut.
const (
	cutTo   direction = "to"
	cutFrom direction = "from"
	cutBoth direction = "both"
)

// fault is one drawn fault.
type fault struct {
	kind faultKind
	// target is the index of the instance or engine.
	target    int
	direction direction
}

// String describes the fault for output.
func (f fault) String() string {
	return fmt.Sprintf("%s (%d, %s)", f.kind, f.target+1, f.direction)
}

// pair is the two faults of one round.
type pair struct{ first, second fault }

// drawPairs draws the pairs of faults of a seed, with targets in [0, targets).
func drawPairs(seed uint64, rounds, targets int) []pair {
	rng := rand.New(rand.NewPCG(seed, 0))
	draw := func(kind faultKind) fault {
		directions := []direction{cutTo, cutFrom, cutBoth}
		return fault{kind: kind, target: rng.IntN(targets), direction: directions[rng.IntN(len(directions))]}
	}
	var pairs []pair
	for range rounds {
		order := rng.Perm(len(faultKinds))
		pairs = append(pairs, pair{draw(faultKinds[order[0]]), draw(faultKinds[order[1]])})
	}
	return pairs
}

// injector injects and heals the faults of one harness.
type injector struct {
	harness  *Harness
	platform testservers.PlatformFaults
	engines  []testservers.EngineFaults
}

func newInjector(h *Harness) *injector {
	return &injector{harness: h, engines: make([]testservers.EngineFaults, len(h.Fleet.Engines))}
}

func (j *injector) inject(ctx context.Context, f fault) error {
	instance := j.harness.Fleet.Instances[f.target%len(j.harness.Fleet.Instances)]
	switch f.kind {
	case killEntry:
		instance.Entry.Kill()
	case killControl:
		instance.Control.Kill()
	case freezeEntry:
		instance.Entry.Signal(syscall.SIGSTOP)
	case freezeControl:
		instance.Control.Signal(syscall.SIGSTOP)
	case cutPlatform:
		return cutProxy(j.harness.PlatformProxies[instance.ID], f.direction)
	case slowPlatform, platformDown, lostReplies, staleReads:
		return j.injectPlatform(ctx, f)
	case lostAnswers:
		return j.injectServices(ctx, testservers.ServiceFaults{LoseReplies: 2})
	default:
		return j.injectEngine(ctx, f)
	}
	return nil
}

func (j *injector) injectPlatform(ctx context.Context, f fault) error {
	switch f.kind {
	case slowPlatform:
		j.platform.DelayMs = 300
	case platformDown:
		j.platform.Down = true
	case lostReplies:
		j.platform.LoseReplies = 5
	case staleReads:
		j.platform.StaleReadMs = 800
	}
	return j.harness.Fleet.PlatformFault(ctx, j.platform)
}

func (j *injector) injectEngine(ctx context.Context, f fault) error {
	n := f.target % len(j.harness.Fleet.Engines)
	e := j.harness.Fleet.Engines[n]
	faults := &j.engines[n]
	switch f.kind {
	case cutEngine:
		return cutProxy(j.harness.UpstreamProxies[e.ID], f.direction)
	case slowEngine:
		return j.harness.UpstreamProxies[e.ID].Slow(testfleet.FromUpstream, 150)
	case crashEngine:
		faults.Crash = true
		defer func() { faults.Crash = false }()
	case breakStreams:
		faults.BreakAfter, faults.Disorder = 5, true
	case lateReports:
		faults.ReportLagMs = 2000
	}
	return testfleet.Post(ctx, e.Address, testservers.PathFault, *faults, nil)
}

func (j *injector) injectServices(ctx context.Context, faults testservers.ServiceFaults) error {
	for _, s := range j.harness.Fleet.Services {
		if err := testfleet.Post(ctx, s.Address, testservers.PathFault, faults, nil); err != nil {
			return err
		}
	}
	return nil
}

func cutProxy(p *testfleet.Proxy, dir direction) error {
	if dir != cutFrom {
		if err := p.Cut(testfleet.ToUpstream); err != nil {
			return err
		}
	}
	if dir != cutTo {
		return p.Cut(testfleet.FromUpstream)
	}
	return nil
}

// heal ends all faults and restarts exited processes, as the supervisor of the machines does.
func (j *injector) heal(ctx context.Context) error {
	j.platform = testservers.PlatformFaults{}
	if err := j.harness.Fleet.PlatformFault(ctx, j.platform); err != nil {
		return err
	}
	for n, e := range j.harness.Fleet.Engines {
		j.engines[n] = testservers.EngineFaults{}
		if err := testfleet.Post(ctx, e.Address, testservers.PathFault, j.engines[n], nil); err != nil {
			return err
		}
	}
	if err := j.injectServices(ctx, testservers.ServiceFaults{}); err != nil {
		return err
	}
	for _, proxy := range j.harness.PlatformProxies {
		proxy.Heal()
	}
	for _, proxy := range j.harness.UpstreamProxies {
		proxy.Heal()
	}
	return j.restart()
}

func (j *injector) restart() error {
	for _, i := range j.harness.Fleet.Instances {
		i.Entry.Signal(syscall.SIGCONT)
		i.Control.Signal(syscall.SIGCONT)
		if exited(i.Entry) {
			if err := j.harness.Fleet.StartEntry(i); err != nil {
				return err
			}
		}
		if exited(i.Control) {
			if err := j.harness.Fleet.StartControl(i); err != nil {
				return err
			}
		}
	}
	return nil
}

func exited(p *testfleet.Process) bool {
	select {
	case <-p.Done():
		return true
	default:
		return false
	}
}
