package membudget

import (
	"cmp"
	"slices"
	"time"
)

// Abort is a response to abort.
type Abort struct {
	Holder *Holder
	// Bytes is what the holder held.
	Bytes int64
	// Age is the time since the last progress of its caller.
	Age time.Duration
	// Held is the sum before the abort.
	Held int64
	// Reason is a short text for logs.
	Reason string
}

// Pause is a response that is not read ahead of its caller.
type Pause struct {
	Holder *Holder
	// Bytes is what the holder holds.
	Bytes int64
	// Age is the time since the response was read last.
	Age time.Duration
	// Held is the sum.
	Held int64
}

// Decisions are the results of a Sweep.
type Decisions struct {
	// Aborts are the responses to abort, those without progress for the longest time first. What they hold is no
	// longer counted.
	Aborts []Abort
	// Pauses are the responses that have been paused for unreadAfter, each one reported once.
	Pauses []Pause
}

// Sweep counts the queues of callers that do not read, and decides which responses are aborted. It is to be called
// several times in AbortAfter.
func (l *Ledger) Sweep(now time.Duration) Decisions {
	stalled := l.countStalled(now)
	if l.settings.Bytes == 0 {
		return Decisions{}
	}
	bound := l.settings.Bytes
	aborts := l.abortFailed(stalled, now)
	aborts = append(aborts, l.abort(stalled, bound+bound/urgentPart, urgentAfter, now, "far over the bound")...)
	aborts = append(aborts, l.abort(stalled, bound, AbortAfter, now, "over the bound")...)
	if l.readerIsDenied(now) {
		aborts = append(aborts, l.abort(stalled, bound/readAheadPart, makeRoomAfter, now, "room for a caller that reads")...)
	}
	return Decisions{Aborts: aborts, Pauses: l.newPauses(now)}
}

// newPauses returns the paused responses that were not reported yet.
func (l *Ledger) newPauses(now time.Duration) []Pause {
	var pauses []Pause
	for h := range l.holders {
		if h.denied && !h.reported && !h.aborted && now-h.readAt >= unreadAfter {
			h.reported = true
			pauses = append(pauses, Pause{Holder: h, Bytes: l.total(h), Age: now - h.readAt, Held: l.held})
		}
	}
	return pauses
}

// countStalled counts the queues of the holders whose callers do not read, and returns these, the one without progress
// for the longest time first.
func (l *Ledger) countStalled(now time.Duration) []*Holder {
	var stalled []*Holder
	for h := range l.holders {
		if !h.writing || h.aborted || now-h.progressed < stalledAfter {
			continue
		}
		queued := l.settings.SendQueue
		if !h.received {
			queued += l.settings.ReceiveQueue
		}
		l.setQueued(h, queued)
		stalled = append(stalled, h)
	}
	slices.SortFunc(stalled, func(a, b *Holder) int {
		return cmp.Or(cmp.Compare(a.progressed, b.progressed), cmp.Compare(a.sequence, b.sequence))
	})
	return stalled
}

// readerIsDenied reports whether a response whose caller reads stays unread because reading ahead is denied.
func (l *Ledger) readerIsDenied(now time.Duration) bool {
	for h := range l.holders {
		unread := h.denied && now-h.readAt >= unreadAfter && h.buffered < l.settings.Bytes/holderPart
		if unread && !h.aborted && now-h.progressed < readsWithin {
			return true
		}
	}
	return false
}

// sparePart is the divisor of a bound for what is free after aborts. Otherwise the sum stays at the bound, and callers
// that read get answers whose heads are not buffered.
const sparePart = 8

// abort aborts holders, in the given order, that made no progress for the least age, if the sum exceeds the bound.
func (l *Ledger) abort(stalled []*Holder, bound int64, leastAge time.Duration, now time.Duration, reason string) []Abort {
	if l.held <= bound {
		return nil
	}
	var aborts []Abort
	for _, h := range stalled {
		if l.held <= bound-bound/sparePart || now-h.progressed < leastAge {
			break
		}
		if !h.aborted {
			aborts = append(aborts, l.abortOne(h, now, reason))
		}
	}
	return aborts
}

// abortFailed aborts the responses that cannot be completed and whose callers do not read what there is of them.
func (l *Ledger) abortFailed(stalled []*Holder, now time.Duration) []Abort {
	var aborts []Abort
	for _, h := range stalled {
		if h.failed && now-h.progressed >= AbortAfter {
			aborts = append(aborts, l.abortOne(h, now, "the upstream's response broke off"))
		}
	}
	return aborts
}

func (l *Ledger) abortOne(h *Holder, now time.Duration, reason string) Abort {
	a := Abort{Holder: h, Bytes: l.total(h), Age: now - h.progressed, Held: l.held, Reason: reason}
	l.held -= a.Bytes
	h.aborted = true
	return a
}
