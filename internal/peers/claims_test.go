package peers

import (
	"fmt"
	"net/netip"
	"testing"

	"google.golang.org/protobuf/proto"

	sfv1 "sassafrasfield/internal/gen/sf/v1"
	"sassafrasfield/internal/takeover"
)

// claimed returns the instances that a claim of an instance reaches, with the instances of other zones passing it on.
func (f *virtualFleet) claimed(n *virtualNode) map[*virtualNode]bool {
	reached := map[*virtualNode]bool{}
	reach := func(from *virtualNode, address string) *virtualNode {
		to := f.byAddr[netip.MustParseAddrPort(address)]
		if !f.reaches(from, to) {
			return nil
		}
		reached[to] = true
		return to
	}
	for _, target := range n.exchange.claimTargets() {
		for _, address := range n.exchange.addressesOf(target) {
			contact := reach(n, address)
			if contact == nil || target.zone == "" {
				continue
			}
			for _, passedOn := range contact.exchange.zoneClaimTargets() {
				reach(contact, passedOn.address)
			}
		}
	}
	return reached
}

// TestClaimReachesAllInstances guards against a run that goes on at an instance which a claim to its stream does not reach: in fleets of
// several sizes, and while the instance that speaks for its zone has just been killed.
func TestClaimReachesAllInstances(t *testing.T) {
	for _, size := range []struct{ instances, zones int }{{3, 1}, {9, 4}, {60, 5}} {
		for _, killed := range []int{0, 1} {
			t.Run(fmt.Sprintf("%d instances, %d zones, %d killed", size.instances, size.zones, killed), func(t *testing.T) {
				f := newVirtualFleet(size.instances, size.zones, 0, 1)
				f.run(2 * startupTime)
				for _, n := range f.nodes {
					if killed > 0 && n.exchange.IsHub() && n.exchange.self.Zone == "z0" {
						n.up = false
						killed--
					}
				}
				f.run(2 * hubTimeout)
				for _, n := range f.nodes {
					if !n.up {
						continue
					}
					reached := f.claimed(n)
					for _, other := range f.nodes {
						if other.up && other != n && !reached[other] {
							t.Errorf("a claim of %s does not reach %s", n.exchange.self.Name, other.exchange.self.Name)
						}
					}
				}
			})
		}
	}
}

// TestClaimMessagesKeepAllFields guards against claims and results that lose a part on the way between instances.
func TestClaimMessagesKeepAllFields(t *testing.T) {
	claim := takeover.Claim{Stream: 1 << 60, Attempt: 1<<60 + 1, Scope: 1<<63 + 5, Epoch: 4, LastEvent: 1<<40 + 7}
	message := &sfv1.Datagram{}
	data, err := proto.Marshal(claimToMessage(message, 9, claim, true))
	if err != nil {
		t.Fatal(err)
	}
	received := &sfv1.Datagram{}
	if err := proto.Unmarshal(data, received); err != nil {
		t.Fatal(err)
	}
	if got := claimFromMessage(received.GetStreamClaim()); got != claim || !received.GetStreamClaim().GetPassOn() || received.GetStreamClaim().GetId() != 9 {
		t.Errorf("%+v instead of %+v", got, claim)
	}
	result := takeover.Result{Outranked: true, RunningEpoch: 3, Superseded: 4, Running: 2, Unanswered: 1}
	if got := claimResultFromMessage(claimResultToMessage(9, result)); got != result {
		t.Errorf("%+v instead of %+v", got, result)
	}
}
