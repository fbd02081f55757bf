package scaling

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"testing"

	"github.com/pkg/errors"

	"sassafrasfield/internal/lease"
	"sassafrasfield/internal/leaserows"
	"sassafrasfield/internal/platform"
	"sassafrasfield/internal/routes"
)

const leaseName = "duties"

// fakePlatform implements the table, the view of the engines, and a sender whose orders take
// effect immediately.
type fakePlatform struct {
	platform.Table
	rows    map[string]platform.Row
	zones   []Zone
	limits  routes.ScaleLimits
	refuse  map[string]bool // zones that refuse orders of spot engines
	lost    map[string]bool // zones for which orders get no answer
	orders  []Order
	tableOK bool
}

func newFakePlatform(zones ...Zone) *fakePlatform {
	f := &fakePlatform{rows: map[string]platform.Row{}, zones: zones, limits: limits, refuse: map[string]bool{}, lost: map[string]bool{}, tableOK: true}
	f.takeOver(1)
	return f
}

func (f *fakePlatform) takeOver(epoch int64) lease.Grant {
	key := leaserows.EpochKey(leaseName)
	f.rows[key] = platform.Row{Key: key, Revision: epoch}
	return lease.Grant{Epoch: epoch, EpochRevision: epoch}
}

func (f *fakePlatform) Get(_ context.Context, key string) (platform.Row, error) {
	if !f.tableOK {
		return platform.Row{}, platform.ErrUnavailable
	}
	row, ok := f.rows[key]
	if !ok {
		return row, platform.ErrNotFound
	}
	return row, nil
}

func (f *fakePlatform) Commit(_ context.Context, txn platform.Txn) (int64, error) {
	for _, c := range txn.Checks {
		if f.rows[c.Key].Revision != c.Revision {
			return 0, platform.ErrConflict
		}
	}
	for _, w := range txn.Writes {
		f.rows[w.Key] = platform.Row{Key: w.Key, Value: w.Value, Revision: 1000}
	}
	return 1000, nil
}

func (f *fakePlatform) Scale(_ context.Context, o Order) error {
	f.orders = append(f.orders, o)
	if f.lost[o.Zone] {
		return errors.New("no answer")
	}
	if o.Kind == Spot && f.refuse[o.Zone] {
		return ErrNoCapacity
	}
	for i := range f.zones {
		if f.zones[i].Name == o.Zone {
			f.zones[i].Engines[o.Kind] = o.Engines
		}
	}
	return nil
}

func (f *fakePlatform) ScalableServices() []Service {
	return []Service{{Name: "llm", Limits: f.limits, Zones: append([]Zone{}, f.zones...)}}
}

func (f *fakePlatform) engines() string {
	text := ""
	for _, z := range f.zones {
		text += fmt.Sprint(z.Engines)
	}
	return text
}

func newTestScaler(f *fakePlatform, instance string) *Scaler {
	return NewScaler(instance, leaseName, sameCount, f, f, f, slog.New(slog.NewTextHandler(io.Discard, nil)))
}

func doTimes(k *Scaler, grant lease.Grant, n int) {
	for range n {
		k.Do(context.Background(), grant)
	}
}

// TestFirstHolderOrdersWhileCounting: the list of engines is incomplete when the first lease
// holder begins. It orders spot engines for the engines seen so far, and removes none before
// the number is stable.
func TestFirstHolderOrdersWhileCounting(t *testing.T) {
	f := newFakePlatform(Zone{Name: "a", Engines: EngineCounts{4, 0}}, Zone{Name: "b"})
	k, grant := newTestScaler(f, "inst-1"), f.takeOver(1)
	doTimes(k, grant, stableObservations-1)
	if got := f.engines(); got != "[4 2][0 2]" {
		t.Fatalf("%s while the list is incomplete", got)
	}
	f.zones[0].Engines[OnDemand] = 3
	f.zones[1].Engines[OnDemand] = 3
	doTimes(k, grant, stableObservations-1)
	if got := f.engines(); got != "[3 3][3 3]" {
		t.Fatalf("%s before the number is stable", got)
	}
	doTimes(k, grant, 3)
	if got := f.engines(); got != "[0 3][0 3]" {
		t.Errorf("%s", got)
	}
	for _, o := range f.orders {
		if o.Holder != "inst-1" || o.Epoch != 1 {
			t.Errorf("%+v", o)
		}
	}
	n := len(f.orders)
	if doTimes(k, grant, 5); len(f.orders) != n {
		t.Errorf("%v, although all engines are as ordered", f.orders[n:])
	}
}

// TestNextHolderUsesStoredCount: the next lease holder sees the running engines, and reads
// how many the service began with. It orders nothing while it cannot read that.
func TestNextHolderUsesStoredCount(t *testing.T) {
	f := newFakePlatform(Zone{Name: "a", Engines: EngineCounts{3, 0}}, Zone{Name: "b", Engines: EngineCounts{3, 0}})
	first, grant := newTestScaler(f, "inst-1"), f.takeOver(1)
	doTimes(first, grant, stableObservations+3)
	f.zones[1].Engines = EngineCounts{} // reclaimed in the meantime
	n := len(f.orders)
	next, nextGrant := newTestScaler(f, "inst-2"), f.takeOver(2)
	f.tableOK = false
	if doTimes(next, nextGrant, stableObservations+1); len(f.orders) != n {
		t.Fatalf("%v without knowing the initial number", f.orders[n:])
	}
	f.tableOK = true
	doTimes(next, nextGrant, 2)
	if got := f.engines(); got != "[0 3][0 3]" || len(f.orders) != n+1 || f.orders[n].Epoch != 2 {
		t.Errorf("%s after %v", got, f.orders[n:])
	}
}

// TestEarlierHolderCannotStoreCount: of two initial lease holders, only the one with the
// newest epoch may store the number of engines. The other removes no engines.
func TestEarlierHolderCannotStoreCount(t *testing.T) {
	f := newFakePlatform(Zone{Name: "a", Engines: EngineCounts{3, 0}})
	k, grant := newTestScaler(f, "inst-1"), f.takeOver(1)
	f.takeOver(2)
	doTimes(k, grant, stableObservations+2)
	if got := f.engines(); got[1] != '3' {
		t.Errorf("%s, although the holder may not store the count", got)
	}
}

// TestNothingIsOrderedUnlessSpotIsCheaper: there are no spot engines, or they do not cost
// less. Zones with different numbers of engines keep them.
func TestNothingIsOrderedUnlessSpotIsCheaper(t *testing.T) {
	for _, price := range []float64{0, 1, 2} {
		f := newFakePlatform(Zone{Name: "a", Engines: EngineCounts{5, 0}}, Zone{Name: "b", Engines: EngineCounts{1, 0}})
		f.limits.SpotPrice = price
		if doTimes(newTestScaler(f, "inst-1"), f.takeOver(1), stableObservations+4); len(f.orders) != 0 {
			t.Errorf("price %g: %v", price, f.orders)
		}
	}
}

// TestOtherZonesTakeOverRefusedOrder: other zones run the engines of a refused order, and the
// order is repeated only after a delay.
func TestOtherZonesTakeOverRefusedOrder(t *testing.T) {
	f := newFakePlatform(Zone{Name: "a", Engines: EngineCounts{3, 0}}, Zone{Name: "b", Engines: EngineCounts{3, 0}})
	f.refuse["b"] = true
	k, grant := newTestScaler(f, "inst-1"), f.takeOver(1)
	doTimes(k, grant, stableObservations+4)
	refused := 0
	for _, o := range f.orders {
		if o.Zone == "b" && o.Kind == Spot {
			refused++
		}
	}
	if got := f.engines(); got != "[0 6][0 0]" || refused != 1 {
		t.Errorf("%s after %d refused orders", got, refused)
	}
	if !errors.Is(f.Scale(context.Background(), Order{EngineGroup: EngineGroup{Zone: "b", Kind: Spot}}), ErrNoCapacity) {
		t.Error("the fake platform does not refuse")
	}
}

// TestFailedOrderDoesNotCountAsRefused: the address for orders does not answer. Other zones
// must not run more engines because of that.
func TestFailedOrderDoesNotCountAsRefused(t *testing.T) {
	f := newFakePlatform(Zone{Name: "a", Engines: EngineCounts{3, 0}}, Zone{Name: "b", Engines: EngineCounts{3, 0}})
	f.lost["b"] = true
	k, grant := newTestScaler(f, "inst-1"), f.takeOver(1)
	doTimes(k, grant, stableObservations+4)
	if got := f.engines(); got != "[0 3][3 0]" {
		t.Errorf("%s", got)
	}
}

// TestZonesAreSortedByName: all lease holders order for the zones in the same sequence.
func TestZonesAreSortedByName(t *testing.T) {
	list := SortedZones(map[string]Zone{"b": {Name: "b"}, "a": {Name: "a"}, "c": {Name: "c"}})
	if list[0].Name != "a" || list[2].Name != "c" {
		t.Errorf("%v", list)
	}
}
