package replica

import (
	"cmp"
	"slices"
)

// Gap is an open interval of a table's revisions. A full read does not name removed rows: a row that was
// added after the start of the gap and removed before its end has left no trace here. A replica whose
// newest revision lies within the gap may have such a row.
type Gap struct {
	After, Until int64
}

// covers reports whether a replica that knows the table up to a revision may have rows whose removal is
// unknown here.
func (g Gap) covers(revision int64) bool { return g.After < revision && revision < g.Until }

// maxGaps bounds the gaps of a table; the oldest ones are joined.
const maxGaps = 8

// addGap records a gap of a table.
func (r *Replica) addGap(table string, added Gap) {
	if added.After >= added.Until {
		return
	}
	gaps := append(slices.Clone(r.gaps[table]), added)
	slices.SortFunc(gaps, func(a, b Gap) int { return cmp.Compare(a.After, b.After) })
	joined := gaps[:1]
	for _, g := range gaps[1:] {
		if last := &joined[len(joined)-1]; g.After < last.Until {
			last.Until = max(last.Until, g.Until)
		} else {
			joined = append(joined, g)
		}
	}
	for len(joined) > maxGaps {
		joined[1].After = joined[0].After
		joined = joined[1:]
	}
	r.gaps[table] = joined
}

// adoptGap records the gap of a replica whose rows are taken over.
func (r *Replica) adoptGap(table string, g Gap) {
	if r.newest[table] < g.Until {
		r.addGap(table, g)
	}
}

// gapAfter returns the gap that joins all gaps of a table beyond a revision; an empty one for none.
func (r *Replica) gapAfter(table string, revision int64) Gap {
	var joined Gap
	for _, g := range r.gaps[table] {
		switch {
		case g.Until <= revision:
		case joined == (Gap{}):
			joined = g
		default:
			joined.Until = g.Until
		}
	}
	return joined
}
