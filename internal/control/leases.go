package control

import (
	"context"
	"log/slog"
	"slices"
	"sync"
	"time"

	"github.com/google/uuid"
	"github.com/pkg/errors"

	"sassafrasfield/internal/bootclock"
	"sassafrasfield/internal/lease"
	"sassafrasfield/internal/leaserows"
	"sassafrasfield/internal/platform"
)

// leaseTick is the time between ticks of the lease machines.
const leaseTick = 50 * time.Millisecond

// leases runs one lease machine per pool.
type leases struct {
	daemon  *Daemon
	log     *slog.Logger
	metrics *leaseMetrics

	// calls tracks the running reads, writes and calls to other instances.
	calls sync.WaitGroup

	mu       sync.Mutex // protects the fields below and the machines
	machines map[string]*poolLease
	// rankedIDs is the list of live instances that the current ranks were computed
	// from.
	rankedIDs []string
}

// poolLease is the lease machine of a pool with its surrounding state.
type poolLease struct {
	pool    string
	machine *lease.Lease
	// ordersInFlight counts the orders being sent to the pool's engines.
	ordersInFlight int
	// closing is why the lease is being given up, if it is. Such a lease accepts
	// no new order, and is released once no order is in flight.
	closing closing
	// holder is the holder in the row that was read last. holderSince is when it
	// was first seen.
	holder      string
	holderSince time.Duration
	// firstChoice is whether this instance ranks first for the pool, and
	// firstChoiceSince since when. lastHandBackRequest is when it last requested
	// the lease from its holder.
	firstChoice         bool
	firstChoiceSince    time.Duration
	lastHandBackRequest time.Duration
	wasHeld             bool
}

// closing is the reason why a lease is being given up.
type closing int

const (
	closingNone closing = iota
	// closingHandBack: for the first choice; the lease is watched again
	// afterwards.
	closingHandBack
	// closingPermanent: on shutdown, or because the pool was removed.
	closingPermanent
)

// authority identifies the lease that this process held when it was read.
type authority struct {
	epoch         int64
	epochRevision int64
}

func newLeases(d *Daemon, log *slog.Logger) *leases {
	return &leases{daemon: d, log: log, metrics: newLeaseMetrics(), machines: map[string]*poolLease{}}
}

// epochCheck returns the condition that the epoch has not changed since this
// process acquired the lease.
func (a authority) epochCheck(pool string) platform.Check {
	return platform.Check{Key: leaserows.EpochKey(pool), Revision: a.epochRevision}
}

// held returns the authority over a pool, and whether this process holds it
// now.
func (l *leases) held(pool string) (authority, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	p, ok := l.machines[pool]
	if !ok || p.closing != closingNone {
		return authority{}, false
	}
	grant, held := p.machine.Held(bootclock.Now())
	return authority{epoch: grant.Epoch, epochRevision: grant.EpochRevision}, held
}

// heldPools returns the sorted names of the pools whose lease this process
// holds.
func (l *leases) heldPools() []string {
	var pools []string
	l.mu.Lock()
	defer l.mu.Unlock()
	for pool, p := range l.machines {
		if _, held := p.machine.Held(bootclock.Now()); held {
			pools = append(pools, pool)
		}
	}
	slices.Sort(pools)
	return pools
}

// loop ticks until the context ends, then releases all leases.
func (l *leases) loop(ctx context.Context) {
	runPeriodically(ctx, leaseTick, l.tick)
	l.handOver(context.WithoutCancel(ctx))
}

// tick updates the machines and starts the actions that they request. Calls run
// in the background, so a slow one does not delay other pools.
func (l *leases) tick(ctx context.Context) {
	l.syncPools()
	l.updateRanks()
	l.tickAll(ctx)
	l.requestHandBacks(ctx)
}

// tickAll ticks all machines and starts their actions.
func (l *leases) tickAll(ctx context.Context) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, p := range l.machines {
		l.continueClosing(p)
		action := p.machine.Tick(bootclock.Now())
		l.reportHeldChange(p)
		if action.Kind != lease.None {
			l.calls.Go(func() { l.carryOut(ctx, p, action) })
		}
	}
}

// syncPools keeps one machine per configured pool. The lease of a pool that is
// no longer configured is released.
func (l *leases) syncPools() {
	doc := l.daemon.holder.Current()
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, pool := range doc.Pools {
		if _, ok := l.machines[pool.Name]; !ok {
			l.machines[pool.Name] = l.newMachine(pool.Name)
		}
	}
	for name, p := range l.machines {
		if doc.Pool(name) == nil {
			p.closing = closingPermanent
		}
		if p.closing == closingPermanent && p.machine.Released() {
			delete(l.machines, name)
		}
	}
}

// newMachine returns the machine of a pool. The mutex must be held.
func (l *leases) newMachine(pool string) *poolLease {
	l.rankedIDs = nil // makes updateRanks set the new machine's watch policy
	return &poolLease{
		pool:    pool,
		machine: lease.New(l.daemon.runID, l.daemon.settings.Lease.machineSettings(), uuid.NewString),
	}
}

// reportHeldChange logs and counts leases acquired and lost. The mutex must be
// held.
func (l *leases) reportHeldChange(p *poolLease) {
	grant, held := p.machine.Held(bootclock.Now())
	if held == p.wasHeld {
		return
	}
	p.wasHeld = held
	switch {
	case held:
		l.metrics.taken.Inc(1)
		l.log.Info("lease: taken", "pool", p.pool, "epoch", grant.Epoch)
	case p.closing == closingNone:
		l.metrics.lost.Inc(1)
		l.log.Warn("lease: lost", "pool", p.pool)
	}
	l.metrics.updateHeld(l.machines)
}

// startSending registers an order that is about to be sent under an authority,
// and returns the end of the lease's term. The caller must call done after the
// send.
func (l *leases) startSending(pool string, auth authority) (until time.Duration, done func(), err error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	p, ok := l.machines[pool]
	if !ok || p.closing != closingNone {
		return 0, nil, errors.Errorf("order: the lease of pool %s is being given up", pool)
	}
	grant, held := p.machine.Held(bootclock.Now())
	if !held || grant.Epoch != auth.epoch {
		return 0, nil, errors.Errorf("order: the lease of pool %s has expired", pool)
	}
	p.ordersInFlight++
	return grant.Until, func() { l.finishSending(p) }, nil
}

func (l *leases) finishSending(p *poolLease) {
	l.mu.Lock()
	defer l.mu.Unlock()
	p.ordersInFlight--
}
