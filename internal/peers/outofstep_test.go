package peers

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// releaseSteps are the versions of the upstreams during two releases in a row.
var releaseSteps = [][]string{{"v1"}, {"v1", "v2"}, {"v2"}, {"v2", "v3"}, {"v3"}}

// outOfStepFleet is a fleet of which some instances are cut off from the store, and some from one another, while the upstreams change
// their version.
type outOfStepFleet struct {
	*virtualFleet
	t *rapid.T
	// side is the part of the fleet that an instance reaches.
	side  map[*virtualNode]int
	step  int
	began map[string]string
}

func newOutOfStepFleet(t *rapid.T) *outOfStepFleet {
	size := rapid.SampledFrom([]struct{ instances, zones int }{{3, 1}, {3, 3}, {9, 4}}).Draw(t, "size")
	f := &outOfStepFleet{virtualFleet: newVirtualFleet(size.instances, size.zones, 0, rapid.Uint64().Draw(t, "seed")), t: t, began: map[string]string{}}
	f.setVersions("v1")
	f.run(2 * startupTime)
	f.heal()
	return f
}

func (f *outOfStepFleet) heal() {
	f.side = map[*virtualNode]int{}
	f.blocked = func(from, to *virtualNode) bool { return f.side[from] != f.side[to] }
	for _, n := range f.nodes {
		n.frozen, n.loads.noStore = false, false
	}
	f.read()
}

// read has the instances read the store that reach it.
func (f *outOfStepFleet) read() {
	for _, n := range f.nodes {
		if n.up && !n.frozen && !n.loads.noStore {
			n.loads.readVersions(f.versions)
			n.loads.readHistory(f.stored)
			f.stored = n.loads.writeHistory(f.stored)
		}
	}
	for _, n := range f.nodes {
		if n.up && !n.frozen && !n.loads.noStore {
			n.loads.readHistory(f.stored)
		}
	}
}

func (f *outOfStepFleet) node() *virtualNode {
	return f.nodes[rapid.IntRange(0, len(f.nodes)-1).Draw(f.t, "instance")]
}

// disturb draws what happens next.
func (f *outOfStepFleet) disturb(event int) {
	switch n := f.node(); event {
	case 0:
		f.step = min(f.step+1, len(releaseSteps)-1)
		f.versions = releaseSteps[f.step]
		f.read()
	case 1:
		n.loads.noStore = true
	case 2:
		f.side[n] = 1 - f.side[n]
	case 3:
		f.side[n], n.loads.noStore = 1-f.side[n], true
	case 4:
		n.frozen = !n.frozen
		f.read() // an instance that stood still serves once it has read what it missed
	case 5:
		f.heal()
	default:
		f.begin(n)
	}
}

// begin begins a stream at a version that an instance knows, and that the store names.
func (f *outOfStepFleet) begin(n *virtualNode) {
	if !n.up || n.frozen {
		return
	}
	var present []string
	for _, version := range f.versions {
		if slices.Contains(n.loads.view().Versions, version) && slices.Contains(f.stored.Versions, version) {
			present = append(present, version)
		}
	}
	if len(present) == 0 {
		return
	}
	id := fmt.Sprintf("stream-%d", len(f.began))
	f.began[id] = rapid.SampledFrom(present).Draw(f.t, "version")
	n.begin(id, f.began[id])
}

// TestInstanceOutOfStepKeepsVersionsApart guards against streams that go on at another version, because they were taken up at an instance
// that was cut off from the store or from the other instances, or stood still, while one or two new versions appeared.
func TestInstanceOutOfStepKeepsVersionsApart(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(t *rapid.T) {
		f := newOutOfStepFleet(t)
		for range rapid.IntRange(5, 40).Draw(t, "steps") {
			f.disturb(rapid.IntRange(0, 9).Draw(t, "event"))
			f.run(time.Duration(rapid.IntRange(0, 100).Draw(t, "pause")) * time.Millisecond)
			n := f.node()
			if !n.up || n.frozen {
				continue
			}
			for id, want := range f.began {
				if version, ok := f.continuedAt(n, id); ok && version != want {
					t.Fatalf("%s began at %s and goes on at %s at %s (no store: %t, side %d)", id, want, version, n.exchange.self.Name, n.loads.noStore, f.side[n])
				}
			}
		}
	})
}
