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

// leaseTick is how often the lease machines are asked what to do.
const leaseTick = 50 * time.Millisecond

// leases drives one lease machine for each pool.
type leases struct {
	daemon  *Daemon
	log     *slog.Logger
	metrics *leaseMetrics

	// calls are the reads and writes under way.
	calls sync.WaitGroup

	mu       sync.Mutex // protects all below and the machines
	machines map[string]*poolLease
	// ranked is the list of live instances that the places follow.
	rankedIDs []string
}

// poolLease is a machine with what goes on around it.
type poolLease struct {
	pool    string
	machine *lease.Lease
	// sending counts the orders under way to the pool's engines.
	ordersInFlight int
	// closing leases take no new order and are released when none is under
	// way.
	closing closing
	// holder is that of the row last seen, holderSince when it was first seen.
	holder      string
	holderSince time.Duration
	// firstSince is since when this instance is the first choice, for those
	// that are; lastAsk when it last asked for the lease.
	preferred           bool
	preferredSince      time.Duration
	lastHandBackRequest time.Duration
	wasHeld             bool
}

// closing tells why a lease is being given up.
type closing int

const (
	closingNone closing = iota
	// closingBack: for the first choice; the lease is watched again after.
	closingHandBack
	// closingEnd: for good.
	closingPermanent
)

// authority proves that this process held a lease when it was read.
type authority struct {
	epoch         int64
	epochRevision int64
}

func newLeases(d *Daemon, log *slog.Logger) *leases {
	return &leases{daemon: d, log: log, metrics: newLeaseMetrics(), machines: map[string]*poolLease{}}
}

// check is the condition that the epoch has not changed since the takeover.
func (a authority) epochCheck(pool string) platform.Check {
	return platform.Check{Key: leaserows.EpochKey(pool), Revision: a.epochRevision}
}

// held returns the authority over a pool, if this process has it now.
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

// heldPools names the pools whose lease this process holds.
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

// loop works until the context ends, then gives all leases up.
func (l *leases) loop(ctx context.Context) {
	runPeriodically(ctx, leaseTick, l.tick)
	l.handOver(context.WithoutCancel(ctx))
}

// tick asks each machine what to do and starts doing it. A call that takes
// long holds up no other pool.
func (l *leases) tick(ctx context.Context) {
	l.syncPools()
	l.updateRanks()
	l.tickAll(ctx)
	l.requestHandBacks(ctx)
}

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

// configure keeps one machine for each configured pool. A pool that is no
// longer configured has its lease given up.
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

// newMachine returns the machine of a pool. The lock is held.
func (l *leases) newMachine(pool string) *poolLease {
	l.rankedIDs = nil // have its place set
	return &poolLease{
		pool:    pool,
		machine: lease.New(l.daemon.runID, l.daemon.settings.Lease.machineSettings(), uuid.NewString),
	}
}

// noteHeld tells of authority won and lost. The lock is held.
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

// startSending registers an order about to go out under an authority and
// returns the end of the term. Call done once it is over.
func (l *leases) startSending(pool string, auth authority) (until time.Duration, done func(), err error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	p, ok := l.machines[pool]
	if !ok || p.closing != closingNone {
		return 0, nil, errors.Errorf("order: the lease of %s is being given up", pool)
	}
	grant, held := p.machine.Held(bootclock.Now())
	if !held || grant.Epoch != auth.epoch {
		return 0, nil, errors.Errorf("order: the lease of %s has lapsed", pool)
	}
	p.ordersInFlight++
	return grant.Until, func() { l.finishSending(p) }, nil
}

func (l *leases) finishSending(p *poolLease) {
	l.mu.Lock()
	defer l.mu.Unlock()
	p.ordersInFlight--
}
