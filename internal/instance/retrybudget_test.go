package instance

import (
	"testing"
	"time"
)

// TestRetryPoolWaitsForSettledCount guards against retry pools that open while instances that started
// together do not know of one another yet: each would grant the whole bound alone.
func TestRetryPoolWaitsForSettledCount(t *testing.T) {
	var c settlingCount
	counts := map[time.Duration]int{0: 1, 500 * time.Millisecond: 4, time.Second: 9, 2 * time.Second: 9}
	last := 0
	for now := time.Duration(0); now <= 2*time.Second; now += budgetInterval {
		if n, ok := counts[now]; ok {
			last = n
		}
		if got, want := c.settled(last, now), now >= time.Second+countSettleTime; got != want {
			t.Errorf("after %s with %d instances: settled %t, want %t", now, last, got, want)
		}
	}
	if !c.settled(8, 3*time.Second) {
		t.Error("a later change of the count closes the pool")
	}
}
