package rollout

import (
	"fmt"
	"maps"
	"reflect"
	"slices"
	"time"

	"pgregory.net/rapid"

	"sassafrasfield/internal/config"
	"sassafrasfield/internal/engine"
	"sassafrasfield/internal/order"
)

// Times of the model, which advances in ticks of a second. The model assumes the guarantees of version
// distribution and of package freshness: a connected instance learns a version within modelPropagation, and
// a disconnected one accepts no new work after modelStaleAfter.
const (
	modelPropagation      = 2 * time.Second
	modelStaleAfter       = 3 * time.Second
	modelInstanceTimeout  = 8 * time.Second
	modelUnreachableAfter = 3 * time.Second
	modelChangeTime       = 2 * time.Second
)

const (
	modelPool       = "p"
	modelMinServing = 1
)

// fakeInstance models an instance with its entry.
type fakeInstance struct {
	doc *config.Config
	// learnedAt is when the instance last learned the newest version.
	learnedAt time.Duration
	// partitioned is true while the instance is disconnected from all others, since partitionedAt.
	partitioned   bool
	partitionedAt time.Duration
}

// knownRouting records when the lease holder first saw a version of an engine's routing.
type knownRouting struct {
	since int64
	at    time.Duration
}

// fakeEngine models an engine that interrupts its streams when it receives a disruptive order.
type fakeEngine struct {
	state, target config.EngineState
	changing      bool
	doneAt        time.Duration
	unreachable   bool
	lastOrder     string
	lastFence     int64
	// streams are the running streams by instance. arriving are the requests in transit by instance, which
	// the instance counts and the engine does not. They arrive within a tick.
	streams, arriving map[string]int
}

// world models the table, the instances, the engines and the lease holder.
type world struct {
	t         *rapid.T
	now       time.Duration
	doc       *config.Config
	instances map[string]*fakeInstance
	engines   map[string]*fakeEngine
	orders    map[string]order.Row
	orderIDs  int
	// The fields below are the memory of the lease holder. A new holder starts without it.
	unreachableEngines UnreachableTimer
	knownRoutings      map[string]knownRouting
}

func newWorld(t *rapid.T) *world {
	w := &world{
		t: t, instances: map[string]*fakeInstance{}, engines: map[string]*fakeEngine{}, orders: map[string]order.Row{},
		doc: &config.Config{Version: 1, Pools: []config.Pool{{Name: modelPool, Model: "m", MinServing: modelMinServing}}},
	}
	w.newHolder()
	loaded := config.EngineState{Model: "m", Version: "1", Role: config.RoleMixed}
	for i := range rapid.IntRange(2, 4).Draw(t, "engines") {
		id := fmt.Sprintf("e%d", i)
		w.doc.Engines = append(w.doc.Engines, config.Engine{
			ID: id, Pool: modelPool, Want: loaded, Loaded: loaded, Routing: config.RoutingServing, RoutingSince: 1,
		})
		w.engines[id] = &fakeEngine{state: loaded, streams: map[string]int{}, arriving: map[string]int{}}
	}
	for i := range rapid.IntRange(1, 3).Draw(t, "instances") {
		w.instances[fmt.Sprintf("i%d", i)] = &fakeInstance{doc: w.doc}
	}
	return w
}

// newHolder replaces the lease holder by one without memory.
func (w *world) newHolder() {
	w.knownRoutings = map[string]knownRouting{}
	w.unreachableEngines = UnreachableTimer{MaxGap: time.Minute}
}

// mayRoute reports whether an instance would send new work to an engine.
func (w *world) mayRoute(i *fakeInstance, id string) bool {
	if i.partitioned && w.now-i.partitionedAt >= modelStaleAfter {
		return false
	}
	return i.doc.Engine(id).Routing == config.RoutingServing
}

func (w *world) route(instance, id string) {
	e := w.engines[id]
	if w.mayRoute(w.instances[instance], id) && !e.unreachable && !e.changing {
		e.arriving[instance]++
	}
}

// arrive delivers all requests in transit to the engine.
func (e *fakeEngine) arrive() {
	for name, n := range e.arriving {
		e.streams[name] += n
	}
	e.arriving = map[string]int{}
}

func (e *fakeEngine) running() int {
	n := 0
	for _, streams := range e.streams {
		n += streams
	}
	return n
}

func (w *world) tick() {
	w.now += time.Second
	for _, i := range w.instances {
		if !i.partitioned && w.now-i.learnedAt >= modelPropagation {
			i.doc, i.learnedAt = w.doc, w.now
		}
	}
	for _, e := range w.engines {
		e.arrive()
		if e.changing && w.now >= e.doneAt {
			e.state, e.changing = e.target, false
		}
	}
}

// crash drops the running requests and the loaded state of the engine, as a restart does.
func (e *fakeEngine) crash(version string) {
	e.state = config.EngineState{Model: "m", Version: version, Role: config.RoleMixed}
	e.changing, e.lastOrder, e.lastFence, e.streams = false, "", 0, map[string]int{}
	e.arriving = map[string]int{}
}

// acceptOrder carries out an order. It checks that the order interrupts no stream.
func (w *world) acceptOrder(id string, row order.Row) {
	e := w.engines[id]
	if e.unreachable {
		return
	}
	e.lastFence = row.Fence()
	if e.changing && e.lastOrder == row.ID {
		return
	}
	if e.state.Disruptive(row.Want) || e.changing {
		if n := e.running() + len(e.arriving); n > 0 {
			w.t.Fatalf("an order to %s interrupts %d streams", id, n)
		}
		for name, i := range w.instances {
			if w.mayRoute(i, id) {
				w.t.Fatalf("an order is sent to %s while %s may route to it", id, name)
			}
		}
	}
	e.lastOrder, e.target, e.changing, e.doneAt = row.ID, row.Want, true, w.now+modelChangeTime
}

// observe queries the instances and then the engines. It calls between after each answer, because the world
// may change in the meantime.
func (w *world) observe(between func()) View {
	v := View{
		Config: w.doc, Pool: modelPool, Engines: map[string]EngineView{}, Orders: map[string]order.Row{},
		Limits: Limits{InstanceTimeout: modelInstanceTimeout, UnreachableAfter: modelUnreachableAfter, MaxLoads: 1},
	}
	for id, row := range w.orders {
		v.Orders[id] = row
	}
	for _, name := range sortedKeys(w.instances) {
		v.Instances = append(v.Instances, w.instanceView(name))
		between()
	}
	for _, id := range sortedKeys(w.engines) {
		v.Engines[id] = w.engineView(id)
		between()
	}
	return v
}

func (w *world) instanceView(name string) InstanceView {
	i := w.instances[name]
	view := InstanceView{ID: name, Version: i.doc.Version, Answered: !i.partitioned, Streams: map[string]int{}}
	if i.partitioned {
		return view
	}
	for id, e := range w.engines {
		view.Streams[id] = e.streams[name] + e.arriving[name]
	}
	return view
}

func (w *world) engineView(id string) EngineView {
	e := w.engines[id]
	since := w.doc.Engine(id).RoutingSince
	if w.knownRoutings[id].since != since {
		w.knownRoutings[id] = knownRouting{since: since, at: w.now}
	}
	age := w.now - w.knownRoutings[id].at
	if e.unreachable {
		return EngineView{UnansweredFor: w.unreachableEngines.Missed(id, w.now), RoutingAge: age}
	}
	w.unreachableEngines.Answered(id)
	return EngineView{Reachable: true, RoutingAge: age, Status: engine.Status{
		State: e.state, Changing: e.changing, Running: e.running(),
		LastOrder: e.lastOrder, LastFence: e.lastFence,
	}}
}

// perform carries out one action. Writes to the table are compare-and-set, so that a decision based on an
// outdated view of an engine has no effect.
func (w *world) perform(v View, action Action) {
	switch a := action.(type) {
	case CloseOrder:
		row := w.orders[a.Engine]
		row.State = order.StateDone
		w.orders[a.Engine] = row
	case SendOrder:
		if !sameEngine(w.doc.Engine(a.Engine), v.Config.Engine(a.Engine)) {
			return
		}
		w.orderIDs++
		row := w.orders[a.Engine].Next(1, a.Engine, a.Want, fmt.Sprint(w.orderIDs))
		w.orders[a.Engine] = row
		w.acceptOrder(a.Engine, row)
	case UpdateRouting:
		w.updateRouting(v, a)
	}
}

func (w *world) updateRouting(v View, update UpdateRouting) {
	next := w.doc.Clone()
	next.Version++
	for _, c := range update.Changes {
		if !sameEngine(w.doc.Engine(c.Engine), v.Config.Engine(c.Engine)) {
			continue
		}
		c.Apply(next)
		if c.Reason == ReasonDrain && v.servingAfter(update) < modelMinServing {
			w.t.Fatalf("draining %s leaves fewer than %d engines serving", c.Engine, modelMinServing)
		}
	}
	w.doc = next
}

// servingAfter returns the number of engines that serve after a routing update.
func (v View) servingAfter(update UpdateRouting) int {
	n := 0
	for _, e := range v.Config.PoolEngines(v.Pool) {
		if v.isServing(e) {
			n++
		}
	}
	for _, c := range update.Changes {
		if c.Reason == ReasonDrain {
			n--
		}
	}
	return n
}

func sameEngine(a, b *config.Engine) bool {
	return reflect.DeepEqual(a, b)
}

func sortedKeys[V any](m map[string]V) []string {
	return slices.Sorted(maps.Keys(m))
}
