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

// fakePlatform is a table, a list of engines, and orders that are carried out at once.
type fakePlatform struct {
	platform.Table
	rows    map[string]platform.Row
	zones   []Zone
	limits  routes.ScaleLimits
	refuse  map[string]bool // zones without spot engines
	lost    map[string]bool // zones whose orders are lost
	orders  []Order
	tableOK bool
}

func newFake(zones ...Zone) *fakePlatform {
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

func scaler(f *fakePlatform, instance string) *Scaler {
	return NewScaler(instance, leaseName, asMany, f, f, f, slog.New(slog.NewTextHandler(io.Discard, nil)))
}

func looks(k *Scaler, grant lease.Grant, n int) {
	for range n {
		k.Do(context.Background(), grant)
	}
}

// TestTheFirstHolderOrdersAsItCounts: the list still fills when it begins. Spot engines are
// ordered for those that are seen, and nothing is ordered away before the list stands.
func TestTheFirstHolderOrdersAsItCounts(t *testing.T) {
	f := newFake(Zone{Name: "a", Engines: EngineCounts{4, 0}}, Zone{Name: "b"})
	k, grant := scaler(f, "inst-1"), f.takeOver(1)
	looks(k, grant, settledLooks-1)
	if got := f.engines(); got != "[4 2][0 2]" {
		t.Fatalf("%s while the list fills", got)
	}
	f.zones[0].Engines[OnDemand] = 3
	f.zones[1].Engines[OnDemand] = 3
	looks(k, grant, settledLooks-1)
	if got := f.engines(); got != "[3 3][3 3]" {
		t.Fatalf("%s before the list stands", got)
	}
	looks(k, grant, 3)
	if got := f.engines(); got != "[0 3][0 3]" {
		t.Errorf("%s", got)
	}
	for _, o := range f.orders {
		if o.Holder != "inst-1" || o.Epoch != 1 {
			t.Errorf("%+v", o)
		}
	}
	n := len(f.orders)
	if looks(k, grant, 5); len(f.orders) != n {
		t.Errorf("%v, though all is as ordered", f.orders[n:])
	}
}

// TestTheNextHolderGoesOn: it finds what is there, and knows how many there were at first.
func TestTheNextHolderGoesOn(t *testing.T) {
	f := newFake(Zone{Name: "a", Engines: EngineCounts{3, 0}}, Zone{Name: "b", Engines: EngineCounts{3, 0}})
	first, grant := scaler(f, "inst-1"), f.takeOver(1)
	looks(first, grant, settledLooks+3)
	f.zones[1].Engines = EngineCounts{} // taken back meanwhile
	n := len(f.orders)
	next, taken := scaler(f, "inst-2"), f.takeOver(2)
	f.tableOK = false
	if looks(next, taken, settledLooks+1); len(f.orders) != n {
		t.Fatalf("%v without knowing how many there were", f.orders[n:])
	}
	f.tableOK = true
	looks(next, taken, 2)
	if got := f.engines(); got != "[0 3][0 3]" || len(f.orders) != n+1 || f.orders[n].Epoch != 2 {
		t.Errorf("%s after %v", got, f.orders[n:])
	}
}

// TestAnEarlierHolderCountsNothing: of two that begin, the one with the newest epoch does,
// and nothing is ordered away before.
func TestAnEarlierHolderCountsNothing(t *testing.T) {
	f := newFake(Zone{Name: "a", Engines: EngineCounts{3, 0}})
	k, grant := scaler(f, "inst-1"), f.takeOver(1)
	f.takeOver(2)
	looks(k, grant, settledLooks+2)
	if got := f.engines(); got[1] != '3' {
		t.Errorf("%s, though it may not count", got)
	}
}

// TestWithoutCheaperSpotEnginesNothingIsOrdered: there is no such kind, or it costs no less.
// Also zones that have unlike many engines keep them.
func TestWithoutCheaperSpotEnginesNothingIsOrdered(t *testing.T) {
	for _, price := range []float64{0, 1, 2} {
		f := newFake(Zone{Name: "a", Engines: EngineCounts{5, 0}}, Zone{Name: "b", Engines: EngineCounts{1, 0}})
		f.limits.SpotPrice = price
		if looks(scaler(f, "inst-1"), f.takeOver(1), settledLooks+4); len(f.orders) != 0 {
			t.Errorf("price %g: %v", price, f.orders)
		}
	}
}

// TestARefusedOrderIsTakenByOtherZones: and asked for again only after a pause.
func TestARefusedOrderIsTakenByOtherZones(t *testing.T) {
	f := newFake(Zone{Name: "a", Engines: EngineCounts{3, 0}}, Zone{Name: "b", Engines: EngineCounts{3, 0}})
	f.refuse["b"] = true
	k, grant := scaler(f, "inst-1"), f.takeOver(1)
	looks(k, grant, settledLooks+4)
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
		t.Error("the fake does not refuse")
	}
}

// TestAnOrderThatMayNotHaveComeSaysNothingOfEngines: the address for orders is down, and no
// other zone is to run more for that.
func TestAnOrderThatMayNotHaveComeSaysNothingOfEngines(t *testing.T) {
	f := newFake(Zone{Name: "a", Engines: EngineCounts{3, 0}}, Zone{Name: "b", Engines: EngineCounts{3, 0}})
	f.lost["b"] = true
	k, grant := scaler(f, "inst-1"), f.takeOver(1)
	looks(k, grant, settledLooks+4)
	if got := f.engines(); got != "[0 3][3 0]" {
		t.Errorf("%s", got)
	}
}

// TestZonesAreListedByName: orders of two holders go to the same zones in the same order.
func TestZonesAreListedByName(t *testing.T) {
	list := SortedZones(map[string]Zone{"b": {Name: "b"}, "a": {Name: "a"}, "c": {Name: "c"}})
	if list[0].Name != "a" || list[2].Name != "c" {
		t.Errorf("%v", list)
	}
}
