package peers

import (
	"cmp"
	"net"
	"slices"

	sfv1 "sassafrasfield/internal/gen/sf/v1"
)

// ZoneTargets returns the other live instances of this zone that have not reported that they lack a network path to
// a service. Service is a hash of its name; 0 stands for any.
func (e *Exchange) ZoneTargets(service uint32) []Peer {
	e.mu.Lock()
	defer e.mu.Unlock()
	var list []Peer
	now := e.now()
	for _, peer := range e.byID {
		if peer.Zone == e.self.Zone && e.isAlive(peer, now) && !slices.Contains(peer.unreached, service) {
			list = append(list, peer.Peer)
		}
	}
	return list
}

// ZoneContacts returns the known instances of each other zone, those that were seen last first. In a large fleet
// these are few of them. Most instances hear nothing of those directly, so they may have failed.
func (e *Exchange) ZoneContacts() map[string][]Peer {
	e.mu.Lock()
	defer e.mu.Unlock()
	contacts := map[string][]Peer{}
	for zone, list := range e.otherZones() {
		slices.SortFunc(list, func(a, b *peerState) int { return cmp.Compare(b.lastSeen, a.lastSeen) })
		for _, peer := range list {
			if peer.Name != "" {
				contacts[zone] = append(contacts[zone], peer.Peer)
			}
		}
	}
	return contacts
}

// Self returns this instance.
func (e *Exchange) Self() Peer { return e.self }

// KnowsHost reports whether an instance with this IP address is known.
func (e *Exchange) KnowsHost(ip string) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, peer := range e.peers {
		if host, _, err := net.SplitHostPort(peer.Address); err == nil && host == ip && peer.Name != "" {
			return true
		}
	}
	return false
}

// PeerToMessage encodes an instance for the messages of other services between instances.
func PeerToMessage(p Peer) *sfv1.ReplicaPeer { return toMessage(p) }

// PeerFromMessage decodes an instance.
func PeerFromMessage(m *sfv1.ReplicaPeer) Peer { return fromMessage(m) }
