package connlimit

import (
	"context"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/rcrowley/go-metrics"
)

// Options of a Limiter.
type Options struct {
	// Name is the name of the port in logs and metrics.
	Name string
	Bounds
	// MaxHeadBytes returns the size above which a head is refused, before it is parsed.
	MaxHeadBytes func() int
	// HeadTimeout bounds the time from the first byte of a head to its end.
	HeadTimeout time.Duration
	// MaxBodyBytes returns the size up to which bodies are read.
	MaxBodyBytes func() int64
	// Refusal returns the response to a request that is not run, with status 503 for lack of room or 431 for a head over
	// the limit; nil for one without a body.
	Refusal func(status int) Refusal
	Log     *slog.Logger
}

// Refusal is what the response to a refused request has beside its status.
type Refusal struct {
	Header http.Header
	Body   string
}

// retryAfter tells refused clients when to return, in seconds. Requests that are not complete have been closed by then.
const retryAfter = "1"

// Limiter bounds what the connections of one port hold. It is safe for concurrent use.
type Limiter struct {
	options Options
	start   time.Time

	mu     sync.Mutex // protects the fields below, and all accounts
	ledger *Ledger
	conns  map[*Account]*Conn
	// changed is closed when a connection was closed or became idle; nil while nothing awaits that.
	changed chan struct{}
	// awaiting are the connections that await room for an answer, those of the newest requests last.
	awaiting []*Conn
	// foremost is the connection whose answer may take the last of the room, nil for none. foremostSince is when it last asked.
	foremost      *Conn
	foremostSince time.Duration

	open, held, answers            metrics.Gauge
	evicted, refused, refusedConns metrics.Counter
}

// New returns a limiter without connections.
func New(o Options) *Limiter {
	gauge := func(name string) metrics.Gauge {
		return metrics.GetOrRegisterGauge("connections."+o.Name+"."+name, metrics.DefaultRegistry)
	}
	counter := func(name string) metrics.Counter {
		return metrics.GetOrRegisterCounter("connections."+o.Name+"."+name, metrics.DefaultRegistry)
	}
	gauge("limit").Update(int64(o.Conns))
	gauge("held_limit").Update(o.Bytes)
	gauge("answers_limit").Update(o.AnswerBytes)
	return &Limiter{
		options: o, start: time.Now(), ledger: NewLedger(o.Bounds), conns: map[*Account]*Conn{},
		open: gauge("open"), held: gauge("held"), answers: gauge("answers_held"), evicted: counter("evicted"), refused: counter("requests_refused"), refusedConns: counter("refused"),
	}
}

func (l *Limiter) now() time.Duration { return time.Since(l.start) }

// Listener returns a listener that accepts connections within the bounds.
func (l *Limiter) Listener(inner net.Listener) net.Listener { return listener{inner, l} }

type listener struct {
	net.Listener
	limiter *Limiter
}

// Accept implements net.Listener. A connection without room is refused, and not returned.
func (l listener) Accept() (net.Conn, error) {
	for {
		conn, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		c, admitted := l.limiter.admit(conn)
		if admitted {
			return c, nil
		}
		c.tryRefuse()
		_ = conn.Close() // nothing was read from it
	}
}

// maxPlaceWait bounds the wait for a place among connections that are all being served. Further connections wait in the
// kernel meanwhile. Clients give up one that is not read for a second.
const maxPlaceWait = 300 * time.Millisecond

// admit adds a connection, or reports false if there is no room.
func (l *Limiter) admit(conn net.Conn) (c *Conn, admitted bool) {
	c = &Conn{Conn: conn, limiter: l, inHead: true}
	admitted = l.await(maxPlaceWait, func() bool {
		account, evicted, ok := l.ledger.Open(l.now())
		if evicted != nil {
			l.evict("no room for a new connection", evicted)
		}
		if ok {
			c.account = account
			l.conns[account] = c
		}
		return ok
	})
	if !admitted {
		l.refusedConns.Inc(1)
		l.options.Log.Info("connections: connection refused, all others are being served", "port", l.options.Name, "address", conn.RemoteAddr().String(), "limit", l.options.Conns)
	}
	return c, admitted
}

// retryInterval is the time after which those that await room try again, as a client may have stopped to read by then.
const retryInterval = 50 * time.Millisecond

// await calls try until it returns true, again each time that a connection was closed or became idle, and after the retry
// interval. It returns false if the time passes before. The lock is held while try runs.
func (l *Limiter) await(within time.Duration, try func() bool) bool {
	var timeout <-chan time.Time
	var retry *time.Ticker
	for {
		l.mu.Lock()
		done := try()
		l.updateGauges()
		if !done && l.changed == nil {
			l.changed = make(chan struct{})
		}
		changed := l.changed
		l.mu.Unlock()
		if done {
			return true
		}
		if timeout == nil {
			timeout, retry = time.After(within), time.NewTicker(retryInterval)
			defer retry.Stop()
		}
		select {
		case <-changed:
		case <-retry.C:
		case <-timeout:
			return false
		}
	}
}

// notify has those try again that await a change. The lock is held.
func (l *Limiter) notify() {
	if l.changed != nil {
		close(l.changed)
		l.changed = nil
	}
}

// evict closes connections for others. The lock is held.
func (l *Limiter) evict(reason string, accounts ...*Account) {
	for _, a := range accounts {
		conn := l.conns[a]
		delete(l.conns, a)
		conn.tryRefuse()
		_ = conn.Conn.Close() // what it would have delivered is not served
		l.evicted.Inc(1)
		l.options.Log.Info("connections: connection closed", "port", l.options.Name, "address", conn.RemoteAddr().String(), "state", a.state.String(),
			"age", l.now()-a.since, "bytes", a.bytes[OfRequest], "answer_bytes", a.bytes[OfAnswer], "held", l.ledger.Bytes(OfRequest),
			"limit", l.options.Bytes, "outcome", reason)
	}
}

// updateGauges updates the gauges. The lock is held.
func (l *Limiter) updateGauges() {
	l.open.Update(int64(l.ledger.Conns()))
	l.held.Update(l.ledger.Bytes(OfRequest))
	l.answers.Update(l.ledger.Bytes(OfAnswer))
}

// maxRoomWait bounds the wait for the memory of connections that are being closed.
const maxRoomWait = time.Second

// reserve adds bytes to what the request of a connection holds, or reports false if there is no room. It may wait until
// connections are closed for it.
func (l *Limiter) reserve(c *Conn, n int64) bool {
	verdict := Awaited
	l.await(maxRoomWait, func() bool {
		var evicted []*Account
		evicted, verdict = l.ledger.Reserve(c.account, OfRequest, n, l.now())
		l.evict("no memory for another request", evicted...)
		return verdict != Awaited
	})
	return verdict == Granted
}

// charge adds bytes that are held in any case.
func (l *Limiter) charge(c *Conn, n int64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.ledger.Charge(c.account, OfRequest, n)
}

// enter sets the state of a connection. It returns false if the connection was closed.
func (l *Limiter) enter(c *Conn, s State) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.ledger.Enter(c.account, s, l.now())
}

// endRequest releases what a request held, and has the connection wait for the next one.
func (l *Limiter) endRequest(c *Conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.ledger.Release(c.account)
	l.ledger.Enter(c.account, Idle, l.now())
	l.endForemost(c)
	l.notify()
	l.updateGauges()
}

// forget removes a connection that is closed.
func (l *Limiter) forget(c *Conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.ledger.Close(c.account)
	delete(l.conns, c.account)
	l.endForemost(c)
	l.notify()
	l.updateGauges()
}

// heldBytes returns what all requests hold.
func (l *Limiter) heldBytes() int64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.ledger.Bytes(OfRequest)
}

// noteRefused counts and logs a request that is refused.
func (l *Limiter) noteRefused(c *Conn, status int, bytes int64) {
	l.refused.Inc(1)
	l.options.Log.Info("connections: request refused", "port", l.options.Name, "address", c.RemoteAddr().String(), "status", status,
		"bytes", bytes, "held", l.heldBytes(), "limit", l.options.Bytes, "outcome", "not run")
}

// refusal returns the response to a refused request.
func (l *Limiter) refusal(status int) Refusal {
	refusal := Refusal{}
	if l.options.Refusal != nil {
		refusal = l.options.Refusal(status)
	}
	if refusal.Header == nil {
		refusal.Header = http.Header{}
	}
	refusal.Header.Set("Connection", "close")
	if status == http.StatusServiceUnavailable {
		refusal.Header.Set("Retry-After", retryAfter)
	}
	return refusal
}

// message returns a refusal as it is sent to a client whose request is not parsed.
func (l *Limiter) message(status int) string {
	refusal := l.refusal(status)
	var text strings.Builder
	fmt.Fprintf(&text, "HTTP/1.1 %d %s\r\nContent-Length: %d\r\n", status, http.StatusText(status), len(refusal.Body))
	_ = refusal.Header.Write(&text) // a strings.Builder does not fail
	text.WriteString("\r\n" + refusal.Body)
	return text.String()
}

// ConnState is to be called with the changes of the states of a server's connections; see http.Server.ConnState.
func (l *Limiter) ConnState(conn net.Conn, state http.ConnState) {
	if c, ok := conn.(*Conn); ok && state == http.StateIdle {
		c.awaitNext()
	}
}

type connKey struct{}

// ConnContext is to be called with a server's connections; see http.Server.ConnContext.
func (l *Limiter) ConnContext(ctx context.Context, conn net.Conn) context.Context {
	if c, ok := conn.(*Conn); ok {
		return context.WithValue(ctx, connKey{}, c)
	}
	return ctx
}
