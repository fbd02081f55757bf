// Package rendezvous ranks nodes for a key by a hash of both, so that all
// processes agree on the ranks without asking one another, and a node that comes
// or goes moves only the keys that rank it first (highest random weight).
package rendezvous

import (
	"cmp"

	"github.com/cespare/xxhash/v2"
)

// Weight of a node for a key. The highest weight ranks first.
func Weight(key, node string) uint64 {
	hash := xxhash.New()
	_, _ = hash.WriteString(key) // a hash never fails
	_, _ = hash.Write([]byte{0})
	_, _ = hash.WriteString(node)
	return hash.Sum64()
}

// Compare is negative when a ranks before b for the key. Equal weights are
// ordered by the nodes' ids.
func Compare(key, a, b string) int {
	return cmp.Or(cmp.Compare(Weight(key, b), Weight(key, a)), cmp.Compare(a, b))
}

// Leader finds the node that ranks first for a key among those that it is offered,
// with one hash a node. The zero value with its Key set was offered none.
type Leader struct {
	// Key that the nodes are ranked for.
	Key string
	// Node ranks first; empty while none was offered.
	Node string

	weight uint64
}

// Offer takes one more node into account.
func (l *Leader) Offer(node string) {
	weight := Weight(l.Key, node)
	if l.Node == "" || weight > l.weight || weight == l.weight && node < l.Node {
		l.Node, l.weight = node, weight
	}
}
