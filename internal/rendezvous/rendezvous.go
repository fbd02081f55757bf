// Package rendezvous implements rendezvous hashing (highest random weight). It
// ranks nodes for a key by a hash of both. All processes agree on the ranks
// without communication, and adding or removing a node moves only the keys that
// rank it first.
package rendezvous

import (
	"cmp"

	"github.com/cespare/xxhash/v2"
)

// Weight returns the weight of a node for a key. The highest weight ranks first.
func Weight(key, node string) uint64 {
	hash := xxhash.New()
	_, _ = hash.WriteString(key) // a hash never fails
	_, _ = hash.Write([]byte{0})
	_, _ = hash.WriteString(node)
	return hash.Sum64()
}

// Compare returns a negative number if a ranks before b for the key, and a
// positive one if it ranks after b. Equal weights are ordered by node id.
func Compare(key, a, b string) int {
	return cmp.Or(cmp.Compare(Weight(key, b), Weight(key, a)), cmp.Compare(a, b))
}

// Leader finds the node that ranks first for a key among the nodes passed to
// Offer, with one hash per node. The zero value is ready for use once Key is set.
type Leader struct {
	// Key is the key that the nodes are ranked for.
	Key string
	// Node is the node that ranks first; empty before the first Offer.
	Node string

	weight uint64
}

// Offer adds a node to the ranking.
func (l *Leader) Offer(node string) {
	weight := Weight(l.Key, node)
	if l.Node == "" || weight > l.weight || weight == l.weight && node < l.Node {
		l.Node, l.weight = node, weight
	}
}
