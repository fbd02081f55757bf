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
package lease

import "time"

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
	// ReadEvery is the time between reads by those who do not hold it.
	ReadEvery time.Duration
	// Margin that a challenger waits beyond Term.
	Margin time.Duration
	// TakeDelay is a further wait of a challenger that is not the first choice
	// for the pool, on a lease that is free.
	TakeDelay time.Duration
}

// Outcome of a write.
type Outcome int

// Outcomes of a write.
const (
	// Committed writes took effect.
	Committed Outcome = iota
	// Refused writes did not: a check failed or the table did not take them.
	Refused
	// Unknown writes may have taken effect.
	Unknown
)

// ActionKind tells what to do.
type ActionKind int

// Kinds of action.
const (
	// None: nothing to do.
	None ActionKind = iota
	// Read the row, then call OnRead.
	Read
	// Write the row if it has Revision, then call OnWrite. A write that raises
	// the epoch must write the pool's epoch row in the same transaction.
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

// Lease is the state for one pool. It is not safe for concurrent use.
type Lease struct {
	self     string
	settings Settings
	newID    func() string

	busy     bool
	row      Row
	revision int64
	seen     bool          // a read has returned
	since    time.Duration // when a read first returned revision
	lastRead time.Duration

	held       bool
	epoch      int64
	validUntil time.Duration
	lastWrite  time.Duration

	pending   *Row // a write whose outcome is not known
	pendingAt time.Duration
	releasing bool
}

// New returns the state of a process that knows nothing of the lease. Self
// names this run of this process. NewID returns a fresh write id.
func New(self string, settings Settings, newID func() string) *Lease {
	return &Lease{self: self, settings: settings, newID: newID, lastRead: -settings.ReadEvery}
}

// Held returns the epoch when the lease is held at now.
func (l *Lease) Held(now time.Duration) (epoch int64, held bool) {
	if !l.held || now >= l.validUntil {
		return 0, false
	}
	return l.epoch, true
}

// ValidUntil returns the end of the term while the lease is held.
func (l *Lease) ValidUntil() time.Duration {
	return l.validUntil
}

// Row returns the row as last read or written, for display.
func (l *Lease) Row() Row {
	return l.row
}

// Release makes the next ticks give the lease up.
func (l *Lease) Release() {
	l.releasing = true
}

// Tick returns the next action. There is at most one outstanding.
func (l *Lease) Tick(now time.Duration) Action {
	if l.busy {
		return Action{}
	}
	if l.held && now >= l.validUntil {
		l.held = false
	}
	action := l.next(now)
	l.busy = action.Kind != None
	return action
}

func (l *Lease) next(now time.Duration) Action {
	if l.pending != nil {
		return l.read(now)
	}
	if l.held {
		return l.renew(now)
	}
	if l.releasing {
		return Action{}
	}
	if l.seen && l.free(now) {
		return l.write(now, Row{Holder: l.self, Epoch: l.row.Epoch + 1}, true)
	}
	if now-l.lastRead >= l.settings.ReadEvery {
		return l.read(now)
	}
	return Action{}
}

// free tells whether the row may be taken over.
func (l *Lease) free(now time.Duration) bool {
	if l.row.Holder == "" {
		return now-l.since >= l.settings.TakeDelay
	}
	return now-l.since >= l.settings.Term+l.settings.Margin+l.settings.TakeDelay
}

func (l *Lease) renew(now time.Duration) Action {
	if l.releasing {
		l.held = false
		return l.write(now, Row{Epoch: l.epoch}, false)
	}
	if now-l.lastWrite < l.settings.RenewEvery {
		return Action{}
	}
	return l.write(now, Row{Holder: l.self, Epoch: l.epoch}, false)
}

func (l *Lease) write(now time.Duration, row Row, newEpoch bool) Action {
	row.WriteID = l.newID()
	l.pending = &row
	l.pendingAt = now
	l.lastWrite = now
	return Action{Kind: Write, Row: row, Revision: l.revision, NewEpoch: newEpoch}
}

func (l *Lease) read(now time.Duration) Action {
	l.lastRead = now
	return Action{Kind: Read}
}

// OnRead takes the outcome of a read that ended at now. Revision is 0 when
// there is no row. Call OnReadFailed when the read gave nothing.
func (l *Lease) OnRead(now time.Duration, row Row, revision int64) {
	l.busy = false
	if !l.seen || revision != l.revision {
		l.since = now
	}
	l.seen = true
	l.row, l.revision = row, revision
	l.settle(row)
}

// settle decides a pending write by the row that was read.
func (l *Lease) settle(row Row) {
	if l.pending == nil {
		if row.Holder != l.self {
			l.held = false
		}
		return
	}
	if row.WriteID == l.pending.WriteID {
		l.accept()
		return
	}
	// The write did not take effect, or was overwritten. A late arrival fails
	// its check, unless the row is unchanged: then the next write, which has
	// the same check, decides which of the two takes effect.
	l.pending = nil
	if row.Holder != l.self {
		l.held = false
	}
}

// accept makes the pending write the state of the lease.
func (l *Lease) accept() {
	l.held = l.pending.Holder == l.self
	l.epoch = l.pending.Epoch
	l.validUntil = l.pendingAt + l.settings.Term
	l.pending = nil
}

// OnReadFailed takes a read that gave nothing.
func (l *Lease) OnReadFailed() {
	l.busy = false
}

// OnWrite takes the outcome of a write that ended at now; revision is the
// row's new one when it was committed.
func (l *Lease) OnWrite(now time.Duration, outcome Outcome, revision int64) {
	l.busy = false
	if l.pending == nil {
		return
	}
	switch outcome {
	case Committed:
		l.row, l.revision, l.since = *l.pending, revision, now
		l.accept()
	case Refused:
		l.pending = nil
		l.lastRead = now - l.settings.ReadEvery
		l.seen = false
	case Unknown:
		// Tick reads the row back.
	}
}
