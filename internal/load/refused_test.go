package load

import (
	"testing"
	"time"
)

// TestRefusalsDoNotProlongEjection checks that an engine that keeps refusing gets a request again after the
// time of the first ejection, however often it refused. The ejections of an engine that keeps failing grow
// longer.
func TestRefusalsDoNotProlongEjection(t *testing.T) {
	table := NewTable()
	rules := table.Outliers
	recoveredAt := func(record func(string, time.Duration) bool, id string) time.Duration {
		now := time.Second
		for range 5 {
			for !record(id, now) {
				now += time.Millisecond
			}
			for !table.Upstream(id).Health.Admits(now) {
				now += 10 * time.Millisecond
			}
		}
		return now
	}
	if refused := recoveredAt(table.Refused, "refusing"); refused > 5*(rules.EjectFor+time.Second) {
		t.Errorf("five refusals in a row eject an engine for %s", refused)
	}
	if failed := recoveredAt(table.Failed, "failing"); failed < 5*(rules.EjectFor+time.Second) {
		t.Errorf("five failures in a row eject an engine for %s only", failed)
	}
}
