// Package membudget accounts for the memory that an instance holds for its callers: buffers of responses, bodies of
// requests, the queues of their connections in the kernel, and a fixed amount for each exchange. It decides what may be
// added, and whose response is aborted when the sum exceeds the bound.
//
// Inputs are the sizes, the begin and end of each write to a caller, and the time. Outputs are verdicts on
// reservations and the responses to abort. A Ledger has no clock, does no I/O and is not safe for concurrent use.
//
// A caller that reads is never refused the buffer that its response passes through. What it may lose while the bound
// is reached is only reading ahead of it.
package membudget

import "time"

// Settings of a Ledger. All sizes are in bytes.
type Settings struct {
	// Bytes is the bound on the sum; 0 means none. The sum is kept in any case.
	//
	// Without a bound nothing is read ahead of callers.
	Bytes int64
	// Exchange is what an exchange takes beside its buffers: connections, goroutines and headers.
	Exchange int64
	// SendQueue and ReceiveQueue are the sizes of the kernel's queues of the connections to the caller and to the
	// upstream. They are counted while the caller does not read, because both are full then.
	SendQueue, ReceiveQueue int64
}

// Shares of the bound, and times without progress after which a response may be aborted.
const (
	// readAheadPart is the divisor of the bound up to which responses are read ahead of their callers. The rest is
	// for what each response needs in any case, so that responses read ahead do not cause aborts.
	readAheadPart = 2
	// holderPart is the divisor of the bound up to which one response is read ahead: a quarter holds a response of
	// 8 MB at a limit of 144 MB.
	holderPart = 4
	// bodyPart is the divisor of the bound for several large bodies. Bodies that arrive slowly must not take the room
	// of the responses.
	bodyPart = 2
	// SmallBody is the size up to which a request's body is never refused. Prompts of 20,000 tokens are of this size.
	SmallBody = 64 << 10
	// stalledAfter is how long a write to a caller takes until its queues are counted as full. A caller that reads
	// takes what is written within a round trip, 2 ms.
	stalledAfter = 50 * time.Millisecond
	// AbortAfter is the least time without progress after which a response is aborted when the bound is exceeded. At
	// 200 Mbit/s, 12 MB arrive in this time. It exceeds the retransmission of a lost packet (0.2 to 0.4 s).
	AbortAfter = 500 * time.Millisecond
	// urgentAfter replaces AbortAfter beyond the bound and its urgentPart-th part: soon the process would be killed,
	// which aborts all responses. 1,200 callers that came at once and did not read made an instance hold 2.2 times its
	// bound within AbortAfter. 100 ms is too short: on a machine with busy cores a caller that read was aborted.
	urgentAfter = 250 * time.Millisecond
	urgentPart  = 4
	// makeRoomAfter is the least time without progress after which a response is aborted so that another one, whose
	// caller reads, can be read ahead. Upstreams abort a response that stays unread for some seconds.
	makeRoomAfter = 2 * time.Second
	// unreadAfter is how long a response stays unread until its pause is reported, and until others are aborted for it
	// if its caller reads. It leaves time until the upstream aborts it.
	unreadAfter = time.Second
	// readsWithin is the time since its last progress within which a caller is considered to read.
	readsWithin = time.Second
)

// Purpose is what bytes are reserved for.
type Purpose int

const (
	// Head is the first part of a response, which is buffered before the caller receives any.
	Head Purpose = iota
	// ReadAhead is a part of a response that the caller is not ready to receive.
	ReadAhead
)

// Holder is one exchange with a caller.
type Holder struct {
	// ID is the request's id.
	ID string
	// sequence orders holders without progress since the same time.
	sequence int64
	// progressed is the time of the last progress of the caller, or of the begin of the first write after one.
	progressed time.Duration
	// readAt is the time of the last reservation: when the upstream's response was read last.
	readAt time.Duration
	// buffered are the bytes of the response in buffers. queued are those counted for the kernel's queues.
	buffered, queued int64
	writing          bool
	// received is set once the upstream's response was read to its end.
	received bool
	// failed is set once the upstream's response broke off.
	failed bool
	// denied is set while reading ahead is denied. reported is set once that was reported.
	denied, reported bool
	aborted          bool
}

// Aborted reports whether the holder's response was aborted.
func (h *Holder) Aborted() bool { return h.aborted }

// Ledger keeps the sum of what all holders hold.
type Ledger struct {
	settings Settings
	holders  map[*Holder]struct{}
	sequence int64
	held     int64
	bodies   int64
}

// New returns an empty ledger.
func New(s Settings) *Ledger { return &Ledger{settings: s, holders: map[*Holder]struct{}{}} }

// Held returns the bytes that are held now.
func (l *Ledger) Held() int64 { return l.held }

// Holders returns the number of open holders.
func (l *Ledger) Holders() int { return len(l.holders) }

// Open adds an exchange.
func (l *Ledger) Open(id string, now time.Duration) *Holder {
	l.sequence++
	h := &Holder{ID: id, sequence: l.sequence, progressed: now, readAt: now}
	l.holders[h] = struct{}{}
	l.held += l.settings.Exchange
	return h
}

// Close removes an exchange with all that it holds.
func (l *Ledger) Close(h *Holder) {
	if _, open := l.holders[h]; !open {
		return
	}
	delete(l.holders, h)
	if !h.aborted {
		l.held -= l.total(h)
	}
}

func (l *Ledger) total(h *Holder) int64 { return h.buffered + h.queued + l.settings.Exchange }

// Reserve adds n bytes to what a holder holds, and reports false if it must not. A holder without any buffered bytes
// always gets them, so that a caller that reads never waits for others.
func (l *Ledger) Reserve(h *Holder, n int64, purpose Purpose, now time.Duration) bool {
	if h.aborted {
		return false
	}
	h.denied = h.buffered > 0 && !l.fits(h, n, purpose)
	if h.denied {
		return false
	}
	h.buffered += n
	h.readAt = now
	l.held += n
	return true
}

func (l *Ledger) fits(h *Holder, n int64, purpose Purpose) bool {
	bound := l.settings.Bytes
	switch {
	case bound == 0:
		return purpose == Head // what is read ahead without a bound would be the whole response
	case purpose == Head:
		return l.held+n <= bound
	default:
		return l.held+n <= bound/readAheadPart && h.buffered+n <= bound/holderPart
	}
}

// Release removes n bytes from what a holder holds.
func (l *Ledger) Release(h *Holder, n int64) {
	h.buffered -= n
	if !h.aborted {
		l.held -= n
	}
}

// ReceivedAll records that a holder's response was read to its end.
func (l *Ledger) ReceivedAll(h *Holder) { h.received, h.denied = true, false }

// Failed records that the upstream's response to a holder's request broke off.
func (l *Ledger) Failed(h *Holder) { h.failed, h.denied = true, false }

// BeginWrite records that a write to the holder's caller begins.
func (l *Ledger) BeginWrite(h *Holder, now time.Duration) { h.writing, h.progressed = true, now }

// EndWrite records that the caller took what was written.
func (l *Ledger) EndWrite(h *Holder, now time.Duration) {
	h.writing, h.progressed = false, now
	l.setQueued(h, 0)
}

func (l *Ledger) setQueued(h *Holder, n int64) {
	if !h.aborted {
		l.held += n - h.queued
	}
	h.queued = n
}

// ReserveBody adds a body of n bytes to what the instance holds, or reports false if it must be refused.
// The bytes had before are those that the same request has reserved already.
func (l *Ledger) ReserveBody(n, before int64) bool {
	bound := l.settings.Bytes
	if bound > 0 && before+n > SmallBody && (l.bodies > before && l.bodies+n > bound/bodyPart || l.held+n > bound) {
		return false
	}
	l.bodies += n
	l.held += n
	return true
}

// ReleaseBody removes n bytes of bodies.
func (l *Ledger) ReleaseBody(n int64) {
	l.bodies -= n
	l.held -= n
}

// HasReadAheadRoom reports whether more may be read ahead of callers.
func (l *Ledger) HasReadAheadRoom() bool { return l.held < l.settings.Bytes/readAheadPart }
