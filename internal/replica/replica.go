// Package replica keeps one instance's copy of the platform's rows that it
// follows. Rows come from the store's feed, from full reads and from other
// instances, in any order and more than once; the newest revision of each row
// wins. It is pure.
//
// A store may come back from an older copy, with a new era of its revisions
// (platform.RevisionOf). Whoever gives rows of a newer era than the receiver has
// gives all rows of their table.
package replica

import (
	"bytes"
	"cmp"
	"maps"
	"slices"
	"time"

	"sassafrasfield/internal/platform"
)

// Key names a row.
type Key struct {
	Table, Key string
}

// Row is one revision of a row.
type Row struct {
	Key
	Value []byte
	// Revision rises with each change of the row.
	Revision int64
	// Deleted rows keep their revision, so that an older one is not taken for
	// news.
	Deleted bool
	// MissingAfterRestore tells of a deleted row that nobody removed: the store came back from a
	// copy without it. Whoever wrote it may write it again.
	MissingAfterRestore bool
}

// Settings of a Replica. The zero value is for a store that loses nothing.
type Settings struct {
	// Older tells whether a row that was read is an earlier document than the one held, by
	// their owner's own order; nil where owners have none. What a store gives back of an earlier
	// era does not take the place of a later document: its revision counts, and the document
	// that is held stays, for those too who get the rows from this copy.
	Older func(held, read Row) bool
	// HoldRestored is for how long a row is not believed that was removed, and is back in a
	// store that came back from a copy: its owner may be gone, and write no more. What is written
	// since counts.
	HoldRestored time.Duration
}

// Replica is the copy. It is not safe for concurrent use.
type Replica struct {
	settings Settings
	rows     map[Key]Row
	// read is the revision up to which a table was read from the store, newest the
	// highest one of any of its rows, those held among them.
	read, newest map[string]int64
	// held are rows that are not believed yet: deletions, and those that a return brought
	// back.
	held map[Key]heldRow
	// holdUntil is when all deletions are believed again.
	holdUntil time.Duration
	lapses    lapses
}

// heldRow is a row that its owner may still take back, or that the store may still drop.
type heldRow struct {
	row   Row
	until time.Duration
}

// New returns an empty copy.
func New(s Settings) *Replica {
	return &Replica{settings: s, rows: map[Key]Row{}, read: map[string]int64{}, newest: map[string]int64{}, held: map[Key]heldRow{}, lapses: lapses{}}
}

// HoldDeletions has deletions of many rows doubted that come before a time: after an outage the
// store drops entries whose owners live on and write them again.
func (r *Replica) HoldDeletions(until time.Duration) {
	r.holdUntil = max(r.holdUntil, until)
}

// Apply takes rows and returns those that were news.
func (r *Replica) Apply(rows []Row, now time.Duration) []Row {
	var news []Row
	rows = append(rows, r.leftBehind(rows)...)
	doubted := r.doubted(rows, now)
	for _, row := range rows {
		before := r.rows[row.Key]
		if row.Revision <= before.Revision || platform.EraOf(row.Revision) < platform.EraOf(r.newest[row.Table]) {
			continue
		}
		r.newest[row.Table] = max(r.newest[row.Table], row.Revision)
		if until := r.holdsUntil(before, row, doubted[row.Table], now); until > 0 {
			r.hold(row, until)
			continue
		}
		if r.put(before, row) {
			news = append(news, row)
		}
	}
	return r.current(news)
}

// put has a row take the place of the one before, and tells whether it is another one.
func (r *Replica) put(before, row Row) bool {
	if held, ok := r.held[row.Key]; ok && held.row.Revision <= row.Revision {
		delete(r.held, row.Key)
	}
	if r.fallsBehind(before, row) {
		row.Value = before.Value
	}
	r.rows[row.Key] = row
	return !unchanged(before, row)
}

// hold keeps a row that is not believed yet, unless one that is newer is held.
func (r *Replica) hold(row Row, until time.Duration) {
	if row.Revision > r.held[row.Key].row.Revision {
		r.held[row.Key] = heldRow{row: row, until: until}
	}
}

// holdsUntil is until when a row is not believed; 0 for one that is.
func (r *Replica) holdsUntil(before, row Row, doubted bool, now time.Duration) time.Duration {
	switch {
	case row.Deleted && !before.Deleted && (doubted || row.MissingAfterRestore && r.doubts(now)):
		return r.holdUntil
	case r.broughtBack(before, row):
		return now + r.settings.HoldRestored
	default:
		return 0
	}
}

// broughtBack tells whether a row that was removed is there again by a return alone. One that was
// brought back before, and is written since, has an owner.
func (r *Replica) broughtBack(held, read Row) bool {
	if r.settings.HoldRestored == 0 || !held.Deleted || held.MissingAfterRestore || read.Deleted {
		return false
	}
	before, known := r.held[read.Key]
	written := known && platform.EraOf(before.row.Revision) == platform.EraOf(read.Revision) && read.Revision > before.row.Revision
	return !written && platform.EraOf(read.Revision) > platform.EraOf(held.Revision)
}

// fallsBehind tells whether a row of a newer era is an earlier document than the one held.
func (r *Replica) fallsBehind(held, read Row) bool {
	return r.settings.Older != nil && held.Revision > 0 && !held.Deleted && !read.Deleted &&
		platform.EraOf(read.Revision) > platform.EraOf(held.Revision) && r.settings.Older(held, read)
}

// unchanged tells whether a row of a newer era is what it was before.
func unchanged(before, row Row) bool {
	return before.Revision > 0 && platform.EraOf(row.Revision) > platform.EraOf(before.Revision) &&
		before.Deleted == row.Deleted && bytes.Equal(before.Value, row.Value)
}

// leftBehind are the deletions of the rows that a table of a newer era lacks.
func (r *Replica) leftBehind(rows []Row) []Row {
	eras, given := map[string]int64{}, map[Key]bool{}
	for _, row := range rows {
		given[row.Key] = true
		if era := platform.EraOf(row.Revision); r.newest[row.Table] > 0 && era > platform.EraOf(r.newest[row.Table]) {
			eras[row.Table] = max(eras[row.Table], era)
		}
	}
	if len(eras) == 0 {
		return nil
	}
	var lost []Row
	for key, row := range r.rows {
		if era := eras[key.Table]; era > 0 && !row.Deleted && !given[key] {
			lost = append(lost, Row{Key: key, Revision: platform.RevisionOf(era, 0), Deleted: true, MissingAfterRestore: true})
		}
	}
	return lost
}

// current drops the rows that a later one of the same key has overtaken.
func (r *Replica) current(rows []Row) []Row {
	return slices.DeleteFunc(rows, func(row Row) bool { return r.rows[row.Key].Revision > row.Revision })
}

// Release believes the rows that were held long enough, and returns them.
func (r *Replica) Release(now time.Duration) []Row {
	r.doubts(now)
	var news []Row
	for key, held := range r.held {
		if now < held.until {
			continue
		}
		delete(r.held, key)
		over := platform.EraOf(held.row.Revision) < platform.EraOf(r.newest[key.Table])
		if held.row.Revision > r.rows[key].Revision && !over {
			r.rows[key] = held.row
			news = append(news, held.row)
		}
	}
	return news
}

// Replace takes a full read of a table as of a revision: rows that it lacks
// were deleted, unless they are newer than the read, or lost where it has a newer
// era.
func (r *Replica) Replace(table string, rows []Row, revision int64, now time.Duration) []Row {
	present := map[Key]bool{}
	for _, row := range rows {
		present[row.Key] = true
	}
	all := slices.Clone(rows)
	for key, row := range r.rows {
		if key.Table == table && !row.Deleted && !present[key] && row.Revision < revision {
			lost := platform.EraOf(row.Revision) < platform.EraOf(revision)
			all = append(all, Row{Key: key, Revision: revision, Deleted: true, MissingAfterRestore: lost})
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

// SetReadRevision records that the store's feed of a table was read up to a revision.
func (r *Replica) SetReadRevision(table string, revision int64) {
	r.read[table] = max(r.read[table], revision)
}

// ReadRevision is the revision after which the feed of a table goes on.
func (r *Replica) ReadRevision(table string) int64 {
	return r.read[table]
}

// Get returns a row that is there.
func (r *Replica) Get(key Key) (Row, bool) {
	row, ok := r.rows[key]
	return row, ok && !row.Deleted
}

// Table returns the rows of a table that are there, ordered by key.
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

// Since returns all rows, deleted ones too, that are above the revision given
// for their table. Those that are held back are among them.
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

// Newest is the highest revision of any row of each table. All rows up to it are
// known, as long as each source gave all of its rows.
func (r *Replica) Newest() map[string]int64 { return maps.Clone(r.newest) }

// HoldRemaining is for how much longer deletions are held back.
func (r *Replica) HoldRemaining(now time.Duration) time.Duration { return max(0, r.holdUntil-now) }
