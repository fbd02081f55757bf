package peers

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"sassafrasfield/internal/streamversions"
)

// heldStreams is the number of streams that callers hold in these tests.
const heldStreams = 60

// release is how the versions of the upstreams change while callers hold streams.
type release struct {
	name string
	// began are the versions when the streams begin; before are those that are there since before the instances go,
	// meanwhile those that are there since they went. Nil for no change.
	began, before, meanwhile []string
}

// fleetRestart has all instances go and come back. It calls meanwhile while all of them, or the first one, are down.
type fleetRestart struct {
	name string
	run  func(f *virtualFleet, meanwhile func())
}

// killAll kills all instances at once and starts them again.
func killAll(f *virtualFleet, meanwhile func()) {
	for _, n := range f.nodes {
		n.up = false
	}
	f.run(100 * time.Millisecond)
	meanwhile()
	zones := countZones(f)
	for i := range f.nodes {
		f.start(i, zones)
	}
}

// restartInTurn stops and starts one instance after the other.
func restartInTurn(f *virtualFleet, meanwhile func()) {
	zones := countZones(f)
	for i := range f.nodes {
		f.stop(f.nodes[i])
		f.run(100 * time.Millisecond)
		if i == 0 {
			meanwhile()
		}
		f.start(i, zones)
		f.run(400 * time.Millisecond)
	}
}

// replaceAll adds as many instances as there are, and then stops the old ones one after the other.
func replaceAll(f *virtualFleet, meanwhile func()) {
	zones, old := countZones(f), slices.Clone(f.nodes)
	for range old {
		f.nodes = append(f.nodes, &virtualNode{})
		f.start(len(f.nodes)-1, zones)
	}
	f.run(startupTime)
	for i, n := range old {
		if i == 1 {
			meanwhile()
		}
		f.stop(n)
		f.run(100 * time.Millisecond)
	}
}

// stop stops an instance as a deployment does.
func (f *virtualFleet) stop(n *virtualNode) {
	n.ReplicateStreams(n.loads.allRecords())
	f.run(2 * virtualTick)
	n.up = false
}

// allRecords returns the records that an instance hands over when it stops.
func (l *virtualLoads) allRecords() []streamversions.Record {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.records.All(l.now())
}

var (
	v1, v2, bothVersions = []string{"v1"}, []string{"v2"}, []string{"v1", "v2"}

	onlyVersion = release{name: "one version", began: v1}
	releases    = []release{
		{name: "two versions", began: bothVersions},
		{name: "old version left before", began: bothVersions, before: v2},
		{name: "old version left meanwhile", began: bothVersions, meanwhile: v2},
	}
	replacements = []release{
		{name: "version was replaced before", began: v1, before: v2},
		{name: "version is replaced meanwhile", began: v1, meanwhile: v2},
	}
	plannedRestarts = []fleetRestart{{"restarted in turn", restartInTurn}, {"replaced by added instances", replaceAll}}
	fleetRestarts   = append([]fleetRestart{{"killed at once", killAll}}, plannedRestarts...)
)

// restartOutcome counts the streams that callers return to after all instances restarted.
type restartOutcome struct {
	// possible are the streams whose version still has upstreams, wentOn are those of them that go on in the end, another
	// all streams that any instance lets go on at another version at any time.
	possible, wentOn, another int
}

// playRestart has streams begin, all instances restart and the callers return: at once, soon, and once the instances
// know one another.
func playRestart(restart fleetRestart, versions release, instances, zones int, seed uint64) restartOutcome {
	f := newVirtualFleet(instances, zones, 0.02, seed)
	f.setVersions(versions.began...)
	f.run(2 * startupTime)
	began := map[string]string{}
	for n := range heldStreams {
		id := fmt.Sprintf("stream-%d", n)
		began[id] = versions.began[n%len(versions.began)]
		f.nodes[n%instances].begin(id, began[id])
	}
	f.run(4 * virtualTick) // a record takes two hops to another zone
	if versions.before != nil {
		f.setVersions(versions.before...)
		f.run(300 * time.Millisecond)
	}
	restart.run(f, func() {
		if versions.meanwhile != nil {
			f.setVersions(versions.meanwhile...)
		}
	})
	f.nodes = slices.DeleteFunc(f.nodes, func(n *virtualNode) bool { return !n.up })
	another, outcome := map[string]bool{}, restartOutcome{}
	for _, pause := range []time.Duration{0, 200 * time.Millisecond, startupTime} {
		f.run(pause)
		outcome.possible, outcome.wentOn = 0, 0
		for n := range heldStreams {
			id := fmt.Sprintf("stream-%d", n)
			for _, at := range f.nodes {
				if found, ok := f.continuedAt(at, id); ok && found != began[id] {
					another[id] = true
				}
			}
			if !slices.Contains(f.versions, began[id]) {
				continue
			}
			outcome.possible++
			if found, ok := f.continuedAt(f.nodes[n%len(f.nodes)], id); ok && found == began[id] {
				outcome.wentOn++
			}
		}
	}
	outcome.another = len(another)
	return outcome
}

// continuedAt returns the version at which an instance continues a stream; false if it refuses it, also because no
// upstream of the version is left.
func (f *virtualFleet) continuedAt(n *virtualNode, id string) (string, bool) {
	version, ok := f.resolve(n, id)
	return version, ok && slices.Contains(f.versions, version)
}

// checkRestarts plays each pair of a restart and a release in fleets of two sizes. It requires that no stream goes on at
// another version, and that a share of those whose version has upstreams go on.
func checkRestarts(t *testing.T, restarts []fleetRestart, releases []release, share float64) {
	t.Parallel()
	const plays = 4
	for _, size := range []struct{ instances, zones int }{{3, 2}, {9, 4}} {
		for _, restart := range restarts {
			for _, versions := range releases {
				t.Run(fmt.Sprintf("%d instances, %s, %s", size.instances, restart.name, versions.name), func(t *testing.T) {
					t.Parallel()
					total := restartOutcome{}
					for seed := range uint64(plays) {
						o := playRestart(restart, versions, size.instances, size.zones, seed)
						total = restartOutcome{total.possible + o.possible, total.wentOn + o.wentOn, total.another + o.another}
					}
					t.Logf("%d of %d streams go on, %d of %d at another version", total.wentOn, total.possible, total.another, plays*heldStreams)
					if total.another > 0 {
						t.Errorf("%d of %d streams go on at another version", total.another, plays*heldStreams)
					}
					if float64(total.wentOn) < share*float64(total.possible) {
						t.Errorf("%d of %d streams go on whose version has upstreams, want %.2f of them", total.wentOn, total.possible, share)
					}
				})
			}
		}
	}
}

// TestStreamsOfOnlyVersionGoOnAcrossRestarts guards against streams that are refused after a restart of all instances
// although their service has only had one version.
func TestStreamsOfOnlyVersionGoOnAcrossRestarts(t *testing.T) {
	checkRestarts(t, fleetRestarts, []release{onlyVersion}, 1)
}

// TestStreamsKeepTheirVersionAcrossRestarts guards against streams that go on at another version because no instance is
// left that knew of the version that began them.
func TestStreamsKeepTheirVersionAcrossRestarts(t *testing.T) {
	checkRestarts(t, fleetRestarts, slices.Concat(releases, replacements), 0)
}

// TestStreamsGoOnAcrossPlannedRestarts guards against streams that are refused after a planned restart of all instances
// although upstreams of their version serve.
func TestStreamsGoOnAcrossPlannedRestarts(t *testing.T) {
	checkRestarts(t, plannedRestarts, releases, 0.5)
}

// heldByCaller is a stream that a caller may take up until a time.
type heldByCaller struct {
	version string
	until   time.Duration
}

// TestStreamsNeverGoOnAtAnotherVersionAcrossReleases plays any mix of streams, returns, releases, roll-backs, kills, stops,
// freezes, cuts and restarts of one or all instances. No stream may hold events of two versions.
func TestStreamsNeverGoOnAtAnotherVersionAcrossReleases(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(t *rapid.T) {
		size := rapid.SampledFrom([]struct{ instances, zones int }{{1, 1}, {3, 2}, {9, 4}}).Draw(t, "size")
		f := newVirtualFleet(size.instances, size.zones, rapid.SampledFrom([]float64{0, 0.1, 0.5}).Draw(t, "loss"), rapid.Uint64().Draw(t, "seed"))
		f.setVersions("v1")
		f.run(2 * startupTime)
		held := map[string]heldByCaller{}
		for step := range rapid.IntRange(5, 40).Draw(t, "steps") {
			i := rapid.IntRange(0, size.instances-1).Draw(t, "instance")
			n := f.nodes[i]
			switch rapid.IntRange(0, 9).Draw(t, "event") {
			case 0, 1, 2:
				if n.up && !n.frozen {
					id, version := fmt.Sprintf("stream-%d", step), rapid.SampledFrom(f.versions).Draw(t, "version")
					n.begin(id, version)
					held[id] = heldByCaller{version, f.now + streamLifetime}
				}
			case 3:
				f.setVersions(rapid.SampledFrom([][]string{{"v1"}, {"v2"}, {"v3"}, {"v1", "v2"}, {"v2", "v3"}}).Draw(t, "versions")...)
			case 4:
				n.up = false
			case 5:
				if n.up && !n.frozen {
					f.stop(n)
				}
			case 6:
				if n.frozen = !n.frozen; !n.frozen {
					f.readStore(n)
				}
			case 7:
				f.start(i, size.zones)
			case 8:
				for i := range f.nodes {
					f.start(i, size.zones)
				}
			case 9:
				f.blocked = nil
				if rapid.Bool().Draw(t, "cut") {
					f.blocked = func(from, to *virtualNode) bool { return from == n || to == n }
				}
			}
			f.run(time.Duration(rapid.IntRange(0, 200).Draw(t, "pause")) * time.Millisecond)
			at := f.nodes[rapid.IntRange(0, size.instances-1).Draw(t, "returns to")]
			if !at.up || at.frozen {
				continue
			}
			for id, stream := range held {
				if f.now > stream.until {
					delete(held, id)
				} else if version, ok := f.continuedAt(at, id); ok && version != stream.version {
					t.Fatalf("%s began at %s and goes on at %s", id, stream.version, version)
				}
			}
		}
	})
}
