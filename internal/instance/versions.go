package instance

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"strings"
	"time"

	"github.com/pkg/errors"

	"sassafrasfield/internal/pause"
	"sassafrasfield/internal/platform"
	"sassafrasfield/internal/replica"
	"sassafrasfield/internal/streamversions"
)

// VersionsPrefix begins the keys of the rows that say which software versions a service has had. The service's name
// follows.
const VersionsPrefix = "versions/"

const (
	// hubStoreDelay bounds the random delay of a write, in which another hub's row may arrive. Other instances write
	// after otherStoreDelay if no hub has.
	hubStoreDelay   = 50 * time.Millisecond
	otherStoreDelay = 500 * time.Millisecond
	// minStoreRetry is the pause after a failed write. It doubles with each failure, up to maxStoreRetry.
	minStoreRetry = 200 * time.Millisecond
	maxStoreRetry = 5 * time.Second
	// tidyInterval is the time between two checks for histories that name versions that are no longer needed.
	tidyInterval = 15 * time.Second
)

// versionsRow is the value of a row that says which software versions a service has had.
type versionsRow struct {
	Versions []string `json:"versions"`
	// Instance is the name of the instance that wrote the row, for operators.
	Instance string `json:"instance"`
}

// applyVersionsRow applies the history of a service's software versions.
func (in *Instance) applyVersionsRow(row replica.Row) error {
	service := strings.TrimPrefix(row.Key.Key, VersionsPrefix)
	if row.Deleted {
		in.relay.RemoveVersionHistory(service)
		in.log.Warn("instance: versions row missing", "service", service, "after_restore", row.MissingAfterRestore, "revision", row.Revision)
		return nil
	}
	var stored versionsRow
	if err := json.Unmarshal(row.Value, &stored); err != nil {
		return errors.Wrap(err, "instance: versions")
	}
	in.relay.ApplyVersionHistory(streamversions.History{Service: service, Versions: stored.Versions, Revision: row.Revision})
	in.log.Info("instance: versions row applied", "service", service, "versions", stored.Versions, "by", stored.Instance, "revision", row.Revision)
	return nil
}

// storeVersions writes the software versions of services to the store, so that instances that start know which
// versions callers may hold streams of.
func (in *Instance) storeVersions(ctx context.Context) {
	wait, retry := tidyInterval, minStoreRetry
	for {
		tidy := false
		timer := time.NewTimer(wait)
		select {
		case <-ctx.Done():
		case <-in.relay.VersionHistoriesNeeded():
		case <-timer.C:
			tidy = true
		}
		timer.Stop()
		if !pause.For(ctx, in.storeDelay()) {
			return
		}
		if in.writeVersions(ctx, tidy && in.peers.IsHub()) {
			wait, retry = tidyInterval, minStoreRetry
		} else {
			wait, retry = retry, min(2*retry, maxStoreRetry)
		}
	}
}

// storeDelay returns how long this instance waits for another one to write.
func (in *Instance) storeDelay() time.Duration {
	delay := rand.N(hubStoreDelay)
	if !in.peers.IsHub() {
		delay += otherStoreDelay
	}
	return delay
}

// maxHistoriesPerCommit bounds the rows of one transaction, which has a check and a write for each.
const maxHistoriesPerCommit = maxRowsPerCommit / 2

// writeVersions writes the histories that are due, and reports whether all are written. If another instance changed one
// of the rows meanwhile, nothing is written until that change has arrived here.
func (in *Instance) writeVersions(ctx context.Context, tidy bool) bool {
	due, txn := in.relay.DueVersionHistories(tidy), platform.Txn{}
	if len(due) == 0 {
		return true
	}
	first := due[:min(len(due), maxHistoriesPerCommit)]
	for _, h := range first {
		key := VersionsPrefix + h.Service
		txn.Checks = append(txn.Checks, platform.Check{Key: key, Revision: h.Revision})
		txn.Writes = append(txn.Writes, platform.Write{Key: key, Value: in.versionsValue(h)})
	}
	if _, err := in.adapter.Table.Commit(ctx, txn); err != nil {
		in.log.Info("instance: versions rows not written, retrying", "services", len(due), "error", err)
		return false
	}
	for _, h := range first {
		in.log.Info("instance: versions row written", "service", h.Service, "versions", h.Versions)
	}
	return len(first) == len(due)
}

// versionsValue returns the value of a history's row.
func (in *Instance) versionsValue(h streamversions.History) []byte {
	value, err := json.Marshal(versionsRow{Versions: h.Versions, Instance: in.settings.Self.Name})
	if err != nil {
		panic(errors.Wrap(err, "instance: versions")) // encoding strings never fails
	}
	return value
}
