package upstreamstate

import (
	"math"

	"sassafrasfield/internal/config"
	"sassafrasfield/internal/placement"
)

const (
	// maxAllCandidates is the number of upstreams of a service up to which all of them are candidates. With
	// more, a choice considers a sample, so that its time and memory do not grow with the service.
	maxAllCandidates = 512
	// sampleSize is the expected number of upstreams in a sample for each role, from the near zones and as many
	// from all others.
	sampleSize = 64
	// crowdedWaitDivisor is the part of a request's latency objective that prompts ahead may take at the engine
	// chosen from a sample. If they take longer, all upstreams are considered.
	crowdedWaitDivisor = 8
	// crowdedSlotDivisor is the part of the slots that may be occupied there.
	crowdedSlotDivisor = 2
)

// sampleGroup is the upstreams of one role, near or far.
type sampleGroup struct {
	role config.Role
	near bool
}

// sample selects those upstreams of a list that a choice considers. It is stable: instances with the same
// entries prefer the same upstreams of a zone, so that the work of a large service concentrates on upstreams
// that have the shared parts cached and are connected. Upstreams with cached parts of the prompt are included
// wherever they are.
func sample(list []*node, req *placement.Request, cached map[uint32]int) []*node {
	groupOf := func(n *node) sampleGroup {
		return sampleGroup{role: n.Role, near: n.Zone == req.Zone || n.Zone == req.KVZone}
	}
	sizes := map[sampleGroup]int{}
	for _, n := range list {
		sizes[groupOf(n)]++
	}
	limits := map[sampleGroup]uint32{}
	for group, size := range sizes {
		limits[group] = sampleLimit(size)
	}
	var selected []*node
	for _, n := range list {
		if _, holds := cached[n.hash]; holds || n.hash <= limits[groupOf(n)] {
			selected = append(selected, n)
		}
	}
	return selected
}

// sampleLimit returns the hash up to which the upstreams of a group are selected.
func sampleLimit(size int) uint32 {
	if size <= sampleSize {
		return math.MaxUint32
	}
	return uint32(float64(sampleSize) / float64(size) * math.MaxUint32)
}

// crowded reports whether a candidate that was chosen from a sample has so much work that another upstream may be
// better.
func crowded(c placement.Candidate, req *placement.Request) bool {
	load := c.Aggregate
	return load.Backlog > req.Objective/crowdedWaitDivisor || req.Costs.Slots > 0 && load.Requests >= req.Costs.Slots/crowdedSlotDivisor
}
