package replica

import "time"

// massDeletionDivisor defines a mass deletion: more than 1/massDeletionDivisor of the rows of a table. After
// an outage such rows may have expired because their owners could not renew them. Fewer owners than that shut
// down at a time, and the owners that replace them have rows of their own in the table.
const massDeletionDivisor = 2

// deletionCounts holds, by table, the number of deletions applied since the current hold of mass deletions
// began.
type deletionCounts map[string]int

// tablesWithMassDeletion returns the tables of which so many rows are deleted that the rows may
// have expired during an outage. Deletions of a few rows are applied at once, no matter which peers
// were reachable during the outage. One reason is that an upstream that announces its shutdown must
// soon get no more requests. The other is that an instance cannot tell whether its own link or the
// store failed.
func (r *Replica) tablesWithMassDeletion(rows []Row, now time.Duration) map[string]bool {
	if !r.holdingDeletions(now) {
		return nil
	}
	deleted, added := map[string]int{}, map[string]int{}
	for _, row := range rows {
		before := r.rows[row.Key]
		existed := before.Revision > 0 && !before.Deleted
		switch {
		case row.Revision <= before.Revision:
		case row.Deleted && existed:
			deleted[row.Table]++
		case !row.Deleted && !existed:
			added[row.Table]++
		}
	}
	massDeletion := map[string]bool{}
	for table, n := range deleted {
		expired := n + r.heldDeletions(table) + r.acceptedDeletions[table]
		total := len(r.Table(table)) + added[table] + r.acceptedDeletions[table]
		if massDeletion[table] = expired*massDeletionDivisor > total; !massDeletion[table] {
			r.acceptedDeletions[table] += n
		}
	}
	return massDeletion
}

// holdingDeletions reports whether mass deletions are withheld after a recent outage. Once they
// are not, it clears the counts of deletions, so that they do not add to those of the next outage.
func (r *Replica) holdingDeletions(now time.Duration) bool {
	if now < r.holdUntil {
		return true
	}
	clear(r.acceptedDeletions)
	return false
}

// heldDeletions counts the withheld deletions of a table.
func (r *Replica) heldDeletions(table string) int {
	n := 0
	for key, held := range r.held {
		if key.Table == table && held.row.Deleted {
			n++
		}
	}
	return n
}
