package replica

import (
	"cmp"
	"slices"

	"sassafrasfield/internal/platform"
)

// gap is an interval of a table's revisions in which removals may be unknown here. A full read does
// not name removed rows: a row that was added after the start of the gap and removed before its end
// has left no trace. Another replica whose newest revision lies within the gap may have that row.
type gap struct {
	after, until int64
}

// covers reports whether a replica with the given newest revision may have rows whose removal is
// unknown here.
func (g gap) covers(revision int64) bool { return g.after < revision && revision < g.until }

// maxGaps bounds the gaps of a table; the oldest ones are joined.
const maxGaps = 8

// addGap records a gap of a table.
func (r *Replica) addGap(table string, added gap) {
	if added.after >= added.until {
		return
	}
	gaps := append(slices.Clone(r.gaps[table]), added)
	slices.SortFunc(gaps, func(a, b gap) int { return cmp.Compare(a.after, b.after) })
	joined := gaps[:1]
	for _, g := range gaps[1:] {
		if last := &joined[len(joined)-1]; g.after < last.until {
			last.until = max(last.until, g.until)
		} else {
			joined = append(joined, g)
		}
	}
	for len(joined) > maxGaps {
		joined[1].after = joined[0].after
		joined = joined[1:]
	}
	r.gaps[table] = joined
}

// readAsOf records a full read as of the end of a gap, here or at the sender of a batch. If nothing
// was known before, the replica's newest revision is that of the read, so that others ask for the
// removals before it.
func (r *Replica) readAsOf(table string, g gap) {
	r.addGap(table, g)
	if g.after == 0 {
		r.newest[table] = max(r.newest[table], g.until)
	}
}

// gapsSince returns, for a replica with the given revisions, the gaps that it may have as well, and the
// tables of which it needs all rows. A replica of an older restore generation takes any batch for all
// rows of its table.
func (r *Replica) gapsSince(revisions map[string]int64) (marks []Row, incomplete map[string]bool) {
	incomplete = map[string]bool{}
	for table, gaps := range r.gaps {
		since := revisions[table]
		if since > 0 && platform.RestoreGenerationOf(since) < platform.RestoreGenerationOf(r.newest[table]) {
			continue
		}
		for _, g := range gaps {
			if g.until <= since {
				continue
			}
			marks = append(marks, Row{Key: Key{Table: table}, Revision: g.until, Gap: true, GapAfter: g.after})
			incomplete[table] = incomplete[table] || g.covers(since)
		}
	}
	for i := range marks {
		marks[i].Complete = incomplete[marks[i].Table]
	}
	return marks, incomplete
}

// resolveGaps takes over the gaps that a batch marks, and replaces the marks with the deletions that
// follow from them. A batch that was made for an older state of this replica may lack rows: its tables
// with a gap that matters here are left out. completeTo are the revisions up to which the batch makes
// the known rows of each table complete.
func (r *Replica) resolveGaps(rows []Row) (resolved []Row, completeTo map[string]int64) {
	if !slices.ContainsFunc(rows, func(row Row) bool { return row.Gap }) {
		return rows, nil
	}
	completeTo = map[string]int64{}
	given := map[Key]bool{}
	for _, row := range rows {
		// An older deletion of a row does not account for the row here.
		given[row.Key] = given[row.Key] || row.Revision >= r.rows[row.Key].Revision
	}
	unusable := map[string]bool{}
	for _, row := range rows {
		if row.Gap && !row.Complete && (gap{row.GapAfter, row.Revision}).covers(r.newest[row.Table]) {
			unusable[row.Table] = true
		}
	}
	resolved = slices.DeleteFunc(slices.Clone(rows), func(row Row) bool { return row.Gap || unusable[row.Table] })
	for _, row := range rows {
		if !row.Gap || unusable[row.Table] {
			continue
		}
		newest, marked := r.newest[row.Table], gap{row.GapAfter, row.Revision}
		if marked.covers(newest) {
			resolved = append(resolved, r.missing(row.Table, given, marked.until)...)
			marked.after = newest
		}
		if newest < marked.until {
			r.readAsOf(row.Table, marked)
			completeTo[row.Table] = max(completeTo[row.Table], marked.until)
		}
	}
	return resolved, completeTo
}

// missing returns deletions of a table's rows that were not given although all rows as of a revision
// were. It drops such rows that are held.
func (r *Replica) missing(table string, given map[Key]bool, revision int64) []Row {
	var deletions []Row
	for key, row := range r.rows {
		if key.Table == table && !row.Deleted && !given[key] && row.Revision < revision {
			restored := platform.RestoreGenerationOf(row.Revision) < platform.RestoreGenerationOf(revision)
			deletions = append(deletions, Row{Key: key, Revision: revision, Deleted: true, MissingAfterRestore: restored})
		}
	}
	for key, held := range r.held {
		if key.Table == table && !held.row.Deleted && !given[key] && held.row.Revision < revision {
			delete(r.held, key)
		}
	}
	return deletions
}
