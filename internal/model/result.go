package model

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"sassafrasfield/internal/config"
)

// Result is the outcome of a pattern under a policy.
type Result struct {
	Pattern, Policy string
	// Classes holds the results of the classes by name.
	Classes map[string]*ClassResult
	// PrefilledTokens counts the prompt tokens that were processed, TransferredTokens those sent between
	// engines.
	PrefilledTokens, TransferredTokens int
	// Orders counts the role changes ordered, Refused the requests that engines refused.
	Orders, Refused int
	// FetchedTokens counts the tokens that prefill engines fetched from others, AgainTokens those of shared
	// parts that an engine had processed before.
	FetchedTokens, AgainTokens int
	// Messages counts the messages to and from hubs, Candidates the engines in their requests.
	Messages, Candidates int
	// BusiestShare is the time that the busiest prefill engine processed prompts, relative to the mean.
	BusiestShare float64
	// Utilization is the mean share of time in which prefill engines processed prompts.
	Utilization float64
	// PromptWait is the time from the arrival until the prompt was processed beyond the time of an idle engine
	// without any of it cached, in microseconds. Earlier ones count as 0.
	PromptWait *hdrhistogram.Histogram
	// Prompts counts processed prompts, Beyond those that took maxBeyond longer than that.
	Prompts, Beyond int
}

// ClassResult is the outcome of the requests of a class.
type ClassResult struct {
	Requests, OnTime, Late, Missed int
	// FirstEvent is the time to the first event, in microseconds.
	FirstEvent *hdrhistogram.Histogram
}

// Range of the histograms: microseconds up to a minute, with two significant digits.
const (
	histogramMax    = int64(time.Minute / time.Microsecond)
	histogramDigits = 2
)

func newResult(p Pattern, policy Policy) *Result {
	r := &Result{Pattern: p.Name, Policy: policy.Name, Classes: map[string]*ClassResult{}, PromptWait: hdrhistogram.New(1, histogramMax, histogramDigits)}
	for _, c := range p.Class {
		r.Classes[c.Name] = &ClassResult{FirstEvent: hdrhistogram.New(1, histogramMax, histogramDigits)}
	}
	return r
}

// recordAnswered counts a request whose answer has begun or is complete.
func (r *Result) recordAnswered(req *request) {
	c := r.Classes[req.class.Name]
	c.Requests++
	first := req.firstEvent - req.arrivedAt
	_ = c.FirstEvent.RecordValue(min(histogramMax, first.Microseconds())) // within bounds
	if first <= req.class.Objective && !req.gapExceeded {
		c.OnTime++
		return
	}
	c.Late++
}

// maxBeyond is the time beyond a cold read on an idle engine that 99% of prompts may take.
const maxBeyond = 150 * time.Millisecond

func (r *Result) recordPromptWait(beyond time.Duration) {
	_ = r.PromptWait.RecordValue(min(histogramMax, max(0, beyond.Microseconds()))) // within bounds
	r.Prompts++
	if beyond > maxBeyond {
		r.Beyond++
	}
}

// BeyondShare returns the share of the prompts that took maxBeyond longer than a cold read on an idle engine.
func (r *Result) BeyondShare() float64 { return r.perPrompt(r.Beyond) }

func (r *Result) perPrompt(n int) float64 { return float64(n) / float64(max(1, r.Prompts)) }

// waitMillis returns a percentile of PromptWait in milliseconds.
func (r *Result) waitMillis(percentile float64) float64 {
	return float64(r.PromptWait.ValueAtQuantile(percentile)) / float64(time.Millisecond/time.Microsecond)
}

// recordBusy records how the work was spread over the prefill engines.
func (r *Result) recordBusy(engines []*engine, length time.Duration) {
	var busiest, sum time.Duration
	n := 0
	for _, e := range engines {
		if e.role == config.RolePrefill {
			busiest, sum, n = max(busiest, e.busy), sum+e.busy, n+1
		}
	}
	if sum == 0 {
		return
	}
	r.BusiestShare = float64(busiest) * float64(n) / float64(sum)
	r.Utilization = float64(sum) / float64(n) / float64(length)
}

// recordMissed counts a request whose caller gave up.
func (r *Result) recordMissed(req *request) {
	c := r.Classes[req.class.Name]
	c.Requests++
	c.Missed++
}

// recordOpen counts the requests that are open at the end. An answer that has begun counts as a complete one.
func (r *Result) recordOpen(open []*request) {
	for _, req := range open {
		switch {
		case req.done:
		case req.firstEvent > 0:
			r.recordAnswered(req)
		default:
			r.recordMissed(req)
		}
	}
}

// OnTime returns the fraction of a class's requests that were answered on time.
func (r *Result) OnTime(class string) float64 {
	c := r.Classes[class]
	return float64(c.OnTime) / float64(max(1, c.Requests))
}

// Missed returns the fraction of a class's requests that got no answer.
func (r *Result) Missed(class string) float64 {
	c := r.Classes[class]
	return float64(c.Missed) / float64(max(1, c.Requests))
}

// lateCredit is the value of a late answer relative to one on time. The customers'
// requirements give about this value.
const lateCredit = 0.3

// Credit returns the mean, over the classes, of the fraction of requests on time, with late ones weighted by
// lateCredit.
func (r *Result) Credit() float64 {
	sum := 0.0
	for _, c := range r.Classes {
		sum += (float64(c.OnTime) + lateCredit*float64(c.Late)) / float64(max(1, c.Requests))
	}
	return sum / float64(len(r.Classes))
}
