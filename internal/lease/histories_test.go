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

// The histories are the same each run; -rapid.seed and -rapid.checks give
// others. docs/design/authority.md says how many were run.
func TestMain(m *testing.M) {
	_ = flag.Set("rapid.seed", "20261202")
	_ = flag.Set("rapid.checks", "500")
	os.Exit(m.Run())
}

const (
	minEvents, maxEvents = 1500, 3000
	maxStale             = 6
	shortTime, longTime  = 200, 5000 // ms
)

// eventWeights say how often each event comes.
var eventWeights = []struct {
	kind   string
	weight int
}{
	{"time", 20}, {"tick", 60}, {"order", 120}, {"serve", 120}, {"reply", 90}, {"arrive", 25},
	{"lose", 6}, {"freeze", 6}, {"kill", 1}, {"release", 3}, {"hint", 2}, {"copy", 6},
}

// TestHistories: in random histories no two processes hold the lease at a
// time, epochs never fall, and orders take effect in order on both kinds of
// engines. At the end, with all faults over, one process holds the lease.
func TestHistories(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) { history(t, false) })
}

// TestHistoriesWithPausedClocks: when clocks stand still while their process
// does, as in a paused virtual machine, the leases may overlap; engines that
// refuse old fencing numbers still get their orders in order.
func TestHistoriesWithPausedClocks(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) { history(t, true) })
}

// history draws a seed and a list of numbers; each number is an event. So a
// failing history shrinks to one with fewer events.
func history(t *rapid.T, vmPauses bool) *world {
	w := newWorld(rapid.IntRange(2, 4).Draw(t, "processes"))
	w.vmPauses = vmPauses
	seed := rapid.Uint64().Draw(t, "seed")
	w.setRates(rand.New(rand.NewPCG(seed, seed)))
	events := rapid.SliceOfN(rapid.Uint64(), minEvents, maxEvents).Draw(t, "events")
	for i, event := range events {
		w.event(rand.New(rand.NewPCG(seed+event, uint64(i))))
		w.check(t)
	}
	w.heal(t)
	return w
}

// setRates has the clocks run at rates that differ by less than the margin is
// of the term.
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

// event has one event happen.
func (w *world) event(rng *rand.Rand) {
	kind := drawKind(rng)
	i := rng.IntN(len(w.processes))
	p := w.processes[i]
	switch kind {
	case "time":
		w.advance(time.Duration(1+rng.IntN(longest(rng))) * time.Millisecond)
	case "serve":
		if n := len(w.network); n > 0 {
			w.serve(rng.IntN(n), max(0, rng.IntN(2*maxStale)-maxStale))
		}
	case "arrive", "copy":
		if n := len(w.orders); n > 0 {
			w.reach(kind, rng.IntN(n), rng.IntN(4) == 0)
		}
	case "freeze":
		w.freeze(p, rng)
	case "kill":
		w.kill(i)
	default:
		if !w.frozen(p) {
			w.run(p, kind, rng.IntN(len(w.engines)))
		}
	}
}

// longest is how long time may pass at once, in milliseconds.
func longest(rng *rand.Rand) int {
	if rng.IntN(30) == 0 {
		return longTime
	}
	return shortTime
}

// freeze stops a process for a while, those with an order on its way the more
// often.
func (w *world) freeze(p *process, rng *rand.Rand) {
	if p.step < journalled && rng.IntN(4) > 0 {
		return
	}
	p.frozenUntil = w.now + time.Duration(rng.IntN(8000))*time.Millisecond
}

func (w *world) reach(kind string, i int, lost bool) {
	if kind == "copy" {
		w.duplicate(i)
		return
	}
	w.arrive(i, lost)
}

// run has a process that is not frozen do one thing.
func (w *world) run(p *process, kind string, target int) {
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
		w.giveUpOrder(p)
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

// check looks at the invariants.
func (w *world) check(t *rapid.T) {
	if !w.vmPauses {
		w.oneHolder(t)
	}
	for key, states := range w.table.rows {
		epochsRise(t, key, states)
	}
	for _, e := range w.engines {
		if !w.vmPauses || e.fencing == config.FencingRefuse {
			inOrder(t, e)
		}
	}
}

func (w *world) oneHolder(t *rapid.T) {
	holders := 0
	for _, p := range w.processes {
		if grant, held := p.machine.Held(w.clock(p)); held {
			holders++
			w.resumedTruly(t, p, grant)
		}
	}
	if holders > 1 {
		t.Fatalf("%d processes hold the lease at a time", holders)
	}
}

// resumedTruly checks that the takeover before a resumed one was the same process's.
func (w *world) resumedTruly(t *rapid.T, p *process, grant lease.Grant) {
	takeovers := w.table.rows[epochKey]
	for i, c := range takeovers {
		if !grant.Resumed || c.lease.Epoch != grant.Epoch {
			continue
		}
		if i == 0 || takeovers[i-1].lease.Holder != p.name {
			t.Fatalf("%s takes epoch %d for resumed, after %+v", p.name, grant.Epoch, takeovers[:i])
		}
	}
}

func epochsRise(t *rapid.T, key string, states []cell) {
	last := len(states) - 1
	if last < 1 {
		return
	}
	if key == epochKey && states[last].lease.Epoch == states[last-1].lease.Epoch {
		t.Fatalf("a takeover kept epoch %d", states[last].lease.Epoch)
	}
	if states[last].lease.Epoch < states[last-1].lease.Epoch || states[last].order.Epoch < states[last-1].order.Epoch {
		t.Fatalf("an epoch fell: %+v after %+v", states[last], states[last-1])
	}
}

// inOrder checks an engine's record: epochs never fall, and an order that
// another has followed does not take effect again.
func inOrder(t *rapid.T, e *modelEngine) {
	followed := map[string]bool{}
	for i := 1; i < len(e.took); i++ {
		before, now := e.took[i-1], e.took[i]
		if order.EpochOf(now.Fence) < order.EpochOf(before.Fence) {
			t.Fatalf("engine that would %s: epoch %d took effect after %d",
				e.fencing, order.EpochOf(now.Fence), order.EpochOf(before.Fence))
		}
		if now.ID != before.ID {
			followed[before.ID] = true
		}
		if followed[now.ID] {
			t.Fatalf("engine that would %s: order %s took effect again after %s", e.fencing, now.ID, before.ID)
		}
	}
}

// heal ends all faults and waits until one process holds the lease.
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
		t.Fatalf("nobody holds the lease in the end; the row is %+v", w.table.read(leaseKey, 0))
	}
}

// TestFrozenBeforeSend is the hard case as one fixed history: a process is
// frozen after its last check, right before it sends, and woken after another
// has taken over and has had its own order carried out. The kernel timer has
// ended it by then.
func TestFrozenBeforeSend(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		target := rapid.IntRange(0, 1).Draw(t, "engine")
		w := newWorld(2)
		old := w.processes[0]
		w.work(t, "the first is about to send", 0, target, func() bool { return old.step == sending })
		old.frozenUntil = 1 << 62
		took := func() bool { return len(w.engines[target].took) > 0 }
		w.work(t, "the second has its order carried out", 1, target, took)
		old.frozenUntil = 0
		if w.processes[0] == old {
			w.stepOrder(old, target)
		}
		for len(w.orders) > 0 {
			w.arrive(0, false)
		}
		w.check(t)
		if w.kills != 1 {
			t.Fatalf("the timer ended %d processes, want 1", w.kills)
		}
	})
}

// work has one process work without faults until something is reached.
func (w *world) work(t *rapid.T, what string, i, target int, reached func() bool) {
	for range 1000 {
		if reached() {
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
	t.Fatalf("never: %s", what)
}
