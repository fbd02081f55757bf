package streamversions

import (
	"slices"
	"testing"
	"time"
)

// TestVersionThatServedUnseenIsNotTakenOut guards against a history without a version whose streams callers hold: it
// was rolled back for some seconds while the instance that tidies the histories was frozen or cut off.
func TestVersionThatServedUnseenIsNotTakenOut(t *testing.T) {
	stored := History{Service: "s", Versions: []string{"v1", "v2"}, Revision: 7}
	hub, other := NewCensus(), NewCensus()
	for _, c := range []*Census{hub, other} {
		c.Update("a", "s", "v1", 0)
		c.Update("b", "s", "v2", 0)
		c.ApplyHistory(stored, 0)
		c.Remove("a", time.Second)
	}
	served := time.Second + MaxLifetime
	other.Update("c", "s", "v1", served) // the hub learns of this engine neither when it comes nor when it goes
	if _, unstored := other.Present("s"); len(unstored) > 0 {
		t.Fatalf("the stream would wait for %v", unstored)
	}
	other.Remove("c", served+2*time.Second)
	for _, due := range hub.DueHistories(true, served+3*time.Second) {
		if due.Revision == stored.Revision && !slices.Contains(due.Versions, "v1") {
			t.Errorf("v1, which served 3 s ago, is taken out of the row: %+v", due)
		}
	}
}

// TestVersionThatARestoredRowLacksIsWrittenAgain guards against instances that start without a word of a version that
// served a moment before, because the store was restored from a copy of the time before it appeared.
func TestVersionThatARestoredRowLacksIsWrittenAgain(t *testing.T) {
	c := NewCensus()
	c.Update("a", "s", "v1", 0)
	c.ApplyHistory(History{Service: "s", Versions: []string{"v1"}, Revision: 1}, 0)
	c.Update("b", "s", "v2", time.Second)
	c.ApplyHistory(History{Service: "s", Versions: []string{"v1", "v2"}, Revision: 2}, time.Second)
	c.Remove("b", 5*time.Second)
	c.ApplyHistory(History{Service: "s", Versions: []string{"v1"}, Revision: 1 << 40}, 6*time.Second)
	if due := c.DueHistories(false, 6*time.Second); len(due) != 1 || !slices.Equal(due[0].Versions, []string{"v1", "v2"}) {
		t.Errorf("known here: %v, to write: %+v", c.Versions("s", 6*time.Second), due)
	}
}
