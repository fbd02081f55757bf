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

// shards is how many shares of the claims there are by the first three digits
// of their key.
const shards = 1 << 12

// sweepBatch bounds the rows that one transaction removes.
const sweepBatch = 256

// SweepLoop removes old claims until the context ends: one share of them at a
// time, picked at random, so that instances need not agree on who does it.
func (r *Runner) SweepLoop(ctx context.Context) {
	for pause.For(ctx, r.settings.SweepEvery) {
		removed, err := r.sweep(ctx, fmt.Sprintf("%s%03x", Prefix, rand.IntN(shards)), time.Now())
		if err != nil {
			r.log.Debug("once: old claims were not removed", "error", err)
		}
		if removed > 0 {
			r.log.Info("once: old claims removed", "rows", removed)
		}
	}
}

// sweep removes the claims under a prefix that are older than the retention.
func (r *Runner) sweep(ctx context.Context, prefix string, now time.Time) (int, error) {
	rows, err := r.store.List(ctx, prefix)
	if err != nil {
		return 0, err
	}
	var txn platform.Txn
	for _, found := range rows {
		var row Row
		if err := json.Unmarshal(found.Value, &row); err != nil {
			return 0, errors.Wrap(err, "once: row")
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
