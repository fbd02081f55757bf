// Package estimate learns what the engines of a service take, from what an
// instance observes of its own requests: the time of a prompt token and of a pair
// of tokens, the time of a step of generation by the requests that take part, the
// hand-over from prefill to decode, and how long a generation keeps its slot. It is pure: times
// are durations on the instance's monotonic clock.
//
// Observations that a queue may have lengthened are left out, and those far off the
// others count little (line): engines fail, and what an engine is believed to have
// cached may be gone. Until observations come, a prior holds; it yields as if it
// were a few of them.
package estimate

import (
	"time"
)

// Prior is what is assumed of engines that nothing has been observed of.
type Prior struct {
	// TokenTime and PairTime are the times of a prompt's tokens and pairs of
	// tokens, in nanoseconds. How fast engines are is learned; the ratio of the two
	// is kept, as observations of one mix of prompts hardly tell them apart.
	TokenTime float64
	PairTime  float64
	// Overhead is the time of a prompt besides its tokens.
	Overhead time.Duration
	// Step is the time of a step of generation, StepPerRequest what each request
	// that takes part adds; a step makes a token for each of them.
	Step           time.Duration
	StepPerRequest time.Duration
	// HandOver is the time from the end of the prefill to the first token at the
	// decode engine, besides the transfer.
	HandOver time.Duration
}

// DefaultPrior returns the defaults: the sheet of the first customers' engines, a
// large mixture-of-experts model. TestThePriorYields has the number of observations
// that other engines take.
func DefaultPrior() Prior {
	return Prior{
		TokenTime: 16300, PairTime: 0.525, Overhead: 2 * time.Millisecond,
		Step: 4550 * time.Microsecond, StepPerRequest: 181 * time.Microsecond,
		HandOver: 50 * time.Millisecond,
	}
}

// Prefill is one prompt that an engine has processed.
type Prefill struct {
	// Uncached tokens were processed, Cached ones are believed to have been there.
	Uncached, Cached int
	// PredictedWait was the predicted time of the prompts before it, Elapsed the time from
	// the send to the end.
	PredictedWait, Elapsed time.Duration
}

// Stream is one answer that an engine has generated.
type Stream struct {
	// Tokens tokens were generated in Took: from the first event to the last one.
	Tokens  int
	Elapsed time.Duration
	// SlotTime is how long the request had its slot, from the send to the end.
	SlotTime time.Duration
	// BatchSize is how many requests the engine had.
	BatchSize float64
}

// Model is what is known of a service's engines. It is not safe for concurrent use.
type Model struct {
	prior   Prior
	prompts line
	steps   line
	// handOver and slot are in seconds.
	handOver, slot mean
}

// New returns a model that knows the prior alone.
func New(p Prior) *Model {
	return &Model{
		prior:   p,
		prompts: line{prior: coefficients{slope: 1, base: float64(p.Overhead)}},
		steps:   line{prior: coefficients{slope: float64(p.StepPerRequest), base: float64(p.Step)}},
	}
}

const (
	// idlePart is the part of a prompt's own time that the predicted wait may have
	// for its time to tell of the engine and not of the queue.
	idlePart = 0.25
	// leastStepped tokens of an answer tell of the time of a step: the events of
	// fewer may have come together.
	leastStepped = 16
)

// RecordPrefill takes note of a processed prompt.
func (m *Model) RecordPrefill(p Prefill) {
	predicted := m.predict(p)
	if p.Uncached <= 0 || p.PredictedWait > time.Duration(idlePart*float64(predicted)) {
		return
	}
	m.prompts.add(sample{x: m.assumed(p), y: float64(p.Elapsed)})
}

// predict is the time that a prompt takes on an engine without a queue.
func (m *Model) predict(p Prefill) time.Duration {
	return time.Duration(m.prompts.estimate().at(m.assumed(p)))
}

// assumed is the time in nanoseconds that the prior's engines take for a prompt.
func (m *Model) assumed(p Prefill) float64 {
	return float64(p.Uncached)*m.prior.TokenTime + pairs(p.Uncached, p.Cached)*m.prior.PairTime
}

// pairs is the number of pairs of tokens that fresh ones after cached ones make.
func pairs(fresh, cached int) float64 {
	return float64(fresh) * (float64(cached) + float64(fresh)/2)
}

// RecordHandOver takes note of the time from a send with a processed prompt to the first
// token, less the predicted transfer.
func (m *Model) RecordHandOver(took time.Duration) { m.handOver.add(took.Seconds()) }

// RecordStream takes note of an answer that was generated whole.
func (m *Model) RecordStream(s Stream) {
	m.slot.add(s.SlotTime.Seconds())
	if s.Tokens < leastStepped || s.Elapsed <= 0 {
		return
	}
	m.steps.add(sample{x: max(1, s.BatchSize), y: float64(s.Elapsed) / float64(s.Tokens)})
}

// PromptTimes returns the times of a prompt's tokens and pairs of tokens, in
// nanoseconds, and what it takes besides.
func (m *Model) PromptTimes() (token, pair float64, overhead time.Duration) {
	c := m.prompts.estimate()
	return c.slope * m.prior.TokenTime, c.slope * m.prior.PairTime, time.Duration(c.base)
}

// StepTimes returns the time of a step of generation with no request and what each
// request adds.
func (m *Model) StepTimes() (alone, perRequest time.Duration) {
	c := m.steps.estimate()
	return time.Duration(c.base), time.Duration(c.slope)
}

// HandOver returns the time from the end of the prefill to the first token at the
// decode engine, besides the transfer.
func (m *Model) HandOver() time.Duration {
	return seconds(m.handOver.or(m.prior.HandOver.Seconds()))
}

// SlotTime returns the mean time that a generation keeps its slot; 0 until one ended.
func (m *Model) SlotTime() time.Duration { return seconds(m.slot.or(0)) }

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
