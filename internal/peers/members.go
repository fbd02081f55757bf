package peers

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"

	"sassafrasfield/internal/gen/sf/v1/sfv1connect"
)

// hubTimeout is for how long a zone's hub counts after its last word: three of its
// reports may be lost.
const hubTimeout = 700 * time.Millisecond

// addPeer takes note of a peer, which it returns; nil for this instance itself.
func (e *Exchange) addPeer(p Peer) *peerState {
	if p.Address == "" || p.Address == e.self.Address {
		return nil
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	k, ok := e.peers[p.Address]
	if !ok {
		k = &peerState{client: sfv1connect.NewReplicaServiceClient(e.client, "http://"+p.Address), addedAt: e.now()}
		k.Address = p.Address
		e.peers[p.Address] = k
		e.log.Info("peers: new peer", "peer", p.Name, "address", p.Address, "known", len(e.peers))
	}
	if p.Name != "" && k.Peer != p {
		e.forgetID(k)
		k.Peer = p
		k.source = sourceOf(p.ID())
		e.byID[p.ID()] = k
		if p.Zone == e.self.Zone {
			e.roster.Introduce(p.ID(), e.now())
		}
	}
	return k
}

// AddPeers takes note of peers that are listed elsewhere.
func (e *Exchange) AddPeers(list []Peer) {
	for _, p := range list {
		e.addPeer(p)
	}
}

// InstanceCount returns the number of instances there were lately, this one included, as far
// as it is known here.
func (e *Exchange) InstanceCount() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return max(e.recentCount.value, len(e.peers)+1)
}

// currentCount is how many instances there are now. The lock is held.
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

// countRetention is for how long a count holds that fell since: instances that are cut off
// have their part of what all share still.
const countRetention = forgetAfter

// recentPeak is the highest of the values of a time.
type recentPeak struct {
	value int
	at    time.Duration
}

func (p *recentPeak) note(value int, now time.Duration) {
	if value >= p.value || now-p.at > countRetention {
		p.value, p.at = value, now
	}
}

// IsHub tells whether this instance passes the reports of its zone on.
func (e *Exchange) IsHub() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.isHub(e.now())
}

// isHub is Passes. The lock is held.
func (e *Exchange) isHub(now time.Duration) bool {
	passes := e.roster.ShouldRelay(now)
	if passes != e.wasHub {
		e.wasHub, e.hubSince = passes, now
		e.log.Info("peers: passing reports on", "passes", passes, "rank", e.roster.Rank(now), "known", e.roster.KnownCount())
	}
	return passes
}

// HubDuration is for how long this instance has passed the reports of its zone on; 0
// when it does not.
func (e *Exchange) HubDuration() time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := e.now()
	if !e.isHub(now) {
		return 0
	}
	return now - e.hubSince
}

// ZoneInstanceCount counts the live instances of this zone, this one included.
func (e *Exchange) ZoneInstanceCount() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.roster.AliveCount(e.now())
}

// Hubs lists the instances that pass reports on, by name, as far as it is known here.
// An instance that has just started takes itself for one until it hears of others, and
// does not name itself.
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

// sweep forgets the peers that were silent for long, but for the seeds.
func (e *Exchange) sweep() {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := e.now()
	for address, k := range e.peers {
		silent := now - max(k.lastSeen, k.addedAt)
		if silent <= forgetAfter || slices.Contains(e.seeds, address) {
			continue
		}
		e.forget(k)
		e.log.Info("peers: forgotten", "peer", k.Name, "address", address, "silent", silent)
	}
	for zone, z := range e.zones {
		if now-z.at > forgetAfter {
			delete(e.zones, zone)
		}
	}
	e.recentCount.note(e.currentCount(now), now)
}

// forget drops a peer. The lock is held.
func (e *Exchange) forget(k *peerState) {
	delete(e.peers, k.Address)
	e.forgetID(k)
}

// forgetID drops what is known of a peer by its id, which its name and link make. The lock
// is held.
func (e *Exchange) forgetID(k *peerState) {
	id := k.ID()
	if e.byID[id] == k {
		delete(e.byID, id)
		e.roster.Forget(id)
		e.inbox.Forget(id)
	}
}

// maxContacts bounds the peers that are named at once.
const maxContacts = 64

// contacts lists the instances of a zone, and one or two of each other zone, for
// whoever asks; this one included. The lock is held.
func (e *Exchange) contacts(zone string) []Peer {
	list, now := []Peer{e.self}, e.now()
	for _, k := range e.peers {
		if k.Zone == zone && k.Name != "" && e.isAlive(k, now) && len(list) < maxContacts {
			list = append(list, k.Peer)
		}
	}
	for other := range e.otherZones() {
		if other == zone {
			continue
		}
		for _, k := range e.contactsOf(other, now) {
			list = append(list, k.Peer)
		}
	}
	return list
}

// isAlive tells whether a peer gave a sign lately, or is new. The lock is held.
func (e *Exchange) isAlive(k *peerState, now time.Duration) bool {
	if k.Zone == e.self.Zone {
		return e.roster.Alive(k.ID(), now)
	}
	return k.failures == 0 && now-max(k.lastSeen, k.addedAt) <= otherZoneAliveTimeout
}

// otherZoneAliveTimeout is for how long a peer of another zone counts as alive, of which only its
// own zone hears often.
const otherZoneAliveTimeout = 5 * time.Second

// otherSeeds are the addresses of the seeds. The lock is held.
func (e *Exchange) otherSeeds() []string {
	var list []string
	for _, address := range e.seeds {
		if address != e.self.Address {
			list = append(list, address)
		}
	}
	return list
}

// otherZones are the zones of the known peers, but for this instance's. The lock is
// held.
func (e *Exchange) otherZones() map[string][]*peerState {
	zones := map[string][]*peerState{}
	for _, k := range e.peers {
		if k.Zone != "" && k.Zone != e.self.Zone {
			zones[k.Zone] = append(zones[k.Zone], k)
		}
	}
	return zones
}

// contactsOf are whom to tell what concerns another zone: its hub, or any two
// instances while no hub is heard. The lock is held.
func (e *Exchange) contactsOf(zone string, now time.Duration) []*peerState {
	word, heard := e.zones[zone]
	if heard && now-word.at <= hubTimeout {
		return []*peerState{word.hub}
	}
	var list []*peerState
	if heard {
		list = append(list, word.hub)
	}
	for _, k := range e.peers {
		if k.Zone == zone && (!heard || k != word.hub) {
			list = append(list, k)
		}
	}
	const asked = 2
	rand.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
	return list[:min(asked, len(list))]
}

// introductionsPerBatch is how many peers a batch names.
const introductionsPerBatch = 2

// nextIntroductions lists some peers by turns, so that each instance of the zone knows all
// others of it, and the other zones' hubs, after a while. The lock is held.
func (e *Exchange) nextIntroductions(now time.Duration) []Peer {
	var list []Peer
	for _, k := range e.peers {
		if k.Zone == e.self.Zone && e.roster.Alive(k.ID(), now) {
			list = append(list, k.Peer)
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
