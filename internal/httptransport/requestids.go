package httptransport

import (
	"hash/maphash"
	"slices"
)

// maxRequestIDs bounds the IDs that are kept of a connection, 8 bytes each.
const maxRequestIDs = 512

// idSeed is the seed of the hashes of IDs.
var idSeed = maphash.MakeSeed()

// requestIDs are the IDs of the requests that were sent on a connection. They are kept as hashes.
type requestIDs struct {
	hashes []uint64
}

// add adds an ID.
func (r *requestIDs) add(id string) { r.hashes = append(r.hashes, maphash.String(idSeed, id)) }

// isFull reports whether no further ID is kept.
func (r *requestIDs) isFull() bool { return len(r.hashes) >= maxRequestIDs }

// has reports whether a request with this ID was sent.
func (r *requestIDs) has(id string) bool {
	return slices.Contains(r.hashes, maphash.String(idSeed, id))
}
