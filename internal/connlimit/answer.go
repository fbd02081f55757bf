package connlimit

import (
	"context"
	"slices"
	"time"

	"github.com/pkg/errors"
)

// ErrNoRoomForAnswer is the error of an answer that there was no room for in time. Its request has run.
var ErrNoRoomForAnswer = errors.New("connlimit: no room for the answer")

// maxAnswerWait bounds the wait for room for an answer. Clients that do not read theirs are given up sooner.
const maxAnswerWait = 10 * time.Second

// Answer accounts for an answer that is held completely before it is written. It is released with its request, and not
// accounted for once the client has left.
type Answer struct {
	conn *Conn // nil if the request came on a connection without limits
}

// AnswerOf returns the account of the answer to a request, given the request's context.
func AnswerOf(ctx context.Context) Answer {
	conn, _ := ctx.Value(connKey{}).(*Conn) // nil without limits
	return Answer{conn}
}

// Reserve waits for room for further bytes of the answer, which are to be read after it; whole if they are all of it.
func (a Answer) Reserve(bytes int64, whole bool) error {
	if a.conn == nil {
		return nil
	}
	verdict := a.conn.limiter.reserveNow(a.conn, bytes)
	if verdict == Awaited {
		verdict = a.conn.limiter.awaitRoom(a.conn, bytes, whole)
	}
	if verdict != Granted {
		return ErrNoRoomForAnswer
	}
	return nil
}

// reserveNow adds bytes to what the answer of a connection holds if it need not wait for others.
func (l *Limiter) reserveNow(c *Conn, bytes int64) Verdict {
	l.mu.Lock()
	defer l.mu.Unlock()
	defer l.updateGauges()
	return l.reserveShared(c, bytes)
}

// awaitRoom waits for room for bytes of the answer of a connection.
func (l *Limiter) awaitRoom(c *Conn, bytes int64, whole bool) Verdict {
	l.startAwaiting(c)
	defer l.endAwaiting(c)
	verdict := Awaited
	l.await(maxAnswerWait, func() bool {
		verdict = l.reserveAnswer(c, bytes, whole)
		return verdict != Awaited
	})
	return verdict
}

// reserveShared adds bytes to what the answer of a connection holds if they fit into the part of the room that all answers share.
// The lock is held.
func (l *Limiter) reserveShared(c *Conn, bytes int64) Verdict {
	switch {
	case c.account.evicted:
		return Granted // it is not accounted for
	case !l.ledger.MayHold(c.account, OfAnswer, bytes):
		return Refused
	case c != l.foremost && l.ledger.ReserveShared(c.account, OfAnswer, bytes):
		return Granted
	default:
		return Awaited
	}
}

// reserveAnswer adds bytes to what the answer of a connection holds. All answers share a part of the room. The rest is for one at a
// time, the newest first, until it is complete: those that arrive in pieces could otherwise take all of the room together and wait
// for each other. The older ones go last, as their clients may have left. The lock is held.
func (l *Limiter) reserveAnswer(c *Conn, bytes int64, whole bool) Verdict {
	if verdict := l.reserveShared(c, bytes); verdict != Awaited {
		return verdict
	}
	if !l.mayBeForemost(c) {
		return Awaited
	}
	evicted, verdict := l.ledger.Reserve(c.account, OfAnswer, bytes, l.now())
	l.evict("no memory for an answer", evicted...)
	if verdict == Granted && whole {
		l.endForemost(c)
		return Granted
	}
	if verdict == Refused && l.ledger.IsStuck(c.account, OfAnswer, bytes) {
		l.endForemost(c)
		l.moveBack(c)
		return Awaited
	}
	l.foremost, l.foremostSince = c, l.now()
	if verdict == Refused {
		return Awaited // until clients have read their answers, or may be given up
	}
	return verdict
}

// maxPieceWait is how long the foremost answer may wait for its upstream before another one takes its turn.
const maxPieceWait = time.Second

// mayBeForemost reports whether it is the turn of a connection's answer. The lock is held.
func (l *Limiter) mayBeForemost(c *Conn) bool {
	if l.foremost != nil && (l.foremost == c || l.now()-l.foremostSince < maxPieceWait) {
		return l.foremost == c
	}
	return l.awaiting[len(l.awaiting)-1] == c
}

// endForemost lets another answer take its turn. The lock is held.
func (l *Limiter) endForemost(c *Conn) {
	if l.foremost == c {
		l.foremost = nil
		l.notify()
	}
}

// moveBack has all other waiting answers go first. The lock is held.
func (l *Limiter) moveBack(c *Conn) {
	l.stopAwaiting(c)
	l.awaiting = slices.Insert(l.awaiting, 0, c)
}

func (l *Limiter) stopAwaiting(c *Conn) {
	at := slices.Index(l.awaiting, c)
	l.awaiting = slices.Delete(l.awaiting, at, at+1)
}

// startAwaiting adds a connection to those that await room, in the order in which their requests began.
func (l *Limiter) startAwaiting(c *Conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	at := len(l.awaiting)
	for at > 0 && l.awaiting[at-1].account.since > c.account.since {
		at--
	}
	l.awaiting = slices.Insert(l.awaiting, at, c)
}

func (l *Limiter) endAwaiting(c *Conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.stopAwaiting(c)
	l.notify()
}

// Begin records that the answer is complete, has the given size in bytes, and is being written from here on.
func (a Answer) Begin(bytes int64) {
	if a.conn == nil {
		return
	}
	l := a.conn.limiter
	l.mu.Lock()
	defer l.mu.Unlock()
	l.ledger.Charge(a.conn.account, OfAnswer, bytes-a.conn.account.bytes[OfAnswer])
	l.ledger.Enter(a.conn.account, Answering, l.now())
	l.endForemost(a.conn)
}

// Wrote records that a part of the answer was written.
func (a Answer) Wrote() {
	if a.conn == nil {
		return
	}
	l := a.conn.limiter
	l.mu.Lock()
	defer l.mu.Unlock()
	l.ledger.Progress(a.conn.account, l.now())
}
