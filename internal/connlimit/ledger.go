// Package connlimit accounts for what the connections of clients hold in a process, from their first byte on: the
// connections themselves, heads, parsed headers, bodies, requests that were sent ahead, and answers that are held
// completely. It bounds both the number of connections and the sum of the bytes, whoever the clients are. When there is no
// room, it closes connections that wait for their client, and refuses what would exceed the bounds before anything of it is
// run.
//
// Ledger decides; a Limiter applies the decisions to the connections of one or several listeners. Inputs are the sizes, the
// state of each connection and the time. A connection whose request is being served is never closed; one whose client does not
// read an answer that is held completely may be.
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
	// Bytes bounds what the requests of all connections hold, AnswerBytes what their answers do; 0 is no bound. They are apart, so
	// that requests that are being served never wait for others to get their answers.
	Bytes, AnswerBytes int64
}

// Kind is the kind of what a connection holds.
type Kind int

// The kinds of what a connection holds.
const (
	OfRequest Kind = iota
	OfAnswer
	kinds int = iota
)

// State is what a connection waits for.
type State int

const (
	// Silent: nothing was received since the connection was opened.
	Silent State = iota
	// Receiving: a part of a request was received.
	Receiving
	// Serving: a request was received completely, and is being served.
	Serving
	// Answering: an answer that is held completely is being written to the client.
	Answering
	// Idle: the last request was answered.
	Idle
)

var stateNames = map[State]string{Silent: "silent", Receiving: "receiving", Serving: "serving", Answering: "answering", Idle: "idle"}

// String returns the state's name in logs.
func (s State) String() string { return stateNames[s] }

// settleTime is how long a connection that delivers a request is preferred to idle ones. A request mostly follows its
// connection within a round trip, and ends within a few.
const settleTime = 100 * time.Millisecond

// stallTime is how long a client takes nothing of its answer until that may be given up for others. A client that reads takes
// what is written within a round trip.
const stallTime = 250 * time.Millisecond

// Account is what one connection holds.
type Account struct {
	state State
	// since is when the state began, or when the client took a part of its answer.
	since time.Duration
	// bytes are those of its request and its answer.
	bytes [kinds]int64
	// sequence orders accounts of the same time.
	sequence int64
	// evicted is set once the connection is to be closed for others. closed is set once its memory is free.
	evicted, closed bool
}

// Ledger keeps the accounts of open connections. It has no clock, does no I/O and is not safe for concurrent use.
type Ledger struct {
	maxConns int // 0 is no bound
	accounts map[*Account]struct{}
	// sums are those of all accounts that are not closed.
	sums     [kinds]sum
	sequence int64
}

// sum is what all accounts hold of a kind.
type sum struct {
	// bound is that on bytes; 0 for none. freeing are those of evicted accounts.
	bound, bytes, freeing int64
}

// NewLedger returns an empty ledger.
func NewLedger(b Bounds) *Ledger {
	return &Ledger{maxConns: b.Conns, accounts: map[*Account]struct{}{}, sums: [kinds]sum{OfRequest: {bound: b.Bytes}, OfAnswer: {bound: b.AnswerBytes}}}
}

// Open adds a connection. Without room for it, it returns the connection to close for it, or false if there is none.
func (l *Ledger) Open(now time.Duration) (opened, evicted *Account, ok bool) {
	if l.maxConns > 0 && len(l.accounts) >= l.maxConns {
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
// have not delivered a request for the longest time, then those that are idle for the longest time, then those that do not read
// their answers.
func (l *Ledger) leastActive(now time.Duration) *Account {
	rank := func(a *Account) int {
		switch {
		case a.delivers() && now-a.since >= settleTime:
			return 0
		case a.state == Idle:
			return 1
		case a.state == Answering:
			return 2
		default:
			return 3
		}
	}
	var least *Account
	for a := range l.accounts {
		if !a.mayClose(now) {
			continue
		}
		if least == nil || cmp.Or(cmp.Compare(rank(a), rank(least)), cmp.Compare(a.since, least.since), cmp.Compare(a.sequence, least.sequence)) < 0 {
			least = a
		}
	}
	return least
}

// delivers reports whether a connection's client is to send a request, or the rest of one.
func (a *Account) delivers() bool { return a.state == Silent || a.state == Receiving }

// receives reports whether a part of a request was received, and nothing of it is run. A connection that was not admitted has no
// account.
func (a *Account) receives() bool { return a != nil && a.state == Receiving }

// mayClose reports whether a connection may be closed for others.
func (a *Account) mayClose(now time.Duration) bool {
	switch a.state {
	case Serving:
		return false
	case Answering:
		return now-a.since >= stallTime
	default:
		return true
	}
}

// Verdict is the result of a Reserve.
type Verdict int

const (
	// Granted: the bytes were added.
	Granted Verdict = iota
	// Refused: closing all connections that wait for their clients would not make room.
	Refused
	// Awaited: there will be room once evicted connections are closed.
	Awaited
)

// Reserve adds n bytes to what a connection holds, unless there is no room. It returns the connections to close for it. What these
// hold counts until Close.
func (l *Ledger) Reserve(a *Account, k Kind, n int64, now time.Duration) (evicted []*Account, v Verdict) {
	if a.evicted {
		return nil, Refused
	}
	sum := l.sums[k]
	excess := sum.bytes + n - sum.bound
	if sum.bound == 0 || excess <= 0 {
		l.Charge(a, k, n)
		return nil, Granted
	}
	if excess -= sum.freeing; excess <= 0 {
		return nil, Awaited
	}
	evicted, ok := l.costliest(a, k, excess, now)
	if !ok {
		return nil, Refused
	}
	for _, other := range evicted {
		l.evict(other)
	}
	return evicted, Awaited
}

// sharedPart is the part of a bound that ReserveShared uses.
const sharedPart = 0.5

// ReserveShared adds n bytes to what a connection holds if a part of the room stays free.
func (l *Ledger) ReserveShared(a *Account, k Kind, n int64) bool {
	sum := l.sums[k]
	if sum.bound > 0 && float64(sum.bytes+n) > sharedPart*float64(sum.bound) {
		return false
	}
	l.Charge(a, k, n)
	return true
}

// MayHold reports whether a connection that holds n bytes more would stay within the bound if it were alone.
func (l *Ledger) MayHold(a *Account, k Kind, n int64) bool {
	return l.sums[k].bound == 0 || a.bytes[k]+n <= l.sums[k].bound
}

// IsStuck reports whether there would be no room for n bytes more even if all answers that are being written had been read.
func (l *Ledger) IsStuck(a *Account, k Kind, n int64) bool {
	held := a.bytes[k] + n
	for other := range l.accounts {
		if other != a && other.state != Answering {
			held += other.bytes[k]
		}
	}
	return held > l.sums[k].bound
}

// costliest returns connections other than a that wait for their clients and hold the given bytes together, or false if all of
// them do not. The first to go are those whose bytes, multiplied with the time of that, are most.
func (l *Ledger) costliest(a *Account, k Kind, bytes int64, now time.Duration) ([]*Account, bool) {
	var candidates []*Account
	for other := range l.accounts {
		if other != a && other.bytes[k] > 0 && other.mayClose(now) {
			candidates = append(candidates, other)
		}
	}
	cost := func(a *Account) float64 { return float64(a.bytes[k]) * (now - a.since + time.Microsecond).Seconds() }
	slices.SortFunc(candidates, func(a, b *Account) int {
		return cmp.Or(cmp.Compare(cost(b), cost(a)), cmp.Compare(a.sequence, b.sequence))
	})
	for i, other := range candidates {
		if bytes -= other.bytes[k]; bytes <= 0 {
			return candidates[:i+1], true
		}
	}
	return nil, false
}

// Charge adds n bytes to what a connection holds, also beyond the bound.
func (l *Ledger) Charge(a *Account, k Kind, n int64) {
	if a.closed {
		return
	}
	a.bytes[k] += n
	l.sums[k].bytes += n
	if a.evicted {
		l.sums[k].freeing += n
	}
}

// Release removes all that the request of a connection and its answer hold.
func (l *Ledger) Release(a *Account) {
	for k := range Kind(kinds) {
		l.Charge(a, k, -a.bytes[k])
	}
}

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

// Progress records that the client took a part of its answer.
func (l *Ledger) Progress(a *Account, now time.Duration) { a.since = now }

// evict takes a connection out of the open ones. What it holds counts until Close.
func (l *Ledger) evict(a *Account) {
	a.evicted = true
	for k := range l.sums {
		l.sums[k].freeing += a.bytes[k]
	}
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

// Bytes returns what all requests or all answers hold.
func (l *Ledger) Bytes(k Kind) int64 { return l.sums[k].bytes }
