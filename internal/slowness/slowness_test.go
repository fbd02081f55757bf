package slowness

import (
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// rule is how an instance estimates an upstream in the load of TestFactorPays.
type rule func(e *Estimate, now time.Duration) float64

var rules = map[string]rule{
	"no figures": func(*Estimate, time.Duration) float64 { return 1 },
	"newest figure": func(e *Estimate, _ time.Duration) float64 {
		if e.figures == 0 {
			return 1
		}
		return e.newest
	},
	"mean":   func(e *Estimate, now time.Duration) float64 { return 1 + e.meanExcess(now) },
	"factor": func(e *Estimate, now time.Duration) float64 { return e.Factor(now) },
}

const (
	upstreams, slots, instances = 4, 6, 75
	perSecond                   = 115
	work                        = 110 * time.Millisecond
	objective                   = 300 * time.Millisecond
	step                        = 5 * time.Millisecond
)

// machine is an upstream with its slots.
type machine struct {
	figure  float64
	queue   []*request
	changes time.Duration
}

type request struct {
	instance      int
	arrived, left time.Duration
}

// play runs calls against upstreams, half of which are slow by 2.5 in turns of some 0.6 s, and returns the share of the
// calls that miss the objective.
func play(estimate rule, flapping int, seed uint64) float64 {
	arrivals, changes := rand.New(rand.NewPCG(seed, 1)), rand.New(rand.NewPCG(seed, 2))
	machines := [upstreams]machine{}
	estimates := [instances][upstreams]Estimate{}
	history := [][upstreams]int{}
	sent, late, due := 0, 0, 0.0
	for now := time.Duration(0); now < 60*time.Second; now += step {
		var counts [upstreams]int
		for u := range machines {
			counts[u] = len(machines[u].queue)
		}
		history = append(history, counts)
		known := history[max(0, len(history)-1-int(150*time.Millisecond/step))]
		for due += perSecond * step.Seconds(); due >= 1; due-- {
			i, first := arrivals.IntN(instances), arrivals.IntN(upstreams)
			best, least := 0, math.Inf(1)
			for k := range upstreams {
				u := (first + k) % upstreams
				requests := float64(known[u])
				for _, r := range machines[u].queue {
					if r.instance == i && now-r.arrived < 150*time.Millisecond {
						requests++
					}
				}
				// as placement.ServiceScorer
				if cost := estimate(&estimates[i][u], now)*(requests+slots) - slots; cost < least {
					best, least = u, cost
				}
			}
			sent++
			left := time.Duration(float64(work) * math.Exp(0.3*arrivals.NormFloat64()))
			machines[best].queue = append(machines[best].queue, &request{instance: i, arrived: now, left: left})
		}
		for u := range machines {
			m := &machines[u]
			if m.figure == 0 || u < flapping && now >= m.changes {
				m.figure = map[bool]float64{true: 2.5, false: 1}[m.figure == 1 && u < flapping]
				m.changes = now + time.Duration(changes.ExpFloat64()*float64(600*time.Millisecond))
			}
			for _, r := range m.queue[:min(slots, len(m.queue))] {
				if r.left -= time.Duration(float64(step) / m.figure); r.left > 0 {
					continue
				}
				if now-r.arrived > objective {
					late++
				}
				estimates[r.instance][u].AddFigure(m.figure, now)
			}
			m.queue = slices.DeleteFunc(m.queue, func(r *request) bool { return r.left <= 0 })
		}
	}
	return float64(late) / float64(sent)
}

// TestFactorPays guards against an estimate that makes more calls late than no estimate does, or than a mean or the newest
// figure alone where these are best. The loads are plain calls to upstreams of which some or all become slow in turns.
func TestFactorPays(t *testing.T) {
	for flapping, most := range map[int]float64{1: 0.08, 2: 0.14, 4: 0.36} {
		late := map[string]float64{}
		for name, estimate := range rules {
			for seed := range uint64(4) {
				late[name] += play(estimate, flapping, seed) / 4
			}
		}
		t.Logf("%d of %d upstreams change, share of late calls: %v", flapping, upstreams, late)
		if late["factor"] > most || late["factor"] > 0.85*late["no figures"] {
			t.Errorf("%d of %d upstreams change: %v", flapping, upstreams, late)
		}
	}
}

// TestWrongAndStaleFiguresAreIgnored guards against an upstream that is avoided, or preferred, for good because of a figure
// that is wrong or is no longer sent.
func TestWrongAndStaleFiguresAreIgnored(t *testing.T) {
	var e Estimate
	if got := e.Factor(0); got != 1 {
		t.Errorf("factor %v without figures", got)
	}
	e.AddFigure(math.Inf(1), time.Second)
	if got := e.Factor(time.Second); got != Highest {
		t.Errorf("factor %v, want the bound", got)
	}
	if got := e.Factor(time.Second + staleAfter + 1); got != 1 {
		t.Errorf("factor %v with a stale figure", got)
	}
	for i := range minTimes {
		now := time.Duration(2+i) * time.Second
		e.AddFigure(5, now)
		e.AddTime(1)
	}
	if got := e.Factor(10 * time.Second); got != 1 {
		t.Errorf("factor %v, although responses take the usual time", got)
	}
	for range 4 * minTimes {
		e.AddTime(4)
	}
	if got := e.Factor(10 * time.Second); got < 4 {
		t.Errorf("factor %v, although responses take four times as long", got)
	}
}

// TestFactorIsBounded guards against factors that exclude an upstream or give it all work.
func TestFactorIsBounded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var e Estimate
		now := time.Duration(0)
		for range rapid.IntRange(0, 20).Draw(t, "figures") {
			now += time.Duration(rapid.Int64Range(0, int64(5*time.Second)).Draw(t, "later"))
			e.AddFigure(rapid.Float64().Draw(t, "figure"), now)
			if rapid.Bool().Draw(t, "time") {
				e.AddTime(rapid.Float64Range(0, 100).Draw(t, "ratio"))
			}
			if f := e.Factor(now); !(f >= Lowest && f <= Highest) {
				t.Fatalf("factor %v", f)
			}
		}
	})
}
