package control

import (
	"context"

	"github.com/pkg/errors"

	"sassafrasfield/internal/bootclock"
	"sassafrasfield/internal/lease"
	"sassafrasfield/internal/leaserows"
)

// carryOut carries out an action of a lease machine.
func (l *leases) carryOut(ctx context.Context, p *poolLease, action lease.Action) {
	ctx, cancel := context.WithTimeout(ctx, l.daemon.settings.Lease.CallTimeout)
	defer cancel()
	if action.Kind == lease.Read {
		l.read(ctx, p)
		return
	}
	l.write(ctx, p, action)
}

func (l *leases) read(ctx context.Context, p *poolLease) {
	l.metrics.reads.Inc(1)
	content, revision, err := leaserows.Read(ctx, l.daemon.platform, p.pool)
	if errors.Is(err, leaserows.ErrUnreadable) {
		l.log.Error("lease: the row cannot be read", "pool", p.pool, "error", err)
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if err != nil {
		p.machine.OnReadFailed(bootclock.Now())
		return
	}
	p.machine.OnRead(bootclock.Now(), content, revision)
	l.noteHolder(p)
}

func (l *leases) write(ctx context.Context, p *poolLease, action lease.Action) {
	l.metrics.writes.Inc(1)
	outcome, revision, err := leaserows.Write(ctx, l.daemon.platform, p.pool, action)
	if outcome == lease.Unknown {
		l.metrics.unknown.Inc(1)
		l.log.Info("lease: outcome of a write unknown", "pool", p.pool, "epoch", action.Row.Epoch, "error", err)
	}
	l.mu.Lock()
	p.machine.OnWrite(bootclock.Now(), outcome, revision)
	l.noteHolder(p)
	l.reportHeldChange(p)
	l.mu.Unlock()
	if outcome == lease.Committed && action.Row.Holder == "" {
		l.metrics.released.Inc(1)
		l.log.Info("lease: released", "pool", p.pool, "epoch", action.Row.Epoch)
		l.notifyReleased(p.pool)
	}
}
