package estimate

import (
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// engine generates observations of engines with known times.
type engine struct {
	token, pair      float64 // ns
	overhead         float64 // ns
	step, perRequest time.Duration
	rng              *rand.Rand
}

// roundTrip is the part of each prompt's time that is not spent in the engine, in ns.
const roundTrip = 1.5e6

// prefill processes a prompt. A fraction of the prompts, given by outliers, takes much longer
// because the tokens assumed cached were not cached, and half that fraction because they waited.
func (e engine) prefill(outliers float64) Prefill {
	uncached, cached := 500+e.rng.IntN(6000), e.rng.IntN(9000)
	elapsed := float64(uncached)*e.token + pairs(uncached, cached)*e.pair
	if e.rng.Float64() < outliers {
		elapsed = float64(uncached+cached)*e.token + pairs(uncached+cached, 0)*e.pair
	}
	elapsed = elapsed*(0.95+0.1*e.rng.Float64()) + roundTrip + e.overhead
	if e.rng.Float64() < outliers/2 { // a wait that was not reported
		elapsed *= 1 + 2*e.rng.Float64()
	}
	return Prefill{Uncached: uncached, Cached: cached, Elapsed: time.Duration(elapsed)}
}

func (e engine) stream(batch float64) Stream {
	tokens := 50 + e.rng.IntN(4000)
	step := float64(e.step) + batch*float64(e.perRequest)
	return Stream{Tokens: tokens, Elapsed: time.Duration(step * float64(tokens)), BatchSize: batch}
}

func near(got, want, tolerance float64) bool {
	return got > want*(1-tolerance) && got < want*(1+tolerance)
}

// TestObservationsOverridePrior has engines four times as fast and four times as slow as the prior,
// and some with another ratio of pair and token times or a longer overhead. It checks the
// prediction for a typical prompt. One in five of the observed prompts was not cached, and one in
// ten had waited.
func TestObservationsOverridePrior(t *testing.T) {
	prior := DefaultPrior()
	for name, e := range map[string]engine{
		"four times as fast": {token: prior.TokenTime / 4, pair: prior.PairTime / 4},
		"four times as slow": {token: prior.TokenTime * 4, pair: prior.PairTime * 4},
		"pairs cost little":  {token: prior.TokenTime, pair: prior.PairTime / 20},
		"pairs cost more":    {token: prior.TokenTime, pair: prior.PairTime * 3},
		"90 ms overhead":     {token: prior.TokenTime, pair: prior.PairTime, overhead: 90e6},
	} {
		e.rng = rand.New(rand.NewPCG(1, 2))
		for n, tolerance := range map[int]float64{16: 0.15, 64: 0.12} {
			m := New(prior)
			for range n {
				m.RecordPrefill(e.prefill(0.2))
			}
			const uncached, cached = 2900, 6300
			want := uncached*e.token + pairs(uncached, cached)*e.pair + roundTrip + e.overhead
			got := m.predict(Prefill{Uncached: uncached, Cached: cached})
			if !near(float64(got), want, tolerance) {
				t.Errorf("%s, %d prompts: %s, want %s", name, n, got, time.Duration(want))
			}
		}
	}
}

func TestQueuedPromptsAreIgnored(t *testing.T) {
	m := New(DefaultPrior())
	for range 100 {
		m.RecordPrefill(Prefill{Uncached: 1000, PredictedWait: time.Second, Elapsed: time.Second})
	}
	if token, _, _ := m.PromptTimes(); token != DefaultPrior().TokenTime {
		t.Errorf("%g ns a token, want the prior's", token)
	}
}

func TestStepTimeIsLearnedByBatchSize(t *testing.T) {
	e := engine{step: 637 * time.Microsecond, perRequest: 8500 * time.Nanosecond, rng: rand.New(rand.NewPCG(1, 2))}
	m := New(DefaultPrior())
	for i := range 64 {
		m.RecordStream(e.stream(float64(5 + i%40)))
	}
	base, perRequest := m.StepTimes()
	full := base + 64*perRequest
	if want := e.step + 64*e.perRequest; !near(float64(full), float64(want), 0.1) {
		t.Errorf("a step of 64 requests takes %s, want %s (%s, %s)", full, want, base, perRequest)
	}
}

// TestEstimatesStayPositive adds arbitrary observations.
func TestEstimatesStayPositive(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := New(DefaultPrior())
		for range rapid.IntRange(0, 40).Draw(t, "prompts") {
			m.RecordPrefill(Prefill{
				Uncached: rapid.IntRange(0, 100000).Draw(t, "fresh"), Cached: rapid.IntRange(0, 100000).Draw(t, "cached"),
				Elapsed: time.Duration(rapid.Int64Range(0, int64(10*time.Second)).Draw(t, "took")),
			})
		}
		if token, pair, _ := m.PromptTimes(); !(token > 0) || !(pair > 0) {
			t.Fatalf("%g, %g", token, pair)
		}
	})
}

// TestNewInstanceUsesSharedEstimates has a prior that is wrong by a factor of four.
func TestNewInstanceUsesSharedEstimates(t *testing.T) {
	prior := DefaultPrior()
	e := engine{
		token: prior.TokenTime / 4, pair: prior.PairTime / 4, step: prior.Step / 7, perRequest: prior.StepPerRequest / 20,
		rng: rand.New(rand.NewPCG(1, 2)),
	}
	experienced, started := New(prior), New(prior)
	started.Merge(experienced.Snapshot())
	if started.PromptsKnown() || started.StepsKnown() {
		t.Error("times known from an instance without observations")
	}
	for i := range 64 {
		experienced.RecordPrefill(e.prefill(0.2))
		experienced.RecordStream(e.stream(float64(i)))
	}
	started.Merge(experienced.Snapshot())
	token, _, _ := started.PromptTimes()
	step, perRequest := started.StepTimes()
	if !started.PromptsKnown() || !started.StepsKnown() || !near(token, e.token, 0.2) {
		t.Errorf("%g ns a token, want %g", token, e.token)
	}
	if full, want := step+64*perRequest, e.step+64*e.perRequest; !near(float64(full), float64(want), 0.1) {
		t.Errorf("%s for a step of 64 requests, want %s", full, want)
	}
}
