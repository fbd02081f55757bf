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

// Times of the model, in ticks of a second. What spread and freshness promise
// is taken as given: an instance that is not cut off learns within modelLearn,
// and one that is takes no new work after modelStale.
const (
	modelLearn       = 2 * time.Second
	modelStale       = 3 * time.Second
	modelSilent      = 8 * time.Second
	modelUnreachable = 3 * time.Second
	modelChange      = 2 * time.Second
)

const (
	modelPool  = "p"
	modelFloor = 1
)

// fakeInstance is an instance with its entry.
type fakeInstance struct {
	doc *config.Config
	// learnedAt is when it last learned the newest version.
	learnedAt time.Duration
	// cut is true while nobody hears it and it hears nobody; cutAt is since
	// when.
	cut   bool
	cutAt time.Duration
}

// knownRouting is when the holder first saw a version of an engine's routing.
type knownRouting struct {
	since int64
	at    time.Duration
}

// fakeEngine is an engine that cuts its streams when a disruptive order comes.
type fakeEngine struct {
	state, target config.EngineState
	changing      bool
	doneAt        time.Duration
	unreachable   bool
	lastOrder     string
	lastFence     int64
	// streams on it for each instance, and requests on their way to it, which
	// the instance counts and the engine does not. They arrive within a tick.
	streams, arriving map[string]int
}

// world is a small model of table, instances, engines and a lease holder.
type world struct {
	t         *rapid.T
	now       time.Duration
	doc       *config.Config
	instances map[string]*fakeInstance
	engines   map[string]*fakeEngine
	orders    map[string]order.Row
	orderIDs  int
	// What the holder remembers, and a new one does not.
	silentEngines UnreachableTimer
	known         map[string]knownRouting
}

func newWorld(t *rapid.T) *world {
	w := &world{
		t: t, instances: map[string]*fakeInstance{}, engines: map[string]*fakeEngine{}, orders: map[string]order.Row{},
		doc: &config.Config{Version: 1, Pools: []config.Pool{{Name: modelPool, Model: "m", MinServing: modelFloor}}},
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

// newHolder forgets what a holder remembers.
func (w *world) newHolder() {
	w.known = map[string]knownRouting{}
	w.silentEngines = UnreachableTimer{MaxGap: time.Minute}
}

// mayPlace tells whether an instance would send new work to an engine.
func (w *world) mayPlace(i *fakeInstance, id string) bool {
	if i.cut && w.now-i.cutAt >= modelStale {
		return false
	}
	return i.doc.Engine(id).Routing == config.RoutingServing
}

func (w *world) place(instance, id string) {
	e := w.engines[id]
	if w.mayPlace(w.instances[instance], id) && !e.unreachable && !e.changing {
		e.arriving[instance]++
	}
}

// arrive lets all requests that are on their way reach the engine.
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
		if !i.cut && w.now-i.learnedAt >= modelLearn {
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

// crash drops what the engine runs and has loaded, as a restart does.
func (e *fakeEngine) crash(version string) {
	e.state = config.EngineState{Model: "m", Version: version, Role: config.RoleMixed}
	e.changing, e.lastOrder, e.lastFence, e.streams = false, "", 0, map[string]int{}
	e.arriving = map[string]int{}
}

// take carries an order out. It checks that nothing is cut off by it.
func (w *world) take(id string, row order.Row) {
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
			w.t.Fatalf("an order to %s cuts %d streams", id, n)
		}
		for name, i := range w.instances {
			if w.mayPlace(i, id) {
				w.t.Fatalf("an order goes to %s while %s may route to it", id, name)
			}
		}
	}
	e.lastOrder, e.target, e.changing, e.doneAt = row.ID, row.Want, true, w.now+modelChange
}

// observe asks the instances and then the engines; between any two answers
// the world goes on.
func (w *world) observe(between func()) View {
	v := View{
		Config: w.doc, Pool: modelPool, Engines: map[string]EngineView{}, Orders: map[string]order.Row{},
		Limits: Limits{InstanceTimeout: modelSilent, UnreachableAfter: modelUnreachable, MaxLoads: 1},
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
	view := InstanceView{ID: name, Version: i.doc.Version, Answered: !i.cut, Streams: map[string]int{}}
	if i.cut {
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
	if w.known[id].since != since {
		w.known[id] = knownRouting{since: since, at: w.now}
	}
	age := w.now - w.known[id].at
	if e.unreachable {
		return EngineView{UnansweredFor: w.silentEngines.Missed(id, w.now), RoutingAge: age}
	}
	w.silentEngines.Answered(id)
	return EngineView{Reachable: true, RoutingAge: age, Status: engine.Status{
		State: e.state, Changing: e.changing, Running: e.running(),
		LastOrder: e.lastOrder, LastFence: e.lastFence,
	}}
}

// carryOut does one action. The table's writes are compare-and-set, so that a
// decision on an old view of an engine has no effect.
func (w *world) carryOut(v View, action Action) {
	switch a := action.(type) {
	case CloseOrder:
		row := w.orders[a.Engine]
		row.State = order.StateDone
		w.orders[a.Engine] = row
	case SendOrder:
		if !sameEntry(w.doc.Engine(a.Engine), v.Config.Engine(a.Engine)) {
			return
		}
		w.orderIDs++
		row := w.orders[a.Engine].Next(1, a.Engine, a.Want, fmt.Sprint(w.orderIDs))
		w.orders[a.Engine] = row
		w.take(a.Engine, row)
	case UpdateRouting:
		w.mark(v, a)
	}
}

func (w *world) mark(v View, mark UpdateRouting) {
	next := w.doc.Clone()
	next.Version++
	for _, c := range mark.Changes {
		if !sameEntry(w.doc.Engine(c.Engine), v.Config.Engine(c.Engine)) {
			continue
		}
		c.Apply(next)
		if c.Reason == ReasonDrain && v.servingAfter(mark) < modelFloor {
			w.t.Fatalf("the drain of %s leaves fewer than %d serving", c.Engine, modelFloor)
		}
	}
	w.doc = next
}

// servingAfter counts the engines that serve once a mark is made.
func (v View) servingAfter(mark UpdateRouting) int {
	n := 0
	for _, e := range v.Config.PoolEngines(v.Pool) {
		if v.serves(e) {
			n++
		}
	}
	for _, c := range mark.Changes {
		if c.Reason == ReasonDrain {
			n--
		}
	}
	return n
}

func sameEntry(a, b *config.Engine) bool {
	return reflect.DeepEqual(a, b)
}

func sortedKeys[V any](m map[string]V) []string {
	return slices.Sorted(maps.Keys(m))
}
