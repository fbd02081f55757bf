package placement

import (
	"math/rand/v2"
	"slices"
)

// DisaggregatedScheduler places generations on engines that are split into prefill and decode,
// where the instances tell one another what they have under way: which engine
// processes the prompt, which one generates, and whether one engine does both.
type DisaggregatedScheduler struct {
	start    *Scheduler
	generate *Scheduler
}

// NewDisaggregatedScheduler returns the schedulers of both stages.
func NewDisaggregatedScheduler() *DisaggregatedScheduler {
	strict := []Filter{LeavingFilter{}, ExcludedFilter{}}
	allowance := Preference{Filter: AllowanceFilter{}, Mandatory: true}
	return &DisaggregatedScheduler{
		start: &Scheduler{
			Filters:     strict,
			Preferences: []Preference{allowance, {Filter: RoleFilter{}}, {Filter: HealthFilter{}}},
			Scorers:     []WeightedScorer{{Scorer: PrefillScorer{}, Weight: 1}},
			Picker:      RankedPicker{},
		},
		generate: &Scheduler{
			Filters:     append([]Filter{RoleFilter{}}, strict...),
			Preferences: []Preference{allowance, {Filter: HealthFilter{}}},
			Scorers:     []WeightedScorer{{Scorer: DecodeScorer{}, Weight: 1}},
			Picker:      RankedPicker{},
		},
	}
}

// PickPrefill picks the engine that processes a prompt. False means that there is no
// engine at all, or none with room for the answer. A short prompt goes to an engine
// that generates too, unless prompts take so much of these engines' time that a prefill
// engine is sooner: else a surge of short prompts stops the answers, while prefill
// engines idle.
func (s *DisaggregatedScheduler) PickPrefill(req *Request, candidates []Candidate, rng *rand.Rand) (Prefill, bool) {
	if s.allSpent(req, candidates) {
		return Prefill{}, false
	}
	apart, ok := s.beginAs(PhasePrefill, req, candidates, rng)
	if req.Prompt.Tokens >= req.Costs.DirectBelow {
		return apart, ok
	}
	direct, ok := s.beginAs(PhaseDirect, req, candidates, rng)
	if !ok || apart.Direct() || req.Costs.startCost(direct) <= req.Costs.startCost(apart) {
		return direct, ok
	}
	return apart, ok
}

// allSpent tells whether no engine may take the answer: a prompt that is processed now
// would find none afterwards.
func (s *DisaggregatedScheduler) allSpent(req *Request, candidates []Candidate) bool {
	if !req.CheckLimits {
		return false
	}
	able := s.generators(req, candidates)
	return len(able) > 0 && !slices.ContainsFunc(able, func(c Candidate) bool { return !c.Exhausted })
}

// AllLimited tells whether all engines that may take the answer limit their requests.
func (s *DisaggregatedScheduler) AllLimited(req *Request, candidates []Candidate) bool {
	able := s.generators(req, candidates)
	return len(able) > 0 && !slices.ContainsFunc(able, func(c Candidate) bool { return !c.Limited })
}

// generators are the engines that may take the answer, until the next choice.
func (s *DisaggregatedScheduler) generators(req *Request, candidates []Candidate) []Candidate {
	generate := *req
	generate.Phase = PhaseDecode
	return s.generate.allowed(&generate, candidates)
}

// beginAs picks the engine that does a part of a generation first.
func (s *DisaggregatedScheduler) beginAs(work Phase, req *Request, candidates []Candidate, rng *rand.Rand) (Prefill, bool) {
	begin := *req
	begin.Phase = work
	chosen, ok := s.start.Schedule(&begin, candidates, rng)
	if !ok {
		return Prefill{}, false
	}
	return req.Costs.startOn(&begin, chosen, sourcesOf(&begin, s.start.allowed(&begin, candidates))), true
}

// PickDecode picks the engine that generates from a processed prompt that lies in
// the request's KVZone.
func (s *DisaggregatedScheduler) PickDecode(req *Request, candidates []Candidate, rng *rand.Rand) (Candidate, bool) {
	generate := *req
	generate.Phase = PhaseDecode
	return s.generate.Schedule(&generate, candidates, rng)
}

// PickBackup picks the engine that a run on another one is copied to: the one that
// would generate next. False means that none is worth it.
func (s *DisaggregatedScheduler) PickBackup(req *Request, running Candidate, candidates []Candidate, rng *rand.Rand) (Candidate, bool) {
	if req.Prompt.Tokens >= req.Costs.BackupBelow {
		return Candidate{}, false
	}
	others := slices.DeleteFunc(slices.Clone(candidates), func(c Candidate) bool { return c.ID == running.ID })
	beside := *req
	beside.KVZone = running.Zone
	return s.PickDecode(&beside, others, rng)
}
