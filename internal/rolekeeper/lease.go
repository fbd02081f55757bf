package rolekeeper

import (
	"context"
	"slices"
	"time"

	"sassafrasfield/internal/bootclock"
	"sassafrasfield/internal/lease"
	"sassafrasfield/internal/leaserows"
	"sassafrasfield/internal/roles"
)

func leaseSettings(term time.Duration) lease.Settings {
	return lease.Settings{Term: term, RenewEvery: term / 2, RetryEvery: term / 10, Margin: term / 10}
}

// rankSettings returns the settings that determine which instances watch the lease: three of
// them. The others do not access the store.
func (k *Keeper) rankSettings() lease.RankSettings {
	return lease.RankSettings{Watchers: 3, ReadEvery: k.settings.LeaseTerm / 2, RankDelay: k.settings.LeaseTerm / 10}
}

// updateWatchPolicy sets how closely this instance watches the lease, by its rank among the candidates.
func (k *Keeper) updateWatchPolicy() {
	candidates, ranks := k.view.Candidates(), k.rankSettings()
	rank := ranks.Watchers // does not watch the lease
	if slices.Contains(candidates, k.settings.Instance) && (k.held || !k.view.ShouldYield()) {
		rank = lease.Rank(LeaseName, k.settings.Instance, candidates)
	}
	k.lease.SetWatchPolicy(ranks.WatchPolicy(rank))
	k.watchesLease = rank < ranks.Watchers
}

// updateYielding releases the lease for another instance if this one does not reach the engines, and ends that once
// it may hold the lease again.
func (k *Keeper) updateYielding() {
	should := k.view.ShouldYield()
	switch {
	case k.held && should:
		k.log.Info("roles: engines are not reached, releasing the lease for another instance")
		k.yielding = true
		k.lease.Release()
	case k.yielding && !should && k.lease.Released():
		k.yielding = false
		k.lease.ResumeWatching()
	}
}

// driveLease carries out the next action of the lease's state machine.
func (k *Keeper) driveLease(ctx context.Context) {
	action := k.lease.Tick(bootclock.Now())
	switch action.Kind {
	case lease.Read:
		row, revision, err := leaserows.Read(ctx, k.table, LeaseName)
		if err != nil {
			k.log.Debug("roles: could not read the lease", "error", err)
			k.lease.OnReadFailed(bootclock.Now())
		} else {
			k.lease.OnRead(bootclock.Now(), row, revision)
		}
	case lease.Write:
		outcome, revision, err := leaserows.Write(ctx, k.table, LeaseName, action)
		if err != nil {
			k.log.Info("roles: could not write the lease", "epoch", action.Row.Epoch, "error", err)
		}
		k.lease.OnWrite(bootclock.Now(), outcome, revision)
	}
	k.updateHeld()
}

// updateHeld checks whether this instance holds the lease, and handles and logs a change.
func (k *Keeper) updateHeld() {
	grant, held := k.lease.Held(bootclock.Now())
	if held == k.held {
		return
	}
	k.held = held
	k.heldSince = bootclock.Now()
	k.announcedOrders = map[string]announcedOrder{}
	if held {
		k.resetState(grant)
		for _, d := range k.duties {
			d.Reset()
		}
		k.log.Info("roles: lease acquired", "epoch", grant.Epoch, "first", grant.First, "resumed", grant.Resumed, "returned", grant.TableRestored)
		return
	}
	k.log.Info("roles: lease lost or released")
}

// resetState discards the state of an earlier lease. The exception is a store that was restored from an older
// copy while no other process held the lease: then the state of this process is newer than the store's. It is
// kept, and the targets are written again.
func (k *Keeper) resetState(grant lease.Grant) {
	if !grant.TableRestored || !grant.Resumed {
		k.pendingOrders, k.services = map[string]pendingOrder{}, map[string]*serviceState{}
		return
	}
	for _, s := range k.services {
		s.stored = roles.Target{}
	}
}

// release releases the lease. It stops trying after callTimeout.
func (k *Keeper) release() {
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	k.lease.Release()
	for !k.lease.Released() && ctx.Err() == nil {
		k.driveLease(ctx)
		time.Sleep(10 * time.Millisecond)
	}
}

// earlierOrdersArrived reports whether all orders of earlier holders have arrived, which takes the length
// of a lease term at most. A process does not wait if it is the first holder or was the last one,
// because then there are no orders of another holder. So a report that is due after an outage of the store
// can still be sent in time.
func (k *Keeper) earlierOrdersArrived(grant lease.Grant) bool {
	return grant.First || grant.Resumed || bootclock.Now()-k.heldSince >= k.settings.LeaseTerm
}
