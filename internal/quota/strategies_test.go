package quota

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"sassafrasfield/internal/limit"
	"sassafrasfield/internal/rendezvous"
)

// way is how instances keep to one upstream's limit together.
type way interface {
	// exchange lets the instances tell one another what is due.
	exchange(now time.Duration)
	// take decides on a request at an instance.
	take(instance int, now time.Duration) bool
}

// nothing sends on what comes.
type nothing struct{}

func (nothing) exchange(time.Duration)       {}
func (nothing) take(int, time.Duration) bool { return true }

// shares has each instance keep to its part: an equal one, or by what others report to ask for.
type shares struct {
	limiters []*limit.Limiter
	totals   *limit.Totals
	rule     limit.Rule
	byUse    bool
	due      time.Duration
}

func newShares(instances int, rate float64, byUse bool) *shares {
	s := &shares{totals: limit.NewTotals(3 * time.Second), rule: limit.Rule{Rate: rate, Burst: 1}, byUse: byUse}
	for range instances {
		l := limit.New(limit.Options{Floor: 0.1, Window: time.Second, TotalsTTL: 5 * time.Second})
		l.SetEntries(instances, 0)
		s.limiters = append(s.limiters, l)
	}
	return s
}

func (s *shares) exchange(now time.Duration) {
	const every = 400 * time.Millisecond
	if !s.byUse || now < s.due {
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

// one has a single instance send, which ranks first for the upstream.
type one struct {
	bucket *limit.Bucket
	sender int
}

func newOne(instances int, rate float64) *one {
	o := &one{bucket: limit.NewBucket(0)}
	for i := range instances {
		if rendezvous.Compare("u", fmt.Sprint(i), fmt.Sprint(o.sender)) < 0 {
			o.sender = i
		}
	}
	o.bucket.Set(rate, burstOf(rate), 0)
	return o
}

func (o *one) exchange(time.Duration) {}
func (o *one) take(i int, now time.Duration) bool {
	return i == o.sender && o.bucket.TakeReserving(0, now)
}

// grant asks the one that coordinates, unless it was told to wait.
type grant struct {
	grants *Coordinator
	rate   float64
	waits  []time.Duration
}

func newGrant(instances int, rate float64) *grant {
	g := &grant{grants: NewCoordinator(), rate: rate, waits: make([]time.Duration, instances)}
	for now := -2 * settleFor; now < 0; now += 100 * time.Millisecond {
		g.grants.SetShare(1, now)
	}
	return g
}

func (g *grant) exchange(now time.Duration) { g.grants.SetShare(1, now) }

func (g *grant) take(i int, now time.Duration) bool {
	if now < g.waits[i] {
		return false
	}
	a := asks(g.rate)
	a.From = uint64(i) + 1
	v := g.grants.Take(a, g.rate, now)
	g.waits[i] = now + v.RetryIn
	return v.Granted
}

// playWay has callers ask for ten times as much as the upstream takes, and returns the most that
// it gets in 4 s and the part of its limit that is used.
func playWay(w way, instances int, rate float64, at func(*rand.Rand, time.Duration) int) (most int, used float64) {
	const length, window = 30 * time.Second, 4 * time.Second
	rng := rand.New(rand.NewPCG(1, uint64(instances)))
	var sent []time.Duration
	for now := time.Duration(0); now < length; now += time.Duration(rng.ExpFloat64() / (10 * rate) * float64(time.Second)) {
		w.exchange(now)
		if w.take(at(rng, now), now) {
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

// TestWaysOfKeepingToALimit compares the ways, and bounds the one that is taken.
func TestWaysOfKeepingToALimit(t *testing.T) {
	ways := []struct {
		name string
		make func(instances int, rate float64) way
	}{
		{"nothing", func(int, float64) way { return nothing{} }},
		{"equal shares", func(n int, rate float64) way { return newShares(n, rate, false) }},
		{"shares by use", func(n int, rate float64) way { return newShares(n, rate, true) }},
		{"one sends", func(n int, rate float64) way { return newOne(n, rate) }},
		{chosenWay, func(n int, rate float64) way { return newGrant(n, rate) }},
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
				for _, w := range ways {
					most, used := playWay(w.make(n, rate), n, rate, load.at)
					t.Logf("%g a second, %d instances, calls %s: %s: at most %d in 4 s (allowed %d), %.0f%% used", rate, n, load.name, w.name, most, allowed, 100*used)
					if w.name == chosenWay && (most > allowed || used < 0.9) {
						t.Errorf("%s does not hold", w.name)
					}
				}
			}
		}
	}
}

// chosenWay is the one that the instances keep to limits by.
const chosenWay = "one grants"
