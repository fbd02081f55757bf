package estimate

import (
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// engine makes observations of engines with known times.
type engine struct {
	token, pair      float64 // ns
	besides          float64 // ns
	step, perRequest time.Duration
	rng              *rand.Rand
}

// roundTrip is the part of each prompt's time that is none of the engine's, in ns.
const roundTrip = 1.5e6

// prefill processes a prompt; some are much longer, as what was believed cached is
// gone, or as they waited.
func (e engine) prefill(wrong float64) Prefill {
	fresh, cached := 500+e.rng.IntN(6000), e.rng.IntN(9000)
	took := float64(fresh)*e.token + pairs(fresh, cached)*e.pair
	if e.rng.Float64() < wrong {
		took = float64(fresh+cached)*e.token + pairs(fresh+cached, 0)*e.pair
	}
	took = took*(0.95+0.1*e.rng.Float64()) + roundTrip + e.besides
	if e.rng.Float64() < wrong/2 { // a wait that nobody told of
		took *= 1 + 2*e.rng.Float64()
	}
	return Prefill{Uncached: fresh, Cached: cached, Elapsed: time.Duration(took)}
}

func (e engine) stream(batch float64) Stream {
	tokens := 50 + e.rng.IntN(4000)
	step := float64(e.step) + batch*float64(e.perRequest)
	return Stream{Tokens: tokens, Elapsed: time.Duration(step * float64(tokens)), BatchSize: batch}
}

func near(got, want, part float64) bool { return got > want*(1-part) && got < want*(1+part) }

// TestThePriorYields has engines a quarter and four times as fast as the prior
// says, and some that weigh pairs of tokens otherwise. What is counted is the
// prediction for a prompt as they come, of which one in five was not cached and one in ten waited.
func TestThePriorYields(t *testing.T) {
	prior := DefaultPrior()
	for name, e := range map[string]engine{
		"four times as fast":   {token: prior.TokenTime / 4, pair: prior.PairTime / 4},
		"four times as slow":   {token: prior.TokenTime * 4, pair: prior.PairTime * 4},
		"pairs hardly count":   {token: prior.TokenTime, pair: prior.PairTime / 20},
		"pairs count for more": {token: prior.TokenTime, pair: prior.PairTime * 3},
		"90 ms besides":        {token: prior.TokenTime, pair: prior.PairTime, besides: 90e6},
	} {
		e.rng = rand.New(rand.NewPCG(1, 2))
		for n, part := range map[int]float64{16: 0.15, 64: 0.12} {
			m := New(prior)
			for range n {
				m.RecordPrefill(e.prefill(0.2))
			}
			const fresh, cached = 2900, 6300
			want := fresh*e.token + pairs(fresh, cached)*e.pair + roundTrip + e.besides
			got := m.predict(Prefill{Uncached: fresh, Cached: cached})
			if !near(float64(got), want, part) {
				t.Errorf("%s, %d prompts: %s, want %s", name, n, got, time.Duration(want))
			}
		}
	}
}

func TestPromptsThatWaitedTellNothing(t *testing.T) {
	m := New(DefaultPrior())
	for range 100 {
		m.RecordPrefill(Prefill{Uncached: 1000, PredictedWait: time.Second, Elapsed: time.Second})
	}
	if token, _, _ := m.PromptTimes(); token != DefaultPrior().TokenTime {
		t.Errorf("%g ns a token", token)
	}
}

func TestTheTimeOfAStepIsLearnedByBatch(t *testing.T) {
	e := engine{step: 637 * time.Microsecond, perRequest: 8500 * time.Nanosecond, rng: rand.New(rand.NewPCG(1, 2))}
	m := New(DefaultPrior())
	for i := range 64 {
		m.RecordStream(e.stream(float64(5 + i%40)))
	}
	alone, perRequest := m.StepTimes()
	full := alone + 64*perRequest
	if want := e.step + 64*e.perRequest; !near(float64(full), float64(want), 0.1) {
		t.Errorf("a step of 64 requests takes %s, want %s (%s, %s)", full, want, alone, perRequest)
	}
}

// TestEstimatesStayPositive feeds anything.
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

// TestAnInstanceThatStartsTakesWhatOthersLearned: its prior is four times off.
func TestAnInstanceThatStartsTakesWhatOthersLearned(t *testing.T) {
	prior := DefaultPrior()
	e := engine{
		token: prior.TokenTime / 4, pair: prior.PairTime / 4, step: prior.Step / 7, perRequest: prior.StepPerRequest / 20,
		rng: rand.New(rand.NewPCG(1, 2)),
	}
	old, young := New(prior), New(prior)
	young.Merge(old.Snapshot())
	if young.PromptsKnown() || young.StepsKnown() {
		t.Error("known from an instance that has seen nothing")
	}
	for i := range 64 {
		old.RecordPrefill(e.prefill(0.2))
		old.RecordStream(e.stream(float64(i)))
	}
	young.Merge(old.Snapshot())
	token, _, _ := young.PromptTimes()
	step, perRequest := young.StepTimes()
	if !young.PromptsKnown() || !young.StepsKnown() || !near(token, e.token, 0.2) {
		t.Errorf("%g ns a token, want %g", token, e.token)
	}
	if full, want := step+64*perRequest, e.step+64*e.perRequest; !near(float64(full), float64(want), 0.1) {
		t.Errorf("%s for a step of 64 requests, want %s", full, want)
	}
}
