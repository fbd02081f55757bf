package forward

import (
	"context"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"sassafrasfield/internal/peers"
)

func peersOf(zone string, count int) []peers.Peer {
	list := make([]peers.Peer, count)
	for i := range list {
		list[i] = peers.Peer{Name: fmt.Sprintf("%s-%d", zone, i), Address: fmt.Sprintf("%s-%d:1", zone, i), Zone: zone}
	}
	return list
}

// TestRequestsAreSpread guards against one instance that gets the requests of all that are cut off.
func TestRequestsAreSpread(t *testing.T) {
	list := peersOf("a", 10)
	chosen := map[string]int{}
	for range 40 { // instances that are cut off choose independently
		targets := newTargets(func() time.Duration { return 0 })
		for range 20 {
			p, ok := targets.acquire(list, nil)
			if !ok {
				t.Fatal("no target")
			}
			chosen[p.Name]++
		}
	}
	for _, p := range list {
		if n := chosen[p.Name]; n < 70 || n > 90 {
			t.Errorf("%s has %d of 800 requests", p.Name, n)
		}
	}
}

// TestCongestedLinkEndsForwarding guards against requests that wait for one instance after another where the own link
// is congested, not the path to the upstreams.
func TestCongestedLinkEndsForwarding(t *testing.T) {
	now := time.Duration(0)
	targets, list := newTargets(func() time.Duration { return now }), peersOf("a", 10)
	for range congestedAfter {
		p, ok := targets.acquire(list, nil)
		if !ok {
			t.Fatal("no target")
		}
		targets.release(p.Name)
		targets.avoid(p.Name)
		targets.recordReached(p.Name, false)
	}
	if targets.available(list) {
		t.Error("still available")
	}
	now = avoidFor
	if !targets.available(list) {
		t.Error("not available again")
	}
}

// modelFleet is who reaches the upstreams in a fleet, and whom an instance knows: its zone and one instance of each
// other zone.
type modelFleet struct {
	zones map[string][]peers.Peer
	cut   map[string]bool
}

func (m *modelFleet) reaching(zone, but string) []peers.Peer {
	var list []peers.Peer
	for _, p := range m.zones[zone] {
		if !m.cut[p.Name] && p.Name != but {
			list = append(list, p)
		}
	}
	return list
}

func (m *modelFleet) contacts(zone string) map[string][]peers.Peer {
	contacts := map[string][]peers.Peer{}
	for other, list := range m.zones {
		if other != zone && len(list) > 0 {
			contacts[other] = list[:1]
		}
	}
	return contacts
}

// client returns the choices of one instance, without connections.
func (m *modelFleet) client(self peers.Peer) *Client {
	clock := func() time.Duration { return 0 }
	c := &Client{instances: modelInstances{m, self}, targets: newTargets(clock)}
	c.others = newOtherZones(func(_ context.Context, of peers.Peer, _ uint32) ([]peers.Peer, error) {
		list := m.reaching(of.Zone, "")
		rand.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
		return list[:min(maxListed, len(list))], nil
	}, clock)
	return c
}

type modelInstances struct {
	fleet *modelFleet
	self  peers.Peer
}

func (m modelInstances) Self() peers.Peer { return m.self }
func (m modelInstances) ZoneTargets(uint32) []peers.Peer {
	return m.fleet.reaching(m.self.Zone, m.self.Name)
}
func (m modelInstances) ZoneContacts() map[string][]peers.Peer { return m.fleet.contacts(m.self.Zone) }
func (m modelInstances) KnowsHost(string) bool                 { return true }

// TestAnyCutHasATarget guards against a cut for which a request finds no instance with a path although there is one,
// finds one without a path, leaves its zone needlessly, or herds on one instance.
func TestAnyCutHasATarget(t *testing.T) {
	for _, size := range []int{1, 2, 3, 9, 70, 400} {
		for seed := range uint64(30) {
			rng := rand.New(rand.NewPCG(seed, uint64(size)))
			m := randomFleet(rng, size)
			checkTargets(t, m, fmt.Sprintf("%d instances, seed %d", size, seed))
		}
	}
}

func randomFleet(rng *rand.Rand, size int) *modelFleet {
	m := &modelFleet{zones: map[string][]peers.Peer{}, cut: map[string]bool{}}
	zones := min(size, 1+rng.IntN(5))
	for z := range zones {
		name := string(rune('a' + z))
		m.zones[name] = peersOf(name, size/zones)
	}
	share := []float64{0.1, 0.34, 0.9}[rng.IntN(3)]
	for zone, list := range m.zones {
		wholeZone := zone == "a" && rng.IntN(2) == 0
		for _, p := range list {
			m.cut[p.Name] = wholeZone || rng.Float64() < share
		}
	}
	return m
}

func checkTargets(t *testing.T, m *modelFleet, label string) {
	t.Helper()
	const requests = 10 // of each instance at a time
	got := map[string]int{}
	reaching, senders := 0, 0
	for zone, list := range m.zones {
		reaching += len(m.reaching(zone, ""))
		for _, self := range list {
			if m.cut[self.Name] {
				senders++
			}
		}
	}
	for zone, list := range m.zones {
		own := len(m.reaching(zone, ""))
		for _, self := range list {
			if !m.cut[self.Name] {
				continue
			}
			c := m.client(self)
			for range requests {
				p, ok := c.pick(context.Background(), 1, nil)
				switch {
				case ok != (reaching > 0):
					t.Fatalf("%s: target found: %v, %d reach", label, ok, reaching)
				case ok && m.cut[p.Name]:
					t.Fatalf("%s: %s has no path", label, p.Name)
				case ok && own > 0 && p.Zone != zone:
					t.Fatalf("%s: left the zone", label)
				}
				got[p.Name]++
			}
		}
	}
	for zone, list := range m.zones {
		own := len(m.reaching(zone, ""))
		for _, p := range list {
			fair := float64(requests*senders) / float64(max(1, own))
			if n := got[p.Name]; float64(n) > 2*fair+3*requests {
				t.Errorf("%s: %s gets %d requests of %d senders, %d reach in its zone", label, p.Name, n, senders, own)
			}
		}
	}
}
