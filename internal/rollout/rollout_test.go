package rollout

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"sassafrasfield/internal/config"
	"sassafrasfield/internal/engine"
	"sassafrasfield/internal/order"
)

// TestHistories interleaves operators, callers, crashes, cuts and holders that
// are killed between any two actions. No order may cut a stream or reach an
// engine that an instance may route to; in the end all is as wanted.
func TestHistories(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(t)
		engines, instances := sortedKeys(w.engines), sortedKeys(w.instances)
		anEngine := func() string { return rapid.SampledFrom(engines).Draw(t, "engine") }
		anInstance := func() string { return rapid.SampledFrom(instances).Draw(t, "instance") }
		between := func() {
			switch rapid.IntRange(0, 5).Draw(t, "between") {
			case 0:
				w.place(anInstance(), anEngine())
			case 1:
				w.learn(anInstance())
			}
		}
		t.Repeat(map[string]func(*rapid.T){
			"place":       func(*rapid.T) { w.place(anInstance(), anEngine()) },
			"finish":      func(*rapid.T) { w.engines[anEngine()].streams = map[string]int{} },
			"learn":       func(*rapid.T) { w.learn(anInstance()) },
			"cut":         func(*rapid.T) { w.cut(anInstance()) },
			"heal":        func(*rapid.T) { w.heal(anInstance()) },
			"tick":        func(*rapid.T) { w.tick() },
			"time passes": func(t *rapid.T) { w.ticksWith(t, between) },
			"crash": func(*rapid.T) {
				w.engines[anEngine()].crash(rapid.SampledFrom([]string{"0", "1", "2"}).Draw(t, "boots with"))
			},
			"unreachable": func(*rapid.T) { w.engines[anEngine()].unreachable = true },
			"return":      func(*rapid.T) { w.engines[anEngine()].unreachable = false },
			"operator":    func(t *rapid.T) { w.operator(t, anEngine()) },
			"takeover":    func(*rapid.T) { w.newHolder() },
			"step":        func(t *rapid.T) { w.step(t, between) },
			"step again":  func(t *rapid.T) { w.step(t, between) },
		})
		w.comesToRest()
	})
}

// learn lets an instance learn the newest version.
func (w *world) learn(name string) {
	if i := w.instances[name]; !i.cut {
		i.doc, i.learnedAt = w.doc, w.now
	}
}

// ticksWith lets some seconds pass, with a look of the holder in each.
func (w *world) ticksWith(t *rapid.T, between func()) {
	for range rapid.IntRange(1, 10).Draw(t, "seconds") {
		w.tick()
		w.step(t, between)
	}
}

func (w *world) cut(name string) {
	if i := w.instances[name]; !i.cut {
		i.cut, i.cutAt = true, w.now
	}
}

// heal lets an instance hear the newest version again before anything else.
func (w *world) heal(name string) {
	w.instances[name].cut = false
	w.learn(name)
}

// operator confirms an intent for one engine.
func (w *world) operator(t *rapid.T, id string) {
	next := w.doc.Clone()
	next.Version++
	next.Intent++
	e := next.Engine(id)
	switch rapid.IntRange(0, 3).Draw(t, "intent") {
	case 0:
		e.Leave = !e.Leave
	case 1:
		e.Want.Version = rapid.SampledFrom([]string{"1", "2"}).Draw(t, "version")
	case 2:
		e.Want.Role = rapid.SampledFrom([]config.Role{config.RoleMixed, config.RoleDecode}).Draw(t, "role")
	case 3:
		e.Want.Adapters = rapid.SampledFrom([][]string{nil, {"a"}}).Draw(t, "adapters")
	}
	w.doc = next
}

// step is one look of a holder, which may be killed between any two actions.
func (w *world) step(t *rapid.T, between func()) {
	v := w.observe(between)
	actions := Next(v)
	for _, action := range actions[:rapid.IntRange(0, len(actions)).Draw(t, "killed after")] {
		w.carryOut(v, action)
		between()
	}
}

// comesToRest mends all faults and lets the streams end: then each engine must
// come to the state that is wanted.
func (w *world) comesToRest() {
	for name := range w.instances {
		w.heal(name)
	}
	for _, e := range w.engines {
		e.unreachable, e.streams, e.arriving = false, map[string]int{}, map[string]int{}
	}
	leaving := 0
	for i := range w.doc.Engines {
		if w.doc.Engines[i].Leave {
			leaving++
		}
	}
	for range 100 {
		v := w.observe(func() {})
		for _, action := range Next(v) {
			w.carryOut(v, action)
		}
		for name := range w.instances {
			w.learn(name)
		}
		w.tick()
	}
	for _, e := range w.doc.PoolEngines(modelPool) {
		heldByFloor := e.Routing == config.RoutingServing && len(w.doc.Engines)-leaving <= modelFloor
		if !Converged(e) && !heldByFloor {
			w.t.Fatalf("%s did not arrive: %+v, engine %+v", e.ID, e, w.engines[e.ID])
		}
	}
}

// mixed returns a state of the tests' one model.
func mixed(version string) config.EngineState {
	return config.EngineState{Model: "m", Version: version, Role: config.RoleMixed}
}

// poolOf returns a view of engines that all serve version 1 and answer so.
func poolOf(floor int, ids ...string) View {
	doc := &config.Config{Version: 5, Pools: []config.Pool{{Name: "p", Model: "m", MinServing: floor}}}
	v := View{Config: doc, Pool: "p", Engines: map[string]EngineView{}, Orders: map[string]order.Row{}}
	v.Limits = Limits{InstanceTimeout: 10 * time.Second, UnreachableAfter: 5 * time.Second}
	v.Instances = []InstanceView{{ID: "i", Answered: true, Version: 5}}
	for _, id := range ids {
		doc.Engines = append(doc.Engines, config.Engine{
			ID: id, Pool: "p", Want: mixed("1"), Loaded: mixed("1"), Routing: config.RoutingServing, RoutingSince: 1,
		})
		v.Engines[id] = EngineView{Reachable: true, Status: engine.Status{State: mixed("1")}}
	}
	return v
}

// onlyChange returns the one change that is decided, or nil.
func onlyChange(t *testing.T, v View) *Change {
	t.Helper()
	actions := Next(v)
	if len(actions) == 0 {
		return nil
	}
	mark, ok := actions[0].(UpdateRouting)
	if !ok || len(actions) != 1 || len(mark.Changes) != 1 {
		t.Fatalf("decided %+v", actions)
	}
	return &mark.Changes[0]
}

func TestFloorHoldsADrainBack(t *testing.T) {
	v := poolOf(2, "a", "b")
	v.Config.Engine("a").Want = mixed("2")
	if c := onlyChange(t, v); c != nil {
		t.Fatalf("drained below the floor: %+v", c)
	}
	if wait := Decide(v).Waits["a"]; wait == "" {
		t.Error("no word on what is waited for")
	}
}

func TestLostStateLeavesRouting(t *testing.T) {
	v := poolOf(2, "a", "b")
	v.Engines["a"] = EngineView{Reachable: true, Status: engine.Status{State: mixed("0")}}
	c := onlyChange(t, v)
	if c == nil || c.Routing != config.RoutingDraining || c.Loaded == nil || !c.Loaded.Equal(mixed("0")) {
		t.Fatalf("an engine that lost its state: %+v", c)
	}
}

func TestSilentEngineLeavesRoutingAfterAWhile(t *testing.T) {
	v := poolOf(0, "a", "b")
	v.Engines["a"] = EngineView{UnansweredFor: time.Second}
	if c := onlyChange(t, v); c != nil {
		t.Fatalf("marked out at once: %+v", c)
	}
	v.Engines["a"] = EngineView{UnansweredFor: 6 * time.Second}
	if c := onlyChange(t, v); c == nil || c.Reason != ReasonUnreachable {
		t.Fatalf("not marked out: %+v", c)
	}
	v.Engines["b"] = EngineView{UnansweredFor: 6 * time.Second}
	if c := onlyChange(t, v); c != nil {
		t.Fatalf("a holder that reaches no engine emptied the pool: %+v", c)
	}
}

func TestSilentInstanceHoldsADrainForAWhile(t *testing.T) {
	v := poolOf(0, "a", "b")
	e := v.Config.Engine("a")
	e.Want, e.Routing, e.RoutingSince = mixed("2"), config.RoutingDraining, 5
	v.Instances = append(v.Instances, InstanceView{ID: "j"})
	seen := EngineView{Reachable: true, RoutingAge: 9 * time.Second, Status: engine.Status{State: mixed("1")}}
	v.Engines["a"] = seen
	if actions := Next(v); len(actions) != 0 {
		t.Fatalf("an instance that may still route was passed over: %+v", actions)
	}
	seen.RoutingAge = 10 * time.Second
	seen.Status.Running = 1
	v.Engines["a"] = seen
	if actions := Next(v); len(actions) != 0 {
		t.Fatalf("a stream of the silent instance would be cut: %+v", actions)
	}
	seen.Status.Running = 0
	v.Engines["a"] = seen
	actions := Next(v)
	if len(actions) != 1 {
		t.Fatalf("the plan stands still for good: %+v", actions)
	}
	if send, ok := actions[0].(SendOrder); !ok || send.Engine != "a" {
		t.Fatalf("decided %+v", actions)
	}
}

func TestWeightStoreBoundsLoads(t *testing.T) {
	ids := []string{"a", "b", "c", "d", "e", "f", "g", "h", "i", "j", "k", "l"}
	v := poolOf(0, ids...)
	for i := range v.Config.Engines {
		v.Config.Engines[i].Want = mixed("2")
	}
	v.Limits.MaxLoads = 2
	mark := Next(v)[0].(UpdateRouting)
	if len(mark.Changes) != 2 {
		t.Errorf("%d engines drained for 2 loads at once", len(mark.Changes))
	}
	v.Limits.MaxLoads = 0
	if mark = Next(v)[0].(UpdateRouting); len(mark.Changes) != MaxOut(len(ids)) {
		t.Errorf("%d engines of %d drained at once", len(mark.Changes), len(ids))
	}
}

func TestSilenceCountsOnlyAskedTime(t *testing.T) {
	s := UnreachableTimer{MaxGap: 2 * time.Second}
	s.Missed("a", 0)
	if d := s.Missed("a", time.Second); d != time.Second {
		t.Errorf("silent for %v", d)
	}
	if d := s.Missed("a", time.Minute); d != 0 {
		t.Errorf("silent for %v after a time in which nobody asked", d)
	}
}
