package relay

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"sassafrasfield/internal/pause"
	"sassafrasfield/internal/upstreamstate"
)

// endSettleTime is how long after the end of an unframed answer the other connections of its upstream are looked at: by
// then the ends that have the same cause were read.
const endSettleTime = 50 * time.Millisecond

// endEvidence is what is known of the end of an unframed answer's connection.
type endEvidence struct {
	// answered: the upstream's process answered a request that was sent after the end.
	answered bool
	// otherOpen: another connection to the process is still open.
	otherOpen bool
	// endedTogether: several other connections to the process ended at the same time.
	endedTogether bool
	// early: the upstream was known to leave, and would have served for longer if it had not ended otherwise.
	early bool
	// removed: the upstream was known to leave, and its entry is gone. That of a crashed upstream stays until it expires.
	removed bool
	// unknowable: the upstream was known to leave, and changes of its entry do not arrive here.
	unknowable bool
}

// endVerdict says how an unframed answer ended.
type endVerdict int

const (
	// endUnknown: nothing shows that the process itself closed the connection.
	endUnknown endVerdict = iota
	// endRegular: the process closed the connection after its answer.
	endRegular
	// endLikelyRegular: the process has ended when it may have been done. Nothing tells whether it was killed then.
	endLikelyRegular
	// endOfProcess: the process ended before its answers did.
	endOfProcess
)

// verdict decides how the answer ended. A process that leaves may refuse new connections while it finishes its answers, and
// exit with the last one, but not sooner than it promised to serve.
func (e endEvidence) verdict() endVerdict {
	switch {
	case e.answered, e.otherOpen:
		return endRegular
	case e.endedTogether, e.early:
		return endOfProcess
	case e.removed, e.unknowable:
		return endLikelyRegular
	default:
		return endUnknown
	}
}

// isWhole reports whether the answer is taken for whole. One that can be asked for again, or for its rest, is not if its end is
// merely likely to be its regular one: that costs a retry. Any other one would be lost.
func (v endVerdict) isWhole(repeatable bool) bool {
	return v == endRegular || v == endLikelyRegular && !repeatable
}

// SetEntriesCurrent sets the check whether changes of the upstreams' entries arrive at this instance. It is called with no lock
// held, as it may wait while entries are applied. Call SetEntriesCurrent before the relay is used.
func (r *Relay) SetEntriesCurrent(current func() bool) { r.entriesCurrent = current }

// leaves reports whether an upstream is known to leave: it is draining, or its entry was removed.
func (r *Relay) leaves(to upstreamstate.Upstream) bool {
	return r.isRemoved(to) || r.upstreams.IsDraining(to)
}

func (r *Relay) isRemoved(to upstreamstate.Upstream) bool {
	return r.upstreams.Upstream(to.ID).Incarnation() != to.Incarnation()
}

// noteDeparture records whether an upstream announces by its newest entry that it leaves. Call it before the entry is applied.
func (r *Relay) noteDeparture(u upstreamstate.Upstream) {
	appears := r.upstreams.Upstream(u.ID).Incarnation() != u.Incarnation()
	switch now := r.now(); {
	case u.Draining:
		r.departures.note(u.Incarnation(), departure{at: now, earlier: appears}, now)
	case appears: // its entry may have expired while the store was away
		r.departures.revoke(u.Incarnation())
	}
}

// servesOn reports whether an upstream that is known to leave would still have served at a time.
func (r *Relay) servesOn(to upstreamstate.Upstream, at time.Duration) bool {
	lasted, known := r.departures.lasted(to.Incarnation(), at)
	return known && lasted < r.settings.ServesAfterLeaving
}

// awaitEvidence collects evidence on the end, at the time at, of an unframed answer of an upstream that takes no requests.
// If the upstream was known to leave, it waits until the evidence suffices for a verdict or the context ends.
func (r *Relay) awaitEvidence(ctx context.Context, to upstreamstate.Upstream, leaving bool, at time.Duration) endEvidence {
	pause.For(ctx, endSettleTime-(r.now()-at))
	for {
		evidence := endEvidence{
			otherOpen:     r.answers.isAnyOpen(to.Incarnation(), r.now()),
			endedTogether: r.answers.endedTogether(to.Incarnation(), at),
			early:         r.servesOn(to, at),
			removed:       leaving && r.isRemoved(to),
			unknowable:    leaving && r.entriesCurrent != nil && !r.entriesCurrent(),
		}
		if !leaving || evidence.verdict() != endUnknown || !pause.For(ctx, endCheckInterval) {
			return evidence
		}
	}
}

// recordConnectionEnd records a send whose connection ended before its answer began.
func (r *Relay) recordConnectionEnd(ctx context.Context, to upstreamstate.Upstream, err error) {
	if errors.Is(err, ErrCutOff) && ctx.Err() == nil {
		r.answers.recordCutOff(to.Incarnation(), r.now())
	}
}
