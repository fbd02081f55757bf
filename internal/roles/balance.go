package roles

import (
	"math"
	"time"
)

// SplitPolicy determines when a target follows the workload. It predicts the
// number of concurrent requests for each split: prompts that are processed or
// wait, and answers that are generated. By Little's law the split with the fewest
// requests has the shortest mean time per request.
type SplitPolicy struct {
	// StepMillis is the time of one generation step, and StepMillisPerRequest the
	// additional time for each request in the batch. Both are measured, in
	// milliseconds.
	StepMillis, StepMillisPerRequest float64
	// Slots is the number of requests that an engine can generate for at a time, 0
	// if unknown.
	Slots int
	// WaitWeight is the weight of a waiting prompt relative to an answer that is
	// being generated. It is above 1 because prompts differ in length, shared
	// prefixes bind prompts to engines, and callers wait for the first token.
	WaitWeight float64
	// MinGain is the fraction by which another split must reduce the number of
	// requests to count as better. Small gains are ignored because the mix of
	// requests fluctuates within seconds, and an engine that changes its role loses
	// its cached prefixes.
	MinGain float64
	// EvidenceThreshold is when the target moves: when the gain above MinGain, a
	// fraction of all requests, integrated over time without interruption, reaches
	// this number of seconds. A large gain moves the target soon, a small one only
	// if it lasts.
	EvidenceThreshold float64
	// SmoothingTime is the time constant for smoothing the workload, and the time
	// that must be measured before the workload is used. It is longer than the gaps
	// between prompts and shorter than the swings of the mix.
	SmoothingTime time.Duration
	// MaxPrefillDecrease and MaxPrefillIncrease are the largest changes of the
	// number of prefill engines in one move, as fractions of all engines. The
	// workload is then measured again before the next move. Taking engines from
	// decode has an immediate effect: it slows down the answers in progress.
	MaxPrefillDecrease, MaxPrefillIncrease float64
}

// DefaultSplitPolicy returns the defaults, without the fields that are measured at
// run time. WaitWeight suits four mixes of prompts and answers, compared at seven
// fixed splits each (docs/measurements/platform.md). With MinGain,
// EvidenceThreshold and SmoothingTime, swings of about ten seconds are ignored:
// following them costs more than it gains (docs/NEW-CUSTOMER.md).
func DefaultSplitPolicy() SplitPolicy {
	return SplitPolicy{
		WaitWeight: 10, MinGain: 0.06, EvidenceThreshold: 2.2, SmoothingTime: 30 * time.Second,
		MaxPrefillDecrease: 0.16, MaxPrefillIncrease: 0.11,
	}
}

// TargetTracker adjusts a target to the workload. The zero value has no
// observations.
type TargetTracker struct {
	// evidence is the accumulated gain of a move. increase is the direction of the
	// move: true for more prefill engines.
	evidence float64
	increase bool
}

// maxSplitOffset is the largest difference between the actual split and the target,
// in engines, at which the workload is a valid measurement of the target. One
// engine may have just joined or departed.
const maxSplitOffset = 1

// Update processes the workload of a number of engines, of which prefill are in the
// prefill role. It stands for the elapsed time since the previous call. Update
// returns the next state of the tracker and the target. It ignores the workload
// while engines are still changing towards the target, because that workload is no
// measurement of the target split.
func (t TargetTracker) Update(p SplitPolicy, target Target, w Workload, prefill, total int, elapsed time.Duration) (TargetTracker, Target) {
	wanted := target.PrefillCount(total)
	offset := prefill - wanted
	if w.measured < p.SmoothingTime || prefill == 0 || prefill == total || offset > maxSplitOffset || offset < -maxSplitOffset {
		return TargetTracker{}, target
	}
	best, gain := p.bestSplit(target, w, prefill, total)
	if increase := best > wanted; increase != t.increase || gain < p.MinGain {
		t = TargetTracker{increase: increase}
	}
	t.evidence += max(0, gain-p.MinGain) * elapsed.Seconds()
	if t.evidence < p.EvidenceThreshold {
		return t, target
	}
	return TargetTracker{}, target.WithPrefill(best, total)
}

// bestSplit returns the number of prefill engines with the fewest predicted
// requests, among those that one move can reach from the target. The second result
// is the fraction by which that reduces the requests compared with the target.
func (p SplitPolicy) bestSplit(target Target, w Workload, prefill, total int) (int, float64) {
	tokenRate := p.tokenRate(w, total-prefill)
	wanted := target.PrefillCount(total)
	current := p.concurrentRequests(w, tokenRate, wanted, total)
	best, fewest := wanted, current
	lowest := max(1, wanted-p.engineCount(p.MaxPrefillDecrease, total))
	highest := min(total-p.minDecode(target, w), wanted+p.engineCount(p.MaxPrefillIncrease, total))
	for n := lowest; n <= highest; n++ {
		if requests := p.concurrentRequests(w, tokenRate, n, total); requests < fewest {
			best, fewest = n, requests
		}
	}
	return best, 1 - fewest/max(current, 1) // with less than one request there is nothing to gain
}

// ampleEvidence is the time that must be measured before a split may count as ample.
const ampleEvidence = 2 * time.Second

// Measured reports whether the workload covers enough time for Ample.
func (w Workload) Measured() bool { return w.measured >= ampleEvidence }

// Ample reports whether a split with the given number of prefill engines has capacity to spare for the workload:
// the predicted number of requests is within MinGain of that on idle engines, so that no other split is
// noticeably better. As long as it is, role changes cost something and gain nothing.
func (p SplitPolicy) Ample(w Workload, prefill, total int) bool {
	if !w.Measured() || prefill <= 0 || prefill > total-p.minDecode(Target{}, w) {
		return false
	}
	tokenRate := p.tokenRate(w, total-prefill)
	idle := w.PrefillLoad + p.StepMillis*tokenRate
	return p.concurrentRequests(w, tokenRate, prefill, total) <= (1+p.MinGain)*idle
}

// minDecode returns the minimum number of decode engines: they must have slots for
// the requests that are generating now.
func (p SplitPolicy) minDecode(target Target, w Workload) int {
	if p.Slots == 0 {
		return target.MinDecode
	}
	return max(target.MinDecode, int(math.Ceil(w.Generations/float64(p.Slots))))
}

// engineCount converts a fraction of the engines to a number of engines, rounded
// up.
func (p SplitPolicy) engineCount(fraction float64, total int) int {
	return int(math.Ceil(fraction * float64(total)))
}

// tokenRate returns the tokens per millisecond that the requests receive on a
// number of decode engines. It is the number of requests, times the share of the
// engines' time that prompts leave free, divided by the time of a generation step.
func (p SplitPolicy) tokenRate(w Workload, decode int) float64 {
	batch := w.Generations / float64(decode)
	available := max(0, 1-w.DirectPrefillLoad/float64(decode))
	return w.Generations * available / (p.StepMillis + p.StepMillisPerRequest*batch)
}

// concurrentRequests predicts the number of concurrent requests with n engines in
// prefill. Prompts are predicted by the mean length of a queue. Answers are
// predicted from the token rate, which the decode engines must reach in the time
// that prompts leave free.
func (p SplitPolicy) concurrentRequests(w Workload, tokenRate float64, n, total int) float64 {
	decode := float64(total - n)
	prefillUtilization := w.PrefillLoad / float64(n)
	decodeUtilization := (w.DirectPrefillLoad + p.StepMillisPerRequest*tokenRate) / decode
	return w.PrefillLoad + p.WaitWeight*w.PrefillLoad*(slowdown(prefillUtilization)-1) + p.StepMillis*tokenRate*slowdown(decodeUtilization)
}

// linearAbove is the utilization above which slowdown continues along its tangent,
// so that splits can be compared even if all of them are overloaded.
const linearAbove = 0.95

// slowdown returns the factor by which work takes longer on engines with a given
// utilization. It is 1 on idle engines.
func slowdown(utilization float64) float64 {
	if utilization < linearAbove {
		return 1 / (1 - utilization)
	}
	const idle = 1 - linearAbove
	return 1/idle + (utilization-linearAbove)/(idle*idle)
}
