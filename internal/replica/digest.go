package replica

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
)

// noRowsDigest is the digest of a table without rows. 0 stands for an unknown digest.
const noRowsDigest = 1

// State is what a replica has, as others need to know it to send what it lacks.
type State struct {
	// Revisions are those up to which it knows its tables.
	Revisions map[string]int64
	// Digests are those of its tables. Replicas with equal digests of a table have the same existing rows
	// of it, of the same revisions.
	Digests map[string]uint64
}

// State returns the state of the copy.
func (r *Replica) State() State {
	digests := map[string]uint64{}
	for table := range r.newest {
		digests[table] = noRowsDigest
	}
	r.eachExisting(func(row Row) { digests[row.Table] += rowDigest(row) })
	return State{Revisions: r.Newest(), Digests: digests}
}

// digestUpTo returns the digest of the rows of a table that have not changed since a revision.
func (r *Replica) digestUpTo(table string, revision int64) uint64 {
	digest := uint64(noRowsDigest)
	r.eachExisting(func(row Row) {
		if row.Table == table && row.Revision <= revision {
			digest += rowDigest(row)
		}
	})
	return digest
}

// eachExisting calls f with the newest revision of each row that exists, also where it is held.
func (r *Replica) eachExisting(f func(Row)) {
	for key, row := range r.rows {
		if held, ok := r.held[key]; (!ok || held.row.Revision <= row.Revision) && !row.Deleted {
			f(row)
		}
	}
	for key, held := range r.held {
		if held.row.Revision > r.rows[key].Revision && !held.row.Deleted {
			f(held.row)
		}
	}
}

func rowDigest(row Row) uint64 {
	text := binary.BigEndian.AppendUint64([]byte(row.Key.Key), uint64(row.Revision))
	return xxhash.Sum64(text)
}
