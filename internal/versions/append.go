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

// Retries of a write whose outcome is unknown.
const (
	// settleAttempts is the maximum number of retries.
	settleAttempts = 6
	// settlePause is the default of Log.SettlePause.
	settlePause = 50 * time.Millisecond
)

// Append writes doc as the next version, if the head row still has the revision
// of head. The checks and writes of extra go into the same transaction. The
// version of doc must be that of head plus one. Append returns ErrHeadMoved,
// platform.ErrConflict or platform.ErrUnavailable when nothing was written, and
// platform.ErrUnknown when it could not find out whether the write took effect.
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
		return l.conflictError(ctx, head)
	}
	return err
}

// transaction returns the transaction that checks that the version is the next one,
// and writes it. The first version of a bucket gets a separate row with its whole document.
func transaction(head Head, doc *config.Config, entry Entry, extra platform.Txn) platform.Txn {
	writes := []platform.Write{{Key: HeadKey, Value: encode(Head{Version: entry.Version, Intent: entry.Intent})}}
	if entry.Version%bucketSize == 0 {
		writes = append(writes, platform.Write{Key: snapshotKey(bucketOf(entry.Version)), Value: pack(doc)})
	} else if delta, ok := deltaOf(head.base, doc); ok {
		entry.Delta = delta
	} else {
		entry.Document = pack(doc)
	}
	writes = append(writes, platform.Write{Key: versionKey(entry.Version), Value: encode(entry)})
	return platform.Txn{
		Checks: append([]platform.Check{
			{Key: HeadKey, Revision: head.Revision},
			{Key: versionKey(entry.Version), Revision: 0},
		}, extra.Checks...),
		Writes: append(writes, extra.Writes...),
	}
}

// deltaOf returns the packed delta from base to doc, and whether applying it gives exactly doc.
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
		panic(errors.Wrap(err, "versions: encode")) // the types stored here always marshal
	}
	return data
}

// settle finds out whether a write whose reply was lost took effect. It sends
// the same transaction again. Either that commits, or the conflict proves that a
// check fails now. Revisions are never reused, so a check that failed once fails
// permanently, and a copy of the write that is still in transit has no effect.
// It remains to find out whether this write created the row of the version.
func (l Log) settle(ctx context.Context, txn platform.Txn, head Head, entry Entry) error {
	pause := cmp.Or(l.SettlePause, settlePause)
	for range settleAttempts {
		_, err := l.Table.Commit(ctx, txn)
		if err == nil {
			return nil
		}
		if errors.Is(err, platform.ErrConflict) {
			outcome, known := l.outcomeOf(ctx, head, entry)
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

// outcomeOf returns the outcome of the write of an entry, by the write that created the
// row of the entry's version, and whether the outcome is known. A version row never
// changes, so a stale copy of it is as good as the newest one. A row that is not found may
// only be missing in a stale copy, so a transaction checks that it does not exist.
func (l Log) outcomeOf(ctx context.Context, head Head, entry Entry) (outcome error, known bool) {
	found, err := l.Get(ctx, entry.Version)
	switch {
	case err == nil && found.WriteID == entry.WriteID:
		return nil, true
	case err == nil:
		return ErrHeadMoved, true
	case !errors.Is(err, platform.ErrNotFound):
		return nil, false
	}
	absent, err := CheckRevisions(ctx, l.Table, platform.Check{Key: versionKey(entry.Version), Revision: 0})
	if err != nil || !absent {
		return nil, false
	}
	return l.conflictError(ctx, head), true
}

// conflictError returns ErrHeadMoved after a conflict, or platform.ErrConflict if the
// head is unchanged and another check failed.
func (l Log) conflictError(ctx context.Context, head Head) error {
	unchanged, err := l.HeadUnchanged(ctx, head)
	if err == nil && unchanged {
		return platform.ErrConflict
	}
	return ErrHeadMoved
}

// HeadUnchanged reports whether the head is still the one that was read. The answer
// is never stale.
func (l Log) HeadUnchanged(ctx context.Context, head Head) (bool, error) {
	return CheckRevisions(ctx, l.Table, platform.Check{Key: HeadKey, Revision: head.Revision})
}

// CheckRevisions reports whether rows have the given revisions, by a transaction without
// writes. Unlike a read, a check is never answered from a stale copy.
func CheckRevisions(ctx context.Context, table platform.Table, checks ...platform.Check) (bool, error) {
	_, err := table.Commit(ctx, platform.Txn{Checks: checks})
	if errors.Is(err, platform.ErrConflict) {
		return false, nil
	}
	return err == nil, err
}
