package placement

import (
	"math/rand/v2"
	"slices"
)

// DisaggregatedScheduler places generations on engines with separate prefill and decode roles, where the
// instances share their load with one another. It decides which engine processes the prompt, which one
// generates, and whether one engine does both.
type DisaggregatedScheduler struct {
	prefill *Scheduler
	decode  *Scheduler
}

// NewDisaggregatedScheduler returns a scheduler for both phases.
func NewDisaggregatedScheduler() *DisaggregatedScheduler {
	strict := []Filter{DrainingFilter{}, ExcludedFilter{}, SoftwareVersionFilter{}, AvoidedVersionFilter{}}
	limit := Preference{Filter: LimitFilter{}, Mandatory: true}
	return &DisaggregatedScheduler{
		prefill: &Scheduler{
			Filters:     strict,
			Preferences: []Preference{limit, {Filter: RoleFilter{}}, {Filter: HealthFilter{}}},
			Scorers:     []WeightedScorer{{Scorer: PrefillScorer{}, Weight: 1}},
			Picker:      RankedPicker{},
		},
		decode: &Scheduler{
			Filters:     append([]Filter{RoleFilter{}}, strict...),
			Preferences: []Preference{limit, {Filter: HealthFilter{}}},
			Scorers:     []WeightedScorer{{Scorer: DecodeScorer{}, Weight: 1}},
			Picker:      RankedPicker{},
		},
	}
}

// PickPrefill picks the engine that processes a prompt. It returns false when there is no engine at all, or
// no engine that may take the answer. A short prompt goes to an engine that also generates, unless prompts
// use so much of these engines' time that a prefill engine is sooner. Otherwise a surge of short prompts
// would stall the answers while prefill engines are idle. A request for direct generation goes to no prefill
// engine.
func (s *DisaggregatedScheduler) PickPrefill(req *Request, candidates []Candidate, rng *rand.Rand) (Prefill, bool) {
	if s.allExhausted(req, candidates) {
		return Prefill{}, false
	}
	if generation := s.generationCosts(req, candidates); generation != nil {
		within := *req
		within.generation = generation
		req, candidates = &within, generation.withGeneration(candidates)
	}
	if req.Direct {
		direct, ok := s.pickFirst(PhaseDirect, req, candidates, rng)
		return direct, ok && direct.Direct()
	}
	separate, ok := s.pickFirst(PhasePrefill, req, candidates, rng)
	if req.Prompt.Tokens >= req.Costs.DirectBelow {
		return separate, ok
	}
	direct, ok := s.pickFirst(PhaseDirect, req, candidates, rng)
	if !ok || separate.Direct() || req.Costs.timeToStart(direct) <= req.Costs.timeToStart(separate)+req.generation.of(separate.Engine) {
		return direct, ok
	}
	return separate, ok
}

// allExhausted reports whether the limits of all engines that could generate the answer are exhausted. A
// prompt that is processed now would find no engine for its answer afterwards.
func (s *DisaggregatedScheduler) allExhausted(req *Request, candidates []Candidate) bool {
	if !req.CheckLimits {
		return false
	}
	engines := s.decodeEngines(req, candidates)
	return len(engines) > 0 && !slices.ContainsFunc(engines, func(c Candidate) bool { return !c.Exhausted })
}

// CanGenerate reports whether any engine may generate the answer, whatever its load is.
func (s *DisaggregatedScheduler) CanGenerate(req *Request, candidates []Candidate) bool {
	return len(s.decodeEngines(req, candidates)) > 0
}

// AllLimited reports whether all engines that could generate the answer limit their requests.
func (s *DisaggregatedScheduler) AllLimited(req *Request, candidates []Candidate) bool {
	engines := s.decodeEngines(req, candidates)
	return len(engines) > 0 && !slices.ContainsFunc(engines, func(c Candidate) bool { return !c.Limited })
}

// decodeEngines returns the engines that could generate the answer. The slice is valid until the next choice.
func (s *DisaggregatedScheduler) decodeEngines(req *Request, candidates []Candidate) []Candidate {
	decode := *req
	decode.Phase = PhaseDecode
	return s.decode.allowed(&decode, candidates)
}

// pickFirst picks the engine that runs the first phase of a generation.
func (s *DisaggregatedScheduler) pickFirst(phase Phase, req *Request, candidates []Candidate, rng *rand.Rand) (Prefill, bool) {
	first := *req
	first.Phase = phase
	chosen, ok := s.prefill.Schedule(&first, candidates, rng)
	if !ok {
		return Prefill{}, false
	}
	return req.Costs.prefillOn(&first, chosen, findCacheSources(&first, s.prefill.allowed(&first, candidates))), true
}

// PickDecode picks the engine that generates the answer to a processed prompt, whose KV cache is in the
// request's KVZone.
func (s *DisaggregatedScheduler) PickDecode(req *Request, candidates []Candidate, rng *rand.Rand) (Candidate, bool) {
	decode := *req
	decode.Phase = PhaseDecode
	return s.decode.Schedule(&decode, candidates, rng)
}

// PickBackup picks the engine that a run on another engine is copied to, which is the next best engine to
// generate the answer. It returns false when the prompt is too long to be worth a copy or no other engine can
// take it.
func (s *DisaggregatedScheduler) PickBackup(req *Request, running Candidate, candidates []Candidate, rng *rand.Rand) (Candidate, bool) {
	if req.Prompt.Tokens >= req.Costs.BackupBelow {
		return Candidate{}, false
	}
	others := slices.DeleteFunc(slices.Clone(candidates), func(c Candidate) bool { return c.ID == running.ID })
	backup := *req
	backup.KVZone = running.Zone
	return s.PickDecode(&backup, others, rng)
}
