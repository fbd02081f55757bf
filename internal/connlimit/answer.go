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

// Reserve waits for room for bytes of the answer, which are to be read after it. Of several that wait the newest goes first: the
// older ones are those whose clients may have left.
func (a Answer) Reserve(bytes int64) error {
	if a.conn == nil {
		return nil
	}
	l := a.conn.limiter
	l.startAwaiting(a.conn)
	defer l.endAwaiting(a.conn)
	reserved := l.await(maxAnswerWait, func() bool {
		if a.conn.account.evicted {
			return true
		}
		if l.awaiting[len(l.awaiting)-1] != a.conn {
			return false
		}
		evicted, verdict := l.ledger.Reserve(a.conn.account, OfAnswer, bytes, l.now())
		l.evict("no memory for an answer", evicted...)
		return verdict == Granted
	})
	if !reserved {
		return ErrNoRoomForAnswer
	}
	return nil
}

func (l *Limiter) startAwaiting(c *Conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.awaiting = append(l.awaiting, c)
}

func (l *Limiter) endAwaiting(c *Conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	at := slices.Index(l.awaiting, c)
	l.awaiting = slices.Delete(l.awaiting, at, at+1)
	l.notify()
}

// Begin records that the answer is being written from here on.
func (a Answer) Begin() {
	if a.conn != nil {
		a.conn.limiter.enter(a.conn, Answering)
	}
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
