package replica

import "time"

// lapsedPart: where more than one in so many of a table's rows are deleted after an outage,
// the outage may have made them lapse. Owners that leave are fewer, and those that replace
// them are among the rows.
const lapsedPart = 2

// lapses tells, by table, how many rows were deleted since deletions are doubted.
type lapses map[string]int

// doubted returns the tables of which so many rows are deleted that they may have lapsed
// with the outage. An upstream that leaves by its own word must get no requests soon after,
// and an instance does not know whether its own link or the store was to blame: so the
// deletion of a few is believed, whoever was heard meanwhile.
func (r *Replica) doubted(rows []Row, now time.Duration) map[string]bool {
	if !r.doubts(now) {
		return nil
	}
	deleted, added := map[string]int{}, map[string]int{}
	for _, row := range rows {
		before := r.rows[row.Key]
		there := before.Revision > 0 && !before.Deleted
		switch {
		case row.Revision <= before.Revision:
		case row.Deleted && there:
			deleted[row.Table]++
		case !row.Deleted && !there:
			added[row.Table]++
		}
	}
	doubted := map[string]bool{}
	for table, n := range deleted {
		lapsed := n + r.heldOf(table) + r.lapses[table]
		rowsThen := len(r.Table(table)) + added[table] + r.lapses[table]
		if doubted[table] = lapsed*lapsedPart > rowsThen; !doubted[table] {
			r.lapses[table] += n
		}
	}
	return doubted
}

// doubts tells whether there was an outage lately; what lapsed with an earlier one counts no
// more.
func (r *Replica) doubts(now time.Duration) bool {
	if now < r.holdUntil {
		return true
	}
	clear(r.lapses)
	return false
}

// heldOf counts the deletions of a table that are held back.
func (r *Replica) heldOf(table string) int {
	n := 0
	for key, held := range r.held {
		if key.Table == table && held.row.Deleted {
			n++
		}
	}
	return n
}
