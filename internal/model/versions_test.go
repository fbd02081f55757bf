package model

import "testing"

// maxFall is the most that the credit may fall below that of engines that use any KV cache.
const maxFall = 0.03

// TestKVWithinVersionsCostsLittle guards against engines of one version that wait while those of the other are
// overloaded. Half of the engines have each version, and use only the KV cache of their own.
func TestKVWithinVersionsCostsLittle(t *testing.T) {
	for _, p := range []Pattern{alternating(), shortPrompts()} {
		p.Fleet.Versions = 2
		across, within := Run(p, Policy{KnownTimes: true, KVAcrossVersions: true}, 1), Run(p, Policy{KnownTimes: true}, 1)
		t.Logf("%s: credit %.3f, across versions %.3f", p.Name, within.Credit(), across.Credit())
		if within.Credit() < across.Credit()-maxFall {
			t.Errorf("%s: credit %.3f, across versions %.3f", p.Name, within.Credit(), across.Credit())
		}
	}
}
