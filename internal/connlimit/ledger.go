// Package connlimit accounts for what the connections of clients hold in a process, from their first byte on: the
// connections themselves, heads, parsed headers, bodies, and requests that were sent ahead. It bounds both the number of
// connections and the sum of the bytes, whoever the clients are. When there is no room, it closes connections that wait for
// their client, and refuses what would exceed the bounds before anything of it is run.
//
// Ledger decides; a Limiter applies the decisions to the connections of one or several listeners. Inputs are the sizes, the
// state of each connection and the time. A connection whose request is being served is never closed.
package connlimit

import (
	"cmp"
	"slices"
	"time"
)

// Bounds of a Ledger.
type Bounds struct {
	// Conns bounds the number of connections; 0 is no bound.
	Conns int
	// Bytes bounds what the requests of all connections hold; 0 is no bound.
	Bytes int64
}

// State is what a connection waits for.
type State int

const (
	// Silent: nothing was received since the connection was opened.
	Silent State = iota
	// Receiving: a part of a request was received.
	Receiving
	// Serving: a request was received completely, and is being served.
	Serving
	// Idle: the last request was answered.
	Idle
)

var stateNames = map[State]string{Silent: "silent", Receiving: "receiving", Serving: "serving", Idle: "idle"}

// String returns the state's name in logs.
func (s State) String() string { return stateNames[s] }

// settleTime is how long a connection that delivers a request is preferred to idle ones. A request mostly follows its
// connection within a round trip, and ends within a few.
const settleTime = 100 * time.Millisecond

// Account is what one connection holds.
type Account struct {
	state State
	// since is when the state began.
	since time.Duration
	// bytes are those of its request.
	bytes int64
	// sequence orders accounts of the same time.
	sequence int64
	// evicted is set once the connection is to be closed for others. closed is set once its memory is free.
	evicted, closed bool
}

// Ledger keeps the accounts of open connections. It has no clock, does no I/O and is not safe for concurrent use.
type Ledger struct {
	bounds   Bounds
	accounts map[*Account]struct{}
	// bytes are those of all accounts that are not closed, freeing those of the evicted ones among them.
	bytes, freeing int64
	sequence       int64
}

// NewLedger returns an empty ledger.
func NewLedger(b Bounds) *Ledger { return &Ledger{bounds: b, accounts: map[*Account]struct{}{}} }

// Open adds a connection. Without room for it, it returns the connection to close for it, or false if there is none.
func (l *Ledger) Open(now time.Duration) (opened, evicted *Account, ok bool) {
	if l.bounds.Conns > 0 && len(l.accounts) >= l.bounds.Conns {
		if evicted = l.leastActive(now); evicted == nil {
			return nil, nil, false
		}
		l.evict(evicted)
	}
	l.sequence++
	opened = &Account{since: now, sequence: l.sequence}
	l.accounts[opened] = struct{}{}
	return opened, evicted, true
}

// leastActive returns the connection to close for another one; nil if all are being served. The first to go are those that
// have not delivered a request for the longest time, then those that are idle for the longest time.
func (l *Ledger) leastActive(now time.Duration) *Account {
	rank := func(a *Account) int {
		switch {
		case a.state != Idle && now-a.since >= settleTime:
			return 0
		case a.state == Idle:
			return 1
		default:
			return 2
		}
	}
	var least *Account
	for a := range l.accounts {
		if a.state == Serving {
			continue
		}
		if least == nil || cmp.Or(cmp.Compare(rank(a), rank(least)), cmp.Compare(a.since, least.since), cmp.Compare(a.sequence, least.sequence)) < 0 {
			least = a
		}
	}
	return least
}

// Verdict is the result of a Reserve.
type Verdict int

const (
	// Granted: the bytes were added.
	Granted Verdict = iota
	// Refused: closing all connections that deliver requests would not make room.
	Refused
	// Awaited: there will be room once evicted connections are closed.
	Awaited
)

// Reserve adds n bytes to what the request of a connection holds, unless there is no room. It returns the connections to
// close for it. What these hold counts until Close.
func (l *Ledger) Reserve(a *Account, n int64, now time.Duration) (evicted []*Account, v Verdict) {
	if a.evicted {
		return nil, Refused
	}
	excess := l.bytes + n - l.bounds.Bytes
	if l.bounds.Bytes == 0 || excess <= 0 {
		l.Charge(a, n)
		return nil, Granted
	}
	if excess -= l.freeing; excess <= 0 {
		return nil, Awaited
	}
	evicted, ok := l.costliest(a, excess, now)
	if !ok {
		return nil, Refused
	}
	for _, other := range evicted {
		l.evict(other)
	}
	return evicted, Awaited
}

// costliest returns connections other than a that deliver requests and hold the given bytes together, or false if all of
// them do not. The first to go are those whose bytes, multiplied with the time for which they have been delivered, are most.
func (l *Ledger) costliest(a *Account, bytes int64, now time.Duration) ([]*Account, bool) {
	var candidates []*Account
	for other := range l.accounts {
		if other != a && other.state == Receiving && other.bytes > 0 {
			candidates = append(candidates, other)
		}
	}
	cost := func(a *Account) float64 { return float64(a.bytes) * (now - a.since + time.Microsecond).Seconds() }
	slices.SortFunc(candidates, func(a, b *Account) int {
		return cmp.Or(cmp.Compare(cost(b), cost(a)), cmp.Compare(a.sequence, b.sequence))
	})
	for i, other := range candidates {
		if bytes -= other.bytes; bytes <= 0 {
			return candidates[:i+1], true
		}
	}
	return nil, false
}

// Charge adds n bytes to what the request of a connection holds, also beyond the bound.
func (l *Ledger) Charge(a *Account, n int64) {
	if a.closed {
		return
	}
	a.bytes += n
	l.bytes += n
	if a.evicted {
		l.freeing += n
	}
}

// Release removes all that the request of a connection holds.
func (l *Ledger) Release(a *Account) { l.Charge(a, -a.bytes) }

// Enter sets the state of a connection. It returns false if the connection was evicted.
func (l *Ledger) Enter(a *Account, s State, now time.Duration) bool {
	if a.evicted {
		return false
	}
	if a.state != s {
		a.state, a.since = s, now
	}
	return true
}

// evict takes a connection out of the open ones. What it holds counts until Close.
func (l *Ledger) evict(a *Account) {
	a.evicted = true
	l.freeing += a.bytes
	delete(l.accounts, a)
}

// Close removes a connection with all that it holds.
func (l *Ledger) Close(a *Account) {
	l.Release(a)
	a.closed, a.evicted = true, true
	delete(l.accounts, a)
}

// Conns returns the number of open connections.
func (l *Ledger) Conns() int { return len(l.accounts) }

// Bytes returns what all requests hold.
func (l *Ledger) Bytes() int64 { return l.bytes }
