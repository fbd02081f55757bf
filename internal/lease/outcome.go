package lease

import (
	"time"

	"sassafrasfield/internal/platform"
)

// Outcome is the outcome of a write.
type Outcome int

// Outcomes of a write.
const (
	// Committed means that the write took effect.
	Committed Outcome = iota
	// Conflicted means that it did not: the row has another revision.
	Conflicted
	// Unavailable means that it did not: the table did not accept the call.
	Unavailable
	// Unknown means that the write may have taken effect, or may still do so.
	Unknown
)

// maxInDoubt bounds the number of writes in doubt that are remembered. If a
// forgotten write took effect, its row is taken over again with a new epoch.
const maxInDoubt = 32

// OnRead processes the row that a read returned at now. If there is no row, the
// counter of the revision is 0.
func (l *Lease) OnRead(now time.Duration, row Row, revision int64) {
	l.callPending = false
	if revision < l.minRevision {
		l.nextTryAt = now + l.settings.RetryEvery
		return
	}
	l.readSoon = false
	l.lastReadAt = now
	if l.known && platform.RestoreGenerationOf(revision) > platform.RestoreGenerationOf(l.revision) {
		defer l.markRestored()
	}
	if l.known && revision == l.revision {
		// The absence of a write in doubt proves nothing: the read may be stale,
		// and the write may still arrive. Tick writes again.
		l.revisionConfirmed = true
		return
	}
	l.setRow(now, row, revision)
	l.resolveInDoubt(revision)
}

// setRow makes a row and its revision the newest known state.
func (l *Lease) setRow(now time.Duration, row Row, revision int64) {
	if !l.known {
		l.firstReadAt = now
	}
	l.row, l.revision, l.known = row, revision, true
	l.minRevision = revision
	l.revisionSeenAt, l.revisionConfirmed, l.tableRestored = now, false, false
	l.maxEpoch = max(l.maxEpoch, row.Epoch)
}

// markRestored records that the row comes from an older copy of the table. It
// drops the grant, so that the lease is taken over again: the epoch row may be
// missing after the restore.
func (l *Lease) markRestored() { l.tableRestored, l.grant = true, nil }

// resolveInDoubt resolves the writes in doubt after a read of a newer revision
// than they checked: either one of them wrote the row, or none can take effect
// any more.
func (l *Lease) resolveInDoubt(revision int64) {
	inDoubt := l.inDoubt
	l.inDoubt = nil
	for _, write := range inDoubt {
		if write.row.WriteID == l.row.WriteID {
			l.applyWrite(write, revision)
			return
		}
	}
	if l.row.Holder != l.self {
		l.grant = nil
	}
}

// applyWrite updates the grant after a write that took effect. The term counts
// from before the write was sent.
func (l *Lease) applyWrite(a attempt, revision int64) {
	if a.row.Holder != l.self {
		l.grant = nil
		return
	}
	if a.newEpoch {
		l.epochRevision, l.lastTakeover = revision, a
		if !a.resumed {
			l.acquiredAt = a.at
		}
	}
	l.lastRenewalAt, l.heldUntil = a.at, a.at+l.settings.Term
	l.grant = &Grant{
		Epoch: a.row.Epoch, EpochRevision: l.epochRevision, Until: l.heldUntil,
		Resumed: l.lastTakeover.resumed, First: l.lastTakeover.first, TableRestored: l.lastTakeover.tableRestored,
	}
}

// OnReadFailed processes a read that failed at now.
func (l *Lease) OnReadFailed(now time.Duration) {
	l.callPending = false
	l.nextTryAt = now + l.settings.RetryEvery
}

// OnWrite processes the outcome of a write that ended at now; revision is the
// row's new revision if the write was committed.
func (l *Lease) OnWrite(now time.Duration, outcome Outcome, revision int64) {
	l.callPending = false
	switch outcome {
	case Committed:
		l.inDoubt = nil
		l.readSoon = false
		l.lastReadAt = now
		l.setRow(now, l.inFlight.row, revision)
		l.applyWrite(l.inFlight, revision)
	case Conflicted:
		l.onConflict()
	case Unavailable:
		l.nextTryAt = now + l.settings.RetryEvery
	case Unknown:
		l.addInDoubt(now)
	}
}

// onConflict records that the row has a newer revision than the write checked,
// written by a write in doubt or by another process.
func (l *Lease) onConflict() {
	l.minRevision = l.revision + 1
	l.readSoon = true
	if len(l.inDoubt) == 0 {
		l.grant = nil
	}
}

// addInDoubt keeps the write until it is resolved, and requests a read.
func (l *Lease) addInDoubt(now time.Duration) {
	if len(l.inDoubt) > 0 {
		l.nextTryAt = now + l.settings.RetryEvery
	}
	l.inDoubt = append(l.inDoubt, l.inFlight)
	if len(l.inDoubt) > maxInDoubt {
		l.inDoubt = l.inDoubt[1:]
	}
	l.readSoon = true
}
