package gossip_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"

	"sassafrasfield/internal/freshness"
	"sassafrasfield/internal/gossip"
)

// Settings of the model.
var (
	modelFresh  = freshness.Settings{FreshFor: 5 * time.Second, AcceptWithin: 4 * time.Second, ReadLag: 500 * time.Millisecond}
	modelGossip = gossip.Settings{PollEvery: time.Second, TableReadsPerSecond: 100, ExchangeEvery: 500 * time.Millisecond, Fanout: 2}
)

const modelStep = 50 * time.Millisecond

// node is one daemon of the model.
type node struct {
	id      string
	run     int           // rises with each restart
	offset  time.Duration // its clock is the model's plus this
	frozen  bool
	held    int64
	fresh   *freshness.State
	machine *gossip.Machine
	noTable bool
}

// message is a message under way; it is dropped when its receiver restarts.
type message struct {
	at  time.Duration
	to  *node
	run int
	do  func()
}

// world is the model: daemons, a table and a network between them.
type world struct {
	t         *rapid.T
	rng       *rand.Rand
	now       time.Duration
	nodes     []*node
	cut       map[[2]string]bool
	tableDown bool
	head      int64
	// committed and firstLearned are when each version was first in the table, and
	// first at a daemon.
	committed, firstLearned map[int64]time.Duration
	inFlight                []message
}

func newWorld(t *rapid.T, n int, seed uint64) *world {
	w := &world{
		t: t, rng: rand.New(rand.NewPCG(seed, 1)), cut: map[[2]string]bool{}, now: time.Hour,
		committed: map[int64]time.Duration{}, firstLearned: map[int64]time.Duration{},
	}
	for i := range n {
		w.nodes = append(w.nodes, &node{id: fmt.Sprintf("i%d", i)})
	}
	for _, d := range w.nodes {
		w.start(d)
	}
	w.head = 1
	w.committed[1], w.firstLearned[1] = w.now, w.now
	return w
}

// start begins a new run, which knows only the instance list.
func (w *world) start(d *node) {
	d.run++
	d.held, d.frozen = 0, false
	d.offset = time.Duration(w.rng.Int64N(int64(time.Hour)))
	d.fresh = freshness.New(d.id, modelFresh, w.clock(d))
	d.machine = gossip.NewMachine(modelGossip, rand.New(rand.NewPCG(w.rng.Uint64(), 2)))
	var ids, peers []string
	for _, other := range w.nodes {
		ids = append(ids, other.id)
		if other != d {
			peers = append(peers, other.id)
		}
	}
	d.fresh.SetMembers(ids)
	d.machine.SetPeers(peers)
}

func (w *world) clock(d *node) time.Duration { return w.now + d.offset }

func (w *world) byID(id string) *node {
	for _, d := range w.nodes {
		if d.id == id {
			return d
		}
	}
	return nil
}

// post delivers a message to a run of a daemon after a delay, unless it is lost.
func (w *world) post(lost bool, to *node, run int, do func()) {
	if lost || w.rng.IntN(20) == 0 {
		return
	}
	delay := time.Duration(w.rng.Int64N(int64(200 * time.Millisecond)))
	if w.rng.IntN(10) == 0 {
		delay = time.Duration(w.rng.Int64N(int64(3 * time.Second)))
	}
	w.inFlight = append(w.inFlight, message{at: w.now + delay, to: to, run: run, do: do})
}

// callPeer sends a request to a peer. The request runs at the peer and returns
// the handler of its answer, which runs at the sender.
func (w *world) callPeer(from, to *node, request func() func()) {
	senderRun := from.run
	w.post(w.cut[[2]string{from.id, to.id}], to, to.run, func() {
		answer := request()
		w.post(w.cut[[2]string{to.id, from.id}], from, senderRun, answer)
	})
}

// callTable sends a request to the table, as callPeer does to a peer.
func (w *world) callTable(from *node, request func() func()) {
	if from.noTable || w.tableDown {
		return
	}
	senderRun := from.run
	delay := time.Duration(w.rng.Int64N(int64(100 * time.Millisecond)))
	w.inFlight = append(w.inFlight, message{at: w.now + delay, do: func() {
		w.post(from.noTable || w.tableDown, from, senderRun, request())
	}})
}

func (w *world) setVersion(d *node, version int64) {
	if version <= d.held {
		return
	}
	d.held = version
	if _, ok := w.firstLearned[version]; !ok {
		w.firstLearned[version] = w.now
	}
	d.fresh.SetHeld(version)
	w.execute(d, d.machine.OnNewVersion(version))
}

func (w *world) execute(d *node, actions []gossip.Action) {
	for _, action := range actions {
		w.executeOne(d, action)
	}
}

func (w *world) executeOne(d *node, action gossip.Action) {
	sent := w.clock(d)
	switch a := action.(type) {
	case gossip.PollHead:
		w.callTable(d, func() func() {
			head := w.staleHead()
			return func() {
				d.fresh.HeadRead(sent, head)
				d.machine.OnHeadRead(w.clock(d), head)
			}
		})
	case gossip.Load:
		w.callTable(d, func() func() { return func() { w.setVersion(d, a.Version) } })
	case gossip.Exchange:
		to := w.byID(a.Peer)
		version := d.held
		w.callPeer(d, to, func() func() {
			to.fresh.NoteVersion(version)
			digest := to.fresh.Digest(w.clock(to), true)
			return func() {
				d.fresh.MergeAnswer(sent, w.clock(d), to.id, digest)
				w.execute(d, d.machine.OnPeerAnswer(w.clock(d), to.id, digest.Version))
			}
		})
	case gossip.Offer:
		to, version := w.byID(a.Peer), d.held
		w.callPeer(d, to, func() func() {
			to.fresh.NoteVersion(version)
			answer := to.machine.OnOffer(w.clock(to), version)
			return func() { w.execute(d, d.machine.OnPeerAnswer(w.clock(d), to.id, answer)) }
		})
	case gossip.Send:
		to, version := w.byID(a.Peer), d.held
		w.callPeer(d, to, func() func() { w.setVersion(to, version); return func() {} })
	case gossip.Fetch:
		to := w.byID(a.Peer)
		w.callPeer(d, to, func() func() {
			version := to.held
			return func() { w.setVersion(d, version) }
		})
	}
}

// staleHead returns the head as a read returns it: at most ReadLag old.
func (w *world) staleHead() int64 {
	if w.rng.IntN(4) == 0 && w.head > 1 && w.now-w.committed[w.head] < modelFresh.ReadLag {
		return w.head - 1
	}
	return w.head
}

// acceptNext makes a daemon prepare the version after the one held, and write it
// once a majority has answered.
func (w *world) acceptNext(d *node) {
	if d.held == 0 || d.frozen {
		return
	}
	version, started, answered := d.held+1, w.now, 0
	d.fresh.Prepare(w.clock(d), version)
	count := func() {
		answered++
		if answered == freshness.Majority(len(w.nodes)) {
			w.commit(d, version, started)
		}
	}
	for _, to := range w.nodes {
		if to != d {
			w.callPeer(d, to, func() func() {
				to.fresh.Prepare(w.clock(to), version)
				return count
			})
		}
	}
	count()
}

func (w *world) commit(d *node, version int64, started time.Duration) {
	w.callTable(d, func() func() {
		late := w.now > started+modelFresh.AcceptWithin
		if late || w.head != version-1 {
			return func() {}
		}
		w.head = version
		w.committed[version] = w.now
		return func() { w.setVersion(d, version) }
	})
}

// advance lets time pass.
func (w *world) advance(period time.Duration) {
	for end := w.now + period; w.now < end; {
		w.now += modelStep
		w.deliver()
		for _, d := range w.nodes {
			if !d.frozen {
				actions, _ := d.machine.Tick(w.clock(d), true)
				w.execute(d, actions)
			}
			w.check(d)
		}
	}
}

// deliver delivers the messages that are due; a frozen daemon gets its messages
// later.
func (w *world) deliver() {
	due := w.inFlight
	w.inFlight = nil
	for _, m := range due {
		switch {
		case m.to != nil && m.to.run != m.run:
		case m.at > w.now || m.to != nil && m.to.frozen:
			w.inFlight = append(w.inFlight, m)
		default:
			m.do()
		}
	}
}

// check checks the invariants for one daemon as if it received a request now.
func (w *world) check(d *node) {
	if d.frozen {
		return
	}
	if d.machine.Version() != d.held {
		w.t.Fatalf("%s: the machine has version %d, but the daemon holds %d", d.id, d.machine.Version(), d.held)
	}
	status := d.fresh.Status(w.clock(d))
	if !status.Fresh {
		return
	}
	next := d.held + 1
	since, exists := w.committed[next]
	if status.Rule == "all" {
		since, exists = w.firstLearned[next]
	}
	if exists && w.now > since+modelFresh.FreshFor {
		w.t.Fatalf("%s serves version %d, by rule %s, %s after version %d was accepted", d.id, d.held, status.Rule, w.now-since, next)
	}
}

// heal ends all faults.
func (w *world) heal() {
	w.cut, w.tableDown = map[[2]string]bool{}, false
	for _, d := range w.nodes {
		d.frozen, d.noTable = false, false
	}
}

// randomEvent starts or ends a random fault, or accepts a version.
func (w *world) randomEvent(t *rapid.T) {
	d := w.nodes[rapid.IntRange(0, len(w.nodes)-1).Draw(t, "daemon")]
	other := w.nodes[rapid.IntRange(0, len(w.nodes)-1).Draw(t, "other")]
	link := [2]string{d.id, other.id}
	switch rapid.SampledFrom([]string{"accept", "accept", "cut", "split", "table", "no table", "freeze", "restart", "heal"}).Draw(t, "event") {
	case "accept":
		w.acceptNext(d)
	case "cut":
		w.cut[link] = !w.cut[link]
	case "split":
		w.partition(rapid.IntRange(0, len(w.nodes)).Draw(t, "side"), rapid.Bool().Draw(t, "table on the first side"))
	case "table":
		w.tableDown = !w.tableDown
	case "no table":
		d.noTable = !d.noTable
	case "freeze":
		d.frozen = !d.frozen
	case "restart":
		w.start(d)
	case "heal":
		w.heal()
	}
}

// partition separates the first n daemons from the others; one side keeps its
// connection to the table.
func (w *world) partition(n int, tableFirst bool) {
	for i, a := range w.nodes {
		for j, b := range w.nodes {
			w.cut[[2]string{a.id, b.id}] = (i < n) != (j < n)
		}
		a.noTable = (i < n) != tableFirst
	}
}

// TestRandomHistoriesKeepVersionsFresh checks in random histories that no daemon
// serves a version for longer than FreshFor after the next one was accepted, and
// that the daemons converge after all faults have ended.
func TestRandomHistoriesKeepVersionsFresh(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(t, rapid.IntRange(1, 5).Draw(t, "daemons"), rapid.Uint64().Draw(t, "seed"))
		w.advance(time.Duration(rapid.IntRange(0, 15).Draw(t, "seconds before")) * time.Second)
		for range rapid.IntRange(1, 40).Draw(t, "events") {
			w.randomEvent(t)
			w.advance(time.Duration(rapid.IntRange(1, 3000).Draw(t, "ms")) * time.Millisecond)
		}
		w.heal()
		w.advance(20 * time.Second)
		for _, d := range w.nodes {
			if d.held != w.head || !d.fresh.Status(w.clock(d)).Fresh {
				t.Fatalf("%s holds version %d, want %d: %+v", d.id, d.held, w.head, d.fresh.Status(w.clock(d)))
			}
		}
	})
}
