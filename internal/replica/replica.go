// Package replica keeps one instance's copy of the platform's rows that it
// follows. Its input is rows from the store's change feed, from full reads and
// from other instances, in any order and possibly more than once. The newest
// revision of each row wins. Its output is the rows that changed. The package
// does no I/O and reads no clock.
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
	// highest revision of any row of a table, including held rows.
	readUpTo, newest map[string]int64
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
	return &Replica{settings: s, rows: map[Key]Row{}, readUpTo: map[string]int64{}, newest: map[string]int64{}, held: map[Key]heldRow{}, acceptedDeletions: deletionCounts{}}
}

// HoldDeletions withholds mass deletions that arrive before a time. After an outage the
// store drops expired entries whose owners are alive and write them again.
func (r *Replica) HoldDeletions(until time.Duration) {
	r.holdUntil = max(r.holdUntil, until)
}

// Apply merges rows into the copy and returns those that changed it.
func (r *Replica) Apply(rows []Row, now time.Duration) []Row {
	var changes []Row
	rows = append(rows, r.missingAfterRestore(rows)...)
	withMassDeletion := r.tablesWithMassDeletion(rows, now)
	for _, row := range rows {
		before := r.rows[row.Key]
		if row.Revision <= before.Revision || platform.RestoreGenerationOf(row.Revision) < platform.RestoreGenerationOf(r.newest[row.Table]) {
			continue
		}
		r.newest[row.Table] = max(r.newest[row.Table], row.Revision)
		if until := r.holdDeadline(before, row, withMassDeletion[row.Table], now); until > 0 {
			r.hold(row, until)
			continue
		}
		if r.store(before, row) {
			changes = append(changes, row)
		}
	}
	return r.dropSuperseded(changes)
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

// missingAfterRestore returns deletions of the rows that a table of a newer restore generation lacks.
func (r *Replica) missingAfterRestore(rows []Row) []Row {
	generations, given := map[string]int64{}, map[Key]bool{}
	for _, row := range rows {
		given[row.Key] = true
		if generation := platform.RestoreGenerationOf(row.Revision); r.newest[row.Table] > 0 && generation > platform.RestoreGenerationOf(r.newest[row.Table]) {
			generations[row.Table] = max(generations[row.Table], generation)
		}
	}
	if len(generations) == 0 {
		return nil
	}
	var missing []Row
	for key, row := range r.rows {
		if generation := generations[key.Table]; generation > 0 && !row.Deleted && !given[key] {
			missing = append(missing, Row{Key: key, Revision: platform.RevisionOf(generation, 0), Deleted: true, MissingAfterRestore: true})
		}
	}
	return missing
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
	present := map[Key]bool{}
	for _, row := range rows {
		present[row.Key] = true
	}
	all := slices.Clone(rows)
	for key, row := range r.rows {
		if key.Table == table && !row.Deleted && !present[key] && row.Revision < revision {
			restored := platform.RestoreGenerationOf(row.Revision) < platform.RestoreGenerationOf(revision)
			all = append(all, Row{Key: key, Revision: revision, Deleted: true, MissingAfterRestore: restored})
		}
	}
	for key, held := range r.held {
		if key.Table == table && !held.row.Deleted && !present[key] && held.row.Revision < revision {
			delete(r.held, key)
		}
	}
	r.SetReadRevision(table, revision)
	return r.Apply(all, now)
}

// SetReadRevision records that a table was read from the store up to a revision. It never
// lowers the recorded revision.
func (r *Replica) SetReadRevision(table string, revision int64) {
	r.readUpTo[table] = max(r.readUpTo[table], revision)
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

// Since returns all rows whose revision is above the one given for their table,
// ordered by revision. Deleted rows and held rows are included.
func (r *Replica) Since(revisions map[string]int64) []Row {
	var rows []Row
	for _, row := range r.rows {
		if row.Revision > revisions[row.Table] {
			rows = append(rows, row)
		}
	}
	for _, held := range r.held {
		if held.row.Revision > revisions[held.row.Table] {
			rows = append(rows, held.row)
		}
	}
	slices.SortFunc(rows, func(a, b Row) int { return cmp.Compare(a.Revision, b.Revision) })
	return rows
}

// Newest returns the highest revision of any row of each table. All rows up to it are
// known, provided that each source sent all of its rows.
func (r *Replica) Newest() map[string]int64 { return maps.Clone(r.newest) }

// HoldRemaining returns for how much longer mass deletions are withheld.
func (r *Replica) HoldRemaining(now time.Duration) time.Duration { return max(0, r.holdUntil-now) }
