package control

import (
	"context"
	"encoding/json"
	"log/slog"
	"slices"
	"sync"
	"time"

	"github.com/google/uuid"
	"github.com/pkg/errors"

	"sassafrasfield/internal/lease"
	"sassafrasfield/internal/platform"
)

// leaseTick is how often the lease machines are asked what to do.
const leaseTick = 50 * time.Millisecond

// leases drives one lease machine for each pool.
type leases struct {
	daemon *Daemon
	log    *slog.Logger

	mu       sync.Mutex // protects machines
	machines map[string]*poolLease
}

// poolLease is a machine with the pool's epoch row.
type poolLease struct {
	pool    string
	machine *lease.Lease
	// epochRevision is the revision of the epoch row that this process wrote
	// when it took the lease over.
	epochRevision int64
}

// authority proves that this process held a lease when it was read.
type authority struct {
	epoch         int64
	epochRevision int64
}

func newLeases(d *Daemon, log *slog.Logger) *leases {
	return &leases{daemon: d, log: log, machines: map[string]*poolLease{}}
}

func leaseKey(pool string) string { return "lease/" + pool }

func epochKey(pool string) string { return "epoch/" + pool }

// check is the condition that the epoch has not changed since the takeover.
func (a authority) check(pool string) platform.Check {
	return platform.Check{Key: epochKey(pool), Revision: a.epochRevision}
}

// held returns the authority over a pool, if this process has it now.
func (l *leases) held(pool string) (authority, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	p, ok := l.machines[pool]
	if !ok || p.epochRevision == 0 {
		return authority{}, false
	}
	epoch, held := p.machine.Held(l.daemon.now())
	return authority{epoch: epoch, epochRevision: p.epochRevision}, held
}

// heldPools names the pools whose lease this process holds.
func (l *leases) heldPools() []string {
	var pools []string
	l.mu.Lock()
	defer l.mu.Unlock()
	for pool, p := range l.machines {
		if _, held := p.machine.Held(l.daemon.now()); held {
			pools = append(pools, pool)
		}
	}
	slices.Sort(pools)
	return pools
}

func (l *leases) loop(ctx context.Context) {
	every(ctx, leaseTick, l.tick)
	l.handOver(context.WithoutCancel(ctx))
}

func (l *leases) tick(ctx context.Context) {
	var work sync.WaitGroup
	for _, p := range l.current() {
		l.mu.Lock()
		action := p.machine.Tick(l.daemon.now())
		l.mu.Unlock()
		if action.Kind != lease.None {
			work.Go(func() { l.carryOut(ctx, p, action) })
		}
	}
	work.Wait()
}

// current returns the machines, one for each configured pool.
func (l *leases) current() []*poolLease {
	l.mu.Lock()
	defer l.mu.Unlock()
	var all []*poolLease
	for _, pool := range l.daemon.holder.Current().Pools {
		p, ok := l.machines[pool.Name]
		if !ok {
			p = &poolLease{pool: pool.Name, machine: lease.New(l.daemon.run, l.machineSettings(), uuid.NewString)}
			l.machines[pool.Name] = p
		}
		all = append(all, p)
	}
	return all
}

func (l *leases) machineSettings() lease.Settings {
	s := l.daemon.settings.Lease
	return lease.Settings{Term: s.Term, RenewEvery: s.RenewEvery, ReadEvery: s.RenewEvery, Margin: s.Margin}
}

func (l *leases) carryOut(ctx context.Context, p *poolLease, action lease.Action) {
	if action.Kind == lease.Read {
		l.read(ctx, p)
		return
	}
	l.write(ctx, p, action)
}

func (l *leases) read(ctx context.Context, p *poolLease) {
	row, err := l.daemon.platform.Get(ctx, leaseKey(p.pool))
	l.mu.Lock()
	defer l.mu.Unlock()
	if err != nil && !errors.Is(err, platform.ErrNotFound) {
		p.machine.OnReadFailed()
		return
	}
	var content lease.Row
	if err == nil {
		if err := json.Unmarshal(row.Value, &content); err != nil {
			l.log.Error("lease: the row cannot be read", "pool", p.pool, "error", err)
			p.machine.OnReadFailed()
			return
		}
	}
	p.machine.OnRead(l.daemon.now(), content, row.Revision)
}

func (l *leases) write(ctx context.Context, p *poolLease, action lease.Action) {
	value, err := json.Marshal(action.Row)
	if err != nil {
		panic(errors.Wrap(err, "lease: encode")) // plain data always marshals
	}
	txn := platform.Txn{
		Checks: []platform.Check{{Key: leaseKey(p.pool), Revision: action.Revision}},
		Writes: []platform.Write{{Key: leaseKey(p.pool), Value: value}},
	}
	if action.NewEpoch {
		txn.Writes = append(txn.Writes, platform.Write{Key: epochKey(p.pool), Value: value})
	}
	revision, err := l.daemon.platform.Commit(ctx, txn)
	l.mu.Lock()
	defer l.mu.Unlock()
	if err == nil && action.NewEpoch {
		p.epochRevision = revision
		l.log.Info("lease: taken", "pool", p.pool, "epoch", action.Row.Epoch)
	}
	p.machine.OnWrite(l.daemon.now(), outcomeOf(err), revision)
}

func outcomeOf(err error) lease.Outcome {
	switch {
	case err == nil:
		return lease.Committed
	case errors.Is(err, platform.ErrConflict), errors.Is(err, platform.ErrUnavailable):
		return lease.Refused
	default:
		return lease.Unknown
	}
}

// handOver gives all leases up, so that others need not wait for the term.
func (l *leases) handOver(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, l.daemon.settings.PlatformTimeout)
	defer cancel()
	for _, p := range l.current() {
		l.mu.Lock()
		p.machine.Release()
		l.mu.Unlock()
	}
	l.tick(ctx)
}
