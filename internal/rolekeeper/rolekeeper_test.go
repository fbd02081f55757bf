package rolekeeper

import (
	"context"
	"encoding/json"
	"io"
	"log/slog"
	"maps"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"sassafrasfield/internal/config"
	"sassafrasfield/internal/lease"
	"sassafrasfield/internal/leaserows"
	"sassafrasfield/internal/platform"
	"sassafrasfield/internal/roles"
	"sassafrasfield/internal/upstreamstate"
)

// fakeTable is an in-memory table.
type fakeTable struct {
	mu       sync.Mutex // protects all below
	rows     map[string]platform.Row
	revision int64
	down     bool
}

func (f *fakeTable) Get(_ context.Context, key string) (platform.Row, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.down {
		return platform.Row{}, platform.ErrUnavailable
	}
	row, ok := f.rows[key]
	if !ok {
		return row, platform.ErrNotFound
	}
	return row, nil
}

func (f *fakeTable) List(context.Context, string) ([]platform.Row, error) { return nil, nil }

func (f *fakeTable) Commit(_ context.Context, txn platform.Txn) (int64, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.down {
		return 0, platform.ErrUnavailable
	}
	for _, check := range txn.Checks {
		if f.rows[check.Key].Revision != check.Revision {
			return 0, platform.ErrConflict
		}
	}
	f.revision++
	for _, w := range txn.Writes {
		f.rows[w.Key] = platform.Row{Key: w.Key, Value: w.Value, Revision: f.revision}
	}
	return f.revision, nil
}

// sentOrder is an order that an engine received.
type sentOrder struct {
	engine, holder string
	at             time.Time
}

// fakeFleet simulates the engines. It implements Orderer and View, and records the orders.
type fakeFleet struct {
	mu       sync.Mutex // protects all below
	engines  []upstreamstate.Engine
	orders   []sentOrder
	excluded []string
	// excludedAt is when MarkUnavailable was first called for an engine.
	excludedAt map[string]time.Time
	serving    bool
	// announceDelay is the keeper's Settings.AnnounceDelay.
	announceDelay time.Duration
	// ignoresOrders makes the engines accept orders without carrying them out.
	ignoresOrders bool
	// stall is how long the next engine that is asked for its state takes to answer.
	stall time.Duration
}

func newFakeFleet(decode int) *fakeFleet {
	f := &fakeFleet{excludedAt: map[string]time.Time{}}
	for i := range decode {
		f.engines = append(f.engines, upstreamstate.Engine{Upstream: upstreamstate.Upstream{ID: string(rune('a' + i)), Zone: "z", Role: config.RoleDecode}})
	}
	return f
}

func (f *fakeFleet) State(context.Context, upstreamstate.Upstream) (EngineState, error) {
	f.mu.Lock()
	stall := f.stall
	f.stall = 0
	f.mu.Unlock()
	time.Sleep(stall)
	return EngineState{}, nil
}

func (f *fakeFleet) Order(_ context.Context, engine upstreamstate.Upstream, o Order) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.orders = append(f.orders, sentOrder{engine: engine.ID, holder: o.Holder, at: time.Now()})
	for i := range f.engines {
		if f.engines[i].ID == engine.ID && !f.ignoresOrders {
			f.engines[i].Role = o.To
		}
	}
	return nil
}

func (f *fakeFleet) Engines() map[string][]upstreamstate.Engine {
	f.mu.Lock()
	defer f.mu.Unlock()
	return map[string][]upstreamstate.Engine{"llm": append([]upstreamstate.Engine{}, f.engines...)}
}

// remove removes an engine from the list.
func (f *fakeFleet) remove(id string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.engines = slices.DeleteFunc(f.engines, func(e upstreamstate.Engine) bool { return e.ID == id })
}

// restart simulates the restart of an engine's process. It keeps its ID.
func (f *fakeFleet) restart(id string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for i := range f.engines {
		if f.engines[i].ID == id {
			f.engines[i].StartedAt++
		}
	}
}

// setLoad sets the load of every engine.
func (f *fakeFleet) setLoad(l upstreamstate.EngineLoad) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for i := range f.engines {
		f.engines[i].Load = l
	}
}

// Times returns the times of the engines on which the workload mixes in the tests of package roles were
// measured.
func (f *fakeFleet) Times(string) upstreamstate.Times {
	return upstreamstate.Times{Known: true, Step: 4550 * time.Microsecond, StepPerRequest: 181 * time.Microsecond, RoleChange: term / 10}
}

func (f *fakeFleet) MarkUnavailable(engine string, _ time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.excluded = append(f.excluded, engine)
	if _, ok := f.excludedAt[engine]; !ok {
		f.excludedAt[engine] = time.Now()
	}
}

func (f *fakeFleet) Serving() bool        { return f.serving }
func (f *fakeFleet) ShouldYield() bool    { return false }
func (f *fakeFleet) Candidates() []string { return []string{"one", "two"} }

func (f *fakeFleet) prefill() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	n := 0
	for _, e := range f.engines {
		if e.Role == config.RolePrefill {
			n++
		}
	}
	return n
}

func (f *fakeFleet) sent() []sentOrder {
	f.mu.Lock()
	defer f.mu.Unlock()
	return append([]sentOrder{}, f.orders...)
}

const term = 400 * time.Millisecond

func run(t *testing.T, name string, table platform.Table, f *fakeFleet) (stop func()) {
	t.Helper()
	return runWith(t, name, table, f, f)
}

func runWith(t *testing.T, name string, table platform.Table, f *fakeFleet, view View) (stop func()) {
	t.Helper()
	policy := roles.DefaultSplitPolicy()
	policy.SmoothingTime, policy.EvidenceThreshold = term, 0.05
	keeper := New(Settings{
		Instance: name, LeaseTerm: term, CheckEvery: 20 * time.Millisecond, MaxConcurrentChanges: 2, ConfirmChecks: 2, AnnounceDelay: f.announceDelay, InitialTarget: roles.Target{PrefillShare: 11.0 / 18, MinDecode: 2}, SplitPolicy: policy,
	}, table, f, view, nil, slog.New(slog.NewTextHandler(io.Discard, nil)))
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		keeper.Run(ctx)
	}()
	stop = func() {
		cancel()
		<-done
	}
	t.Cleanup(stop)
	return stop
}

func waitFor(holds func() bool) {
	for !holds() {
		time.Sleep(time.Millisecond)
	}
}

func newTable() *fakeTable { return &fakeTable{rows: map[string]platform.Row{}} }

func TestOneOfTwoInstancesEstablishesSplit(t *testing.T) {
	f, table := newFakeFleet(9), newTable()
	run(t, "one", table, f)
	run(t, "two", table, f)
	waitFor(func() bool { return f.prefill() == 6 }) // the initial share of 11/18 means 6 of 9 engines
	time.Sleep(2 * term)
	orders := f.sent()
	f.mu.Lock()
	if len(f.excluded) != 6 {
		t.Errorf("engines %v are excluded, want the six that changed", f.excluded)
	}
	f.mu.Unlock()
	if len(orders) != 6 {
		t.Errorf("%d orders for six changes", len(orders))
	}
	for _, o := range orders {
		if o.holder != orders[0].holder {
			t.Errorf("orders of %s and %s", o.holder, orders[0].holder)
		}
	}
}

func TestNextHolderWaitsBeforeFirstOrder(t *testing.T) {
	f, table := newFakeFleet(9), newTable()
	stop := run(t, "one", table, f)
	waitFor(func() bool { return f.prefill() == 6 })
	stop()
	f.mu.Lock()
	for i := range f.engines {
		f.engines[i].Role = config.RoleDecode
	}
	last := f.orders[len(f.orders)-1].at
	f.mu.Unlock()
	run(t, "two", table, f)
	waitFor(func() bool { return len(f.sent()) > 6 })
	if gap := f.sent()[6].at.Sub(last); gap < term {
		t.Errorf("the next holder sent an order %s after the last one", gap)
	}
}

// wantedPrefill returns how many of nine engines the stored target has in prefill. It returns 9 if none is
// stored.
func wantedPrefill(t *testing.T, table *fakeTable) int {
	t.Helper()
	row, err := table.Get(context.Background(), targetKey("llm"))
	if err != nil {
		return 9
	}
	var target roles.Target
	if err := json.Unmarshal(row.Value, &target); err != nil {
		t.Fatal(err)
	}
	return target.PrefillCount(9)
}

// TestSplitFollowsWorkload simulates overloaded decode engines and hardly any prompts, so that the target
// moves towards decode. The next holder continues with that target, although it has not measured a workload
// and the engines returned in another role.
func TestSplitFollowsWorkload(t *testing.T) {
	f, table := newFakeFleet(9), newTable()
	f.serving = true
	f.setLoad(upstreamstate.EngineLoad{Requests: 60, Utilization: 0.05})
	stop := run(t, "one", table, f)
	waitFor(func() bool { return f.prefill() == 6 })
	waitFor(func() bool { return wantedPrefill(t, table) < 6 })
	stop()
	f.setLoad(upstreamstate.EngineLoad{})
	wanted := wantedPrefill(t, table)
	f.mu.Lock()
	for i := range f.engines {
		f.engines[i].Role = config.RoleDecode
	}
	f.mu.Unlock()
	run(t, "two", table, f)
	waitFor(func() bool { return f.prefill() == wanted })
	time.Sleep(2 * term)
	if n := f.prefill(); n != wanted {
		t.Errorf("%d engines in prefill, want %d", n, wanted)
	}
}

// TestEngineIsExcludedBeforeItsOrder: engines change their roles while 300 requests per second arrive. In a
// day's run with 195 instances, twelve such engines refused 66 requests within two seconds, after the
// prompts of these requests had been processed. The other instances were notified of the orders 0.1 to 0.3
// s after the engines.
func TestEngineIsExcludedBeforeItsOrder(t *testing.T) {
	f := newFakeFleet(9)
	f.serving, f.announceDelay = true, term/4
	run(t, "one", newTable(), f)
	waitFor(func() bool { return f.prefill() == 6 })
	for _, o := range f.sent() {
		f.mu.Lock()
		delay := o.at.Sub(f.excludedAt[o.engine])
		f.mu.Unlock()
		if delay < f.announceDelay {
			t.Errorf("the order to %s was sent %s after the announcement, want at least %s", o.engine, delay, f.announceDelay)
		}
	}
}

func TestOrderWithoutEffectIsNotRepeated(t *testing.T) {
	f := newFakeFleet(9)
	f.ignoresOrders = true
	run(t, "one", newTable(), f)
	waitFor(func() bool { return len(f.sent()) == 6 })
	time.Sleep(term)
	if n := len(f.sent()); n != 6 {
		t.Errorf("%d orders, want 6", n)
	}
}

func TestConcurrentChangesAreLimitedWhileServing(t *testing.T) {
	f := newFakeFleet(9)
	f.ignoresOrders, f.serving = true, true
	run(t, "one", newTable(), f)
	waitFor(func() bool { return len(f.sent()) == 2 })
	time.Sleep(term)
	if n := len(f.sent()); n != 2 {
		t.Errorf("%d concurrent orders", n)
	}
}

// TestUnmeasuredChangesDoNotGrowWithEngines guards against a holder that changes the roles of thousands of engines
// before it knows of any work for them: the changes cost more than the traffic of the first seconds can gain.
func TestUnmeasuredChangesDoNotGrowWithEngines(t *testing.T) {
	for _, c := range []struct {
		serving       bool
		announceDelay time.Duration
	}{{false, 0}, {true, 0}, {true, term / 4}} {
		for _, engines := range []int{964, 1928} {
			f := newFakeFleet(engines)
			f.serving, f.announceDelay = c.serving, c.announceDelay
			stop := run(t, "one", newTable(), f)
			waitFor(func() bool { return len(f.sent()) >= maxUnmeasuredChanges })
			time.Sleep(term)
			stop()
			if n := len(f.sent()); n != maxUnmeasuredChanges {
				t.Errorf("%d engines, %+v: %d orders, want %d", engines, c, n, maxUnmeasuredChanges)
			}
		}
	}
}

// TestUnsentOrdersAreSentLater guards against orders that count as role changes although they were never sent, because
// the lease ended while the holder was sending orders: the holder then sent none until it had measured a workload.
func TestUnsentOrdersAreSentLater(t *testing.T) {
	f := newFakeFleet(200)
	f.stall = 2 * term
	run(t, "one", newTable(), f)
	deadline := time.Now().Add(20 * term)
	for len(f.sent()) < maxUnmeasuredChanges {
		if time.Now().After(deadline) {
			t.Fatalf("%d orders, want %d", len(f.sent()), maxUnmeasuredChanges)
		}
		time.Sleep(time.Millisecond)
	}
}

// TestOrdersToRemovedEnginesAreDropped guards against pending orders that are never dropped. Two engines
// were removed with pending orders. These counted towards the maximum number of concurrent changes, so the
// holder sent no more orders until another process acquired the lease.
func TestOrdersToRemovedEnginesAreDropped(t *testing.T) {
	f := newFakeFleet(9)
	f.ignoresOrders, f.serving = true, true
	run(t, "one", newTable(), f)
	waitFor(func() bool { return len(f.sent()) == 2 })
	f.remove(f.sent()[0].engine)
	f.remove(f.sent()[1].engine)
	waitFor(func() bool { return len(f.sent()) == 4 })
}

// TestOrdersToRestartedEnginesAreDropped: restarted engines have the same ID and their former role, and
// have lost their orders.
func TestOrdersToRestartedEnginesAreDropped(t *testing.T) {
	f := newFakeFleet(9)
	f.ignoresOrders, f.serving = true, true
	run(t, "one", newTable(), f)
	waitFor(func() bool { return len(f.sent()) == 2 })
	f.restart(f.sent()[0].engine)
	f.restart(f.sent()[1].engine)
	waitFor(func() bool { return len(f.sent()) == 4 })
}

func TestNoOrdersWithoutStore(t *testing.T) {
	f, table := newFakeFleet(9), newTable()
	table.down = true
	run(t, "one", table, f)
	time.Sleep(term)
	if n := len(f.sent()); n != 0 {
		t.Errorf("%d orders without a lease", n)
	}
}

// snapshot returns a copy of the rows, and the revision of the table.
func (f *fakeTable) snapshot() (map[string]platform.Row, int64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return maps.Clone(f.rows), f.revision
}

// restore replaces the content of the table by a copy, with the next restore generation.
func (f *fakeTable) restore(rows map[string]platform.Row, revision int64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	const generation = 1
	f.revision, f.rows = platform.RevisionOf(generation, revision), map[string]platform.Row{}
	for key, row := range rows {
		row.Revision = platform.RevisionOf(generation, row.Revision)
		f.rows[key] = row
	}
}

// TestEpochRisesAfterRestore guards against reused fencing numbers after the store was restored from a copy
// that is older than a takeover.
func TestEpochRisesAfterRestore(t *testing.T) {
	f, table := newFakeFleet(9), newTable()
	stop := run(t, "one", table, f)
	waitFor(func() bool { return f.prefill() == 6 })
	rows, revision := table.snapshot()
	stop()
	run(t, "two", table, f)
	waitFor(func() bool { return storedEpoch(t, table) == 2 })
	table.restore(rows, revision)
	waitFor(func() bool { return storedEpoch(t, table) > 1 })
	if epoch := storedEpoch(t, table); epoch <= 2 {
		t.Errorf("epoch %d after 2", epoch)
	}
}

// TestTargetIsKeptAfterRestore guards against a target that reverts to the one in the restored copy of the
// store. The holder keeps its target and writes it again.
func TestTargetIsKeptAfterRestore(t *testing.T) {
	target := roles.Target{PrefillShare: 0.5, MinDecode: 2}
	for _, c := range []struct {
		grant lease.Grant
		keeps bool
	}{
		{lease.Grant{Resumed: true, TableRestored: true}, true},
		{lease.Grant{TableRestored: true}, false}, // another holder may have moved the target since
		{lease.Grant{Resumed: true}, false},
	} {
		k := &Keeper{services: map[string]*serviceState{"llm": {target: target, stored: target}}, pendingOrders: map[string]pendingOrder{"e": {}}}
		k.resetState(c.grant)
		s, known := k.services["llm"]
		if known != c.keeps || len(k.pendingOrders) > 0 != c.keeps {
			t.Errorf("%+v: known %t, %d pending orders", c.grant, known, len(k.pendingOrders))
		}
		if known && (s.target != target || s.stored == s.target) {
			t.Errorf("%+v: the target is not written again: %+v", c.grant, s)
		}
	}
}

// storedEpoch returns the epoch of the newest takeover in the table.
func storedEpoch(t *testing.T, table *fakeTable) int64 {
	t.Helper()
	row, err := table.Get(context.Background(), leaserows.EpochKey(LeaseName))
	if err != nil {
		t.Fatal(err)
	}
	var held lease.Row
	if err := json.Unmarshal(row.Value, &held); err != nil {
		t.Fatal(err)
	}
	return held.Epoch
}

// cutView is the view of an instance that may lose its path to the engines.
type cutView struct {
	*fakeFleet
	cut atomic.Bool
}

func (v *cutView) ShouldYield() bool { return v.cut.Load() }

// TestHolderWithoutPathToEnginesYields guards against orders that no engine receives: the holder of the lease has lost
// its path to the engines, and another instance has not. An instance whose path is back may hold the lease again.
func TestHolderWithoutPathToEnginesYields(t *testing.T) {
	f, table := newFakeFleet(9), newTable()
	one, two := &cutView{fakeFleet: f}, &cutView{fakeFleet: f}
	runWith(t, "one", table, f, one)
	waitFor(func() bool { return storedHolder(t, table, "one") })
	one.cut.Store(true)
	stop := runWith(t, "two", table, f, two)
	waitFor(func() bool { return storedHolder(t, table, "two") })
	one.cut.Store(false)
	stop()
	waitFor(func() bool { return storedHolder(t, table, "one") })
}

// storedHolder reports whether an instance holds the stored lease.
func storedHolder(t *testing.T, table *fakeTable, instance string) bool {
	t.Helper()
	row, _, err := leaserows.Read(context.Background(), table, LeaseName)
	if err != nil {
		t.Fatal(err)
	}
	return strings.HasPrefix(row.Holder, instance+"/")
}
