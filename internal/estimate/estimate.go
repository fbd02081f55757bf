// Package estimate learns the processing times of a service's engines from the requests of one
// instance. It estimates the time per prompt token and per pair of tokens, the duration of a
// generation step by batch size, the hand-over from prefill to decode, and how long a generation
// occupies its slot. The package is pure: times are durations on the instance's monotonic clock.
//
// Observations that may include queueing are left out. Outliers get little weight (see line),
// because engines fail and cached data that an engine is assumed to have may have been evicted. A
// prior is used until there are observations; it has the weight of a few of them.
package estimate

import (
	"time"
)

// Prior has the times assumed for engines without observations.
type Prior struct {
	// TokenTime and PairTime are the times of a prompt's tokens and pairs of tokens, in
	// nanoseconds. Only a common factor of the two is learned. Their ratio is kept, because
	// observations of one mix of prompts do not distinguish them well.
	TokenTime float64
	PairTime  float64
	// Overhead is the constant part of a prompt's time.
	Overhead time.Duration
	// Step is the duration of a generation step without requests, StepPerRequest what each request
	// in the batch adds. A step generates one token for each of them.
	Step           time.Duration
	StepPerRequest time.Duration
	// HandOver is the time from the end of the prefill to the first token at the decode engine,
	// without the transfer.
	HandOver time.Duration
}

// DefaultPrior returns the prior for the engines of the first customers, from their data sheet: a
// large mixture-of-experts model. TestObservationsOverridePrior shows how many observations are
// needed for other engines.
func DefaultPrior() Prior {
	return Prior{
		TokenTime: 16300, PairTime: 0.525, Overhead: 2 * time.Millisecond,
		Step: 4550 * time.Microsecond, StepPerRequest: 181 * time.Microsecond,
		HandOver: 50 * time.Millisecond,
	}
}

// Prefill is an observation of one prompt that an engine processed.
type Prefill struct {
	// Uncached tokens were processed; Cached ones are assumed to have been in the engine's cache.
	Uncached, Cached int
	// PredictedWait was the predicted time of the prompts before it, Elapsed the time from the send
	// to the end.
	PredictedWait, Elapsed time.Duration
}

// Stream is an observation of one answer that an engine generated.
type Stream struct {
	// Tokens were generated in Elapsed, the time from the first event to the last one.
	Tokens  int
	Elapsed time.Duration
	// SlotTime is how long the request occupied its slot, from the send to the end.
	SlotTime time.Duration
	// BatchSize is the number of requests on the engine.
	BatchSize float64
}

// Model has the estimates for a service's engines. It is not safe for concurrent use.
type Model struct {
	prior   Prior
	prompts line
	steps   line
	// handOver and slotTime are in seconds.
	handOver, slotTime mean
}

// New returns a model that knows only the prior.
func New(p Prior) *Model {
	return &Model{
		prior:   p,
		prompts: line{prior: coefficients{slope: 1, base: float64(p.Overhead)}},
		steps:   line{prior: coefficients{slope: float64(p.StepPerRequest), base: float64(p.Step)}},
	}
}

const (
	// maxWaitShare is the largest predicted wait, as a share of a prompt's own time, with which the
	// observation is used. With a longer wait, the time would measure the queue and not the engine.
	maxWaitShare = 0.25
	// minStreamTokens is the number of tokens from which an answer is used to estimate the step
	// time. The events of shorter answers may have arrived together.
	minStreamTokens = 16
)

// RecordPrefill adds the observation of a processed prompt.
func (m *Model) RecordPrefill(p Prefill) {
	predicted := m.predict(p)
	if p.Uncached <= 0 || p.PredictedWait > time.Duration(maxWaitShare*float64(predicted)) {
		return
	}
	m.prompts.add(sample{x: m.priorTime(p), y: float64(p.Elapsed)})
}

// predict returns the time of a prompt on an engine without a queue.
func (m *Model) predict(p Prefill) time.Duration {
	return time.Duration(m.prompts.estimate().at(m.priorTime(p)))
}

// priorTime returns the time of a prompt on an engine with the prior's times, in nanoseconds and
// without the overhead.
func (m *Model) priorTime(p Prefill) float64 {
	return float64(p.Uncached)*m.prior.TokenTime + pairs(p.Uncached, p.Cached)*m.prior.PairTime
}

// pairs returns the number of token pairs that attention processes for uncached tokens after cached
// ones.
func pairs(uncached, cached int) float64 {
	return float64(uncached) * (float64(cached) + float64(uncached)/2)
}

// RecordHandOver adds the time from a send with a processed prompt to the first token, minus the
// predicted transfer.
func (m *Model) RecordHandOver(elapsed time.Duration) { m.handOver.add(elapsed.Seconds()) }

// RecordStream adds the observation of a completely generated answer.
func (m *Model) RecordStream(s Stream) {
	m.slotTime.add(s.SlotTime.Seconds())
	if s.Tokens < minStreamTokens || s.Elapsed <= 0 {
		return
	}
	m.steps.add(sample{x: max(1, s.BatchSize), y: float64(s.Elapsed) / float64(s.Tokens)})
}

// PredictStream returns the predicted time from the first event of an answer to the last one; 0 for an answer that is
// too short to be compared.
func (m *Model) PredictStream(s Stream) time.Duration {
	if s.Tokens < minStreamTokens {
		return 0
	}
	base, perRequest := m.StepTimes()
	return time.Duration(s.Tokens) * (base + time.Duration(max(1, s.BatchSize)*float64(perRequest)))
}

// PromptTimes returns the times of a prompt's tokens and pairs of tokens, in nanoseconds, and the
// constant overhead.
func (m *Model) PromptTimes() (token, pair float64, overhead time.Duration) {
	c := m.prompts.estimate()
	return c.slope * m.prior.TokenTime, c.slope * m.prior.PairTime, time.Duration(c.base)
}

// StepTimes returns the duration of a generation step without requests and what each request adds.
func (m *Model) StepTimes() (base, perRequest time.Duration) {
	c := m.steps.estimate()
	return time.Duration(c.base), time.Duration(c.slope)
}

// HandOver returns the time from the end of the prefill to the first token at the decode engine,
// without the transfer.
func (m *Model) HandOver() time.Duration {
	return seconds(m.handOver.or(m.prior.HandOver.Seconds()))
}

// SlotTime returns the mean time that a generation occupies its slot; 0 until one has ended.
func (m *Model) SlotTime() time.Duration { return seconds(m.slotTime.or(0)) }

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
