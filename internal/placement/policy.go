package placement

import "sassafrasfield/internal/load"

// Policy names a way to see the load of the engines.
type Policy string

// Policies.
const (
	// PolicyRoundRobin takes the engines in turn.
	PolicyRoundRobin Policy = "round-robin"
	// PolicyReport trusts the lagging report alone.
	PolicyReport Policy = "report"
	// PolicyLocal counts the entry's own streams alone.
	PolicyLocal Policy = "local"
	// PolicyCharge adds to the report the own placements that it does not
	// account for.
	PolicyCharge Policy = "charge"
	// PolicyChargePrefix is PolicyCharge with hints of cached prefixes.
	PolicyChargePrefix Policy = "charge-prefix"
	// PolicyEstimate is PolicyChargePrefix with what was done since the report
	// was taken taken off it, and the own streams as the least.
	PolicyEstimate Policy = "estimate"
	// PolicyLocalPrefix is PolicyLocal with hints.
	PolicyLocalPrefix Policy = "local-prefix"
)

// Policies lists all policies.
func Policies() []Policy {
	return []Policy{PolicyRoundRobin, PolicyReport, PolicyLocal, PolicyCharge, PolicyChargePrefix, PolicyEstimate, PolicyLocalPrefix}
}

// UsesPrefixHints tells whether the policy uses prefix hints.
func (p Policy) UsesPrefixHints() bool {
	return p == PolicyChargePrefix || p == PolicyEstimate || p == PolicyLocalPrefix
}

// Pick names a way to choose among scored engines.
type Pick string

// Ways to choose.
const (
	PickBest       Pick = "best"
	PickNearBest   Pick = "near-best"
	PickTwoChoices Pick = "two-choices"
)

// Picks lists all ways to choose.
func Picks() []Pick {
	return []Pick{PickBest, PickNearBest, PickTwoChoices}
}

// Weights of the scorers, and the width of the near-best choice.
const (
	firstTokenWeight = 1.0
	batchWeight      = 0.5
	zoneWeight       = 0.02
	nearBestWithin   = 0.05
)

// keepShare is the least share of upstreams that ejection leaves.
const keepShare = 0.3

// NewScheduler returns the scheduler of a policy for engines.
func NewScheduler(policy Policy, pick Pick) *Scheduler {
	view := viewOf(policy)
	s := &Scheduler{
		Filters: []Filter{ServingFilter{}, LeavingFilter{}, ExcludedFilter{}, ModelFilter{}, RoleFilter{}},
		Preferences: []Preference{
			{Filter: HealthFilter{}, MinShare: keepShare},
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

// NewServiceScheduler returns the scheduler for plain services: fewest own
// calls first, and among equals the entry's own zone.
func NewServiceScheduler() *Scheduler {
	return serviceScheduler(keepShare,
		WeightedScorer{Scorer: BatchScorer{View: localView}, Weight: 1},
		WeightedScorer{Scorer: ZoneScorer{}, Weight: zoneWeight})
}

// NewAggregateServiceScheduler returns the scheduler for plain services where the
// instances tell one another what they have under way. An upstream that failed
// lately is taken when no other is left.
func NewAggregateServiceScheduler() *Scheduler {
	return serviceScheduler(0, WeightedScorer{Scorer: ServiceScorer{View: toldView}, Weight: 1})
}

func serviceScheduler(keep float64, scorers ...WeightedScorer) *Scheduler {
	return &Scheduler{
		Filters:     []Filter{LeavingFilter{}, ExcludedFilter{}},
		Preferences: []Preference{{Filter: AllowanceFilter{}, Mandatory: true}, {Filter: HealthFilter{}, MinShare: keep}},
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

func toldView(_ *Request, c Candidate) load.View { return load.View{Requests: c.Aggregate.Requests} }

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
