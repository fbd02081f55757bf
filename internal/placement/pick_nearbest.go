package placement

import "math/rand/v2"

// NearBestPicker chooses at random among the candidates whose score is at most Within below the best one.
// Instances that see the same lagging reports would otherwise all choose the same engine until the next
// report. This way the engines that are almost as good share the load.
type NearBestPicker struct {
	Within float64
}

// Pick implements Picker.
func (p NearBestPicker) Pick(_ *Request, scored []Scored, rng *rand.Rand) Candidate {
	best := scored[0].Score
	for _, s := range scored[1:] {
		best = max(best, s.Score)
	}
	var chosen Candidate
	near := 0
	for _, s := range scored {
		if s.Score < best-p.Within {
			continue
		}
		near++
		if rng.IntN(near) == 0 {
			chosen = s.Candidate
		}
	}
	return chosen
}
