package replica

import (
	"math"
	"slices"

	"sassafrasfield/internal/platform"
)

// Bookmark tells how far a batch of rows brings the copy of a table. It is sent as a row without a key,
// whose Revision is the one up to which the receiver then knows the table. A batch without a bookmark
// has each change after the receiver's revision and ends with its newest row.
type Bookmark struct {
	// Complete is set if the batch has all existing rows of the table.
	Complete bool
	// Gap is where the sender may lack removals. Of a complete batch it is set only if the batch also has
	// all removals that the sender knows.
	Gap Gap
	// Digest is set if the sender lacks none that a receiver with this digest of the table needs.
	Digest uint64
}

// batch is a set of rows that is merged into the copy.
type batch struct {
	rows []Row
	// upTo holds, by table, the revision up to which the rows make the copy complete, as far as the
	// source stated it.
	upTo map[string]int64
	// complete are the tables of which the batch has all existing rows.
	complete map[string]bool
}

// newBatch returns the batch of rows that were received. It replaces bookmarks with the deletions that
// follow from them, and leaves out the tables that the rows cannot bring up to date.
func (r *Replica) newBatch(received []Row) batch {
	b := batch{upTo: map[string]int64{}, complete: map[string]bool{}}
	unusable := map[string]bool{}
	for _, row := range received {
		if row.Bookmark != nil {
			unusable[row.Table] = !r.resolve(row, &b)
		}
	}
	for _, row := range received {
		if row.Bookmark == nil && !unusable[row.Table] {
			b.rows = append(b.rows, row)
		}
	}
	for table := range b.complete {
		b.rows = append(b.rows, r.missing(table, b.rows, b.upTo[table])...)
	}
	for table, revision := range r.wholeTables(b) {
		r.addGap(table, Gap{After: r.completeRevision(table), Until: revision})
		restored := platform.RevisionOf(platform.RestoreGenerationOf(revision), 0)
		b.rows = append(b.rows, r.missing(table, b.rows, restored)...)
	}
	return b
}

// resolve records in a batch how far a bookmark brings the copy of its table, and returns false if the rows
// cannot bring it there: they were made for an older state of the copy.
func (r *Replica) resolve(bookmark Row, b *batch) bool {
	table, newest, gap := bookmark.Table, r.newest[bookmark.Table], bookmark.Bookmark.Gap
	switch {
	case bookmark.Revision <= newest: // nothing new
	case r.isComplete(bookmark):
		b.upTo[table], b.complete[table] = bookmark.Revision, true
		r.recordCompleteBatch(bookmark)
	case gap.covers(newest) && !r.hasDigest(table, bookmark.Bookmark.Digest):
		return false
	default:
		b.upTo[table] = bookmark.Revision
		r.adoptGap(table, gap)
	}
	return true
}

// wholeTables returns the tables without a bookmark of which a batch has all existing rows, and their newest
// revisions: nothing is known of them yet, or only rows of an older restore generation are.
func (r *Replica) wholeTables(b batch) map[string]int64 {
	whole := map[string]int64{}
	for _, row := range b.rows {
		newest := r.newest[row.Table]
		if _, stated := b.upTo[row.Table]; stated {
			continue
		}
		if newest == 0 || platform.RestoreGenerationOf(row.Revision) > platform.RestoreGenerationOf(newest) {
			whole[row.Table] = max(whole[row.Table], row.Revision)
		}
	}
	return whole
}

// recordCompleteBatch records the gap that a batch with all rows of a table leaves.
func (r *Replica) recordCompleteBatch(bookmark Row) {
	known, gap := r.completeRevision(bookmark.Table), bookmark.Bookmark.Gap
	if known > 0 || gap == (Gap{}) {
		gap = Gap{After: known, Until: bookmark.Revision}
	}
	r.addGap(bookmark.Table, gap)
}

// isComplete reports whether a batch with this bookmark has all existing rows of the table. That is so
// for each batch of a newer restore generation.
func (r *Replica) isComplete(bookmark Row) bool {
	newest := r.newest[bookmark.Table]
	return bookmark.Bookmark.Complete || newest > 0 && platform.RestoreGenerationOf(bookmark.Revision) > platform.RestoreGenerationOf(newest)
}

// hasDigest reports whether a table has a digest that is not 0.
func (r *Replica) hasDigest(table string, digest uint64) bool {
	return digest != 0 && digest == r.digestUpTo(table, math.MaxInt64)
}

// missing returns deletions of a table's rows that were not given although all rows as of a revision
// were. It drops such rows that are held.
func (r *Replica) missing(table string, given []Row, revision int64) []Row {
	accounted := map[Key]bool{}
	for _, row := range given {
		// An older deletion of a row does not account for the row here.
		accounted[row.Key] = accounted[row.Key] || row.Revision >= r.rows[row.Key].Revision
	}
	var deletions []Row
	for key, row := range r.rows {
		if key.Table == table && !row.Deleted && !accounted[key] && row.Revision < revision {
			restored := platform.RestoreGenerationOf(row.Revision) < platform.RestoreGenerationOf(revision)
			deletions = append(deletions, Row{Key: key, Revision: revision, Deleted: true, MissingAfterRestore: restored})
		}
	}
	for key, held := range r.held {
		if key.Table == table && !held.row.Deleted && !accounted[key] && held.row.Revision < revision {
			delete(r.held, key)
		}
	}
	return deletions
}

// bookmark returns the bookmark for a replica that knows a table up to a revision and has a digest of it, if
// that is not 0. It returns false if the replica knows all that is known here.
func (r *Replica) bookmark(table string, since int64, digest uint64) (Row, bool) {
	newest := r.newest[table]
	if since >= newest {
		return Row{}, false
	}
	mark := Bookmark{Gap: r.gapAfter(table, since)}
	switch {
	case since == 0:
		mark.Complete = true
	case platform.RestoreGenerationOf(since) < platform.RestoreGenerationOf(newest):
		mark = Bookmark{Complete: true}
	case !mark.Gap.covers(since):
	case digest != 0 && digest == r.digestUpTo(table, since):
		mark.Digest = digest
	default:
		mark = Bookmark{Complete: true}
	}
	return Row{Key: Key{Table: table}, Revision: newest, Bookmark: &mark}, true
}

// isImplied reports whether a receiver that knows a table up to a revision infers a bookmark from the
// rows of the table.
func isImplied(bookmark Row, since int64, rows []Row) bool {
	newerGeneration := since > 0 && platform.RestoreGenerationOf(bookmark.Revision) > platform.RestoreGenerationOf(since)
	if bookmark.Bookmark.Complete && !newerGeneration || bookmark.Bookmark.Gap != (Gap{}) {
		return false
	}
	return slices.ContainsFunc(rows, func(row Row) bool { return row.Table == bookmark.Table && row.Revision >= bookmark.Revision })
}
