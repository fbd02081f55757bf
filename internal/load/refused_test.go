package load

import (
	"testing"
	"time"
)

// An engine that goes on refusing is asked again after the first ejection's
// time, however often it refused; one that goes on failing, ever later.
func TestRefusalsDoNotProlongEjection(t *testing.T) {
	table := NewTable()
	rules := table.Outliers
	back := func(note func(string, time.Duration) bool, id string) time.Duration {
		now := time.Second
		for range 5 {
			for !note(id, now) {
				now += time.Millisecond
			}
			for !table.Upstream(id).Health.Admits(now) {
				now += 10 * time.Millisecond
			}
		}
		return now
	}
	if refused := back(table.Refused, "refusing"); refused > 5*(rules.EjectFor+time.Second) {
		t.Errorf("five refusals in a row keep an engine away for %s", refused)
	}
	if failed := back(table.Failed, "failing"); failed < 5*(rules.EjectFor+time.Second) {
		t.Errorf("five failures in a row keep an engine away for %s only", failed)
	}
}
