package placement

import "time"

// generationCosts are, by software version, the costs of joining the best engine that may generate the answer, above
// the lowest of them. It has no entry for a version without such an engine.
type generationCosts map[string]time.Duration

// of returns the cost for a candidate that processes the prompt. It is 0 if the engines of all versions may generate.
func (g generationCosts) of(c Candidate) time.Duration { return g[c.SoftwareVersion] }

// hasSeveralVersions reports whether candidates have different software versions.
func hasSeveralVersions(candidates []Candidate) bool {
	for i := range candidates {
		if candidates[i].SoftwareVersion != candidates[0].SoftwareVersion {
			return true
		}
	}
	return false
}

// generationCosts returns the generation costs by version, or nil if the KV cache of a prompt may be used by any engine.
func (s *DisaggregatedScheduler) generationCosts(req *Request, candidates []Candidate) generationCosts {
	if req.Costs.KVAcrossVersions || !hasSeveralVersions(candidates) {
		return nil
	}
	costs, lowest := generationCosts{}, time.Duration(-1)
	for _, c := range s.decodeEngines(req, candidates) {
		if c.Exhausted {
			continue
		}
		cost := req.Costs.occupancyCost(c.Aggregate) + c.Aggregate.Backlog/backlogDivisor
		if best, ok := costs[c.SoftwareVersion]; !ok || cost < best {
			costs[c.SoftwareVersion] = cost
		}
		if lowest < 0 || cost < lowest {
			lowest = cost
		}
	}
	for version := range costs {
		costs[version] -= lowest
	}
	return costs
}

// withGeneration returns the candidates whose software version has an engine that may generate the answer.
func (g generationCosts) withGeneration(candidates []Candidate) []Candidate {
	if g == nil {
		return candidates
	}
	var kept []Candidate
	for _, c := range candidates {
		if _, ok := g[c.SoftwareVersion]; ok {
			kept = append(kept, c)
		}
	}
	return kept
}
