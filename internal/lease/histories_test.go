package lease_test

import (
	"flag"
	"math/rand/v2"
	"os"
	"testing"
	"time"

	"pgregory.net/rapid"

	"sassafrasfield/internal/config"
	"sassafrasfield/internal/lease"
	"sassafrasfield/internal/order"
)

// TestMain fixes the seed, so that each run checks the same histories. The flags
// -rapid.seed and -rapid.checks select others. docs/design/authority.md says how
// many were run.
func TestMain(m *testing.M) {
	_ = flag.Set("rapid.seed", "20261202")
	_ = flag.Set("rapid.checks", "500")
	os.Exit(m.Run())
}

const (
	minEvents, maxEvents      = 1500, 3000
	maxStale                  = 6
	shortAdvance, longAdvance = 200, 5000 // ms
)

// eventWeights are the relative frequencies of the events.
var eventWeights = []struct {
	kind   string
	weight int
}{
	{"time", 20}, {"tick", 60}, {"order", 120}, {"serve", 120}, {"reply", 90}, {"arrive", 25},
	{"lose", 6}, {"freeze", 6}, {"kill", 1}, {"release", 3}, {"hint", 2}, {"copy", 6},
}

// TestRandomHistoriesKeepOneHolder checks that in random histories no two
// processes hold the lease at the same time, that epochs never decrease, and that
// orders take effect in order on both kinds of engines. At the end, after all
// faults, one process must hold the lease.
func TestRandomHistoriesKeepOneHolder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) { runHistory(t, false) })
}

// TestRandomHistoriesWithPausedClocks stops the clock of a frozen process too, as
// in a paused virtual machine. Leases may then overlap, but on engines that refuse
// old fencing numbers orders must still take effect in order.
func TestRandomHistoriesWithPausedClocks(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) { runHistory(t, true) })
}

// runHistory draws a seed and a list of numbers, each of which is an event. A
// failing history therefore shrinks to one with fewer events.
func runHistory(t *rapid.T, vmPauses bool) *world {
	w := newWorld(rapid.IntRange(2, 4).Draw(t, "processes"))
	w.vmPauses = vmPauses
	seed := rapid.Uint64().Draw(t, "seed")
	w.setRates(rand.New(rand.NewPCG(seed, seed)))
	events := rapid.SliceOfN(rapid.Uint64(), minEvents, maxEvents).Draw(t, "events")
	for i, event := range events {
		w.applyEvent(rand.New(rand.NewPCG(seed+event, uint64(i))))
		w.check(t)
	}
	w.heal(t)
	return w
}

// setRates sets the clocks' rates. Over a term, they differ by less than the
// margin.
func (w *world) setRates(rng *rand.Rand) {
	for _, p := range w.processes {
		p.rate = []float64{0.96, 1, 1.04}[rng.IntN(3)]
	}
}

func drawKind(rng *rand.Rand) string {
	total := 0
	for _, e := range eventWeights {
		total += e.weight
	}
	n := rng.IntN(total)
	for _, e := range eventWeights {
		n -= e.weight
		if n < 0 {
			return e.kind
		}
	}
	return ""
}

// applyEvent applies one random event.
func (w *world) applyEvent(rng *rand.Rand) {
	kind := drawKind(rng)
	i := rng.IntN(len(w.processes))
	p := w.processes[i]
	switch kind {
	case "time":
		w.advance(time.Duration(1+rng.IntN(maxAdvance(rng))) * time.Millisecond)
	case "serve":
		if n := len(w.network); n > 0 {
			w.serve(rng.IntN(n), max(0, rng.IntN(2*maxStale)-maxStale))
		}
	case "arrive", "copy":
		if n := len(w.orders); n > 0 {
			w.arriveOrDuplicate(kind, rng.IntN(n), rng.IntN(4) == 0)
		}
	case "freeze":
		w.freeze(p, rng)
	case "kill":
		w.kill(i)
	default:
		if !w.frozen(p) {
			w.runEvent(p, kind, rng.IntN(len(w.engines)))
		}
	}
}

// maxAdvance returns the longest time that may pass in one event, in
// milliseconds.
func maxAdvance(rng *rand.Rand) int {
	if rng.IntN(30) == 0 {
		return longAdvance
	}
	return shortAdvance
}

// freeze stops a process for up to 8 s. Processes with an order under way are
// frozen more often than others.
func (w *world) freeze(p *process, rng *rand.Rand) {
	if p.step < journalled && rng.IntN(4) > 0 {
		return
	}
	p.frozenUntil = w.now + time.Duration(rng.IntN(8000))*time.Millisecond
}

func (w *world) arriveOrDuplicate(kind string, i int, lost bool) {
	if kind == "copy" {
		w.duplicate(i)
		return
	}
	w.arrive(i, lost)
}

// runEvent applies one event to a process that is not frozen.
func (w *world) runEvent(p *process, kind string, target int) {
	switch kind {
	case "tick":
		if p.leaseCall == nil {
			w.tickLease(p)
		}
	case "order":
		w.stepOrder(p, target)
	case "reply":
		w.finishLease(p, false)
	case "lose":
		w.finishLease(p, true)
		w.failOrderCall(p)
	case "hint":
		p.machine.RequestRead()
	case "release":
		if p.step == idle {
			p.machine.Release()
		}
		if p.machine.Released() {
			p.machine.ResumeWatching()
		}
	}
}

// check checks the invariants.
func (w *world) check(t *rapid.T) {
	if !w.vmPauses {
		w.checkOneHolder(t)
	}
	for key, states := range w.table.rows {
		checkEpochsRise(t, key, states)
	}
	for _, e := range w.engines {
		if !w.vmPauses || e.fencing == config.FencingRefuse {
			checkOrderSequence(t, e)
		}
	}
}

func (w *world) checkOneHolder(t *rapid.T) {
	holders := 0
	for _, p := range w.processes {
		if grant, held := p.machine.Held(w.clock(p)); held {
			holders++
			w.checkResumedGrant(t, p, grant)
		}
	}
	if holders > 1 {
		t.Fatalf("%d processes hold the lease at the same time", holders)
	}
}

// checkResumedGrant checks that the takeover before a resumed one was made by the
// same process.
func (w *world) checkResumedGrant(t *rapid.T, p *process, grant lease.Grant) {
	takeovers := w.table.rows[epochKey]
	for i, c := range takeovers {
		if !grant.Resumed || c.lease.Epoch != grant.Epoch {
			continue
		}
		if i == 0 || takeovers[i-1].lease.Holder != p.name {
			t.Fatalf("%s: the grant of epoch %d is marked as resumed, after %+v", p.name, grant.Epoch, takeovers[:i])
		}
	}
}

func checkEpochsRise(t *rapid.T, key string, states []cell) {
	last := len(states) - 1
	if last < 1 {
		return
	}
	if key == epochKey && states[last].lease.Epoch == states[last-1].lease.Epoch {
		t.Fatalf("a takeover did not increase epoch %d", states[last].lease.Epoch)
	}
	if states[last].lease.Epoch < states[last-1].lease.Epoch || states[last].order.Epoch < states[last-1].order.Epoch {
		t.Fatalf("an epoch decreased: %+v after %+v", states[last], states[last-1])
	}
}

// checkOrderSequence checks the orders that an engine accepted: epochs never
// decrease, and an order does not take effect again after another one has.
func checkOrderSequence(t *rapid.T, e *modelEngine) {
	superseded := map[string]bool{}
	for i := 1; i < len(e.accepted); i++ {
		before, now := e.accepted[i-1], e.accepted[i]
		if order.EpochOf(now.Fence) < order.EpochOf(before.Fence) {
			t.Fatalf("engine with fencing %s: epoch %d took effect after %d",
				e.fencing, order.EpochOf(now.Fence), order.EpochOf(before.Fence))
		}
		if now.ID != before.ID {
			superseded[before.ID] = true
		}
		if superseded[now.ID] {
			t.Fatalf("engine with fencing %s: order %s took effect again after %s", e.fencing, now.ID, before.ID)
		}
	}
}

// heal ends all faults, and fails the test unless a process holds the lease 12 s
// later.
func (w *world) heal(t *rapid.T) {
	for _, p := range w.processes {
		p.frozenUntil = 0
	}
	for range 60 {
		w.advance(200 * time.Millisecond)
		for _, p := range w.processes {
			p.machine.ResumeWatching()
			if p.leaseCall == nil {
				w.tickLease(p)
			}
			for len(w.network) > 0 {
				w.serve(0, 0)
			}
			w.finishLease(p, false)
		}
	}
	held := false
	for _, p := range w.processes {
		_, holds := p.machine.Held(w.clock(p))
		held = held || holds
	}
	if !held {
		t.Fatalf("no process holds the lease at the end; the row is %+v", w.table.read(leaseKey, 0))
	}
}

// TestProcessFrozenBeforeSendIsKilled guards against an old order that is sent
// after a takeover. A process is frozen after its last check, right before it
// sends, and resumed after another process has taken over and had its own order
// carried out. The kernel timer must have killed the first process by then.
func TestProcessFrozenBeforeSendIsKilled(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		target := rapid.IntRange(0, 1).Draw(t, "engine")
		w := newWorld(2)
		old := w.processes[0]
		w.runProcess(t, "the first process is about to send", 0, target, func() bool { return old.step == sending })
		old.frozenUntil = 1 << 62
		accepted := func() bool { return len(w.engines[target].accepted) > 0 }
		w.runProcess(t, "the second process has its order carried out", 1, target, accepted)
		old.frozenUntil = 0
		if w.processes[0] == old {
			w.stepOrder(old, target)
		}
		for len(w.orders) > 0 {
			w.arrive(0, false)
		}
		w.check(t)
		if w.kills != 1 {
			t.Fatalf("the timer killed %d processes, want 1", w.kills)
		}
	})
}

// runProcess runs one process without faults until a condition holds.
func (w *world) runProcess(t *rapid.T, what string, i, target int, condition func() bool) {
	for range 1000 {
		if condition() {
			return
		}
		w.advance(20 * time.Millisecond)
		p := w.processes[i]
		if p.leaseCall == nil {
			w.tickLease(p)
		}
		w.stepOrder(p, target)
		for len(w.network) > 0 {
			w.serve(0, 0)
		}
		w.finishLease(p, false)
		if len(w.orders) > 0 && w.orders[0].from == p {
			w.arrive(0, false)
		}
	}
	t.Fatalf("condition not reached: %s", what)
}
