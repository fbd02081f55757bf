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
	// LastEvent is the number of the last event that the caller has.
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

// outranks reports whether a claim goes before another one, of two that are made at the same time: the one whose caller has
// more events. Both instances decide the same.
func (c Claim) outranks(other Claim) bool {
	if c.LastEvent != other.LastEvent {
		return c.LastEvent > other.LastEvent
	}
	return c.Attempt > other.Attempt
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

// Contest returns the attempts that a claim supersedes, other than that of the claim itself, which is nil for a claim of
// another instance. Outranked is set if an attempt that waits here goes before it; it supersedes none then.
func (r *Registry[T]) Contest(c Claim, own *Holder[T]) (superseded []*Holder[T], outranked bool) {
	for _, h := range r.byID[c.Stream] {
		if h == own || !h.concerns(c) {
			continue
		}
		if h.Pending && h.outranks(c) {
			return nil, true
		}
		superseded = append(superseded, h)
	}
	return superseded, false
}

// Len returns the number of ids that are known.
func (r *Registry[T]) Len() int { return len(r.byID) }
