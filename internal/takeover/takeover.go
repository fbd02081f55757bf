// Package takeover decides which attempt of a caller runs a stream. A caller may take a stream up by another attempt while an
// earlier one still runs: the close of its first connection may arrive late, or never. A stream must run at one engine only,
// so the new attempt claims it, and the runs of the others end before its own begins.
//
// Its inputs are the attempts that an instance serves, and the claims of its own and of other instances. Its output is which
// attempts are superseded. The package has no clock, no I/O and no goroutine.
package takeover

import (
	"slices"

	"github.com/cespare/xxhash/v2"

	"sassafrasfield/internal/streamversions"
)

// Scope is a hash of what an attempt asks for and of who asks. An attempt supersedes only attempts of its own scope, whatever
// stream it names.
type Scope uint64

// ScopeOf returns the scope of the requests of an organisation for a content, which is identified by its hash.
func ScopeOf(organisation string, content uint64) Scope {
	hash := xxhash.New()
	_, _ = hash.WriteString(organisation) // never fails
	return Scope(hash.Sum64() ^ content)
}

// Claim is an attempt's claim to run a stream.
type Claim struct {
	// Stream is the stream, Attempt the attempt that claims it. They are equal for the attempt that begins a stream.
	Stream, Attempt streamversions.ID
	Scope           Scope
	// Epoch is 0 for an attempt that begins a stream, and 1 for a claim at first. A claim to a stream that an attempt runs which it
	// does not outrank is made again with a higher epoch than that of the attempt.
	Epoch uint32
	// LastEvent is the id of the last event that the caller has, as a number; 0 if it is none. Only its order counts.
	LastEvent int
}

// Holder is an attempt that an instance serves.
type Holder[T any] struct {
	Claim
	// Pending is set while the attempt waits for the runs of others to end, before its own begins.
	Pending bool
	// Forwarded is set if the attempt is served for another instance, at which its caller is.
	Forwarded bool
	// Value is what the owner of the registry needs to end the attempt.
	Value T
}

// concerns reports whether a claim is one to the holder's stream.
func (h *Holder[T]) concerns(c Claim) bool {
	switch {
	case h.Scope != c.Scope:
		return false
	case h.Attempt == c.Attempt && h.Forwarded:
		return false // the claim is that of the same attempt
	default:
		return h.Stream == c.Stream || h.Attempt == c.Stream
	}
}

// outranks reports whether a claim goes before another one. All instances decide the same, so the highest claim prevails, in whatever
// order the claims reach them: a late message of an attempt that gave way ends only attempts that would give way as well.
func (c Claim) outranks(other Claim) bool {
	switch {
	case c.Epoch != other.Epoch:
		return c.Epoch > other.Epoch
	case c.LastEvent != other.LastEvent:
		return c.LastEvent > other.LastEvent
	default:
		return c.Attempt > other.Attempt
	}
}

// Registry has the attempts that an instance serves. It is not safe for concurrent use.
type Registry[T any] struct {
	// byID has the holders by the ids of their stream and of their attempt.
	byID map[streamversions.ID][]*Holder[T]
}

// NewRegistry returns an empty registry.
func NewRegistry[T any]() *Registry[T] {
	return &Registry[T]{byID: map[streamversions.ID][]*Holder[T]{}}
}

// Add adds an attempt.
func (r *Registry[T]) Add(h *Holder[T]) {
	for _, id := range h.ids() {
		r.byID[id] = append(r.byID[id], h)
	}
}

// Remove removes an attempt.
func (r *Registry[T]) Remove(h *Holder[T]) {
	for _, id := range h.ids() {
		left := slices.DeleteFunc(r.byID[id], func(other *Holder[T]) bool { return other == h })
		r.byID[id] = left
		if len(left) == 0 {
			delete(r.byID, id)
		}
	}
}

func (c Claim) ids() []streamversions.ID {
	if c.Stream == c.Attempt {
		return []streamversions.ID{c.Stream}
	}
	return []streamversions.ID{c.Stream, c.Attempt}
}

// Contest returns the attempts that give way to a claim, other than that of the claim itself, which is nil for a claim of another
// instance. The result says which do not.
func (r *Registry[T]) Contest(c Claim, own *Holder[T]) (superseded []*Holder[T], result Result) {
	for _, h := range r.byID[c.Stream] {
		switch {
		case h == own || !h.concerns(c):
		case c.outranks(h.Claim):
			superseded = append(superseded, h)
		case h.Pending:
			result.Outranked = true
		default:
			result.RunningEpoch = max(result.RunningEpoch, h.Epoch)
		}
	}
	result.Superseded = len(superseded)
	return superseded, result
}

// Len returns the number of ids that are known.
func (r *Registry[T]) Len() int { return len(r.byID) }

// Result is what came of a claim.
type Result struct {
	// Outranked is set if another attempt that waits goes before the claim. The claim is given up then.
	Outranked bool
	// RunningEpoch is the highest epoch of the attempts that run and do not give way to the claim; 0 if there are none. The
	// claim is made again with a higher epoch then.
	RunningEpoch uint32
	// Superseded is the number of attempts that gave way to the claim, Running that of those whose runs have not ended yet.
	Superseded, Running int
	// Unanswered is the number of instances, or zones, that did not answer.
	Unanswered int
}

// Merge adds the result at other instances.
func (r Result) Merge(other Result) Result {
	return Result{
		Outranked: r.Outranked || other.Outranked, RunningEpoch: max(r.RunningEpoch, other.RunningEpoch),
		Superseded: r.Superseded + other.Superseded, Running: r.Running + other.Running, Unanswered: r.Unanswered + other.Unanswered,
	}
}

// IsContested reports whether the claim was given up, or is to be made again with a higher epoch.
func (r Result) IsContested() bool { return r.Outranked || r.RunningEpoch > 0 }
