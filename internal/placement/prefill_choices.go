package placement

import (
	"cmp"
	"slices"
	"time"
)

// PrefillChoice is a prefill engine that may process a prompt.
type PrefillChoice struct {
	Prefill
	// Extra is the cost of the choice besides the engine's queue and the prompt's work: that of the generation.
	Extra time.Duration
	// Copy is the price of another copy of the shared part on the engine, by what the copy evicts there.
	Copy time.Duration
	// reported is the cost of the choice by the load that the instances reported, with the full price of a copy.
	reported time.Duration
}

// PrefillChoices returns up to limit prefill engines of the zone of the best one, the best first. It
// considers no engine of the zone without, unless that is empty.
func (s *DisaggregatedScheduler) PrefillChoices(req *Request, candidates []Candidate, limit int, without string) []PrefillChoice {
	if generation := s.generationCosts(req, candidates); generation != nil {
		within := *req
		within.generation = generation
		req, candidates = &within, generation.withGeneration(candidates)
	}
	first := *req
	first.Phase = PhasePrefill
	all := s.prefill.allowed(&first, candidates)
	choices := prefillChoices(&first, s.prefill.preferred(&first, all), all)
	if without != "" {
		choices = slices.DeleteFunc(choices, func(c PrefillChoice) bool { return c.Engine.Zone == without })
	}
	if len(choices) == 0 {
		return nil
	}
	slices.SortFunc(choices, func(a, b PrefillChoice) int {
		return cmp.Or(cmp.Compare(a.reported, b.reported), cmp.Compare(a.Engine.ID, b.Engine.ID))
	})
	zone := choices[0].Engine.Zone
	choices = slices.DeleteFunc(choices, func(c PrefillChoice) bool { return c.Engine.Zone != zone })
	return choices[:min(limit, len(choices))]
}

// prefillChoices returns the prefill engines among the kept candidates.
func prefillChoices(req *Request, kept, all []Candidate) []PrefillChoice {
	scorer, ok := PrefillScorer{}.ForCandidates(req, kept, all).(*relativePrefillScorer)
	if !ok {
		return nil
	}
	var choices []PrefillChoice
	for _, c := range kept {
		choice := PrefillChoice{Prefill: req.Costs.prefillOn(req, c, scorer.sources)}
		if choice.Direct() {
			continue
		}
		choice.Extra = req.generation.of(c)
		choice.reported = c.Aggregate.Backlog + choice.BusyTime + choice.Extra
		if scorer.prefill.Node != c.ID {
			price := req.Costs.copyCost(req.Prompt, c.Aggregate.CachedTokens)
			choice.reported += price
			choice.Copy = time.Duration(float64(price) * req.Costs.evictionLoss(c.Aggregate))
		}
		choices = append(choices, choice)
	}
	return choices
}
