// Package leaserows stores leases in the platform's table. It reads a lease's
// row and carries out the writes that the state machine of package lease
// returns.
package leaserows

import (
	"context"
	"encoding/json"

	"github.com/pkg/errors"

	"sassafrasfield/internal/lease"
	"sassafrasfield/internal/platform"
)

// ErrUnreadable reports that the content of a row is not a lease. Compare with
// errors.Is.
var ErrUnreadable = errors.New("lease: decode")

// Key returns the key of a pool's lease row.
func Key(pool string) string { return "lease/" + pool }

// EpochKey returns the key of a pool's epoch row, which only takeovers write.
func EpochKey(pool string) string { return "epoch/" + pool }

// Read returns a lease's row and its revision. For an absent row it returns an
// empty row, and a revision with a counter of 0.
func Read(ctx context.Context, table platform.Table, pool string) (lease.Row, int64, error) {
	var content lease.Row
	row, err := table.Get(ctx, Key(pool))
	if errors.Is(err, platform.ErrNotFound) {
		return content, row.Revision, nil
	}
	if err != nil {
		return content, 0, err
	}
	if err := json.Unmarshal(row.Value, &content); err != nil {
		return content, 0, errors.WithMessage(ErrUnreadable, err.Error())
	}
	return content, row.Revision, nil
}

// Write carries out a Write action of the state machine. The error says why the
// outcome is not Committed.
func Write(ctx context.Context, table platform.Table, pool string, action lease.Action) (lease.Outcome, int64, error) {
	revision, err := table.Commit(ctx, txn(pool, action))
	return outcomeOf(err), revision, err
}

// txn returns the transaction of a write. A takeover also writes the epoch row.
// The revision of that row is unchanged until the next takeover, so that writes
// that depend on the epoch can check it.
func txn(pool string, action lease.Action) platform.Txn {
	value, err := json.Marshal(action.Row)
	if err != nil {
		panic(errors.Wrap(err, "lease: encode")) // plain data always marshals
	}
	txn := platform.Txn{
		Checks: []platform.Check{{Key: Key(pool), Revision: action.Revision}},
		Writes: []platform.Write{{Key: Key(pool), Value: value}},
	}
	if action.NewEpoch {
		txn.Writes = append(txn.Writes, platform.Write{Key: EpochKey(pool), Value: value})
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
		return lease.Unavailable
	default:
		return lease.Unknown
	}
}
