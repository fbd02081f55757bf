// Package replica keeps one instance's copy of the platform's rows that it
// follows. Its input is rows from the store's change feed, from full reads and
// from other instances, in any order and possibly more than once. The newest
// revision of each row wins. Its output is the rows that changed. The package
// does no I/O and reads no clock.
//
// A full read names the rows that exist, and not those that were removed before
// it. So each replica records the gaps in the removals that it knows, and a batch
// for another one states up to which revision it is complete (Bookmark).
//
// A store may be restored from an older copy. Its revisions then have a higher
// restore generation (platform.RevisionOf). A sender of rows whose generation
// is newer than the receiver's must send all rows of their table.
package replica

import (
	"bytes"
	"cmp"
	"maps"
	"slices"
	"time"

	"sassafrasfield/internal/platform"
)

// Key identifies a row.
type Key struct {
	Table, Key string
}

// Row is one revision of a row.
type Row struct {
	Key
	Value []byte
	// Revision rises with each change of the row.
	Revision int64
	// Deleted rows keep their revision, so that an older revision of the row is
	// not applied as a change.
	Deleted bool
	// MissingAfterRestore marks a deleted row that nobody removed: the store was
	// restored from a copy without it. The row's owner may write it again.
	MissingAfterRestore bool
	// Bookmark is set if this is no row but the bookmark of a table in a batch.
	Bookmark *Bookmark
}

// Settings of a Replica. The zero value suits a store that never loses data.
type Settings struct {
	// Older reports whether a row that was read is an earlier document than the held one, by
	// the order that the owner of the document defines. It is nil where owners define no order. A
	// row of a newer restore generation does not replace a later document with an earlier one: the
	// replica takes over its revision but keeps the held document, and also passes that on to
	// others that copy its rows.
	Older func(held, read Row) bool
	// HoldRestored is how long the replica withholds a row that was removed and is present again
	// only because the store was restored from a copy. The row's owner may have departed and no
	// longer write it. A row that was written after the restore is applied at once.
	HoldRestored time.Duration
}

// Replica is the copy. It is not safe for concurrent use.
type Replica struct {
	settings Settings
	rows     map[Key]Row
	// readUpTo is the revision up to which each table was read from the store. newest is the
	// revision up to which each table is known, including held rows.
	readUpTo, newest map[string]int64
	// completeTo is the revision up to which the existing rows of each table are known for certain: the
	// store was read up to it, or another replica stated it. An unknown row that is not newer was removed.
	completeTo map[string]int64
	// newestRow is the highest revision of any row of each table.
	newestRow map[string]int64
	// gaps are the gaps in the known removals of each table, in order of their revisions.
	gaps map[string][]Gap
	// held are rows that are not applied yet: deletions, and rows that came back
	// with a restore of the store.
	held map[Key]heldRow
	// holdUntil is the time from which all deletions are applied immediately.
	holdUntil         time.Duration
	acceptedDeletions deletionCounts
}

// heldRow is a row that its owner may still write again, or that the store may still drop.
type heldRow struct {
	row   Row
	until time.Duration
}

// New returns an empty copy.
func New(s Settings) *Replica {
	return &Replica{
		settings: s, rows: map[Key]Row{}, readUpTo: map[string]int64{}, newest: map[string]int64{}, completeTo: map[string]int64{},
		newestRow: map[string]int64{}, gaps: map[string][]Gap{}, held: map[Key]heldRow{}, acceptedDeletions: deletionCounts{},
	}
}

// HoldDeletions withholds mass deletions that arrive before a time. After an outage the
// store drops expired entries whose owners are alive and write them again.
func (r *Replica) HoldDeletions(until time.Duration) {
	r.holdUntil = max(r.holdUntil, until)
}

// Apply merges rows into the copy and returns those that changed it.
func (r *Replica) Apply(rows []Row, now time.Duration) []Row {
	return r.merge(r.newBatch(rows), now)
}

// merge merges a batch into the copy and returns the rows that changed it.
func (r *Replica) merge(b batch, now time.Duration) []Row {
	var changes []Row
	withMassDeletion := r.tablesWithMassDeletion(b.rows, now)
	for _, row := range b.rows {
		before := r.rows[row.Key]
		outdated := r.isOutdated(row, b)
		r.advance(row)
		if row.Revision <= before.Revision || outdated {
			continue
		}
		if until := r.holdDeadline(before, row, withMassDeletion[row.Table], now); until > 0 {
			r.hold(row, until)
			continue
		}
		if r.store(before, row) {
			changes = append(changes, row)
		}
	}
	for table, revision := range b.upTo {
		r.newest[table] = max(r.newest[table], revision)
		r.completeTo[table] = max(r.completeTo[table], revision)
	}
	return r.dropSuperseded(changes)
}

// isOutdated reports whether a row is of an older restore generation, or was removed since although its
// sender does not know that.
func (r *Replica) isOutdated(row Row, b batch) bool {
	if platform.RestoreGenerationOf(row.Revision) < platform.RestoreGenerationOf(r.newest[row.Table]) {
		return true
	}
	return !row.Deleted && row.Revision <= r.completeTo[row.Table] && !b.complete[row.Table]
}

// advance records the revision of a row that is merged.
func (r *Replica) advance(row Row) {
	r.newest[row.Table] = max(r.newest[row.Table], row.Revision)
	r.newestRow[row.Table] = max(r.newestRow[row.Table], row.Revision)
}

// store replaces the row before with a new one, and reports whether that is a change.
func (r *Replica) store(before, row Row) bool {
	if held, ok := r.held[row.Key]; ok && held.row.Revision <= row.Revision {
		delete(r.held, row.Key)
	}
	if r.isOlderDocument(before, row) {
		row.Value = before.Value
	}
	r.rows[row.Key] = row
	return !unchanged(before, row)
}

// hold withholds a row, unless a newer revision of it is held already.
func (r *Replica) hold(row Row, until time.Duration) {
	if row.Revision > r.held[row.Key].row.Revision {
		r.held[row.Key] = heldRow{row: row, until: until}
	}
}

// holdDeadline returns until when a row is withheld, or 0 for a row that is applied at once.
func (r *Replica) holdDeadline(before, row Row, massDeletion bool, now time.Duration) time.Duration {
	switch {
	case row.Deleted && !before.Deleted && (massDeletion || row.MissingAfterRestore && r.holdingDeletions(now)):
		return r.holdUntil
	case r.onlyRestored(before, row):
		return now + r.settings.HoldRestored
	default:
		return 0
	}
}

// onlyRestored reports whether a removed row is present again only because the store was restored.
// A row that came back with a restore and was written since then has a live owner.
func (r *Replica) onlyRestored(held, read Row) bool {
	if r.settings.HoldRestored == 0 || !held.Deleted || held.MissingAfterRestore || read.Deleted {
		return false
	}
	before, known := r.held[read.Key]
	written := known && platform.RestoreGenerationOf(before.row.Revision) == platform.RestoreGenerationOf(read.Revision) && read.Revision > before.row.Revision
	return !written && platform.RestoreGenerationOf(read.Revision) > platform.RestoreGenerationOf(held.Revision)
}

// isOlderDocument reports whether a row of a newer restore generation is an earlier document than
// the held one.
func (r *Replica) isOlderDocument(held, read Row) bool {
	return r.settings.Older != nil && held.Revision > 0 && !held.Deleted && !read.Deleted &&
		platform.RestoreGenerationOf(read.Revision) > platform.RestoreGenerationOf(held.Revision) && r.settings.Older(held, read)
}

// unchanged reports whether a row of a newer restore generation has the same content as before.
func unchanged(before, row Row) bool {
	return before.Revision > 0 && platform.RestoreGenerationOf(row.Revision) > platform.RestoreGenerationOf(before.Revision) &&
		before.Deleted == row.Deleted && bytes.Equal(before.Value, row.Value)
}

// dropSuperseded drops the rows of which the copy has a newer revision by now.
func (r *Replica) dropSuperseded(rows []Row) []Row {
	return slices.DeleteFunc(rows, func(row Row) bool { return r.rows[row.Key].Revision > row.Revision })
}

// Release applies the rows whose hold has ended, and returns them.
func (r *Replica) Release(now time.Duration) []Row {
	r.holdingDeletions(now)
	var changes []Row
	for key, held := range r.held {
		if now < held.until {
			continue
		}
		delete(r.held, key)
		outdated := platform.RestoreGenerationOf(held.row.Revision) < platform.RestoreGenerationOf(r.newest[key.Table])
		if held.row.Revision > r.rows[key].Revision && !outdated {
			r.rows[key] = held.row
			changes = append(changes, held.row)
		}
	}
	return changes
}

// Replace applies a full read of a table as of a revision. Rows that the read
// lacks were deleted, unless they are newer than the read. If the read has a newer
// restore generation, they are marked as missing after the restore.
func (r *Replica) Replace(table string, rows []Row, revision int64, now time.Duration) []Row {
	b := batch{rows: slices.Clone(rows), upTo: map[string]int64{table: revision}, complete: map[string]bool{}}
	b.rows = append(b.rows, r.missing(table, rows, revision)...)
	before := r.completeRevision(table)
	b.complete[table] = revision >= before
	r.addGap(table, Gap{After: before, Until: revision})
	changes := r.merge(b, now)
	r.SetReadRevision(table, revision)
	return changes
}

// SetReadRevision records that a table was read from the store up to a revision. It never
// lowers the recorded revision.
func (r *Replica) SetReadRevision(table string, revision int64) {
	r.readUpTo[table] = max(r.readUpTo[table], revision)
	r.completeTo[table] = max(r.completeTo[table], revision)
}

// completeRevision returns the revision as of which the rows of a table are known.
func (r *Replica) completeRevision(table string) int64 {
	return max(r.newest[table], r.completeTo[table])
}

// ReadRevision returns the revision after which the feed of a table continues.
func (r *Replica) ReadRevision(table string) int64 {
	return r.readUpTo[table]
}

// Get returns a row, and whether it exists.
func (r *Replica) Get(key Key) (Row, bool) {
	row, ok := r.rows[key]
	return row, ok && !row.Deleted
}

// Table returns the existing rows of a table, ordered by key.
func (r *Replica) Table(table string) []Row {
	var rows []Row
	for key, row := range r.rows {
		if key.Table == table && !row.Deleted {
			rows = append(rows, row)
		}
	}
	slices.SortFunc(rows, func(a, b Row) int { return cmp.Compare(a.Key.Key, b.Key.Key) })
	return rows
}

// Since returns all rows whose revision is above the one given for their table, ordered by revision.
// Deleted rows and held rows are included. Of a table in which another replica with that revision may have
// rows whose removal is unknown here, it returns all existing rows. Bookmarks come last, where the rows do
// not imply them.
func (r *Replica) Since(revisions map[string]int64) []Row {
	return r.SinceState(State{Revisions: revisions})
}

// SinceState is Since for a replica whose digests are known, if any. It returns only the newer rows of a
// table whose digest shows that no removal is unknown.
func (r *Replica) SinceState(s State) []Row {
	revisions := s.Revisions
	var bookmarks, rows []Row
	complete := map[string]bool{}
	for table := range r.newest {
		if bookmark, ok := r.bookmark(table, revisions[table], s.Digests[table]); ok {
			bookmarks = append(bookmarks, bookmark)
			complete[table] = bookmark.Bookmark.Complete
		}
	}
	wanted := func(row Row) bool {
		return row.Revision > revisions[row.Table] || complete[row.Table] && !row.Deleted && r.isCurrentGeneration(row)
	}
	for _, row := range r.rows {
		if wanted(row) {
			rows = append(rows, row)
		}
	}
	for _, held := range r.held {
		if wanted(held.row) {
			rows = append(rows, held.row)
		}
	}
	slices.SortFunc(rows, func(a, b Row) int { return cmp.Compare(a.Revision, b.Revision) })
	bookmarks = slices.DeleteFunc(bookmarks, func(b Row) bool { return isImplied(b, revisions[b.Table], rows) })
	return append(rows, bookmarks...)
}

// isCurrentGeneration reports whether a row is of the newest restore generation of its table. Others wait
// to be removed.
func (r *Replica) isCurrentGeneration(row Row) bool {
	return platform.RestoreGenerationOf(row.Revision) == platform.RestoreGenerationOf(r.newest[row.Table])
}

// Newest returns the revision up to which each table is known, provided that each source sent all of its
// rows.
func (r *Replica) Newest() map[string]int64 { return maps.Clone(r.newest) }

// NewestRows returns the highest revision of any row of each table.
func (r *Replica) NewestRows() map[string]int64 { return maps.Clone(r.newestRow) }

// HoldRemaining returns for how much longer mass deletions are withheld.
func (r *Replica) HoldRemaining(now time.Duration) time.Duration { return max(0, r.holdUntil-now) }
