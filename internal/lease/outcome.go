package lease

import (
	"time"

	"sassafrasfield/internal/platform"
)

// Outcome of a write.
type Outcome int

// Outcomes of a write.
const (
	// Committed writes took effect.
	Committed Outcome = iota
	// Conflicted writes did not: the row has another revision.
	Conflicted
	// Unavailable writes did not: the table did not take the call.
	Unavailable
	// Unknown writes may have taken effect, or may yet.
	Unknown
)

// maxDoubts bounds the writes in doubt that are remembered. The row of one that
// was forgotten is taken over anew, with a new epoch.
const maxDoubts = 32

// OnRead takes the row that a read returned at now. Revision is 0 when there is
// no row.
func (l *Lease) OnRead(now time.Duration, row Row, revision int64) {
	l.busy = false
	if revision < l.floor {
		l.nextTry = now + l.settings.RetryEvery
		return
	}
	l.readSoon = false
	l.lastRead = now
	if l.known && platform.EraOf(revision) > platform.EraOf(l.revision) {
		defer l.goneBack()
	}
	if l.known && revision == l.revision {
		// That a write in doubt is not seen proves nothing: the read may be
		// stale and the write may yet arrive. Tick tries it again.
		l.repeated = true
		return
	}
	l.adopt(now, row, revision)
	l.settle(revision)
}

// adopt takes a row as the newest state.
func (l *Lease) adopt(now time.Duration, row Row, revision int64) {
	if !l.known {
		l.firstRead = now
	}
	l.row, l.revision, l.known = row, revision, true
	l.floor = revision
	l.since, l.repeated, l.returned = now, false, false
	l.topEpoch = max(l.topEpoch, row.Epoch)
}

// goneBack notes that the row is that of an older copy. The lease is taken anew, as
// the epoch's row may be lost.
func (l *Lease) goneBack() { l.returned, l.grant = true, nil }

// settle decides the writes in doubt by a row with a newer revision than they
// checked: one of them wrote it, or none takes effect any more.
func (l *Lease) settle(revision int64) {
	doubts := l.doubts
	l.doubts = nil
	for _, doubt := range doubts {
		if doubt.row.WriteID == l.row.WriteID {
			l.accept(doubt, revision)
			return
		}
	}
	if l.row.Holder != l.self {
		l.grant = nil
	}
}

// accept makes a write that took effect the state of the lease. The term
// counts from before the write was sent.
func (l *Lease) accept(a attempt, revision int64) {
	if a.row.Holder != l.self {
		l.grant = nil
		return
	}
	if a.newEpoch {
		l.epochRevision, l.takeover = revision, a
		if !a.resumed {
			l.takenAt = a.at
		}
	}
	l.lastRenewal, l.heldUntil = a.at, a.at+l.settings.Term
	l.grant = &Grant{
		Epoch: a.row.Epoch, EpochRevision: l.epochRevision, Until: l.heldUntil,
		Resumed: l.takeover.resumed, First: l.takeover.first, TableRestored: l.takeover.returned,
	}
}

// OnReadFailed takes a read that gave nothing.
func (l *Lease) OnReadFailed(now time.Duration) {
	l.busy = false
	l.nextTry = now + l.settings.RetryEvery
}

// OnWrite takes the outcome of a write that ended at now; revision is the
// row's new one when it was committed.
func (l *Lease) OnWrite(now time.Duration, outcome Outcome, revision int64) {
	l.busy = false
	switch outcome {
	case Committed:
		l.doubts = nil
		l.readSoon = false
		l.lastRead = now
		l.adopt(now, l.sent.row, revision)
		l.accept(l.sent, revision)
	case Conflicted:
		l.conflicted()
	case Unavailable:
		l.nextTry = now + l.settings.RetryEvery
	case Unknown:
		l.doubt(now)
	}
}

// conflicted notes that the row has a newer revision than was checked: by a
// write in doubt or by another process.
func (l *Lease) conflicted() {
	l.floor = l.revision + 1
	l.readSoon = true
	if len(l.doubts) == 0 {
		l.grant = nil
	}
}

// doubt keeps the write until it is settled, and has the row read.
func (l *Lease) doubt(now time.Duration) {
	if len(l.doubts) > 0 {
		l.nextTry = now + l.settings.RetryEvery
	}
	l.doubts = append(l.doubts, l.sent)
	if len(l.doubts) > maxDoubts {
		l.doubts = l.doubts[1:]
	}
	l.readSoon = true
}
