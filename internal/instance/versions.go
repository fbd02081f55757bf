package instance

import (
	"cmp"
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
	maxStoreRetry = 2 * time.Second
	// tidyInterval is the time between two checks for histories that name versions that are no longer needed.
	tidyInterval = 15 * time.Second
)

// versionsRow is the value of a row that says which software versions a service has had.
type versionsRow struct {
	Versions []string `json:"versions"`
	// Gone are the versions without upstreams.
	Gone []string `json:"gone,omitempty"`
	// Generation is the restore generation of the store in which the row was written.
	Generation int64 `json:"generation,omitempty"`
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
	in.relay.ApplyVersionHistory(streamversions.History{
		Service: service, Versions: stored.Versions, Gone: stored.Gone, Revision: row.Revision,
		Restored: platform.RestoreGenerationOf(row.Revision) > stored.Generation,
	})
	in.log.Info("instance: versions row applied", "service", service, "versions", stored.Versions, "gone", stored.Gone, "by", stored.Instance, "revision", row.Revision)
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

// writeVersions writes the histories that are due, and reports whether all are written. A row that another instance
// changed meanwhile is not written until that change has arrived here.
func (in *Instance) writeVersions(ctx context.Context, tidy bool) bool {
	revisions := in.versionsRevisions() // before the histories, so that these are at least as new
	due := in.relay.DueVersionHistories(tidy)
	if len(due) == 0 {
		return true
	}
	first := due[:min(len(due), maxHistoriesPerCommit)]
	err := in.commitVersions(ctx, revisions, first...)
	if errors.Is(err, platform.ErrConflict) && len(first) > 1 {
		err = nil
		for _, h := range first { // one row must not keep the others from being written
			err = cmp.Or(in.commitVersions(ctx, revisions, h), err)
		}
	}
	return err == nil && len(first) == len(due)
}

// versionsRevisions returns the revisions of the rows as they were read, also of those that came back unchanged from a
// restore of the store, or that cannot be decoded.
func (in *Instance) versionsRevisions() map[string]int64 {
	revisions := map[string]int64{}
	for _, row := range in.follower.Rows(in.adapter.SharedTable) {
		if !row.Deleted {
			revisions[row.Key.Key] = row.Revision
		}
	}
	return revisions
}

// commitVersions writes histories in one transaction.
func (in *Instance) commitVersions(ctx context.Context, revisions map[string]int64, list ...streamversions.History) error {
	txn := platform.Txn{}
	for _, h := range list {
		key := VersionsPrefix + h.Service
		txn.Checks = append(txn.Checks, platform.Check{Key: key, Revision: revisions[key]})
		txn.Writes = append(txn.Writes, platform.Write{Key: key, Value: in.versionsValue(h)})
	}
	if _, err := in.adapter.Table.Commit(ctx, txn); err != nil {
		in.log.Info("instance: versions rows not written, retrying", "services", len(list), "error", err)
		return err
	}
	for _, h := range list {
		in.log.Info("instance: versions row written", "service", h.Service, "versions", h.Versions, "gone", h.Gone)
	}
	return nil
}

// versionsValue returns the value of a history's row.
func (in *Instance) versionsValue(h streamversions.History) []byte {
	row := versionsRow{Versions: h.Versions, Gone: h.Gone, Instance: in.settings.Self.Name}
	if !h.Restored {
		row.Generation = in.storeGeneration()
	}
	value, err := json.Marshal(row)
	if err != nil {
		panic(errors.Wrap(err, "instance: versions")) // encoding strings never fails
	}
	return value
}

// storeGeneration returns the restore generation of the store, as far as it is known.
func (in *Instance) storeGeneration() int64 {
	return platform.RestoreGenerationOf(in.follower.Revisions()[in.adapter.SharedTable])
}

// versionTable returns what is known of the table of the rows.
func (in *Instance) versionTable() streamversions.Table {
	return streamversions.Table{Loaded: in.sharedRowsLoaded(), Restored: in.storeGeneration() > 0}
}
