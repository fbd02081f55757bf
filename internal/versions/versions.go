// Package versions keeps the append-only log of configuration versions in the
// platform's table. Its input is new documents to append, and its output is the
// documents of versions and the list of versions.
//
// The head is one row. Each version has a row that is created once and never
// changed. It holds the changes since the version before it. The first version of
// each bucket also has a snapshot row with the whole document.
//
// Reads of the table may be stale, but the checks of a transaction never are. Where
// a stale answer would be wrong, the package uses a transaction that has checks and
// no writes.
package versions

import (
	"context"
	"encoding/json"
	"fmt"
	"time"

	"github.com/pkg/errors"

	"sassafrasfield/internal/config"
	"sassafrasfield/internal/platform"
)

// HeadKey is the key of the row that holds the number of the newest version.
const HeadKey = "head"

// Prefixes of the keys of rows.
const (
	VersionPrefix  = "version/"
	SnapshotPrefix = "snapshot/"
)

// bucketSize is the number of versions in a bucket. One listing of the table returns a
// bucket, and each bucket begins with a snapshot of the whole document.
const bucketSize = 64

// MaxListed bounds the versions that List returns, and thereby its reads.
const MaxListed = 512

// Errors of the log. Compare with errors.Is.
var (
	// ErrHeadMoved means that the head is no longer the one that the change is based on.
	ErrHeadMoved = errors.New("versions: the head has moved")
	// ErrStaleRead means that the table answered from a stale copy that lacks the version.
	ErrStaleRead = errors.New("versions: the table answered from an old copy")
)

// Head is the content of the head row.
type Head struct {
	Version int64 `json:"version"`
	Intent  int64 `json:"intent"`
	// Revision is the revision of the head row when it was read.
	Revision int64 `json:"-"`
	// base is the head's document, or nil if only the head was read.
	base *config.Config
}

// Entry is the content of a version row.
type Entry struct {
	Version  int64  `json:"version"`
	Intent   int64  `json:"intent"`
	Author   string `json:"author"`
	Summary  string `json:"summary"`
	PlanID   string `json:"plan_id,omitempty"`
	Accepted int64  `json:"accepted_unix_ms"`
	// WriteID identifies the write that created the row.
	WriteID string `json:"write_id"`
	// Delta is the packed Delta from the version before. If it is empty, the whole
	// document is in Document or in the bucket's snapshot.
	Delta    []byte `json:"delta,omitempty"`
	Document []byte `json:"document,omitempty"`
}

// Log reads and appends versions. It keeps no state and is safe for concurrent use.
type Log struct {
	Table platform.Table
	// SettlePause is the pause after the first retry of a write whose outcome is unknown. It
	// doubles after each retry. 0 means 50 ms.
	SettlePause time.Duration
}

func bucketOf(version int64) int64 { return version / bucketSize }

func bucketPrefix(bucket int64) string {
	return fmt.Sprintf("%s%09d/", VersionPrefix, bucket)
}

func versionKey(version int64) string {
	return fmt.Sprintf("%s%012d", bucketPrefix(bucketOf(version)), version)
}

func snapshotKey(bucket int64) string {
	return fmt.Sprintf("%s%09d", SnapshotPrefix, bucket)
}

// Head reads the head row. It returns the zero Head if the table has none.
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

// Get reads the row of one version.
func (l Log) Get(ctx context.Context, version int64) (Entry, error) {
	row, err := l.Table.Get(ctx, versionKey(version))
	if err != nil {
		return Entry{}, err
	}
	return decodeEntry(row)
}

func decodeEntry(row platform.Row) (Entry, error) {
	var entry Entry
	err := json.Unmarshal(row.Value, &entry)
	return entry, errors.Wrap(err, "versions: entry")
}

// Load reads the document of one version. Version 0 is the empty document. It costs
// two reads. After ErrStaleRead the caller may try again.
func (l Log) Load(ctx context.Context, version int64) (*config.Config, error) {
	return l.LoadFrom(ctx, nil, version)
}

// LoadFrom reads the document of a version, starting from a known document. This costs one
// read if both versions are in the same bucket. Known may be nil.
func (l Log) LoadFrom(ctx context.Context, known *config.Config, version int64) (*config.Config, error) {
	if version == 0 {
		return &config.Config{}, nil
	}
	if known != nil && known.Version == version {
		return known, nil
	}
	bucket := bucketOf(version)
	entries, err := l.readBucket(ctx, bucket)
	if err != nil {
		return nil, err
	}
	base := known
	if base == nil || base.Version > version || bucketOf(base.Version) != bucket {
		if base, err = l.readSnapshot(ctx, bucket); err != nil {
			return nil, err
		}
	}
	return replay(base, entries, version)
}

// readBucket reads the version rows of one bucket, ordered by version.
func (l Log) readBucket(ctx context.Context, bucket int64) ([]Entry, error) {
	rows, err := l.Table.List(ctx, bucketPrefix(bucket))
	if err != nil {
		return nil, err
	}
	entries := make([]Entry, 0, len(rows))
	for _, row := range rows {
		entry, err := decodeEntry(row)
		if err != nil {
			return nil, err
		}
		entries = append(entries, entry)
	}
	return entries, nil
}

// readSnapshot reads the whole document of a bucket's first version.
func (l Log) readSnapshot(ctx context.Context, bucket int64) (*config.Config, error) {
	doc := &config.Config{}
	if bucket == 0 {
		return doc, nil
	}
	row, err := l.Table.Get(ctx, snapshotKey(bucket))
	if errors.Is(err, platform.ErrNotFound) {
		return nil, ErrStaleRead
	}
	if err != nil {
		return nil, err
	}
	return doc, unpack(row.Value, doc)
}

// replay returns the document of a version, by applying entries to base.
func replay(base *config.Config, entries []Entry, version int64) (*config.Config, error) {
	doc := base
	for _, entry := range entries {
		if entry.Version <= doc.Version || entry.Version > version {
			continue
		}
		next, err := entry.documentAfter(doc)
		if err != nil {
			return nil, err
		}
		doc = next
	}
	if doc.Version != version {
		return nil, ErrStaleRead
	}
	return doc, nil
}

// documentAfter returns the entry's document. Before is the newest known document of a lower version.
func (e Entry) documentAfter(before *config.Config) (*config.Config, error) {
	if len(e.Document) > 0 {
		doc := &config.Config{}
		return doc, unpack(e.Document, doc)
	}
	if len(e.Delta) == 0 || e.Version != before.Version+1 {
		return nil, ErrStaleRead
	}
	var delta Delta
	if err := unpack(e.Delta, &delta); err != nil {
		return nil, err
	}
	return delta.Apply(before), nil
}

// Newest reads the head and its document.
func (l Log) Newest(ctx context.Context) (Head, *config.Config, error) {
	return l.NewestFrom(ctx, nil)
}

// NewestFrom reads the head and its document, starting from a known document. Known may be
// nil. If known is newer than the head that was read, it returns ErrStaleRead.
func (l Log) NewestFrom(ctx context.Context, known *config.Config) (Head, *config.Config, error) {
	head, err := l.Head(ctx)
	if err != nil {
		return Head{}, nil, err
	}
	if known != nil && known.Version > head.Version {
		return Head{}, nil, ErrStaleRead
	}
	doc, err := l.LoadFrom(ctx, known, head.Version)
	if err != nil {
		return Head{}, nil, err
	}
	head.base = doc
	return head, doc.Clone(), nil
}

// List returns the newest versions, newest first, without their documents. It returns at
// most MaxListed versions, and costs one read for the head and one for each bucket.
func (l Log) List(ctx context.Context, limit int) ([]Entry, error) {
	head, err := l.Head(ctx)
	if err != nil {
		return nil, err
	}
	limit = min(limit, MaxListed)
	var newest []Entry
	for b := bucketOf(head.Version); b >= 0 && len(newest) < limit; b-- {
		entries, err := l.readBucket(ctx, b)
		if err != nil {
			return nil, err
		}
		for i := len(entries) - 1; i >= 0 && len(newest) < limit; i-- {
			entries[i].Delta, entries[i].Document = nil, nil
			newest = append(newest, entries[i])
		}
	}
	return newest, nil
}
