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

// add adds an ID, and reports whether it can be told from those of all requests before: it is another one, and all of them are kept.
func (r *requestIDs) add(id string) bool {
	if len(r.hashes) >= maxRequestIDs || r.has(id) {
		return false
	}
	r.hashes = append(r.hashes, maphash.String(idSeed, id))
	return true
}

// has reports whether a request with this ID was sent.
func (r *requestIDs) has(id string) bool {
	return slices.Contains(r.hashes, maphash.String(idSeed, id))
}
