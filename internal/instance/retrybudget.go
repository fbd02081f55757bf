package instance

import (
	"context"
	"time"

	"sassafrasfield/internal/pause"
)

// Timings of the counts of the instances that share the retry budget.
const (
	budgetInterval = 250 * time.Millisecond
	// countSettleTime is how long the count of instances must be unchanged after a start. If all instances of
	// a deployment start at the same time, they first count only themselves, and each would use the
	// whole retry pools alone. Instances report every 0.1 to 0.4 s.
	countSettleTime = 750 * time.Millisecond
	// minPoolHubDuration is how long an instance must have been its zone's hub before it provides the
	// zone's retry pool. If two instances assume that they are the hub, they detect this within that time.
	minPoolHubDuration = time.Second
)

// shareBudget limits this instance to its share of the retry budget.
func (in *Instance) shareBudget(ctx context.Context) {
	var count settlingCount
	for pause.For(ctx, budgetInterval) {
		settings := *in.budget.Load()
		in.relay.SetBudget(settings)
		instances, members := in.peers.InstanceCount(), 0
		if count.settled(instances, time.Since(in.started)) && in.peers.HubDuration() >= minPoolHubDuration {
			members = in.peers.ZoneInstanceCount()
		}
		in.relay.SetPool(settings, members, instances)
	}
}

// settlingCount is a count that is not relied on until it has stayed the same for countSettleTime.
type settlingCount struct {
	value     int
	changedAt time.Duration
	done      bool
}

// settled notes the count at a time since the start, and reports whether it has settled. Once it has, later
// changes are relied on at once.
func (c *settlingCount) settled(value int, now time.Duration) bool {
	if value != c.value {
		c.value, c.changedAt = value, now
	}
	c.done = c.done || now-c.changedAt >= countSettleTime
	return c.done
}
