package roles

import (
	"math"
	"time"
)

// SplitPolicy says when a target should follow what the engines are used for. It
// predicts how many requests a split has in it at a time: prompts that are
// processed or wait, and answers that are generated. By Little's law the split
// with the fewest is the one with the shortest mean time.
type SplitPolicy struct {
	// StepMillis is the time of one step of generation, StepMillisPerRequest what each
	// request that takes part adds, both in milliseconds, as they were measured.
	StepMillis, StepMillisPerRequest float64
	// Slots is how many requests an engine generates for at a time; 0 where that is
	// not known.
	Slots int
	// WaitWeight is how much more a prompt that waits counts than an answer that is
	// generated. It is above 1 as prompts differ in length, as shared parts bind
	// them to engines, and as callers wait for the first token.
	WaitWeight float64
	// MinGain is the part of the requests by which another split must have fewer to
	// be worth anything: the mix swings by the second, and an engine that changes
	// loses the shared parts that it has cached.
	MinGain float64
	// EvidenceThreshold is how much the gain beyond that must add up to, without a break,
	// before the target moves, in seconds of all requests: a large gain is taken
	// soon, a small one when it lasts.
	EvidenceThreshold float64
	// SmoothingTime is the time over which the use is smoothed, and which must be measured
	// before it counts: longer than the gaps between prompts, shorter than the
	// swings of the mix.
	SmoothingTime time.Duration
	// MaxPrefillDecrease and MaxPrefillIncrease are the parts of the engines by which prefill may shrink or
	// grow before its use is looked at anew. Engines that are taken from
	// generation are missed at once, as answers under way slow down.
	MaxPrefillDecrease, MaxPrefillIncrease float64
}

// DefaultSplitPolicy returns the defaults, without what is measured. Wait was chosen by
// runs of four mixes of prompts and answers, each with seven fixed splits
// (docs/measurements/platform.md); Gain, Evidence and Over so that swings of some
// ten seconds are left alone, which cost more than they bring (docs/NEW-CUSTOMER.md).
func DefaultSplitPolicy() SplitPolicy {
	return SplitPolicy{
		WaitWeight: 10, MinGain: 0.06, EvidenceThreshold: 2.2, SmoothingTime: 30 * time.Second,
		MaxPrefillDecrease: 0.16, MaxPrefillIncrease: 0.11,
	}
}

// TargetTracker moves a target with the use of the engines. The zero value has seen
// nothing.
type TargetTracker struct {
	// evidence is what has added up for a move, more the way that it would go.
	evidence float64
	more     bool
}

// near is by how many engines a split may differ from its target and tell
// something of it: one may just have come or gone.
const near = 1

// Update takes a look at engines that are used so, of which so many are in the
// prefill role, and stands for the time since the one before. It returns the
// follower after the look and the target. Engines that are on their way to the
// target tell nothing of it.
func (f TargetTracker) Update(b SplitPolicy, t Target, u Workload, prefill, total int, since time.Duration) (TargetTracker, Target) {
	wanted := t.PrefillCount(total)
	off := prefill - wanted
	if u.span < b.SmoothingTime || prefill == 0 || prefill == total || off > near || off < -near {
		return TargetTracker{}, t
	}
	best, gain := b.best(t, u, prefill, total)
	if more := best > wanted; more != f.more || gain < b.MinGain {
		f = TargetTracker{more: more}
	}
	f.evidence += max(0, gain-b.MinGain) * since.Seconds()
	if f.evidence < b.EvidenceThreshold {
		return f, t
	}
	return TargetTracker{}, t.with(best, total)
}

// best returns the number of engines in prefill, within a move's reach of the
// target, that has the fewest requests, and by what part they are fewer than with
// the target.
func (b SplitPolicy) best(t Target, u Workload, prefill, total int) (int, float64) {
	tokens := b.tokens(u, total-prefill)
	wanted := t.PrefillCount(total)
	now := b.requests(u, tokens, wanted, total)
	best, fewest := wanted, now
	least := max(1, wanted-b.steps(b.MaxPrefillDecrease, total))
	most := min(total-b.leastDecode(t, u), wanted+b.steps(b.MaxPrefillIncrease, total))
	for n := least; n <= most; n++ {
		if l := b.requests(u, tokens, n, total); l < fewest {
			best, fewest = n, l
		}
	}
	return best, 1 - fewest/max(now, 1) // fewer than one request is nothing to gain from
}

// leastDecode is the fewest engines left to generate that have slots for the
// requests which generate now.
func (b SplitPolicy) leastDecode(t Target, u Workload) int {
	if b.Slots == 0 {
		return t.MinDecode
	}
	return max(t.MinDecode, int(math.Ceil(u.Generations/float64(b.Slots))))
}

// steps is a part of the engines, rounded up.
func (b SplitPolicy) steps(part float64, total int) int { return int(math.Ceil(part * float64(total))) }

// tokens is the number of tokens a millisecond that the requests get on so many
// decode engines: what time the prompts there leave, over the time of a step.
func (b SplitPolicy) tokens(u Workload, decode int) float64 {
	batch := u.Generations / float64(decode)
	left := max(0, 1-u.DirectPrefillLoad/float64(decode))
	return u.Generations * left / (b.StepMillis + b.StepMillisPerRequest*batch)
}

// requests predicts the requests at a time with n of the engines in prefill: the
// prompts by the mean of a queue, the answers from the tokens that they are to
// get in the time that prompts leave the other engines.
func (b SplitPolicy) requests(u Workload, tokens float64, n, total int) float64 {
	decode := float64(total - n)
	prompts := u.PrefillLoad / float64(n)
	answers := (u.DirectPrefillLoad + b.StepMillisPerRequest*tokens) / decode
	return u.PrefillLoad + b.WaitWeight*u.PrefillLoad*(crowding(prompts)-1) + b.StepMillis*tokens*crowding(answers)
}

// nearlyFull is the part of an engine's time above which crowding goes on along
// its tangent, so that splits which all are too small can be compared.
const nearlyFull = 0.95

// crowding is how much longer things take on engines with so much of their time
// taken: 1 on idle ones.
func crowding(taken float64) float64 {
	if taken < nearlyFull {
		return 1 / (1 - taken)
	}
	const left = 1 - nearlyFull
	return 1/left + (taken-nearlyFull)/(left*left)
}
