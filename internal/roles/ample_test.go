package roles

import (
	"fmt"
	"testing"
)

// TestLargeIdleFleetKeepsItsSplit guards against role changes that gain nothing. A fleet of 9,640 engines with the
// work of some forty was ordered towards the split that suits eighteen engines with the work of fifteen: 615 orders
// on a day without failures. A small fleet must still change its roles for the same work.
func TestLargeIdleFleetKeepsItsSplit(t *testing.T) {
	for _, c := range []struct {
		total, prefill int
		w              Workload
		ample          bool
	}{
		{total: 9640, prefill: 3952, w: measured(42, 150, 3), ample: true},
		{total: 19280, prefill: 7904, w: measured(84, 300, 6), ample: true},
		{total: 9640, prefill: 3952, w: measured(0, 0, 0), ample: true},
		{total: 9640, prefill: 3952, w: measured(3600, 150, 3), ample: false},
		{total: 9640, prefill: 3952, w: measured(42, 5688*64, 3), ample: false},
		{total: 9640, prefill: 50, w: measured(42, 150, 3), ample: false},
		{total: 9640, prefill: 0, w: measured(42, 150, 3), ample: false},
		{total: 18, prefill: 7, w: measured(6, 80, 1), ample: false},
		{total: 18, prefill: 11, w: measured(9, 80, 1), ample: false},
		{total: 9640, prefill: 3952, w: Workload{PrefillLoad: 42}, ample: false}, // not measured yet
	} {
		t.Run(fmt.Sprint(c.total, c.prefill, c.w.PrefillLoad), func(t *testing.T) {
			if got := referencePolicy().Ample(c.w, c.prefill, c.total); got != c.ample {
				t.Errorf("ample: %t", got)
			}
		})
	}
}
