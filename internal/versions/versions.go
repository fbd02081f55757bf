// Package versions keeps the append-only log of configuration versions in the
// platform's table. The head is one row; each version is a row that is created
// once and never changed.
package versions

import (
	"context"
	"encoding/json"
	"fmt"

	"github.com/google/uuid"
	"github.com/pkg/errors"

	"sassafrasfield/internal/config"
	"sassafrasfield/internal/platform"
)

// HeadKey is the row that names the newest version.
const HeadKey = "head"

// VersionPrefix is the prefix of the version rows.
const VersionPrefix = "version/"

// settleAttempts bounds the read-backs of a write whose outcome is unknown.
const settleAttempts = 3

// ErrMoved: the head is no longer the one that the change was made from.
var ErrMoved = errors.New("versions: the head has moved")

// Head is the content of the head row.
type Head struct {
	Version int64 `json:"version"`
	Intent  int64 `json:"intent"`
	// Revision of the row itself, as it was read.
	Revision int64 `json:"-"`
}

// Entry is the content of a version row.
type Entry struct {
	Version  int64  `json:"version"`
	Intent   int64  `json:"intent"`
	Author   string `json:"author"`
	Summary  string `json:"summary"`
	PlanID   string `json:"plan_id,omitempty"`
	Accepted int64  `json:"accepted_unix_ms"`
	// WriteID names the write that created the row.
	WriteID  string          `json:"write_id"`
	Document json.RawMessage `json:"document"`
}

// Log reads and appends versions. It keeps no state and is safe for use by
// several goroutines.
type Log struct {
	Table platform.Table
}

func key(version int64) string {
	return fmt.Sprintf("%s%012d", VersionPrefix, version)
}

// Head reads the head row. A table with none gives the zero Head.
func (l Log) Head(ctx context.Context) (Head, error) {
	row, err := l.Table.Get(ctx, HeadKey)
	if errors.Is(err, platform.ErrNotFound) {
		return Head{}, nil
	}
	if err != nil {
		return Head{}, err
	}
	var head Head
	if err := json.Unmarshal(row.Value, &head); err != nil {
		return Head{}, errors.Wrap(err, "versions: head")
	}
	head.Revision = row.Revision
	return head, nil
}

// Get reads one version.
func (l Log) Get(ctx context.Context, version int64) (Entry, error) {
	row, err := l.Table.Get(ctx, key(version))
	if err != nil {
		return Entry{}, err
	}
	var entry Entry
	if err := json.Unmarshal(row.Value, &entry); err != nil {
		return Entry{}, errors.Wrap(err, "versions: entry")
	}
	return entry, nil
}

// Load reads the document of one version. Version 0 is the empty one.
func (l Log) Load(ctx context.Context, version int64) (*config.Config, error) {
	if version == 0 {
		return &config.Config{}, nil
	}
	entry, err := l.Get(ctx, version)
	if err != nil {
		return nil, err
	}
	return config.Decode(entry.Document)
}

// Newest reads the head and its document.
func (l Log) Newest(ctx context.Context) (Head, *config.Config, error) {
	head, err := l.Head(ctx)
	if err != nil {
		return Head{}, nil, err
	}
	doc, err := l.Load(ctx, head.Version)
	return head, doc, err
}

// List returns the newest versions, newest first, without their documents.
func (l Log) List(ctx context.Context, limit int) ([]Entry, error) {
	head, err := l.Head(ctx)
	if err != nil {
		return nil, err
	}
	var entries []Entry
	for v := head.Version; v > 0 && len(entries) < limit; v-- {
		entry, err := l.Get(ctx, v)
		if err != nil {
			return nil, err
		}
		entry.Document = nil
		entries = append(entries, entry)
	}
	return entries, nil
}

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
	entry.Document = doc.Encode()
	txn := l.transaction(head, entry, extra)
	_, err := l.Table.Commit(ctx, txn)
	if errors.Is(err, platform.ErrUnknown) {
		return l.settle(ctx, txn, entry)
	}
	if errors.Is(err, platform.ErrConflict) {
		return l.explain(ctx, head)
	}
	return err
}

func (l Log) transaction(head Head, entry Entry, extra platform.Txn) platform.Txn {
	value, err := json.Marshal(entry)
	if err != nil {
		panic(errors.Wrap(err, "versions: encode")) // plain data always marshals
	}
	headValue, err := json.Marshal(Head{Version: entry.Version, Intent: entry.Intent})
	if err != nil {
		panic(errors.Wrap(err, "versions: encode"))
	}
	return platform.Txn{
		Checks: append([]platform.Check{
			{Key: HeadKey, Revision: head.Revision},
			{Key: key(entry.Version), Revision: 0},
		}, extra.Checks...),
		Writes: append([]platform.Write{
			{Key: key(entry.Version), Value: value},
			{Key: HeadKey, Value: headValue},
		}, extra.Writes...),
	}
}

// settle finds out whether a write whose reply was lost took effect. It sends
// the same transaction again: it commits, or its conflict proves that the
// version row exists or the head moved, and the row's write id tells by whom.
func (l Log) settle(ctx context.Context, txn platform.Txn, entry Entry) error {
	for range settleAttempts {
		_, err := l.Table.Commit(ctx, txn)
		if err == nil {
			return nil
		}
		if !errors.Is(err, platform.ErrConflict) {
			continue
		}
		found, err := l.Get(ctx, entry.Version)
		switch {
		case err == nil && found.WriteID == entry.WriteID:
			return nil
		case err == nil:
			return ErrMoved
		case errors.Is(err, platform.ErrNotFound):
			return platform.ErrConflict
		}
	}
	return platform.ErrUnknown
}

// explain tells a moved head from another failed check.
func (l Log) explain(ctx context.Context, head Head) error {
	now, err := l.Head(ctx)
	if err == nil && now.Revision == head.Revision {
		return platform.ErrConflict
	}
	return ErrMoved
}
