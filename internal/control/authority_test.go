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

// shortLease has takeovers come soon and no lease handed back.
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

// rig is a fleet with pools that have one engine each.
type rig struct {
	t       testing.TB
	ctx     context.Context
	fleet   *testfleet.Fleet
	version int64
}

// newRig starts a platform, and an engine for each kind of fencing given.
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

// put writes the next version: each engine is wanted to have the adapters.
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

// appended writes a document over whatever version is the newest.
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

// add starts an instance, with failpoints in its processes if any are given.
func (r *rig) addInstance(id, points string) *testfleet.Instance {
	r.t.Helper()
	r.fleet.Environment = []string{failpoint.Variable + "=" + points}
	i, err := r.fleet.AddInstance(r.ctx, id, "hall-a")
	r.must(err)
	return i
}

// row is the lease of a pool in the table.
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

// addOthers starts two instances, so that a majority is there without the
// first.
func (r *rig) addTwoInstances() {
	r.t.Helper()
	for _, id := range []string{"second", "third"} {
		i := r.addInstance(id, "")
		r.waitUntil(id+" runs", func() bool { return strings.Contains(i.Control.Log(), "spread: version learned") })
	}
}

// untilTakenOver waits until another than the first holds the lease.
func (r *rig) waitForTakeover() {
	r.t.Helper()
	r.waitUntil("another holds the lease", func() bool { return r.holds("second", 0) || r.holds("third", 0) })
}

func (r *rig) waitForHolder(id string) {
	r.t.Helper()
	r.waitUntil(id+" holds the lease", func() bool { return r.holds(id, 0) })
}

func (r *rig) book(i int) testservers.Book {
	var book testservers.Book
	r.must(testfleet.Post(r.ctx, r.fleet.Engines[i].Address, testservers.PathBook, nil, &book))
	return book
}

// took tells whether the engine's last order was of an epoch with adapters.
func (r *rig) lastOrderIs(i int, epoch int64, adapters ...string) bool {
	orders := r.book(i).Orders
	if len(orders) == 0 {
		return false
	}
	last := orders[len(orders)-1]
	return order.EpochOf(last.Fence) == epoch && slices.Equal(last.Want.Adapters, adapters)
}

// settled tells whether the engine's journalled order is done.
func (r *rig) orderDone(i int) bool {
	found, err := r.fleet.PlatformClient().Get(r.ctx, order.Key(poolName(i), r.fleet.Engines[i].ID))
	if err != nil {
		return false
	}
	row, err := order.Decode(found.Value, found.Revision)
	return err == nil && row.State == order.StateDone
}

// inOrder checks that no order took effect after one of a later epoch, nor
// after another that followed it.
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

// TestFrozenBeforeSend: the holder is stopped right before the bytes of its
// order go out. Another takes over, carries the open order out, and a further
// one. Then the first is woken.
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
			r.waitUntil("the old order is over", func() bool {
				return exited(frozen.Control) || strings.Contains(frozen.Control.Log(), "order: ")
			})
			checkEpochOrder(t, r.book(0).Orders)
			if exited(frozen.Control) != c.killed {
				t.Errorf("the frozen process was killed: %v, want %v", !c.killed, c.killed)
			}
			// A process that is woken may break the send off before the engine
			// has the order; else the engine refuses it.
			broken := strings.Contains(frozen.Control.Log(), "order: no answer")
			if refused := len(r.book(0).Refused); !c.killed && !broken && refused != 1 {
				t.Errorf("the engine refused %d orders, want 1", refused)
			}
			if !c.killed {
				r.checkStaleOrderRefused(0, "a")
			}
			if strings.Contains(frozen.Control.Log(), "order: sent") {
				t.Errorf("the frozen process saw its order answered:\n%s", frozen.Control.Log())
			}
		})
	}
}

// lateOrderIsRefused brings an order of epoch 1 to the engine. The process that
// woke may have broken its connection off before the bytes left: whether its
// write or the end of its term comes first is up to the scheduler.
func (r *rig) checkStaleOrderRefused(number int, adapter string) {
	r.t.Helper()
	client := engine.NewClient(r.fleet.Engines[number].Address, 5*time.Second)
	late := engine.Order{ID: "late", Fence: 1, Want: config.EngineState{
		Model: modelName, Version: "1", Adapters: []string{adapter}, Role: config.RoleMixed,
	}}
	if _, err := client.Order(r.ctx, late); !errors.Is(err, engine.ErrFenced) {
		r.t.Errorf("an order of epoch 1: %v, want a refusal", err)
	}
	if len(r.book(number).Refused) == 0 {
		r.t.Error("the engine's book has no refused order")
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

// TestTakeover: another instance takes the lease over when its holder is
// killed, frozen or cut off from the table, and the old one does not hold it
// when it is back.
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
			r.waitUntil("the first knows that it lost the lease", func() bool {
				return strings.Contains(first.Control.Log(), "lease: lost")
			})
			if row := r.leaseRow(0); row.Epoch != 2 || r.holds("first", 0) {
				t.Errorf("the row is %+v, want epoch 2 of another", row)
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

// TestHandOverOnTerminate: the lease goes over at once, far from the end of a
// term of a minute.
func TestHandOverOnTerminate(t *testing.T) {
	t.Parallel()
	r := newRig(t, "[lease]\nterm = \"1m\"\nrenew_every = \"300ms\"\n", config.FencingRefuse)
	first := r.addInstance("first", "")
	r.waitForHolder("first")
	r.addTwoInstances()
	first.Control.Signal(syscall.SIGTERM)
	r.waitForTakeover()
	r.waitUntil("the first ends", func() bool { return exited(first.Control) })
	if err := first.Control.Err(); err != nil {
		t.Errorf("the first ended with %v", err)
	}
}

// TestTakeoverWithReplyLost: the holder finds its takeover in the table, with
// what it needs to write under it.
func TestTakeoverWhoseReplyIsLost(t *testing.T) {
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

// TestTableDown: the holder loses its authority and goes on running; nobody
// gains any before the table is back.
func TestHolderLosesLeaseWhileTableIsDown(t *testing.T) {
	t.Parallel()
	r := newRig(t, shortLeaseSettings, config.FencingRefuse)
	first := r.addInstance("first", "")
	r.waitForHolder("first")
	r.addTwoInstances()
	r.must(r.fleet.PlatformFault(r.ctx, testservers.PlatformFaults{Down: true}))
	r.waitUntil("the holder loses the lease", func() bool { return strings.Contains(first.Control.Log(), "lease: lost") })
	for _, i := range r.fleet.Instances[1:] {
		if strings.Contains(i.Control.Log(), "lease: taken") {
			t.Errorf("%s gained the lease with the table down:\n%s", i.ID, i.Control.Log())
		}
	}
	r.must(r.fleet.PlatformFault(r.ctx, testservers.PlatformFaults{}))
	r.waitUntil("a new epoch", func() bool { return r.leaseRow(0).Epoch == 2 })
	if exited(first.Control) {
		t.Errorf("the outage ended the first: %v", first.Control.Err())
	}
}

// TestLeasesGoToTheirFirstChoice: the first instance has all leases until the
// others are there; then each goes to the first choice for its pool.
func TestLeasesMoveToPreferredInstance(t *testing.T) {
	t.Parallel()
	kinds := slices.Repeat([]config.Fencing{config.FencingRefuse}, 4)
	r := newRig(t, strings.Replace(shortLeaseSettings, `"1h"`, `"500ms"`, 1), kinds...)
	ids := []string{"inst-1", "inst-2", "inst-3"}
	for _, id := range ids {
		r.addInstance(id, "")
		if id == ids[0] {
			r.waitUntil("it holds all", func() bool { return r.allHeldBy(func(int) string { return id }) })
		}
	}
	r.waitUntil("each lease is at its first choice", func() bool {
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
