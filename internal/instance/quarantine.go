package instance

import (
	"context"
	"encoding/json"
	"slices"
	"strings"
	"time"

	"github.com/pkg/errors"

	"sassafrasfield/internal/platform"
	"sassafrasfield/internal/quarantine"
	"sassafrasfield/internal/replica"
)

// QuarantinePrefix is the prefix of the keys of the rows that list what is quarantined, contents and parts of prompts. All
// instances follow these rows. So an instance that has just started refuses them too, even if all instances were
// restarted.
const QuarantinePrefix = "apart/"

// Timings of the quarantine rows.
const (
	// persistRetryInterval is the pause after a failed write.
	persistRetryInterval = time.Second
	// expireInterval is the time between two removals of expired quarantines.
	expireInterval = time.Minute
	// loadTimeout is how long after its start an instance waits for these rows. After that it serves
	// without them, because the store may have lost only this table.
	loadTimeout = 3 * time.Second
)

// maxRowsPerCommit is the limit of the platform's store on the rows of one transaction.
const maxRowsPerCommit = 100

// quarantineRow is the stored value of a quarantined subject.
type quarantineRow struct {
	// Times is how often the subject was quarantined.
	Times int `json:"times"`
	// Instance is the name of the instance that quarantined it, for operators.
	Instance string `json:"instance"`
}

// ready reports whether this instance can serve requests. A table that is not loaded is not an empty one: without the
// upstreams' rows every request would be refused.
func (in *Instance) ready() bool {
	if !in.relay.Ready() || in.relay.Impaired() {
		return false
	}
	return slices.Contains(in.follower.LoadedTables(), in.adapter.UpstreamTable) && in.quarantinesKnown()
}

// quarantinesKnown reports whether the quarantine rows are loaded, or were waited for long enough.
func (in *Instance) quarantinesKnown() bool {
	if in.quarantinesRead.Load() {
		return true
	}
	known := time.Since(in.started) > loadTimeout || in.sharedRowsLoaded()
	if known {
		in.quarantinesRead.Store(true)
	}
	return known
}

func (in *Instance) applyQuarantineRow(row replica.Row) error {
	subject, err := quarantine.ParseSubject(strings.TrimPrefix(row.Key.Key, QuarantinePrefix))
	if err != nil {
		return err
	}
	if row.MissingAfterRestore {
		in.keepMissing(subject, row.Revision)
		return nil
	}
	if row.Deleted {
		in.relay.Release(subject)
		in.log.Info("instance: quarantine row removed", "kind", subject.Kind(), "subject", subject, "revision", row.Revision)
		return nil
	}
	var stored quarantineRow
	if err := json.Unmarshal(row.Value, &stored); err != nil {
		return errors.Wrap(err, "instance: content")
	}
	in.relay.Quarantine(subject, stored.Times)
	in.log.Info("instance: quarantine row applied", "kind", subject.Kind(), "subject", subject, "times", stored.Times, "by", stored.Instance, "revision", row.Revision)
	return nil
}

// keepMissing keeps a subject quarantined whose row is missing after a restore of the store. All instances
// know the subject, so it is enough that the hubs write its row again.
func (in *Instance) keepMissing(subject quarantine.Subject, revision int64) {
	writes := in.peers.IsHub()
	if writes {
		in.relay.PersistAgain(subject)
	}
	in.log.Warn("instance: quarantine row missing after a restore", "kind", subject.Kind(), "subject", subject, "revision", revision, "writes_it_again", writes)
}

// persistQuarantines writes the rows of quarantined contents, and removes those of released contents.
func (in *Instance) persistQuarantines(ctx context.Context) {
	wait := expireInterval
	for {
		timer := time.NewTimer(wait)
		select {
		case <-ctx.Done():
			timer.Stop()
			return
		case <-in.relay.PersistNeeded():
		case <-timer.C:
			in.relay.ExpireQuarantines(in.peers.IsHub())
		}
		timer.Stop()
		wait = expireInterval
		if !in.writeQuarantineRows(ctx) {
			wait = persistRetryInterval
		}
	}
}

// quarantineWrite returns the write of a content's row. The row is removed if times is 0.
func (in *Instance) quarantineWrite(subject quarantine.Subject, times int) platform.Write {
	write := platform.Write{Key: QuarantinePrefix + subject.String()}
	if times == 0 {
		write.Delete = true
		return write
	}
	value, err := json.Marshal(quarantineRow{Times: times, Instance: in.settings.Self.Name})
	if err != nil {
		panic(errors.Wrap(err, "instance: content")) // encoding a number and a string never fails
	}
	write.Value = value
	return write
}

// writeQuarantineRows writes the rows that are not persisted yet, and reports whether all are persisted.
// Rows are written unconditionally. If two instances quarantine a subject, the one that lags behind may write
// last, with a lower count. An instance that starts after that ends the quarantine earlier.
func (in *Instance) writeQuarantineRows(ctx context.Context) bool {
	unpersisted, txn := in.relay.Unpersisted(), platform.Txn{}
	for subject, times := range unpersisted {
		if len(txn.Writes) == maxRowsPerCommit {
			delete(unpersisted, subject)
			continue
		}
		txn.Writes = append(txn.Writes, in.quarantineWrite(subject, times))
	}
	if len(txn.Writes) == 0 {
		return true
	}
	if _, err := in.adapter.Table.Commit(ctx, txn); err != nil {
		in.log.Info("instance: quarantine rows not written, retrying", "subjects", len(unpersisted), "error", err)
		return false
	}
	in.relay.MarkPersisted(unpersisted)
	in.log.Info("instance: quarantine rows written", "subjects", len(unpersisted))
	return len(in.relay.Unpersisted()) == 0
}
