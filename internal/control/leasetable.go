package control

import (
	"context"
	"encoding/json"

	"github.com/pkg/errors"

	"sassafrasfield/internal/bootclock"
	"sassafrasfield/internal/lease"
	"sassafrasfield/internal/platform"
)

// carryOut does what a machine asked for.
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
	row, err := l.daemon.platform.Get(ctx, leaseKey(p.pool))
	content, err := l.decode(p.pool, row, err)
	l.mu.Lock()
	defer l.mu.Unlock()
	if err != nil {
		p.machine.OnReadFailed(bootclock.Now())
		return
	}
	p.machine.OnRead(bootclock.Now(), content, row.Revision)
	l.noteHolder(p)
}

// decode returns the content of a row; a row that is not there is empty.
func (l *leases) decode(pool string, row platform.Row, err error) (lease.Row, error) {
	var content lease.Row
	if errors.Is(err, platform.ErrNotFound) {
		return content, nil
	}
	if err != nil {
		return content, err
	}
	err = json.Unmarshal(row.Value, &content)
	if err != nil {
		l.log.Error("lease: the row cannot be read", "pool", pool, "error", err)
	}
	return content, errors.Wrap(err, "lease: decode")
}

func (l *leases) write(ctx context.Context, p *poolLease, action lease.Action) {
	l.metrics.writes.Inc(1)
	revision, err := l.daemon.platform.Commit(ctx, leaseTxn(p.pool, action))
	outcome := outcomeOf(err)
	if outcome == lease.Unknown {
		l.metrics.unknown.Inc(1)
		l.log.Info("lease: outcome of a write unknown", "pool", p.pool, "epoch", action.Row.Epoch, "error", err)
	}
	l.mu.Lock()
	p.machine.OnWrite(bootclock.Now(), outcome, revision)
	l.noteHolder(p)
	l.noteHeld(p)
	l.mu.Unlock()
	if outcome == lease.Committed && action.Row.Holder == "" {
		l.metrics.released.Inc(1)
		l.log.Info("lease: released", "pool", p.pool, "epoch", action.Row.Epoch)
		l.tellFreed(p.pool)
	}
}

// leaseTxn is the transaction of a write. A takeover writes the epoch row too:
// its revision stands until the next takeover, so that whatever depends on the
// epoch can check it.
func leaseTxn(pool string, action lease.Action) platform.Txn {
	value, err := json.Marshal(action.Row)
	if err != nil {
		panic(errors.Wrap(err, "lease: encode")) // plain data always marshals
	}
	txn := platform.Txn{
		Checks: []platform.Check{{Key: leaseKey(pool), Revision: action.Revision}},
		Writes: []platform.Write{{Key: leaseKey(pool), Value: value}},
	}
	if action.NewEpoch {
		txn.Writes = append(txn.Writes, platform.Write{Key: epochKey(pool), Value: value})
	}
	return txn
}

func outcomeOf(err error) lease.Outcome {
	switch {
	case err == nil:
		return lease.Committed
	case errors.Is(err, platform.ErrConflict):
		return lease.Conflicted
	case errors.Is(err, platform.ErrUnavailable):
		return lease.NotTaken
	default:
		return lease.Unknown
	}
}
