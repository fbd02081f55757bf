package quota

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"sassafrasfield/internal/limit"
	"sassafrasfield/internal/rendezvous"
)

// strategy is how the instances jointly keep within one upstream's limit.
type strategy interface {
	// exchange runs the messages between the instances that are due.
	exchange(now time.Duration)
	// take decides on a request at an instance.
	take(instance int, now time.Duration) bool
}

// unlimited sends every request.
type unlimited struct{}

func (unlimited) exchange(time.Duration)       {}
func (unlimited) take(int, time.Duration) bool { return true }

// shares gives each instance a share of the limit: an equal one, or one in proportion to its reported demand.
type shares struct {
	limiters []*limit.Limiter
	totals   *limit.Totals
	rule     limit.Rule
	byDemand bool
	due      time.Duration
}

func newShares(instances int, rate float64, byDemand bool) *shares {
	s := &shares{totals: limit.NewTotals(3 * time.Second), rule: limit.Rule{Rate: rate, Burst: 1}, byDemand: byDemand}
	for range instances {
		l := limit.New(limit.Options{Floor: 0.1, Window: time.Second, TotalsTTL: 5 * time.Second})
		l.SetEntries(instances, 0)
		s.limiters = append(s.limiters, l)
	}
	return s
}

func (s *shares) exchange(now time.Duration) {
	const every = 400 * time.Millisecond
	if !s.byDemand || now < s.due {
		return
	}
	s.due = now + every
	for round := range 2 {
		for i, l := range s.limiters {
			totals := s.totals.Report(fmt.Sprint(i), l.Demand(now), now)
			if round > 0 {
				l.SetTotals(totals, now)
			}
		}
	}
}

func (s *shares) take(i int, now time.Duration) bool {
	return s.limiters[i].Take("u", s.rule, now).Allowed
}

// singleSender has only one instance send, the one that rendezvous hashing ranks first for the upstream.
type singleSender struct {
	bucket *limit.Bucket
	sender int
}

func newSingleSender(instances int, rate float64) *singleSender {
	o := &singleSender{bucket: limit.NewBucket(0)}
	for i := range instances {
		if rendezvous.Compare("u", fmt.Sprint(i), fmt.Sprint(o.sender)) < 0 {
			o.sender = i
		}
	}
	o.bucket.Set(rate, burstOf(rate), 0)
	return o
}

func (o *singleSender) exchange(time.Duration) {}
func (o *singleSender) take(i int, now time.Duration) bool {
	return i == o.sender && o.bucket.TakeReserving(0, now)
}

// coordinated requests a grant from the coordinator for each request. An instance that was refused waits
// until its retry time.
type coordinated struct {
	coordinator *Coordinator
	rate        float64
	retryAt     []time.Duration
}

func newCoordinated(instances int, rate float64) *coordinated {
	s := &coordinated{coordinator: NewCoordinator(), rate: rate, retryAt: make([]time.Duration, instances)}
	for now := -2 * settleTime; now < 0; now += 100 * time.Millisecond {
		s.coordinator.SetShare(1, now)
	}
	return s
}

func (s *coordinated) exchange(now time.Duration) { s.coordinator.SetShare(1, now) }

func (s *coordinated) take(i int, now time.Duration) bool {
	if now < s.retryAt[i] {
		return false
	}
	req := grantRequest(s.rate)
	req.From = uint64(i) + 1
	v := s.coordinator.Take(req, s.rate, now)
	s.retryAt[i] = now + v.RetryIn
	return v.Granted
}

// simulate sends ten times as many requests as the limit allows. It returns the most that the upstream gets
// in 4 s, and the share of its limit that is used.
func simulate(s strategy, instances int, rate float64, at func(*rand.Rand, time.Duration) int) (most int, used float64) {
	const length, window = 30 * time.Second, 4 * time.Second
	rng := rand.New(rand.NewPCG(1, uint64(instances)))
	var sent []time.Duration
	for now := time.Duration(0); now < length; now += time.Duration(rng.ExpFloat64() / (10 * rate) * float64(time.Second)) {
		s.exchange(now)
		if s.take(at(rng, now), now) {
			sent = append(sent, now)
		}
	}
	first := 0
	for i, now := range sent {
		for now-sent[first] > window {
			first++
		}
		most = max(most, i-first+1)
	}
	return most, float64(len(sent)) / (rate * length.Seconds())
}

// TestLimitStrategies compares the strategies, and checks the bounds of the one that is used.
func TestLimitStrategies(t *testing.T) {
	strategies := []struct {
		name string
		make func(instances int, rate float64) strategy
	}{
		{"nothing", func(int, float64) strategy { return unlimited{} }},
		{"equal shares", func(n int, rate float64) strategy { return newShares(n, rate, false) }},
		{"shares by use", func(n int, rate float64) strategy { return newShares(n, rate, true) }},
		{"one sends", func(n int, rate float64) strategy { return newSingleSender(n, rate) }},
		{chosenStrategy, func(n int, rate float64) strategy { return newCoordinated(n, rate) }},
	}
	for _, rate := range []float64{1.5, 4} {
		for _, n := range []int{1, 9, 62, 195, 400} {
			loads := []struct {
				name string
				at   func(*rand.Rand, time.Duration) int
			}{
				{"everywhere", func(rng *rand.Rand, _ time.Duration) int { return rng.IntN(n) }},
				{"at one", func(*rand.Rand, time.Duration) int { return 0 }},
				{"moving", func(_ *rand.Rand, now time.Duration) int { return int(now/(500*time.Millisecond)) % n }},
			}
			allowed := int(1.5*rate*4) + 5
			for _, load := range loads {
				for _, s := range strategies {
					most, used := simulate(s.make(n, rate), n, rate, load.at)
					t.Logf("%g a second, %d instances, calls %s: %s: at most %d in 4 s (allowed %d), %.0f%% used", rate, n, load.name, s.name, most, allowed, 100*used)
					if s.name == chosenStrategy && (most > allowed || used < 0.9) {
						t.Errorf("%s: out of bounds", s.name)
					}
				}
			}
		}
	}
}

// chosenStrategy is the strategy that instances use.
const chosenStrategy = "one grants"
