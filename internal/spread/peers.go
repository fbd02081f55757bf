package spread

import (
	"math/rand/v2"

	"sassafrasfield/internal/platform"
)

// Choose picks up to fanout peers to tell of a version, at random. Self and
// instances without a control address are left out.
func Choose(instances []platform.Instance, self string, fanout int, rng *rand.Rand) []platform.Instance {
	var peers []platform.Instance
	for _, instance := range instances {
		if instance.ID != self && instance.Control != "" && instance.Kind == platform.KindOwn {
			peers = append(peers, instance)
		}
	}
	rng.Shuffle(len(peers), func(i, j int) { peers[i], peers[j] = peers[j], peers[i] })
	return peers[:min(fanout, len(peers))]
}
