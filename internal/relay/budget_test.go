package relay

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"
	"pgregory.net/rapid"

	"sassafrasfield/internal/attempt"
)

// Pattern: many instances before a small service that sheds, so that each request
// wants a further send, and all instances are replaced in the middle of it. Grounds:
// a deployment of 62 instances before three upstreams of six slots was killed as a
// whole, and in the ten seconds around it 1,055 further sends were made of 969 that
// were allowed: each new process began with all that one instance may save up, and
// took itself for the only one.
type shedding struct {
	bounds    BudgetSettings
	instances int
	rng       *rand.Rand
	// weights are the instances' parts of the requests.
	weights []float64
	budgets []*budgets

	// requests and extra count by step.
	requests, extra []int
}

const shedStep = 50 * time.Millisecond

func newShedding(bounds BudgetSettings, instances int, seed uint64) *shedding {
	s := &shedding{bounds: bounds, instances: instances, rng: rand.New(rand.NewPCG(seed, 1))}
	for range instances {
		s.weights = append(s.weights, 0.2+s.rng.Float64())
	}
	s.start()
	return s
}

// start begins a new process on each instance.
func (s *shedding) start() {
	meters := attempt.Meters{Retries: metrics.NewCounter(), Denied: metrics.NewCounter()}
	s.budgets = nil
	for range s.instances {
		s.budgets = append(s.budgets, newBudgets(s.bounds, meters))
	}
}

// serve has each of some requests a second want as many further sends as it gets,
// up to two, for a time. The instances know their number after a while.
func (s *shedding) serve(perSecond float64, from, to, knownFrom time.Duration) {
	total := 0.0
	for _, w := range s.weights {
		total += w
	}
	for now := from; now < to; now += shedStep {
		if now >= knownFrom {
			for _, b := range s.budgets {
				b.set(s.bounds, s.instances)
			}
		}
		requests, extra := 0, 0
		for i, b := range s.budgets {
			for range s.arrivals(perSecond * s.weights[i] / total) {
				budget := b.of("desk", now)
				budget.Succeeded(now)
				requests++
				for range 2 {
					if budget.Take(false, now) {
						extra++
					}
				}
			}
		}
		s.requests, s.extra = append(s.requests, requests), append(s.extra, extra)
	}
}

// arrivals is a random number of requests in one step, of a mean.
func (s *shedding) arrivals(perSecond float64) int {
	mean := perSecond * shedStep.Seconds()
	n := int(mean)
	if s.rng.Float64() < mean-float64(n) {
		n++
	}
	return n
}

// worst is by how much the further sends of any window exceed what its requests
// allow, and the most that a window used of it.
func (s *shedding) worst() (beyond, used float64) {
	steps := int(s.bounds.Window / shedStep)
	beyond = -s.bounds.Slack
	for from := 0; from+steps <= len(s.extra); from++ {
		requests, extra := 0, 0
		for i := from; i < from+steps; i++ {
			requests += s.requests[i]
			extra += s.extra[i]
		}
		allowed := s.bounds.Share*float64(requests) + s.bounds.Slack
		beyond = max(beyond, float64(extra)-allowed)
		used = max(used, float64(extra)/allowed)
	}
	return beyond, used
}

func TestInstancesThatAreAllReplacedKeepTheBudgetOfTheWindow(t *testing.T) {
	s := newShedding(BudgetSettings{Share: 0.2, Slack: 164, Window: 10 * time.Second}, 62, 7)
	s.serve(400, 0, 20*time.Second, 3*time.Second)
	s.start()
	s.serve(400, 20*time.Second, 32*time.Second, 23*time.Second)
	if beyond, used := s.worst(); beyond > 0 || used < 0.6 {
		t.Errorf("%.0f further sends more than allowed; at most %.2f of a window used", beyond, used)
	}
}

// TestTheBudgetHoldsForAnyNumberOfInstances draws the number of instances, their
// requests and when all are replaced.
func TestTheBudgetHoldsForAnyNumberOfInstances(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		instances := rapid.IntRange(1, 400).Draw(t, "instances")
		bounds := BudgetSettings{Share: 0.2, Slack: 50 + 2*float64(instances), Window: 10 * time.Second}
		s := newShedding(bounds, instances, rapid.Uint64().Draw(t, "seed"))
		perSecond := rapid.Float64Range(1, 600).Draw(t, "requests a second")
		replaced := time.Duration(rapid.IntRange(1, 14).Draw(t, "replaced at")) * time.Second
		s.serve(perSecond, 0, replaced, 3*time.Second)
		s.start()
		s.serve(perSecond, replaced, 16*time.Second, replaced+3*time.Second)
		if beyond, _ := s.worst(); beyond > 0 {
			t.Fatalf("%.1f further sends more than allowed", beyond)
		}
	})
}
