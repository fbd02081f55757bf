package versions

import (
	"bytes"
	"cmp"
	"context"
	"encoding/json"
	"time"

	"github.com/google/uuid"
	"github.com/pkg/errors"

	"sassafrasfield/internal/config"
	"sassafrasfield/internal/platform"
)

// Settling of a write whose outcome is unknown.
const (
	// settleAttempts bounds the tries.
	settleAttempts = 6
	// settlePause is the default of Log.SettlePause.
	settlePause = 50 * time.Millisecond
)

// Append makes doc the next version, if the head still has the revision that
// head was read with. Extra checks and writes go into the same transaction.
// Doc's version must be head's plus one. Errors: ErrMoved and
// platform.ErrConflict when nothing was written, platform.ErrUnavailable
// likewise, platform.ErrUnknown when the outcome could not be settled.
func (l Log) Append(ctx context.Context, head Head, doc *config.Config, entry Entry, extra platform.Txn) error {
	if doc.Version != head.Version+1 {
		return errors.Errorf("versions: document %d does not follow head %d", doc.Version, head.Version)
	}
	entry.Version, entry.Intent = doc.Version, doc.Intent
	entry.WriteID = uuid.NewString()
	txn := transaction(head, doc, entry, extra)
	_, err := l.Table.Commit(ctx, txn)
	if errors.Is(err, platform.ErrUnknown) {
		return l.settle(ctx, txn, head, entry)
	}
	if errors.Is(err, platform.ErrConflict) {
		return l.explain(ctx, head)
	}
	return err
}

// transaction checks that the version is the next one, and writes it. The
// first version of a bucket gets its whole document in a row of its own.
func transaction(head Head, doc *config.Config, entry Entry, extra platform.Txn) platform.Txn {
	writes := []platform.Write{{Key: HeadKey, Value: encode(Head{Version: entry.Version, Intent: entry.Intent})}}
	if entry.Version%bucketSize == 0 {
		writes = append(writes, platform.Write{Key: snapshotKey(bucketOf(entry.Version)), Value: pack(doc)})
	} else if delta, ok := deltaOf(head.base, doc); ok {
		entry.Delta = delta
	} else {
		entry.Document = pack(doc)
	}
	writes = append(writes, platform.Write{Key: key(entry.Version), Value: encode(entry)})
	return platform.Txn{
		Checks: append([]platform.Check{
			{Key: HeadKey, Revision: head.Revision},
			{Key: key(entry.Version), Revision: 0},
		}, extra.Checks...),
		Writes: append(writes, extra.Writes...),
	}
}

// deltaOf returns the packed delta, unless it would not lead to the very
// document.
func deltaOf(base, doc *config.Config) ([]byte, bool) {
	if base == nil {
		return nil, false
	}
	delta := Diff(base, doc)
	if !bytes.Equal(delta.Apply(base).Encode(), doc.Encode()) {
		return nil, false
	}
	return pack(delta), true
}

func encode(value any) []byte {
	data, err := json.Marshal(value)
	if err != nil {
		panic(errors.Wrap(err, "versions: encode")) // plain data always marshals
	}
	return data
}

// settle finds out whether a write whose reply was lost took effect. It sends
// the same transaction again: that commits, or its conflict proves that a
// check fails now. Revisions never come back, so a check that failed once
// fails for good, and a copy of the write that is still on its way has no
// effect. What is left is whether the row of the version is this write's.
func (l Log) settle(ctx context.Context, txn platform.Txn, head Head, entry Entry) error {
	pause := cmp.Or(l.SettlePause, settlePause)
	for range settleAttempts {
		_, err := l.Table.Commit(ctx, txn)
		if err == nil {
			return nil
		}
		if errors.Is(err, platform.ErrConflict) {
			outcome, known := l.ownerOf(ctx, head, entry)
			if known {
				return outcome
			}
		}
		select {
		case <-ctx.Done():
			return platform.ErrUnknown
		case <-time.After(pause):
		}
		pause *= 2
	}
	return platform.ErrUnknown
}

// ownerOf tells whose write created the row of the entry's version: a row that
// is found never changes, so that an old copy of it is as good as the newest.
// A row that is not found may just be missing in an old copy, so its absence
// is proved by a transaction.
func (l Log) ownerOf(ctx context.Context, head Head, entry Entry) (outcome error, known bool) {
	found, err := l.Get(ctx, entry.Version)
	switch {
	case err == nil && found.WriteID == entry.WriteID:
		return nil, true
	case err == nil:
		return ErrHeadMoved, true
	case !errors.Is(err, platform.ErrNotFound):
		return nil, false
	}
	absent, err := CheckRevisions(ctx, l.Table, platform.Check{Key: key(entry.Version), Revision: 0})
	if err != nil || !absent {
		return nil, false
	}
	return l.explain(ctx, head), true
}

// explain tells a moved head from another failed check.
func (l Log) explain(ctx context.Context, head Head) error {
	stands, err := l.HeadUnchanged(ctx, head)
	if err == nil && stands {
		return platform.ErrConflict
	}
	return ErrHeadMoved
}

// HeadUnchanged tells for sure whether the head is still the one that was read.
func (l Log) HeadUnchanged(ctx context.Context, head Head) (bool, error) {
	return CheckRevisions(ctx, l.Table, platform.Check{Key: HeadKey, Revision: head.Revision})
}

// CheckRevisions tells for sure whether rows have the revisions, by a transaction
// without writes: unlike a read, a check is never answered from an old copy.
func CheckRevisions(ctx context.Context, table platform.Table, checks ...platform.Check) (bool, error) {
	_, err := table.Commit(ctx, platform.Txn{Checks: checks})
	if errors.Is(err, platform.ErrConflict) {
		return false, nil
	}
	return err == nil, err
}
