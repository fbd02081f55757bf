package relay

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"
	"pgregory.net/rapid"

	"sassafrasfield/internal/attempt"
)

// retrySimulation has many instances in front of a small service that sheds load, so that each
// request wants retries, and replaces all instances at once. It reproduces a deployment of 62
// instances in front of three upstreams with six slots that was restarted completely: in the ten
// seconds around the restart 1,055 retries were made where 969 were allowed. Each new process
// had begun with the maximum balance of an instance, and assumed that it was the only one.
type retrySimulation struct {
	bounds    BudgetSettings
	instances int
	rng       *rand.Rand
	// weights are the instances' shares of the requests.
	weights []float64
	budgets []*budgets
	// pools holds the pool that each instance uses: that of its zone's hub, or its own while it is
	// partitioned.
	pools []*retryPool
	// zonePools are the pools of the zones' hubs. partitioned instances are cut off from all others
	// and have pools of their own.
	zonePools   []*retryPool
	partitioned map[int]bool
	now         time.Duration

	// requests and retries count by step.
	requests, retries []int
}

const simulationStep = 50 * time.Millisecond

// poolDelay is the time from the start of all instances until their pools open at the earliest.
const poolDelay = time.Second

func newRetrySimulation(bounds BudgetSettings, instances, zones int, seed uint64) *retrySimulation {
	s := &retrySimulation{
		bounds: bounds, instances: instances, rng: rand.New(rand.NewPCG(seed, 1)), partitioned: map[int]bool{},
		zonePools: make([]*retryPool, min(zones, instances)),
	}
	for range instances {
		s.weights = append(s.weights, 0.2+s.rng.Float64())
	}
	s.start()
	return s
}

// start starts a new process on each instance.
func (s *retrySimulation) start() {
	meters := attempt.Meters{Retries: metrics.NewCounter(), Denied: metrics.NewCounter()}
	s.budgets, s.pools = nil, nil
	for i := range s.zonePools {
		s.zonePools[i] = newRetryPool()
	}
	for i := range s.instances {
		s.budgets = append(s.budgets, newBudgets(s.bounds, meters, func(_ context.Context, service uint32) bool {
			return s.pools[i].grant(service, s.now)
		}))
		s.pools = append(s.pools, s.zonePools[i%len(s.zonePools)])
	}
}

// replace starts a new process on some instances. The pools of zones whose hub is replaced start empty.
func (s *retrySimulation) replace(fraction float64) {
	budgetsBefore, poolsBefore := s.budgets, slices.Clone(s.zonePools)
	s.start()
	for z := range s.zonePools {
		if s.rng.Float64() >= fraction {
			s.zonePools[z] = poolsBefore[z]
		}
	}
	for i := range s.instances {
		s.pools[i] = s.zonePools[i%len(s.zonePools)]
		if s.rng.Float64() >= fraction {
			s.budgets[i] = budgetsBefore[i]
		}
	}
}

// partition cuts some instances off from all others. Each of them then acts as its zone's hub.
func (s *retrySimulation) partition(fraction float64) {
	for i := range s.instances {
		if s.rng.Float64() < fraction {
			s.partitioned[i] = true
			s.pools[i] = newRetryPool()
		}
	}
}

// heal reconnects all instances.
func (s *retrySimulation) heal() {
	clear(s.partitioned)
	for i := range s.instances {
		s.pools[i] = s.zonePools[i%len(s.zonePools)]
	}
}

// updatePools has the hubs count their instances and accept deposits.
func (s *retrySimulation) updatePools() {
	members := make([]int, len(s.zonePools))
	for i := range s.instances {
		if s.partitioned[i] {
			s.pools[i].set(true, s.bounds.poolRules(1, s.instances))
		} else {
			members[i%len(s.zonePools)]++
		}
	}
	for z, p := range s.zonePools {
		p.set(members[z] > 0, s.bounds.poolRules(members[z], s.instances))
	}
	for i, b := range s.budgets {
		s.pools[i].deposit(fmt.Sprint(i), b.overflow(), s.now)
	}
}

// serve simulates requests for a time, each of which makes up to two retries if they are granted. The
// instances know their number from knownFrom on.
func (s *retrySimulation) serve(perSecond float64, from, to, knownFrom time.Duration) {
	total := 0.0
	for _, w := range s.weights {
		total += w
	}
	const updateEvery = 10 // steps: half a second
	for s.now = from; s.now < to; s.now += simulationStep {
		if s.now >= knownFrom && int(s.now/simulationStep)%updateEvery == 0 {
			s.updatePools()
		}
		requests, retries := 0, 0
		for i, b := range s.budgets {
			for range s.arrivals(perSecond * s.weights[i] / total) {
				budget := b.forService("desk", s.now)
				budget.Succeeded(s.now)
				requests++
				for range 2 {
					if budget.Spend(context.Background(), false, s.now) {
						retries++
					}
				}
			}
		}
		s.requests, s.retries = append(s.requests, requests), append(s.retries, retries)
	}
}

// arrivals draws the number of requests in one step at a mean rate.
func (s *retrySimulation) arrivals(perSecond float64) int {
	mean := perSecond * simulationStep.Seconds()
	n := int(mean)
	if s.rng.Float64() < mean-float64(n) {
		n++
	}
	return n
}

// worstWindow returns by how much the retries of any window exceed what its requests allow, and the
// largest part of its allowance that a window used.
func (s *retrySimulation) worstWindow() (excess, used float64) {
	steps := int(s.bounds.Window / simulationStep)
	excess = -s.bounds.Slack
	for from := 0; from+steps <= len(s.retries); from++ {
		requests, retries := 0, 0
		for i := from; i < from+steps; i++ {
			requests += s.requests[i]
			retries += s.retries[i]
		}
		allowed := s.bounds.Share*float64(requests) + s.bounds.Slack
		excess = max(excess, float64(retries)-allowed)
		used = max(used, float64(retries)/allowed)
	}
	return excess, used
}

func TestBudgetHoldsWhenAllInstancesAreReplaced(t *testing.T) {
	for _, c := range []struct {
		instances, zones int
		slack            float64
	}{{9, 4, 58}, {62, 3, 164}, {195, 6, 430}} {
		s := newRetrySimulation(BudgetSettings{Share: 0.2, Slack: c.slack, Window: 10 * time.Second}, c.instances, c.zones, 7)
		s.serve(400, 0, 20*time.Second, poolDelay)
		s.start()
		s.serve(400, 20*time.Second, 32*time.Second, 20*time.Second+poolDelay)
		excess, used := s.worstWindow()
		t.Logf("%d instances: at most %.2f of a window used", c.instances, used)
		if excess > 0 || used < 0.6 {
			t.Errorf("%d instances: %.0f retries more than allowed; at most %.2f of a window used", c.instances, excess, used)
		}
	}
}

// TestTheBudgetHoldsForAnyNumberOfInstances draws the number of instances, their request rate and
// when all of them are replaced.
func TestTheBudgetHoldsForAnyNumberOfInstances(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		instances := rapid.IntRange(1, 400).Draw(t, "instances")
		bounds := BudgetSettings{Share: 0.2, Slack: 50 + 2*float64(instances), Window: 10 * time.Second}
		s := newRetrySimulation(bounds, instances, 6, rapid.Uint64().Draw(t, "seed"))
		perSecond := rapid.Float64Range(1, 600).Draw(t, "requests a second")
		replaced := time.Duration(rapid.IntRange(1, 14).Draw(t, "replaced at")) * time.Second
		s.serve(perSecond, 0, replaced, poolDelay)
		s.start()
		s.serve(perSecond, replaced, 16*time.Second, replaced+poolDelay)
		if excess, _ := s.worstWindow(); excess > 0 {
			t.Fatalf("%.1f retries more than allowed", excess)
		}
	})
}

// TestBudgetHoldsWhenMostInstancesAreReplaced guards against pools that open soon after a start while those
// of the instances that were not replaced, and the retries that the ended ones made, still count.
func TestBudgetHoldsWhenMostInstancesAreReplaced(t *testing.T) {
	const replacedPart = 0.7
	for seed := range uint64(20) {
		s := newRetrySimulation(BudgetSettings{Share: 0.2, Slack: 430, Window: 10 * time.Second}, 195, 6, seed)
		s.serve(400, 0, 20*time.Second, poolDelay)
		s.replace(replacedPart)
		s.serve(400, 20*time.Second, 32*time.Second, 20*time.Second+poolDelay)
		if excess, _ := s.worstWindow(); excess > 0 {
			t.Errorf("seed %d: %.0f retries more than allowed", seed, excess)
		}
	}
}

// TestBudgetHoldsDuringPartitions also draws the zones, and which instances are cut off from all
// others for a while, so that each keeps a pool of its own.
func TestBudgetHoldsDuringPartitions(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		instances := rapid.IntRange(1, 400).Draw(t, "instances")
		zones := rapid.IntRange(1, 12).Draw(t, "zones")
		bounds := BudgetSettings{Share: 0.2, Slack: 50 + 2*float64(instances), Window: 10 * time.Second}
		s := newRetrySimulation(bounds, instances, zones, rapid.Uint64().Draw(t, "seed"))
		perSecond := rapid.Float64Range(1, 600).Draw(t, "requests a second")
		partitionedAt := time.Duration(rapid.IntRange(1, 14).Draw(t, "cut off at")) * time.Second
		healedAt := partitionedAt + time.Duration(rapid.IntRange(1, 12).Draw(t, "for"))*time.Second
		s.serve(perSecond, 0, partitionedAt, poolDelay)
		s.partition(rapid.Float64Range(0, 1).Draw(t, "part that is cut off"))
		s.serve(perSecond, partitionedAt, healedAt, poolDelay)
		s.heal()
		s.serve(perSecond, healedAt, 30*time.Second, poolDelay)
		if excess, _ := s.worstWindow(); excess > 0 {
			t.Fatalf("%.1f retries more than allowed", excess)
		}
	})
}

// TestPoolServesFailuresAtFewInstances has many instances with one or two requests a second each,
// some of which fail at once because connections are reset, engines crash or answers are lost. It
// guards against budgets that instances hold only for themselves: on a day with 195 instances, 58
// calls that could have been retried were not, though only 7 in 100 of the allowed retries were
// made. Each instance had one retry of its own, and failures are not spread evenly.
func TestPoolServesFailuresAtFewInstances(t *testing.T) {
	const instances, zones, failing = 195, 6, 124
	s := newRetrySimulation(BudgetSettings{Share: 0.2, Slack: 430, Window: 10 * time.Second}, instances, zones, 7)
	serveSuccessfully := func(from, to time.Duration) { // requests that all succeed
		for s.now = from; s.now < to; s.now += simulationStep {
			if s.now%(10*simulationStep) == 0 {
				s.updatePools()
			}
			for i, b := range s.budgets {
				for range s.arrivals(224 * s.weights[i] / float64(instances)) {
					b.forService("desk", s.now).Succeeded(s.now)
				}
			}
		}
	}
	serveSuccessfully(0, 20*time.Second)
	withOne, withTwo := 0, 0
	for i := range failing {
		first := s.budgets[i].forService("desk", s.now).SpendLocal(false, s.now)
		second := s.budgets[i].forService("desk", s.now).Spend(context.Background(), false, s.now)
		if first {
			withOne++
		}
		if first && second {
			withTwo++
		}
	}
	t.Logf("of %d instances with two failures, %d have a retry of their own, %d get a second one from the pools", failing, withOne, withTwo)
	if withOne < failing/2 || withTwo < failing/4 {
		t.Errorf("%d and %d of %d", withOne, withTwo, failing)
	}
}
