package rolekeeper

import (
	"context"
	"time"

	"sassafrasfield/internal/bootclock"
)

// Time limits of the calls of a duty.
const (
	// dutyTimeout limits one call of Duty.Do, so that the lease is renewed in time.
	dutyTimeout = 700 * time.Millisecond
	// dutyMargin is the end of the lease term in which a duty sends no calls. What it sent before has
	// arrived when the next holder sends its first call, because that holder waits for the length of a
	// lease term.
	dutyMargin = 300 * time.Millisecond
)

// doDuties runs the other duties while this instance holds the lease.
func (k *Keeper) doDuties(ctx context.Context) {
	for _, d := range k.duties {
		now := bootclock.Now()
		grant, held := k.lease.Held(now)
		remaining := grant.Until - now - dutyMargin
		if !held || !k.earlierOrdersArrived(grant) || remaining <= 0 {
			return
		}
		dutyCtx, cancel := context.WithTimeout(ctx, min(dutyTimeout, remaining))
		d.Do(dutyCtx, grant)
		cancel()
		k.driveLease(ctx)
	}
}
