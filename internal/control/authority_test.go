package control_test

import (
	"context"
	"encoding/json"
	"fmt"
	"slices"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/pkg/errors"

	"sassafrasfield/internal/config"
	"sassafrasfield/internal/engine"
	"sassafrasfield/internal/failpoint"
	"sassafrasfield/internal/lease"
	"sassafrasfield/internal/order"
	"sassafrasfield/internal/platform"
	"sassafrasfield/internal/testfleet"
	"sassafrasfield/internal/testservers"
	"sassafrasfield/internal/versions"
)

const modelName = "provenance"

// shortLeaseSettings makes takeovers fast and prevents hand-backs.
const shortLeaseSettings = `[lease]
term = "1s"
renew_every = "300ms"
retry_every = "100ms"
call_timeout = "400ms"
margin = "150ms"
rank_delay = "100ms"
hand_back_after = "1h"
send_guard = "100ms"
`

// rig is a fleet with pools of one engine each.
type rig struct {
	t       testing.TB
	ctx     context.Context
	fleet   *testfleet.Fleet
	version int64
}

// newRig starts a platform, and one engine per given kind of fencing.
func newRig(t testing.TB, tables string, kinds ...config.Fencing) *rig {
	t.Helper()
	bin, err := testfleet.Bin()
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithTimeout(t.Context(), 4*time.Minute)
	t.Cleanup(cancel)
	r := &rig{t: t, ctx: ctx, fleet: testfleet.New(bin, t.TempDir())}
	t.Cleanup(r.fleet.Stop)
	r.must(r.fleet.StartPlatform(ctx))
	for i, kind := range kinds {
		_, err := r.fleet.AddEngine(ctx, fmt.Sprintf("e%d", i), "hall-a", "--model", modelName,
			"--model-version", "1", "--fencing", string(kind), "--load-time", "50ms")
		r.must(err)
	}
	r.fleet.ControlTables = tables
	r.putVersion(kinds)
	return r
}

func (r *rig) must(err error) {
	r.t.Helper()
	if err != nil {
		r.t.Fatal(err)
	}
}

func (r *rig) waitUntil(what string, condition func() bool) {
	r.t.Helper()
	ctx, cancel := context.WithTimeout(r.ctx, 25*time.Second)
	defer cancel()
	if err := testfleet.Until(ctx, what, condition); err != nil {
		for _, i := range r.fleet.Instances {
			r.t.Logf("%s:\n%s", i.ID, i.Control.Log())
		}
		r.t.Fatal(err)
	}
}

// putVersion appends a version in which each engine is wanted with the given
// adapters.
func (r *rig) putVersion(kinds []config.Fencing, adapters ...string) {
	r.t.Helper()
	r.version++
	doc := &config.Config{Version: r.version, Intent: r.version}
	doc.Models = []config.Model{{Name: modelName, Version: "1", Adapters: adapters}}
	for i, kind := range kinds {
		pool := poolName(i)
		doc.Pools = append(doc.Pools, config.Pool{Name: pool, Model: modelName})
		loaded := config.EngineState{Model: modelName, Version: "1", Role: config.RoleMixed}
		want := loaded
		want.Adapters = adapters
		doc.Engines = append(doc.Engines, config.Engine{
			ID: r.fleet.Engines[i].ID, Address: r.fleet.Engines[i].Address, Zone: "hall-a", Pool: pool,
			Fencing: kind, Want: want, Loaded: loaded, Routing: config.RoutingServing, RoutingSince: 1,
		})
	}
	r.waitUntil("the version is written", func() bool { return r.appendOverHead(doc) })
}

func poolName(i int) string { return fmt.Sprintf("pool-%d", i) }

// appendOverHead appends a document after the newest version, and reports
// whether that succeeded.
func (r *rig) appendOverHead(doc *config.Config) bool {
	log := versions.Log{Table: r.fleet.PlatformClient()}
	head, err := log.Head(r.ctx)
	if err != nil {
		return false
	}
	r.version = head.Version + 1
	doc.Version, doc.Intent = r.version, r.version
	return log.Append(r.ctx, head, doc, versions.Entry{Author: "test"}, platform.Txn{}) == nil
}

// addInstance starts an instance. The failpoints apply to all its processes.
func (r *rig) addInstance(id, points string) *testfleet.Instance {
	r.t.Helper()
	r.fleet.Environment = []string{failpoint.Variable + "=" + points}
	i, err := r.fleet.AddInstance(r.ctx, id, "hall-a")
	r.must(err)
	return i
}

// leaseRow returns the lease of a pool in the table.
func (r *rig) leaseRow(pool int) lease.Row {
	var row lease.Row
	if found, err := r.fleet.PlatformClient().Get(r.ctx, "lease/"+poolName(pool)); err == nil {
		r.must(json.Unmarshal(found.Value, &row))
	}
	return row
}

func (r *rig) holds(id string, pool int) bool {
	return strings.HasPrefix(r.leaseRow(pool).Holder, id+"/")
}

// addTwoInstances starts two more instances, so that a majority remains without
// the first.
func (r *rig) addTwoInstances() {
	r.t.Helper()
	for _, id := range []string{"second", "third"} {
		i := r.addInstance(id, "")
		r.waitUntil(id+" runs", func() bool { return strings.Contains(i.Control.Log(), "spread: version learned") })
	}
}

// waitForTakeover waits until an instance other than the first holds the lease.
func (r *rig) waitForTakeover() {
	r.t.Helper()
	r.waitUntil("another instance holds the lease", func() bool { return r.holds("second", 0) || r.holds("third", 0) })
}

func (r *rig) waitForHolder(id string) {
	r.t.Helper()
	r.waitUntil(id+" holds the lease", func() bool { return r.holds(id, 0) })
}

func (r *rig) engineRecord(i int) testservers.EngineRecord {
	var record testservers.EngineRecord
	r.must(testfleet.Post(r.ctx, r.fleet.Engines[i].Address, testservers.PathRecord, nil, &record))
	return record
}

// lastOrderIs reports whether the engine's last order has the given epoch and
// adapters.
func (r *rig) lastOrderIs(i int, epoch int64, adapters ...string) bool {
	orders := r.engineRecord(i).Orders
	if len(orders) == 0 {
		return false
	}
	last := orders[len(orders)-1]
	return order.EpochOf(last.Fence) == epoch && slices.Equal(last.Want.Adapters, adapters)
}

// orderDone reports whether the engine's journalled order is done.
func (r *rig) orderDone(i int) bool {
	found, err := r.fleet.PlatformClient().Get(r.ctx, order.Key(poolName(i), r.fleet.Engines[i].ID))
	if err != nil {
		return false
	}
	row, err := order.Decode(found.Value, found.Revision)
	return err == nil && row.State == order.StateDone
}

// checkEpochOrder checks that no order took effect after one of a later epoch.
func checkEpochOrder(t testing.TB, orders []engine.Order) {
	t.Helper()
	for i := 1; i < len(orders); i++ {
		before, now := orders[i-1], orders[i]
		if order.EpochOf(now.Fence) < order.EpochOf(before.Fence) {
			t.Errorf("order %v of epoch %d took effect after %v of epoch %d", now.Want.Adapters,
				order.EpochOf(now.Fence), before.Want.Adapters, order.EpochOf(before.Fence))
		}
	}
}

// TestProcessFrozenBeforeSendIsKilled guards against an order of an old holder
// that takes effect after one of its successor. The holder is frozen right
// before it writes its order to the socket. Another instance acquires the
// lease, carries out the open order and then a further one. Then the first
// process is resumed. Without the kill timer, the engine must refuse the late
// order.
func TestProcessFrozenBeforeSendIsKilled(t *testing.T) {
	for _, c := range []struct {
		name   string
		kind   config.Fencing
		tables string
		killed bool
	}{
		{"engine that ignores fencing numbers", config.FencingIgnore, shortLeaseSettings, true},
		{"engine that refuses old ones", config.FencingRefuse, shortLeaseSettings, true},
		{"engine that refuses old ones, without the timer", config.FencingRefuse, shortLeaseSettings + "kill_timer = \"ignore\"\n", false},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			kinds := []config.Fencing{c.kind}
			r := newRig(t, c.tables, kinds...)
			frozen := r.addInstance("first", "engine.order.before_write=stop")
			r.waitForHolder("first")
			r.addTwoInstances()
			r.putVersion(kinds, "a")
			r.waitForTakeover()
			r.waitUntil("the successor settles the open order", func() bool { return r.lastOrderIs(0, 2, "a") && r.orderDone(0) })
			r.putVersion(kinds, "b")
			r.waitUntil("the successor's own order is settled", func() bool { return r.lastOrderIs(0, 2, "b") && r.orderDone(0) })
			frozen.Control.Signal(syscall.SIGCONT)
			r.waitUntil("the send of the frozen process has ended", func() bool {
				return exited(frozen.Control) || strings.Contains(frozen.Control.Log(), "order: ")
			})
			checkEpochOrder(t, r.engineRecord(0).Orders)
			if exited(frozen.Control) != c.killed {
				t.Errorf("the frozen process was killed: %v, want %v", !c.killed, c.killed)
			}
			// A process that is resumed may abort the send before the engine has
			// received the order. Otherwise the engine must refuse the order.
			broken := strings.Contains(frozen.Control.Log(), "order: no answer")
			if refused := len(r.engineRecord(0).Refused); !c.killed && !broken && refused != 1 {
				t.Errorf("the engine refused %d orders, want 1", refused)
			}
			if !c.killed {
				r.checkStaleOrderRefused(0, "a")
			}
			if strings.Contains(frozen.Control.Log(), "order: sent") {
				t.Errorf("the frozen process received an answer to its order:\n%s", frozen.Control.Log())
			}
		})
	}
}

// checkStaleOrderRefused sends an order of epoch 1 to the engine. The test
// needs it because the resumed process may have closed its connection before
// the order was written: the scheduler determines whether the write or the end
// of the term comes first.
func (r *rig) checkStaleOrderRefused(number int, adapter string) {
	r.t.Helper()
	client := engine.NewClient(r.fleet.Engines[number].Address, 5*time.Second)
	late := engine.Order{ID: "late", Fence: 1, Want: config.EngineState{
		Model: modelName, Version: "1", Adapters: []string{adapter}, Role: config.RoleMixed,
	}}
	if _, err := client.Order(r.ctx, late); !errors.Is(err, engine.ErrFenced) {
		r.t.Errorf("an order of epoch 1: %v, want a refusal", err)
	}
	if len(r.engineRecord(number).Refused) == 0 {
		r.t.Error("the engine's record has no refused order")
	}
}

func exited(p *testfleet.Process) bool {
	select {
	case <-p.Done():
		return true
	default:
		return false
	}
}

// TestTakeover guards against a fleet without a holder, and against two
// holders: another instance must acquire the lease when its holder is killed,
// frozen or disconnected from the table. The old holder must not hold the lease
// after it is restarted, resumed or reconnected.
func TestTakeover(t *testing.T) {
	for _, fault := range []string{"kill", "freeze", "cut"} {
		t.Run(fault, func(t *testing.T) {
			t.Parallel()
			r := newRig(t, shortLeaseSettings, config.FencingRefuse)
			direct := r.fleet.PlatformAddress
			proxy, err := r.fleet.Proxy("platform", direct)
			r.must(err)
			r.fleet.PlatformAddress = proxy.Address
			first := r.addInstance("first", "")
			r.waitForHolder("first")
			r.fleet.PlatformAddress = direct
			r.addTwoInstances()
			r.injectFault(fault, first, proxy)
			r.waitForTakeover()
			switch fault {
			case "freeze":
				first.Control.Signal(syscall.SIGCONT)
			case "cut":
				proxy.Heal()
			default:
				return
			}
			r.waitUntil("the first process logs that it lost the lease", func() bool {
				return strings.Contains(first.Control.Log(), "lease: lost")
			})
			if row := r.leaseRow(0); row.Epoch != 2 || r.holds("first", 0) {
				t.Errorf("the row is %+v, want epoch 2 with another holder", row)
			}
		})
	}
}

func (r *rig) injectFault(fault string, i *testfleet.Instance, proxy *testfleet.Proxy) {
	switch fault {
	case "kill":
		i.Control.Kill()
	case "freeze":
		i.Control.Signal(syscall.SIGSTOP)
	case "cut":
		r.must(proxy.Cut(testfleet.ToUpstream))
	}
}

// TestHandOverOnTerminate checks that a terminated holder hands its lease over
// immediately. The term of a minute is longer than the test waits.
func TestHandOverOnTerminate(t *testing.T) {
	t.Parallel()
	r := newRig(t, "[lease]\nterm = \"1m\"\nrenew_every = \"300ms\"\n", config.FencingRefuse)
	first := r.addInstance("first", "")
	r.waitForHolder("first")
	r.addTwoInstances()
	first.Control.Signal(syscall.SIGTERM)
	r.waitForTakeover()
	r.waitUntil("the first process exits", func() bool { return exited(first.Control) })
	if err := first.Control.Err(); err != nil {
		t.Errorf("the first process exited with %v", err)
	}
}

// TestTakeoverWithReplyLost guards against a holder that does not notice its
// own takeover, or can't write under it. The reply to the takeover is lost, so
// the holder must read from the table that the takeover succeeded, and the
// revision of the epoch row.
func TestTakeoverWithReplyLost(t *testing.T) {
	t.Parallel()
	kinds := []config.Fencing{config.FencingRefuse}
	r := newRig(t, shortLeaseSettings, kinds...)
	r.must(r.fleet.PlatformFault(r.ctx, testservers.PlatformFaults{LoseReplies: 1, LosePrefix: "epoch/"}))
	first := r.addInstance("first", "")
	r.putVersion(kinds, "a")
	r.waitUntil("the order is settled", func() bool { return r.lastOrderIs(0, 1, "a") && r.orderDone(0) })
	if !strings.Contains(first.Control.Log(), "lease: outcome of a write unknown") {
		t.Errorf("no reply was lost:\n%s", first.Control.Log())
	}
}

// TestTableDown checks that the holder loses its lease but continues to run
// while the table is down, and that no instance acquires a lease before the
// table is back.
func TestTableDown(t *testing.T) {
	t.Parallel()
	r := newRig(t, shortLeaseSettings, config.FencingRefuse)
	first := r.addInstance("first", "")
	r.waitForHolder("first")
	r.addTwoInstances()
	r.must(r.fleet.PlatformFault(r.ctx, testservers.PlatformFaults{Down: true}))
	r.waitUntil("the holder loses the lease", func() bool { return strings.Contains(first.Control.Log(), "lease: lost") })
	for _, i := range r.fleet.Instances[1:] {
		if strings.Contains(i.Control.Log(), "lease: taken") {
			t.Errorf("%s acquired the lease while the table was down:\n%s", i.ID, i.Control.Log())
		}
	}
	r.must(r.fleet.PlatformFault(r.ctx, testservers.PlatformFaults{}))
	r.waitUntil("the row has a new epoch", func() bool { return r.leaseRow(0).Epoch == 2 })
	if exited(first.Control) {
		t.Errorf("the first process exited during the outage: %v", first.Control.Err())
	}
}

// TestLeasesGoToTheirFirstChoice starts the first instance, which acquires all
// leases, and then the others. Each lease must move to the first choice for its
// pool.
func TestLeasesGoToTheirFirstChoice(t *testing.T) {
	t.Parallel()
	kinds := slices.Repeat([]config.Fencing{config.FencingRefuse}, 4)
	r := newRig(t, strings.Replace(shortLeaseSettings, `"1h"`, `"500ms"`, 1), kinds...)
	ids := []string{"inst-1", "inst-2", "inst-3"}
	for _, id := range ids {
		r.addInstance(id, "")
		if id == ids[0] {
			r.waitUntil("the first instance holds all leases", func() bool { return r.allHeldBy(func(int) string { return id }) })
		}
	}
	r.waitUntil("each lease is held by its first choice", func() bool {
		return r.allHeldBy(func(pool int) string {
			return ids[slices.IndexFunc(ids, func(id string) bool { return lease.Rank(poolName(pool), id, ids) == 0 })]
		})
	})
}

func (r *rig) allHeldBy(who func(pool int) string) bool {
	for pool := range r.fleet.Engines {
		if !r.holds(who(pool), pool) {
			return false
		}
	}
	return true
}
