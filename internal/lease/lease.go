// Package lease decides who may give orders to a pool of engines. It is a pure
// state machine: the caller feeds it ticks and the outcomes of reads and
// writes, each with the time on its own monotonic clock, and carries out the
// actions it returns. No clock is compared with another process's.
//
// A holder counts its term from before it sent the renewal. A challenger waits
// a whole term, and a margin, from when a read first returned the row's
// revision. So a holder's term has ended on each clock before a challenger
// writes, as long as the clocks run at rates that differ by less than the
// margin.
//
// Reads may be stale; the checks of a write are not. A read proves what the
// row once was, never what it is not. A write whose outcome is unknown stays
// in doubt until a read returns a newer revision than the one it checked, or
// another write with the same check is committed.
//
// A table may come back from an older copy (platform.RevisionOf). Its row is
// then one of before, and whoever had the lease since may have it still: only
// the process whose own term runs may take it at once, all others wait a whole
// term. Epochs of an era are above all of those before it, as the table no
// longer knows which ones were given out.
package lease

import (
	"time"

	"sassafrasfield/internal/platform"
)

// eraEpochs is how many takeovers an era may have.
const eraEpochs = 1 << 20

// Row is the lease as it stands in the table.
type Row struct {
	// Holder names one run of one process; empty when released.
	Holder string `json:"holder"`
	// Epoch rises with each takeover. It is the fencing number of orders.
	Epoch int64 `json:"epoch"`
	// WriteID names the write, so that one whose reply was lost can be told.
	WriteID string `json:"write_id"`
}

// Settings of a lease.
type Settings struct {
	// Term that a renewal is good for.
	Term time.Duration
	// RenewEvery is the time between renewals; well below Term.
	RenewEvery time.Duration
	// RetryEvery is the time between attempts after one that gave nothing.
	RetryEvery time.Duration
	// Margin that a challenger waits beyond Term.
	Margin time.Duration
}

// WatchPolicy is how closely a process watches the lease of a pool.
type WatchPolicy struct {
	// Watch is false for a process that leaves the lease alone.
	Watch bool
	// ReadEvery is the time between reads while another holds the lease.
	ReadEvery time.Duration
	// TakeoverDelay is a further wait of a challenger that is not the first choice
	// for the pool.
	TakeoverDelay time.Duration
}

// Grant is the authority over a pool.
type Grant struct {
	Epoch int64
	// EpochRevision is the revision of the takeover's write. The pool's epoch
	// row has it until the next takeover.
	EpochRevision int64
	// Until is the end of the term, on the clock of Tick.
	Until time.Duration
	// Resumed tells that no other process had the lease since this one's last term.
	Resumed bool
	// First tells that no process had it before.
	First bool
	// TableRestored tells that the table came back from an older copy since this process
	// had the lease last: rows that were written since may be lost.
	TableRestored bool
}

// ActionKind tells what to do.
type ActionKind int

// Kinds of action.
const (
	// None: nothing to do.
	None ActionKind = iota
	// Read the row, then call OnRead or OnReadFailed.
	Read
	// Write the row if it has Revision, then call OnWrite. A write with
	// NewEpoch must write the pool's epoch row in the same transaction.
	Write
)

// Action is what the caller has to do next.
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
	// resumed: the row that it checked is this process's own. first: there was none.
	// returned: it was that of an older copy.
	resumed, first, returned bool
}

// Lease is the state for one pool. It is not safe for concurrent use.
type Lease struct {
	self     string
	settings Settings
	newID    func() string
	place    WatchPolicy

	busy bool
	sent attempt // the write under way

	// row, revision are the newest state known; known is false before the
	// first read.
	row      Row
	revision int64
	known    bool
	// floor is the lowest revision that the row can have now; a read below it
	// is stale.
	floor int64
	// since is when a read or write first returned revision, repeated whether
	// a later read returned it again.
	since    time.Duration
	repeated bool
	lastRead time.Duration
	// readSoon asks for a read before anything else.
	readSoon bool
	nextTry  time.Duration

	// returned: the row is that of an older copy, and nobody has written it since.
	returned bool
	// firstRead is when the row was first read.
	firstRead time.Duration
	// topEpoch is the highest one that was seen.
	topEpoch int64

	grant *Grant
	// heldUntil is the end of the newest grant that was not given up.
	heldUntil time.Duration
	// takeover is the own newest one, epochRevision its revision, and takenAt when this
	// process took the lease from another one.
	takeover      attempt
	epochRevision int64
	takenAt       time.Duration
	doubts        []attempt // with an unknown outcome; all checked revision
	// lastRenewal is when the newest write of the grant was sent.
	lastRenewal time.Duration
	releasing   bool
}

// New returns the state of a process that knows nothing of the lease. Self
// names this run of this process. NewID returns a fresh write id.
func New(self string, settings Settings, newID func() string) *Lease {
	return &Lease{self: self, settings: settings, newID: newID, readSoon: true}
}

// SetWatchPolicy sets how closely the lease is watched.
func (l *Lease) SetWatchPolicy(place WatchPolicy) {
	l.place = place
}

// Held returns the grant if the lease is held at now and not being released.
func (l *Lease) Held(now time.Duration) (Grant, bool) {
	if l.grant == nil || l.releasing || now >= l.grant.Until {
		return Grant{}, false
	}
	return *l.grant, true
}

// Row returns the row as last read or written, and whether there was one.
func (l *Lease) Row() (Row, bool) {
	return l.row, l.known
}

// Release gives the lease up with the next ticks. No order may be under way:
// another process may take the lease as soon as the row is written.
func (l *Lease) Release() {
	l.releasing = true
}

// Released tells that nothing is left to give up.
func (l *Lease) Released() bool {
	return !l.busy && len(l.doubts) == 0 && l.row.Holder != l.self
}

// ResumeWatching makes a released lease one to watch again.
func (l *Lease) ResumeWatching() {
	l.releasing = false
}

// RequestRead asks for a read with the next tick, when word came that the row has
// changed. It proves nothing.
func (l *Lease) RequestRead() {
	l.readSoon = true
	l.nextTry = 0
}

// Tick returns the next action. There is at most one outstanding.
func (l *Lease) Tick(now time.Duration) Action {
	if l.grant != nil && now >= l.grant.Until {
		l.grant = nil
	}
	if l.busy || now < l.nextTry {
		return Action{}
	}
	action := l.next(now)
	l.busy = action.Kind != None
	return action
}

func (l *Lease) next(now time.Duration) Action {
	switch {
	case l.readSoon && l.concerned():
		return Action{Kind: Read}
	case l.releasing:
		return l.release(now)
	case l.grant != nil:
		return l.renew(now)
	case l.ready(now):
		return l.write(now, Row{Holder: l.self, Epoch: l.nextEpoch()}, true)
	case l.readDue(now):
		return Action{Kind: Read}
	}
	return Action{}
}

// nextEpoch is above all that were given out.
func (l *Lease) nextEpoch() int64 {
	return max(l.topEpoch, platform.EraOf(l.revision)*eraEpochs) + 1
}

// concerned tells whether the row matters to this process at all.
func (l *Lease) concerned() bool {
	return l.place.Watch || l.grant != nil || len(l.doubts) > 0 || l.row.Holder == l.self
}

// release writes the row without a holder, also to settle writes in doubt.
func (l *Lease) release(now time.Duration) Action {
	if l.row.Holder != l.self && len(l.doubts) == 0 {
		return Action{}
	}
	l.grant, l.heldUntil = nil, 0
	return l.write(now, Row{Epoch: l.row.Epoch}, false)
}

// renew writes the row again when that is due. A renewal in doubt is tried
// again at once: the check decides which of the two takes effect.
func (l *Lease) renew(now time.Duration) Action {
	if len(l.doubts) == 0 && now-l.lastRenewal < l.settings.RenewEvery {
		return Action{}
	}
	return l.write(now, Row{Holder: l.self, Epoch: l.grant.Epoch}, false)
}

// ready tells whether the row may be taken over now.
func (l *Lease) ready(now time.Duration) bool {
	if !l.known || !l.place.Watch {
		return len(l.doubts) > 0
	}
	// The own row whose term lapsed, and the own takeover in doubt, need no
	// wait: nobody else has had the lease if the check holds.
	if l.undisputed(now) || len(l.doubts) > 0 {
		return true
	}
	ripe := l.ripeAt()
	return now >= ripe && l.lastRead >= ripe
}

// undisputed tells that nobody else can have had the lease since this process had it.
func (l *Lease) undisputed(now time.Duration) bool {
	if l.returned {
		return now < l.heldUntil
	}
	return l.row.Holder == l.self
}

// resumes tells that nobody else had it since, and that the orders of an earlier
// holder are over: the table may come back right after this process took it.
func (l *Lease) resumes(now time.Duration) bool {
	return l.undisputed(now) && (!l.returned || now-l.takenAt >= l.settings.Term)
}

// ripeAt is when the row may be taken over if it still stands.
func (l *Lease) ripeAt() time.Duration {
	if l.free() {
		return l.since + l.place.TakeoverDelay
	}
	return l.since + l.settings.Term + l.settings.Margin + l.place.TakeoverDelay
}

// free tells that the row was given up, or never there. After a return of the table
// it may only look so to a process that did not know it before.
func (l *Lease) free() bool {
	if l.row.Holder != "" || l.returned {
		return false
	}
	return platform.EraOf(l.revision) == 0 || l.since-l.firstRead >= l.settings.Term
}

// readDue tells whether a read is due: now and then, and once more right when
// a row that looked unchanged may be taken over.
func (l *Lease) readDue(now time.Duration) bool {
	if !l.place.Watch {
		return false
	}
	if now-l.lastRead >= l.place.ReadEvery {
		return true
	}
	last := l.repeated || l.free()
	return last && now >= l.ripeAt() && l.lastRead < l.ripeAt()
}

func (l *Lease) write(now time.Duration, row Row, newEpoch bool) Action {
	row.WriteID = l.newID()
	l.sent = attempt{
		row: row, newEpoch: newEpoch, at: now, resumed: l.resumes(now), returned: l.returned,
		first: l.revision == 0, // of no era, as a copy may lack a row that was there
	}
	return Action{Kind: Write, Row: row, Revision: l.revision, NewEpoch: newEpoch}
}
