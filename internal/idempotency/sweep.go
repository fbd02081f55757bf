package idempotency

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/pkg/errors"

	"sassafrasfield/internal/pause"
	"sassafrasfield/internal/platform"
)

// sweepShards is the number of shards of the claims by the first three hexadecimal digits of their keys.
const sweepShards = 1 << 12

// sweepBatch is the maximum number of rows that one transaction removes.
const sweepBatch = 256

// SweepLoop removes old claims until the context ends. Each sweep covers one shard, which is chosen at
// random, so that the instances need not coordinate.
func (r *Runner) SweepLoop(ctx context.Context) {
	for pause.For(ctx, r.settings.SweepEvery) {
		removed, err := r.sweep(ctx, fmt.Sprintf("%s%03x", Prefix, rand.IntN(sweepShards)), time.Now())
		if err != nil {
			r.log.Debug("once: failed to remove old claims", "error", err)
		}
		if removed > 0 {
			r.log.Info("once: old claims removed", "rows", removed)
		}
	}
}

// sweep removes claims under a prefix that are older than the retention, at most sweepBatch of them. It
// returns how many it has removed.
func (r *Runner) sweep(ctx context.Context, prefix string, now time.Time) (int, error) {
	rows, err := r.store.List(ctx, prefix)
	if err != nil {
		return 0, err
	}
	var txn platform.Txn
	for _, found := range rows {
		var row Row
		if err := json.Unmarshal(found.Value, &row); err != nil {
			return 0, errors.Wrap(err, "once: decode row")
		}
		if now.Sub(time.UnixMilli(row.ClaimedUnixMilli)) < r.settings.Retention || len(txn.Writes) >= sweepBatch {
			continue
		}
		txn.Checks = append(txn.Checks, platform.Check{Key: found.Key, Revision: found.Revision})
		txn.Writes = append(txn.Writes, platform.Write{Key: found.Key, Delete: true})
	}
	if len(txn.Writes) == 0 {
		return 0, nil
	}
	if _, err := r.store.Commit(ctx, txn); err != nil {
		return 0, err
	}
	return len(txn.Writes), nil
}
