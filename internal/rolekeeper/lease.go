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

// ranks settles who watches the lease: three instances, the others leave the
// store alone.
func (k *Keeper) ranks() lease.RankSettings {
	return lease.RankSettings{Watchers: 3, ReadEvery: k.settings.LeaseTerm / 2, RankDelay: k.settings.LeaseTerm / 10}
}

func (k *Keeper) place() {
	candidates, ranks := k.view.Candidates(), k.ranks()
	rank := ranks.Watchers // leaves the lease alone
	if slices.Contains(candidates, k.settings.Instance) {
		rank = lease.Rank(LeaseName, k.settings.Instance, candidates)
	}
	k.machine.SetWatchPolicy(ranks.WatchPolicy(rank))
	k.watches = rank < ranks.Watchers
}

// drive asks the lease machine what to do, and does it.
func (k *Keeper) drive(ctx context.Context) {
	action := k.machine.Tick(bootclock.Now())
	switch action.Kind {
	case lease.Read:
		row, revision, err := leaserows.Read(ctx, k.table, LeaseName)
		if err != nil {
			k.log.Debug("roles: the lease could not be read", "error", err)
			k.machine.OnReadFailed(bootclock.Now())
		} else {
			k.machine.OnRead(bootclock.Now(), row, revision)
		}
	case lease.Write:
		outcome, revision, err := leaserows.Write(ctx, k.table, LeaseName, action)
		if err != nil {
			k.log.Info("roles: the lease was not written", "epoch", action.Row.Epoch, "error", err)
		}
		k.machine.OnWrite(bootclock.Now(), outcome, revision)
	}
	k.note()
}

// note tells of the lease won and lost.
func (k *Keeper) note() {
	grant, held := k.machine.Held(bootclock.Now())
	if held == k.held {
		return
	}
	k.held = held
	k.heldSince = bootclock.Now()
	k.announced = map[string]announced{}
	if held {
		k.begin(grant)
		for _, d := range k.duties {
			d.Reset()
		}
		k.log.Info("roles: lease taken", "epoch", grant.Epoch, "first", grant.First, "resumed", grant.Resumed, "returned", grant.TableRestored)
		return
	}
	k.log.Info("roles: lease lost or given up")
}

// begin forgets what was known under an earlier lease. Where the store came back from an older
// copy and nobody else had the lease, this process knows more than the store does: it goes on with
// that, and has the wanted splits written again.
func (k *Keeper) begin(grant lease.Grant) {
	if !grant.TableRestored || !grant.Resumed {
		k.pending, k.services = map[string]pending{}, map[string]*duty{}
		return
	}
	for _, d := range k.services {
		d.kept = roles.Target{}
	}
}

// release gives the lease up, if the store takes that soon.
func (k *Keeper) release() {
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	k.machine.Release()
	for !k.machine.Released() && ctx.Err() == nil {
		k.drive(ctx)
		time.Sleep(10 * time.Millisecond)
	}
}

// settled tells whether the orders of an earlier holder have all arrived. There is none
// before the first, or when this process had the lease last: that it need not wait after
// an outage of the store has a report come in time that is due meanwhile.
func (k *Keeper) settled(grant lease.Grant) bool {
	return grant.First || grant.Resumed || bootclock.Now()-k.heldSince >= k.settings.LeaseTerm
}
