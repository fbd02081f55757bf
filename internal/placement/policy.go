package placement

import "sassafrasfield/internal/load"

// Policy selects how the load of the engines is estimated.
type Policy string

// Policies.
const (
	// PolicyRoundRobin cycles through the engines.
	PolicyRoundRobin Policy = "round-robin"
	// PolicyReport uses the engines' reports only, which lag.
	PolicyReport Policy = "report"
	// PolicyLocal uses the instance's own streams only.
	PolicyLocal Policy = "local"
	// PolicyCharge adds the instance's own placements that the report does not account for to the report.
	PolicyCharge Policy = "charge"
	// PolicyChargePrefix is PolicyCharge with hints of cached prefixes.
	PolicyChargePrefix Policy = "charge-prefix"
	// PolicyEstimate is PolicyChargePrefix without the work that the engine is expected to have done since
	// the report was taken. The instance's own streams are the lower bound.
	PolicyEstimate Policy = "estimate"
	// PolicyLocalPrefix is PolicyLocal with hints of cached prefixes.
	PolicyLocalPrefix Policy = "local-prefix"
)

// Policies lists all policies.
func Policies() []Policy {
	return []Policy{PolicyRoundRobin, PolicyReport, PolicyLocal, PolicyCharge, PolicyChargePrefix, PolicyEstimate, PolicyLocalPrefix}
}

// UsesPrefixHints reports whether the policy uses prefix hints.
func (p Policy) UsesPrefixHints() bool {
	return p == PolicyChargePrefix || p == PolicyEstimate || p == PolicyLocalPrefix
}

// Pick selects how one of the scored engines is chosen.
type Pick string

// Picks.
const (
	PickBest       Pick = "best"
	PickNearBest   Pick = "near-best"
	PickTwoChoices Pick = "two-choices"
)

// Picks lists all picks.
func Picks() []Pick {
	return []Pick{PickBest, PickNearBest, PickTwoChoices}
}

// Weights of the scorers, and the score range of the near-best choice.
const (
	firstTokenWeight = 1.0
	batchWeight      = 0.5
	zoneWeight       = 0.02
	nearBestWithin   = 0.05
)

// minHealthyShare is the smallest share of the upstreams that the health preference leaves. If fewer are
// healthy, ejections are ignored.
const minHealthyShare = 0.3

// NewScheduler returns the scheduler of a policy for engines.
func NewScheduler(policy Policy, pick Pick) *Scheduler {
	view := viewOf(policy)
	s := &Scheduler{
		Filters: []Filter{ServingFilter{}, DrainingFilter{}, ExcludedFilter{}, ModelFilter{}, RoleFilter{}},
		Preferences: []Preference{
			{Filter: HealthFilter{}, MinShare: minHealthyShare},
		},
		Picker: picker(policy, pick),
	}
	if policy == PolicyRoundRobin {
		return s
	}
	s.Preferences = append(s.Preferences, Preference{Filter: MemoryFilter{View: view}})
	s.Scorers = []WeightedScorer{
		{Scorer: FirstTokenScorer{View: view, PrefixHints: policy.UsesPrefixHints()}, Weight: firstTokenWeight},
		{Scorer: BatchScorer{View: view}, Weight: batchWeight},
		{Scorer: ZoneScorer{}, Weight: zoneWeight},
	}
	return s
}

// NewServiceScheduler returns the scheduler for plain services. It prefers the upstream with the fewest calls
// of this instance and, among equals, one in the instance's own zone.
func NewServiceScheduler() *Scheduler {
	return serviceScheduler(minHealthyShare,
		WeightedScorer{Scorer: BatchScorer{View: localView}, Weight: 1},
		WeightedScorer{Scorer: ZoneScorer{}, Weight: zoneWeight})
}

// NewAggregateServiceScheduler returns the scheduler for plain services where the instances share their load
// with one another. An upstream that failed recently is chosen only when no other is left.
func NewAggregateServiceScheduler() *Scheduler {
	return serviceScheduler(0, WeightedScorer{Scorer: ServiceScorer{View: aggregateView}, Weight: 1})
}

func serviceScheduler(minShare float64, scorers ...WeightedScorer) *Scheduler {
	return &Scheduler{
		Filters:     []Filter{DrainingFilter{}, ExcludedFilter{}},
		Preferences: []Preference{{Filter: LimitFilter{}, Mandatory: true}, {Filter: HealthFilter{}, MinShare: minShare}},
		Scorers:     scorers,
		Picker:      BestPicker{},
	}
}

func viewOf(policy Policy) LoadView {
	switch policy {
	case PolicyReport:
		return func(_ *Request, c Candidate) load.View { return c.Load.Reported() }
	case PolicyLocal, PolicyLocalPrefix:
		return localView
	case PolicyEstimate:
		return func(req *Request, c Candidate) load.View { return c.Load.Estimated(req.Now) }
	default:
		return func(_ *Request, c Candidate) load.View { return c.Load.Charged() }
	}
}

func aggregateView(_ *Request, c Candidate) load.View {
	return load.View{Requests: c.Aggregate.Requests}
}

func localView(_ *Request, c Candidate) load.View { return c.Load.Local() }

func picker(policy Policy, pick Pick) Picker {
	if policy == PolicyRoundRobin {
		return &RoundRobinPicker{}
	}
	switch pick {
	case PickBest:
		return BestPicker{}
	case PickTwoChoices:
		return TwoChoicesPicker{}
	default:
		return NearBestPicker{Within: nearBestWithin}
	}
}
