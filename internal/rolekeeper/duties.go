package rolekeeper

import (
	"context"
	"time"

	"sassafrasfield/internal/bootclock"
)

// Bounds of one duty's calls.
const (
	// dutyTime bounds what a duty does at one look, so that the lease is renewed in time.
	dutyTime = 700 * time.Millisecond
	// dutyMargin is kept of the term: a call that was sent within it has arrived when
	// the next holder makes its first one, as that waits for the length of a lease.
	dutyMargin = 300 * time.Millisecond
)

// doDuties does the other duties of the lease's holder.
func (k *Keeper) doDuties(ctx context.Context) {
	for _, d := range k.duties {
		now := bootclock.Now()
		grant, held := k.machine.Held(now)
		left := grant.Until - now - dutyMargin
		if !held || !k.settled(grant) || left <= 0 {
			return
		}
		doing, cancel := context.WithTimeout(ctx, min(dutyTime, left))
		d.Do(doing, grant)
		cancel()
		k.drive(ctx)
	}
}
