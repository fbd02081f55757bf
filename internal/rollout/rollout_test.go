package rollout

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"sassafrasfield/internal/config"
	"sassafrasfield/internal/engine"
	"sassafrasfield/internal/order"
)

// TestRandomHistories interleaves operators, callers, crashes, network partitions, and lease holders that
// are killed between any two actions. No order may interrupt a stream or reach an engine that an instance
// may route to. In the end all engines must have the wanted state.
func TestRandomHistories(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(t)
		engines, instances := sortedKeys(w.engines), sortedKeys(w.instances)
		anEngine := func() string { return rapid.SampledFrom(engines).Draw(t, "engine") }
		anInstance := func() string { return rapid.SampledFrom(instances).Draw(t, "instance") }
		between := func() {
			switch rapid.IntRange(0, 5).Draw(t, "between") {
			case 0:
				w.route(anInstance(), anEngine())
			case 1:
				w.learn(anInstance())
			}
		}
		t.Repeat(map[string]func(*rapid.T){
			"place":       func(*rapid.T) { w.route(anInstance(), anEngine()) },
			"finish":      func(*rapid.T) { w.engines[anEngine()].streams = map[string]int{} },
			"learn":       func(*rapid.T) { w.learn(anInstance()) },
			"cut":         func(*rapid.T) { w.partition(anInstance()) },
			"heal":        func(*rapid.T) { w.heal(anInstance()) },
			"tick":        func(*rapid.T) { w.tick() },
			"time passes": func(t *rapid.T) { w.passTime(t, between) },
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
		w.checkConvergence()
	})
}

// learn makes a connected instance receive the newest version.
func (w *world) learn(name string) {
	if i := w.instances[name]; !i.partitioned {
		i.doc, i.learnedAt = w.doc, w.now
	}
}

// passTime advances by some seconds, with a step of the lease holder in each.
func (w *world) passTime(t *rapid.T, between func()) {
	for range rapid.IntRange(1, 10).Draw(t, "seconds") {
		w.tick()
		w.step(t, between)
	}
}

func (w *world) partition(name string) {
	if i := w.instances[name]; !i.partitioned {
		i.partitioned, i.partitionedAt = true, w.now
	}
}

// heal reconnects an instance. It receives the newest version before anything else happens.
func (w *world) heal(name string) {
	w.instances[name].partitioned = false
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

// step runs one round of the lease holder, which may be killed between any two actions.
func (w *world) step(t *rapid.T, between func()) {
	v := w.observe(between)
	actions := Next(v)
	for _, action := range actions[:rapid.IntRange(0, len(actions)).Draw(t, "killed after")] {
		w.perform(v, action)
		between()
	}
}

// checkConvergence ends all faults and streams. Each engine must then reach the wanted state.
func (w *world) checkConvergence() {
	for name := range w.instances {
		w.heal(name)
	}
	for _, e := range w.engines {
		e.unreachable, e.streams, e.arriving = false, map[string]int{}, map[string]int{}
	}
	withdrawn := 0
	for i := range w.doc.Engines {
		if w.doc.Engines[i].Leave {
			withdrawn++
		}
	}
	for range 100 {
		v := w.observe(func() {})
		for _, action := range Next(v) {
			w.perform(v, action)
		}
		for name := range w.instances {
			w.learn(name)
		}
		w.tick()
	}
	for _, e := range w.doc.PoolEngines(modelPool) {
		keptByMinServing := e.Routing == config.RoutingServing && len(w.doc.Engines)-withdrawn <= modelMinServing
		if !Converged(e) && !keptByMinServing {
			w.t.Fatalf("%s did not converge: %+v, engine %+v", e.ID, e, w.engines[e.ID])
		}
	}
}

// mixedState returns an engine state with a version of the tests' only model.
func mixedState(version string) config.EngineState {
	return config.EngineState{Model: "m", Version: version, Role: config.RoleMixed}
}

// newView returns a view of engines that all serve version 1 and report it.
func newView(minServing int, ids ...string) View {
	doc := &config.Config{Version: 5, Pools: []config.Pool{{Name: "p", Model: "m", MinServing: minServing}}}
	v := View{Config: doc, Pool: "p", Engines: map[string]EngineView{}, Orders: map[string]order.Row{}}
	v.Limits = Limits{InstanceTimeout: 10 * time.Second, UnreachableAfter: 5 * time.Second}
	v.Instances = []InstanceView{{ID: "i", Answered: true, Version: 5}}
	for _, id := range ids {
		doc.Engines = append(doc.Engines, config.Engine{
			ID: id, Pool: "p", Want: mixedState("1"), Loaded: mixedState("1"), Routing: config.RoutingServing, RoutingSince: 1,
		})
		v.Engines[id] = EngineView{Reachable: true, Status: engine.Status{State: mixedState("1")}}
	}
	return v
}

// singleChange returns the only decided change, or nil if nothing is decided. Other decisions fail the test.
func singleChange(t *testing.T, v View) *Change {
	t.Helper()
	actions := Next(v)
	if len(actions) == 0 {
		return nil
	}
	update, ok := actions[0].(UpdateRouting)
	if !ok || len(actions) != 1 || len(update.Changes) != 1 {
		t.Fatalf("decided %+v", actions)
	}
	return &update.Changes[0]
}

func TestMinServingPreventsDrain(t *testing.T) {
	v := newView(2, "a", "b")
	v.Config.Engine("a").Want = mixedState("2")
	if c := singleChange(t, v); c != nil {
		t.Fatalf("drained below MinServing: %+v", c)
	}
	if wait := Decide(v).Waits["a"]; wait == "" {
		t.Error("no reason for the wait is given")
	}
}

func TestEngineWithLostStateIsDrained(t *testing.T) {
	v := newView(2, "a", "b")
	v.Engines["a"] = EngineView{Reachable: true, Status: engine.Status{State: mixedState("0")}}
	c := singleChange(t, v)
	if c == nil || c.Routing != config.RoutingDraining || c.Loaded == nil || !c.Loaded.Equal(mixedState("0")) {
		t.Fatalf("an engine that lost its state: %+v", c)
	}
}

func TestUnreachableEngineIsDrainedAfterTimeout(t *testing.T) {
	v := newView(0, "a", "b")
	v.Engines["a"] = EngineView{UnansweredFor: time.Second}
	if c := singleChange(t, v); c != nil {
		t.Fatalf("drained without a timeout: %+v", c)
	}
	v.Engines["a"] = EngineView{UnansweredFor: 6 * time.Second}
	if c := singleChange(t, v); c == nil || c.Reason != ReasonUnreachable {
		t.Fatalf("not drained: %+v", c)
	}
	v.Engines["b"] = EngineView{UnansweredFor: 6 * time.Second}
	if c := singleChange(t, v); c != nil {
		t.Fatalf("a lease holder that reaches no engine drained the pool: %+v", c)
	}
}

func TestUnresponsiveInstanceDelaysOrderUntilTimeout(t *testing.T) {
	v := newView(0, "a", "b")
	e := v.Config.Engine("a")
	e.Want, e.Routing, e.RoutingSince = mixedState("2"), config.RoutingDraining, 5
	v.Instances = append(v.Instances, InstanceView{ID: "j"})
	view := EngineView{Reachable: true, RoutingAge: 9 * time.Second, Status: engine.Status{State: mixedState("1")}}
	v.Engines["a"] = view
	if actions := Next(v); len(actions) != 0 {
		t.Fatalf("an instance that may still route was ignored: %+v", actions)
	}
	view.RoutingAge = 10 * time.Second
	view.Status.Running = 1
	v.Engines["a"] = view
	if actions := Next(v); len(actions) != 0 {
		t.Fatalf("a stream of the unresponsive instance would be interrupted: %+v", actions)
	}
	view.Status.Running = 0
	v.Engines["a"] = view
	actions := Next(v)
	if len(actions) != 1 {
		t.Fatalf("the rollout makes no progress: %+v", actions)
	}
	if send, ok := actions[0].(SendOrder); !ok || send.Engine != "a" {
		t.Fatalf("decided %+v", actions)
	}
}

func TestWeightStoreBoundsLoads(t *testing.T) {
	ids := []string{"a", "b", "c", "d", "e", "f", "g", "h", "i", "j", "k", "l"}
	v := newView(0, ids...)
	for i := range v.Config.Engines {
		v.Config.Engines[i].Want = mixedState("2")
	}
	v.Limits.MaxLoads = 2
	update := Next(v)[0].(UpdateRouting)
	if len(update.Changes) != 2 {
		t.Errorf("%d engines drained, but only 2 may load weights at a time", len(update.Changes))
	}
	v.Limits.MaxLoads = 0
	if update = Next(v)[0].(UpdateRouting); len(update.Changes) != MaxOut(len(ids)) {
		t.Errorf("%d of %d engines drained at a time", len(update.Changes), len(ids))
	}
}

func TestUnreachableTimerIgnoresGaps(t *testing.T) {
	timer := UnreachableTimer{MaxGap: 2 * time.Second}
	timer.Missed("a", 0)
	if d := timer.Missed("a", time.Second); d != time.Second {
		t.Errorf("unanswered for %v", d)
	}
	if d := timer.Missed("a", time.Minute); d != 0 {
		t.Errorf("unanswered for %v after a time without queries", d)
	}
}
