// Package lease decides which process may give orders to a pool of engines. It
// is a pure state machine: its inputs are ticks and the outcomes of reads and
// writes of the lease's row, each with the time on the caller's monotonic
// clock. Its outputs are the actions that the caller must carry out, and the
// grant. Clocks of different processes are never compared.
//
// A holder counts its term from before it sent the renewal. A challenger waits
// a full term plus a margin from when a read first returned the row's
// revision. The holder's term has therefore ended on every clock before a
// challenger writes, as long as the difference between the clocks' rates adds
// up to less than the margin over a term.
//
// Reads may be stale, but the revision check of a write never is. A read
// proves only that the row had this content at some time, not that it still
// has. A write whose outcome is unknown stays in doubt until a read returns a
// newer revision than the one that the write checked, or until another write
// with the same check is committed.
//
// The table may be restored from an older copy (platform.RevisionOf). Its row
// may then be outdated, and a process that acquired the lease after the copy
// was made may still hold it. Only the process whose own term still runs may
// take the lease at once; all others wait a full term. The epochs of a restore
// generation are above all epochs of earlier generations, because the restored
// table no longer contains all epochs that were assigned.
package lease

import (
	"time"

	"sassafrasfield/internal/platform"
)

// epochsPerGeneration is the maximum number of takeovers within one restore
// generation.
const epochsPerGeneration = 1 << 20

// Row is the content of the lease's row in the table.
type Row struct {
	// Holder identifies one run of one process; empty when released.
	Holder string `json:"holder"`
	// Epoch increases with each takeover. It is the fencing number of orders.
	Epoch int64 `json:"epoch"`
	// WriteID identifies the write, so that a write whose reply was lost can be
	// recognized in a later read.
	WriteID string `json:"write_id"`
}

// Settings of a lease.
type Settings struct {
	// Term is how long a renewal is valid.
	Term time.Duration
	// RenewEvery is the time between renewals; well below Term.
	RenewEvery time.Duration
	// RetryEvery is the time between attempts after a failed one.
	RetryEvery time.Duration
	// Margin is how long a challenger waits in addition to Term.
	Margin time.Duration
}

// WatchPolicy is how closely a process watches the lease of a pool.
type WatchPolicy struct {
	// Watch is false for a process that neither reads nor takes over the lease.
	Watch bool
	// ReadEvery is the time between reads while another process holds the
	// lease.
	ReadEvery time.Duration
	// TakeoverDelay is an additional wait before a takeover, for a challenger
	// that is not the first choice for the pool.
	TakeoverDelay time.Duration
}

// Grant is the authority over a pool.
type Grant struct {
	Epoch int64
	// EpochRevision is the revision of the takeover's write. The pool's epoch
	// row keeps it until the next takeover.
	EpochRevision int64
	// Until is the end of the term, on the clock of Tick.
	Until time.Duration
	// Resumed reports that no other process has held the lease since this
	// process's last term.
	Resumed bool
	// First reports that no process has held the lease before.
	First bool
	// TableRestored reports that the table was restored from an older copy since
	// this process last held the lease: rows written in between may be lost.
	TableRestored bool
}

// ActionKind is the kind of an Action.
type ActionKind int

// Kinds of action.
const (
	// None means that there is nothing to do.
	None ActionKind = iota
	// Read means: read the row, then call OnRead or OnReadFailed.
	Read
	// Write means: write the row if it has Revision, then call OnWrite. A write
	// with NewEpoch must write the pool's epoch row in the same transaction.
	Write
)

// Action is what the caller must do next.
type Action struct {
	Kind     ActionKind
	Row      Row
	Revision int64
	// NewEpoch is true for a takeover.
	NewEpoch bool
}

// attempt is a write that was sent.
type attempt struct {
	row      Row
	newEpoch bool
	at       time.Duration
	// resumed is true if no other process has held the lease since this one
	// (canResume). first is true if the checked row did not exist. tableRestored
	// is true if it came from an older copy of the table. A takeover that takes
	// effect passes them on to its Grant.
	resumed, first, tableRestored bool
}

// Lease is the state machine for one pool. It is not safe for concurrent use.
type Lease struct {
	self     string
	settings Settings
	newID    func() string
	policy   WatchPolicy

	// callPending is true while a read or write is under way.
	callPending bool
	inFlight    attempt // the write under way, or the last one

	// row and revision are the newest known state; known is false before the
	// first read.
	row      Row
	revision int64
	known    bool
	// minRevision is the lowest revision that the row can have now; a read that
	// returns a lower one is stale.
	minRevision int64
	// revisionSeenAt is when a read or write first returned revision.
	// revisionConfirmed is true if a later read returned it again.
	revisionSeenAt    time.Duration
	revisionConfirmed bool
	lastReadAt        time.Duration
	// readSoon requests a read before any other action.
	readSoon  bool
	nextTryAt time.Duration

	// tableRestored is true if the row comes from an older copy of the table and
	// has not been written since.
	tableRestored bool
	// firstReadAt is when the row was first read.
	firstReadAt time.Duration
	// maxEpoch is the highest epoch seen.
	maxEpoch int64

	grant *Grant
	// heldUntil is the end of the newest grant that was not released.
	heldUntil time.Duration
	// lastTakeover is this process's newest takeover, and epochRevision its
	// revision. acquiredAt is when this process last took the lease over from
	// another one.
	lastTakeover  attempt
	epochRevision int64
	acquiredAt    time.Duration
	inDoubt       []attempt // writes with an unknown outcome; all checked revision
	// lastRenewalAt is when the newest write of the grant was sent.
	lastRenewalAt time.Duration
	releasing     bool
}

// New returns the state machine of a process that has not read the lease yet.
// The parameter self identifies this run of this process; newID returns a new
// unique write ID.
func New(self string, settings Settings, newID func() string) *Lease {
	return &Lease{self: self, settings: settings, newID: newID, readSoon: true}
}

// SetWatchPolicy sets how closely the lease is watched.
func (l *Lease) SetWatchPolicy(policy WatchPolicy) {
	l.policy = policy
}

// Held returns the grant if the lease is held at now and not being released.
func (l *Lease) Held(now time.Duration) (Grant, bool) {
	if l.grant == nil || l.releasing || now >= l.grant.Until {
		return Grant{}, false
	}
	return *l.grant, true
}

// Row returns the row as last read or written. It returns false before the
// first read.
func (l *Lease) Row() (Row, bool) {
	return l.row, l.known
}

// Release makes the next ticks release the lease. The caller must have no
// order under way: another process may take the lease as soon as the row is
// written.
func (l *Lease) Release() {
	l.releasing = true
}

// Released reports whether nothing is left to release.
func (l *Lease) Released() bool {
	return !l.callPending && len(l.inDoubt) == 0 && l.row.Holder != l.self
}

// ResumeWatching watches a released lease again.
func (l *Lease) ResumeWatching() {
	l.releasing = false
}

// RequestRead requests a read with the next tick, after a notification that the
// row has changed. The notification is only a hint: it changes no other state.
func (l *Lease) RequestRead() {
	l.readSoon = true
	l.nextTryAt = 0
}

// Tick returns the next action. At most one action is outstanding at a time.
func (l *Lease) Tick(now time.Duration) Action {
	if l.grant != nil && now >= l.grant.Until {
		l.grant = nil
	}
	if l.callPending || now < l.nextTryAt {
		return Action{}
	}
	action := l.nextAction(now)
	l.callPending = action.Kind != None
	return action
}

func (l *Lease) nextAction(now time.Duration) Action {
	switch {
	case l.readSoon && l.isInvolved():
		return Action{Kind: Read}
	case l.releasing:
		return l.releaseAction(now)
	case l.grant != nil:
		return l.renewAction(now)
	case l.mayTakeOver(now):
		return l.writeAction(now, Row{Holder: l.self, Epoch: l.nextEpoch()}, true)
	case l.readDue(now):
		return Action{Kind: Read}
	}
	return Action{}
}

// nextEpoch returns an epoch above all that were assigned.
func (l *Lease) nextEpoch() int64 {
	return max(l.maxEpoch, platform.RestoreGenerationOf(l.revision)*epochsPerGeneration) + 1
}

// isInvolved reports whether this process watches the lease, holds it, or has a
// write of it in doubt.
func (l *Lease) isInvolved() bool {
	return l.policy.Watch || l.grant != nil || len(l.inDoubt) > 0 || l.row.Holder == l.self
}

// releaseAction writes the row without a holder. It also writes when a write is
// in doubt, which resolves that write.
func (l *Lease) releaseAction(now time.Duration) Action {
	if l.row.Holder != l.self && len(l.inDoubt) == 0 {
		return Action{}
	}
	l.grant, l.heldUntil = nil, 0
	return l.writeAction(now, Row{Epoch: l.row.Epoch}, false)
}

// renewAction writes the row again when a renewal is due. A renewal in doubt is
// retried at once: the revision check decides which of the two takes effect.
func (l *Lease) renewAction(now time.Duration) Action {
	if len(l.inDoubt) == 0 && now-l.lastRenewalAt < l.settings.RenewEvery {
		return Action{}
	}
	return l.writeAction(now, Row{Holder: l.self, Epoch: l.grant.Epoch}, false)
}

// mayTakeOver reports whether the lease may be taken over now.
func (l *Lease) mayTakeOver(now time.Duration) bool {
	if !l.known || !l.policy.Watch {
		return len(l.inDoubt) > 0
	}
	// This process's own row whose term expired, and its own takeover in doubt,
	// need no wait: if the revision check succeeds, no other process has held
	// the lease since.
	if l.noOtherHolder(now) || len(l.inDoubt) > 0 {
		return true
	}
	takeoverAt := l.takeoverAt()
	return now >= takeoverAt && l.lastReadAt >= takeoverAt
}

// noOtherHolder reports whether no other process can have held the lease since
// this process held it.
func (l *Lease) noOtherHolder(now time.Duration) bool {
	if l.tableRestored {
		return now < l.heldUntil
	}
	return l.row.Holder == l.self
}

// canResume reports whether no other process has held the lease since, and no
// order of an earlier holder can still be under way. The second condition
// matters when the table is restored right after this process took the lease
// over.
func (l *Lease) canResume(now time.Duration) bool {
	return l.noOtherHolder(now) && (!l.tableRestored || now-l.acquiredAt >= l.settings.Term)
}

// takeoverAt returns when the lease may be taken over if its row is unchanged.
func (l *Lease) takeoverAt() time.Duration {
	if l.isFree() {
		return l.revisionSeenAt + l.policy.TakeoverDelay
	}
	return l.revisionSeenAt + l.settings.Term + l.settings.Margin + l.policy.TakeoverDelay
}

// isFree reports whether the lease was released or never held. After a restore of
// the table, the row may be free although another process still holds the lease.
// The row of a restore generation above 0 therefore counts as free only if this
// process first read the lease a full term before it saw this revision.
func (l *Lease) isFree() bool {
	if l.row.Holder != "" || l.tableRestored {
		return false
	}
	return platform.RestoreGenerationOf(l.revision) == 0 || l.revisionSeenAt-l.firstReadAt >= l.settings.Term
}

// readDue reports whether a read is due: every ReadEvery, and once more at the
// time when a row that looked unchanged may be taken over.
func (l *Lease) readDue(now time.Duration) bool {
	if !l.policy.Watch {
		return false
	}
	if now-l.lastReadAt >= l.policy.ReadEvery {
		return true
	}
	unchanged := l.revisionConfirmed || l.isFree()
	return unchanged && now >= l.takeoverAt() && l.lastReadAt < l.takeoverAt()
}

func (l *Lease) writeAction(now time.Duration, row Row, newEpoch bool) Action {
	row.WriteID = l.newID()
	l.inFlight = attempt{
		row: row, newEpoch: newEpoch, at: now, resumed: l.canResume(now), tableRestored: l.tableRestored,
		// An absent row in a later restore generation has a revision above 0: the
		// copy may lack a row that existed.
		first: l.revision == 0,
	}
	return Action{Kind: Write, Row: row, Revision: l.revision, NewEpoch: newEpoch}
}
