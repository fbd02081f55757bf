package lease_test

import (
	"fmt"
	"time"

	"sassafrasfield/internal/config"
	"sassafrasfield/internal/engine"
	"sassafrasfield/internal/lease"
	"sassafrasfield/internal/order"
)

// modelSettings are the settings of the model. Over a term, the clocks differ by
// less than the margin.
var modelSettings = lease.Settings{
	Term: 3 * time.Second, RenewEvery: time.Second, RetryEvery: 200 * time.Millisecond, Margin: 300 * time.Millisecond,
}

const (
	sendGuard = 200 * time.Millisecond
	leaseKey  = "lease"
	epochKey  = "epoch"
)

// cell is one state of a row of the model's table.
type cell struct {
	lease    lease.Row
	order    order.Row
	revision int64
}

// table keeps all states of its rows, so that a read can be arbitrarily stale.
type table struct {
	revision int64
	rows     map[string][]cell
}

func (t *table) read(key string, back int) cell {
	states := t.rows[key]
	if len(states) <= back {
		return cell{}
	}
	return states[len(states)-1-back]
}

func (t *table) commit(checks map[string]int64, writes map[string]cell) (int64, bool) {
	for key, revision := range checks {
		if t.read(key, 0).revision != revision {
			return 0, false
		}
	}
	t.revision++
	for key, c := range writes {
		c.revision = t.revision
		t.rows[key] = append(t.rows[key], c)
	}
	return t.revision, true
}

// call is a read or a write under way. One that its caller has abandoned stays in the
// network and may arrive late.
type call struct {
	read   string // the key; empty for a write
	checks map[string]int64
	writes map[string]cell

	served   bool
	cell     cell
	revision int64
	ok       bool
}

// modelEngine is an engine that refuses lower fencing numbers, or ignores fencing.
type modelEngine struct {
	fencing  config.Fencing
	status   engine.Status
	accepted []engine.Order
}

func (e *modelEngine) accept(o engine.Order) {
	if e.fencing == config.FencingRefuse && o.Fence < e.status.LastFence {
		return
	}
	e.accepted = append(e.accepted, o)
	e.status.LastOrder, e.status.LastFence, e.status.State = o.ID, o.Fence, o.Want
}

// sentOrder is an order under way to an engine.
type sentOrder struct {
	from  *process
	to    int
	order engine.Order
}

// Steps of an order.
const (
	idle = iota
	reading
	journalling
	journalled
	checked
	armed
	sending
	sent
	closing
)

// process is one sf-control process: a lease state machine and the state of one
// order.
type process struct {
	name    string
	machine *lease.Lease
	offset  time.Duration
	rate    float64
	// frozenUntil is in the time of the model, not on the process's clock.
	frozenUntil time.Duration

	leaseCall, orderCall *call

	step   int
	target int
	grant  lease.Grant
	row    order.Row
	killAt time.Duration
}

// world is the whole model: the table, the network, the engines and the processes.
type world struct {
	now       time.Duration
	table     *table
	network   []*call
	orders    []sentOrder
	engines   []*modelEngine
	processes []*process
	runs, ids int
	// vmPauses stops the clocks of frozen processes.
	vmPauses bool
	kills    int // by the kernel timer
}

func newWorld(processes int) *world {
	w := &world{table: &table{rows: map[string][]cell{}}}
	w.engines = []*modelEngine{{fencing: config.FencingRefuse}, {fencing: config.FencingIgnore}}
	for i := range processes {
		w.processes = append(w.processes, w.start(i, 1))
	}
	return w
}

// start returns a new run of a process.
func (w *world) start(i int, rate float64) *process {
	w.runs++
	name := fmt.Sprintf("p%d/run%d", i, w.runs)
	p := &process{name: name, rate: rate, offset: time.Duration(w.runs) * time.Hour}
	p.machine = lease.New(name, modelSettings, w.newID)
	ranks := lease.RankSettings{Watchers: 8, ReadEvery: time.Second, RankDelay: 300 * time.Millisecond}
	p.machine.SetWatchPolicy(ranks.WatchPolicy(i))
	return p
}

func (w *world) newID() string {
	w.ids++
	return fmt.Sprintf("id%d", w.ids)
}

func (w *world) frozen(p *process) bool { return w.now < p.frozenUntil }

// clock returns the time on a process's own clock.
func (w *world) clock(p *process) time.Duration {
	return p.offset + time.Duration(float64(w.now)*p.rate)
}

// advance lets time pass and fires the kernel timers that are due.
func (w *world) advance(by time.Duration) {
	w.now += by
	for i, p := range w.processes {
		if w.vmPauses && w.now-by < p.frozenUntil {
			p.offset -= time.Duration(float64(by) * p.rate)
		}
		if p.killAt > 0 && w.clock(p) >= p.killAt {
			w.kills++
			w.kill(i)
		}
	}
}

// kill replaces a process by a new run. Its sockets are reset: an order that an
// engine that ignores fencing numbers has not read yet is dropped. An engine that
// refuses old numbers may still receive it.
func (w *world) kill(i int) {
	p := w.processes[i]
	w.reset(p)
	w.processes[i] = w.start(i, p.rate)
}

// reset drops the orders of a process that are under way to engines that ignore
// fencing.
func (w *world) reset(p *process) {
	var left []sentOrder
	for _, s := range w.orders {
		if s.from != p || w.engines[s.to].fencing == config.FencingRefuse {
			left = append(left, s)
		}
	}
	w.orders = left
}

// tickLease calls Tick and sends the call that it returns.
func (w *world) tickLease(p *process) {
	action := p.machine.Tick(w.clock(p))
	switch action.Kind {
	case lease.Read:
		p.leaseCall = w.post(&call{read: leaseKey})
	case lease.Write:
		c := &call{checks: map[string]int64{leaseKey: action.Revision}, writes: map[string]cell{leaseKey: {lease: action.Row}}}
		if action.NewEpoch {
			c.writes[epochKey] = cell{lease: action.Row}
		}
		p.leaseCall = w.post(c)
	}
}

func (w *world) post(c *call) *call {
	w.network = append(w.network, c)
	return c
}

// serve executes call i of the network. A read returns the row as it was the given
// number of states ago.
func (w *world) serve(i, stale int) {
	c := w.network[i]
	w.network = append(w.network[:i], w.network[i+1:]...)
	c.served = true
	if c.read != "" {
		c.cell = w.table.read(c.read, stale)
		return
	}
	c.revision, c.ok = w.table.commit(c.checks, c.writes)
}

// finishLease gives a state machine the outcome of its call. The parameter lost
// means that the reply was lost.
func (w *world) finishLease(p *process, lost bool) {
	c := p.leaseCall
	if c == nil || !c.served && !lost {
		return
	}
	p.leaseCall = nil
	now := w.clock(p)
	switch {
	case lost && c.read != "":
		p.machine.OnReadFailed(now)
	case lost:
		p.machine.OnWrite(now, lease.Unknown, 0)
	case c.read != "":
		p.machine.OnRead(now, c.cell.lease, c.cell.revision)
	case c.ok:
		p.machine.OnWrite(now, lease.Committed, c.revision)
	default:
		p.machine.OnWrite(now, lease.Conflicted, 0)
	}
}
