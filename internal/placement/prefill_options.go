package placement

import (
	"cmp"
	"slices"
	"time"

	"sassafrasfield/internal/config"
)

// PrefillOption is a prefill engine that may process a prompt.
type PrefillOption struct {
	Prefill
	// Extra is the cost of this engine in addition to the time until the prompt is processed there.
	Extra time.Duration
}

// reuseWithin is the Settings.ReuseWithin of a choice whose waits are known exactly.
const reuseWithin = 5 * time.Second

// PrefillOptions returns up to limit prefill engines for a prompt, in the zone of the engine that PickPrefill chose.
// Those with the lowest cost without the backlog come first, because the backlog is what the reservation
// decides on.
func (s *DisaggregatedScheduler) PrefillOptions(req *Request, candidates []Candidate, chosen Prefill, limit int) []PrefillOption {
	if generation := s.generationCosts(req, candidates); generation != nil {
		within := *req
		within.generation = generation
		req, candidates = &within, generation.withGeneration(candidates)
	}
	first := *req
	first.Phase = PhasePrefill
	first.Costs.ReuseWithin = reuseWithin
	all := s.prefill.allowed(&first, candidates)
	kept := s.prefill.preferred(&first, all)
	scorer := PrefillScorer{}.ForCandidates(&first, kept, all).(*relativePrefillScorer)
	var options []PrefillOption
	for _, c := range kept {
		if c.Zone == chosen.Engine.Zone && c.role() == config.RolePrefill {
			options = append(options, PrefillOption{Prefill: req.Costs.prefillOn(&first, c, scorer.sources), Extra: scorer.extraCost(&first, c)})
		}
	}
	slices.SortStableFunc(options, func(a, b PrefillOption) int { return cmp.Compare(a.BusyTime+a.Extra, b.BusyTime+b.Extra) })
	return options[:min(limit, len(options))]
}
