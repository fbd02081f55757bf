package peers

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"

	"connectrpc.com/connect"

	"sassafrasfield/internal/gen/sf/v1/sfv1connect"
)

// hubTimeout is how long the hub of a zone counts as alive after its last report: three reports
// may be lost.
const hubTimeout = 700 * time.Millisecond

// addPeer adds or updates a peer and returns its state; nil for this instance itself.
func (e *Exchange) addPeer(p Peer) *peerState {
	if p.Address == "" || p.Address == e.self.Address {
		return nil
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	peer, ok := e.peers[p.Address]
	if !ok {
		peer = &peerState{client: sfv1connect.NewReplicaServiceClient(e.client, "http://"+p.Address, connect.WithReadMaxBytes(maxPullReplyBytes)), addedAt: e.now()}
		peer.Address = p.Address
		e.peers[p.Address] = peer
		e.log.Info("peers: new peer", "peer", p.Name, "address", p.Address, "known", len(e.peers))
	}
	if p.Name != "" && peer.Peer != p {
		e.removeByID(peer)
		peer.Peer = p
		peer.source = sourceOf(p.ID())
		e.byID[p.ID()] = peer
		if p.Zone == e.self.Zone {
			e.roster.Introduce(p.ID(), e.now())
		}
	}
	return peer
}

// AddPeers adds peers that are listed elsewhere.
func (e *Exchange) AddPeers(list []Peer) {
	for _, p := range list {
		e.addPeer(p)
	}
}

// InstanceCount returns the recent peak of the number of instances known here, including this
// one.
func (e *Exchange) InstanceCount() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return max(e.recentCount.value, len(e.peers)+1)
}

// currentCount returns the number of instances now. The lock is held.
func (e *Exchange) currentCount(now time.Duration) int {
	total := e.roster.KnownCount()
	for _, z := range e.zones {
		total += z.instances
	}
	if now-e.lastBatch.at <= hubTimeout {
		total = max(total, e.lastBatch.instances)
	}
	return total
}

// countRetention is how long a count is kept after the number of instances fell. Instances that
// are cut off from this one still use their share of the common budgets.
const countRetention = removeAfter

// recentPeak is the highest of the values of the last countRetention.
type recentPeak struct {
	value int
	at    time.Duration
}

func (p *recentPeak) note(value int, now time.Duration) {
	if value >= p.value || now-p.at > countRetention {
		p.value, p.at = value, now
	}
}

// knowsOthers reports whether another instance has been heard of that was not removed since, alive or not.
func (e *Exchange) knowsOthers() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return len(e.byID) > 0
}

// IsHub reports whether this instance is its zone's hub, which relays the reports of the zone.
func (e *Exchange) IsHub() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.isHub(e.now())
}

// isHub is IsHub. The lock is held.
func (e *Exchange) isHub(now time.Duration) bool {
	isHub := e.roster.IsHub(now)
	if isHub != e.wasHub {
		e.wasHub, e.hubSince = isHub, now
		e.log.Info("peers: hub role changed", "passes", isHub, "rank", e.roster.Rank(now), "known", e.roster.KnownCount())
	}
	return isHub
}

// HubDuration returns how long this instance has been its zone's hub; 0 if it is not the hub.
func (e *Exchange) HubDuration() time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := e.now()
	if !e.isHub(now) {
		return 0
	}
	return now - e.hubSince
}

// ZoneInstanceCount returns the number of live instances of this zone, including this one.
func (e *Exchange) ZoneInstanceCount() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.roster.AliveCount(e.now())
}

// Hubs lists the names of the hubs known here. An instance that has just started assumes that it
// is a hub until it receives reports of others, so it does not list itself during that time.
func (e *Exchange) Hubs() []string {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := e.now()
	var names []string
	if now >= settleTime && e.isHub(now) {
		names = append(names, e.self.Name)
	}
	for _, z := range e.zones {
		if now-z.at <= statusTimeout {
			names = append(names, z.hub.Name)
		}
	}
	slices.Sort(names)
	return names
}

// sweep removes the peers that have been silent for longer than removeAfter, except the seeds.
func (e *Exchange) sweep() {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := e.now()
	for address, peer := range e.peers {
		silent := now - max(peer.lastSeen, peer.addedAt)
		if silent <= removeAfter || slices.Contains(e.seeds, address) {
			continue
		}
		e.removePeer(peer)
		e.log.Info("peers: silent peer removed", "peer", peer.Name, "address", address, "silent", silent)
	}
	for zone, z := range e.zones {
		if now-z.at > removeAfter {
			delete(e.zones, zone)
		}
	}
	e.recentCount.note(e.currentCount(now), now)
}

// removePeer removes a peer. The lock is held.
func (e *Exchange) removePeer(peer *peerState) {
	delete(e.peers, peer.Address)
	e.removeByID(peer)
}

// removeByID removes what is stored under a peer's ID, which depends on its name and link. The lock
// is held.
func (e *Exchange) removeByID(peer *peerState) {
	id := peer.ID()
	if e.byID[id] == peer {
		delete(e.byID, id)
		e.roster.Remove(id)
		e.inbox.Remove(id)
	}
}

// maxContacts bounds the number of peers of the requester's zone in one reply.
const maxContacts = 64

// contacts lists live instances of a zone, and one or two of each other zone, for an instance of
// that zone. The list includes this instance. The lock is held.
func (e *Exchange) contacts(zone string) []Peer {
	list, now := []Peer{e.self}, e.now()
	for _, peer := range e.peers {
		if peer.Zone == zone && peer.Name != "" && e.isAlive(peer, now) && len(list) < maxContacts {
			list = append(list, peer.Peer)
		}
	}
	for other := range e.otherZones() {
		if other == zone {
			continue
		}
		for _, peer := range e.contactsOf(other, now) {
			list = append(list, peer.Peer)
		}
	}
	return list
}

// isAlive reports whether a peer was seen alive recently or is new. The lock is held.
func (e *Exchange) isAlive(peer *peerState, now time.Duration) bool {
	if peer.Zone == e.self.Zone {
		return e.roster.Alive(peer.ID(), now)
	}
	return peer.failures == 0 && now-max(peer.lastSeen, peer.addedAt) <= otherZoneAliveTimeout
}

// otherZoneAliveTimeout is how long a peer of another zone counts as alive after it was last
// seen. Only its own zone receives its reports often.
const otherZoneAliveTimeout = 5 * time.Second

// otherSeeds returns the addresses of the seeds other than this instance. The lock is held.
func (e *Exchange) otherSeeds() []string {
	var list []string
	for _, address := range e.seeds {
		if address != e.self.Address {
			list = append(list, address)
		}
	}
	return list
}

// otherZones returns the known peers of the other zones, by zone. The lock is held.
func (e *Exchange) otherZones() map[string][]*peerState {
	zones := map[string][]*peerState{}
	for _, peer := range e.peers {
		if peer.Zone != "" && peer.Zone != e.self.Zone {
			zones[peer.Zone] = append(zones[peer.Zone], peer)
		}
	}
	return zones
}

// contactsOf returns the peers to which reports for another zone are sent: its hub, or while no
// hub is known to be alive, its last hub and random instances, two in all. The lock is held.
func (e *Exchange) contactsOf(zone string, now time.Duration) []*peerState {
	status, known := e.zones[zone]
	if known && now-status.at <= hubTimeout {
		return []*peerState{status.hub}
	}
	var list []*peerState
	if known {
		list = append(list, status.hub)
	}
	for _, peer := range e.peers {
		if peer.Zone == zone && (!known || peer != status.hub) {
			list = append(list, peer)
		}
	}
	const maxContacted = 2
	rand.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
	return list[:min(maxContacted, len(list))]
}

// introductionsPerBatch is how many peers a batch names.
const introductionsPerBatch = 2

// nextIntroductions returns the peers that the next batch names, in rotation. So after a while
// each instance of the zone knows all others of the zone, and the hubs of the other zones. The
// lock is held.
func (e *Exchange) nextIntroductions(now time.Duration) []Peer {
	var list []Peer
	for _, peer := range e.peers {
		if peer.Zone == e.self.Zone && e.roster.Alive(peer.ID(), now) {
			list = append(list, peer.Peer)
		}
	}
	for _, z := range e.zones {
		if now-z.at <= statusTimeout {
			list = append(list, z.hub.Peer)
		}
	}
	slices.SortFunc(list, func(a, b Peer) int { return cmp.Compare(a.Name, b.Name) })
	var chosen []Peer
	for range min(introductionsPerBatch, len(list)) {
		e.introduceIndex = (e.introduceIndex + 1) % len(list)
		chosen = append(chosen, list[e.introduceIndex])
	}
	return chosen
}
