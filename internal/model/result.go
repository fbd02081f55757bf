package model

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Result is what came of a pattern under a policy.
type Result struct {
	Pattern, Policy string
	// Classes by name.
	Classes map[string]*ClassResult
	// PrefilledTokens tokens were processed in prompts, TransferredTokens ones sent between engines.
	PrefilledTokens, TransferredTokens int
	// Orders to engines, and requests that engines Refused.
	Orders, Refused int
}

// ClassResult is what came of a class's requests.
type ClassResult struct {
	Requests, OnTime, Late, Missed int
	// FirstEvent is the time to the first event, in microseconds.
	FirstEvent *hdrhistogram.Histogram
}

// Bounds of the histograms: microseconds to a minute, to two digits.
const (
	histogramMax    = int64(time.Minute / time.Microsecond)
	histogramDigits = 2
)

func newResult(p Pattern, policy Policy) *Result {
	r := &Result{Pattern: p.Name, Policy: policy.Name, Classes: map[string]*ClassResult{}}
	for _, c := range p.Class {
		r.Classes[c.Name] = &ClassResult{FirstEvent: hdrhistogram.New(1, histogramMax, histogramDigits)}
	}
	return r
}

// answered takes note of a request that has its whole answer.
func (r *Result) answered(req *request) {
	c := r.Classes[req.class.Name]
	c.Requests++
	first := req.first - req.arrived
	_ = c.FirstEvent.RecordValue(min(histogramMax, first.Microseconds())) // within bounds
	if first <= req.class.Objective && !req.paused {
		c.OnTime++
		return
	}
	c.Late++
}

// left takes note of a request whose caller left.
func (r *Result) left(req *request) {
	c := r.Classes[req.class.Name]
	c.Requests++
	c.Missed++
}

// ended takes note of what is still open at the end: answers under way count as they
// began.
func (r *Result) ended(open []*request) {
	for _, req := range open {
		switch {
		case req.over:
		case req.first > 0:
			r.answered(req)
		default:
			r.left(req)
		}
	}
}

// OnTime is the part of a class's requests that were on time, Missed of those without
// an answer.
func (r *Result) OnTime(class string) float64 {
	c := r.Classes[class]
	return float64(c.OnTime) / float64(max(1, c.Requests))
}

// Missed is the part of a class's requests that got no answer.
func (r *Result) Missed(class string) float64 {
	c := r.Classes[class]
	return float64(c.Missed) / float64(max(1, c.Requests))
}

// lateCredit is what a late answer counts for, against one that is on time: about
// what the customers' sheets say.
const lateCredit = 0.3

// Credit is the mean over the classes of the part of their requests on time, with
// late ones counted less.
func (r *Result) Credit() float64 {
	sum := 0.0
	for _, c := range r.Classes {
		sum += (float64(c.OnTime) + lateCredit*float64(c.Late)) / float64(max(1, c.Requests))
	}
	return sum / float64(len(r.Classes))
}
