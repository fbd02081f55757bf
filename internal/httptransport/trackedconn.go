package httptransport

import (
	"context"
	"io"
	"log/slog"
	"net"
	"net/http"
	"os"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/rcrowley/go-metrics"

	"sassafrasfield/internal/readlimit"
)

// connSettings are the same for all connections of a transport.
type connSettings struct {
	peer string
	// limits bound the heads of responses; nil for no bounds.
	limits *readlimit.HeadLimits
	// idHeader is the header with the ID of a request and its response; empty if they have none.
	idHeader string
	// isLast reports whether a connection ends with a response; nil if it does with none.
	isLast func(*http.Response) bool
}

// endsConn reports whether a connection takes no further request after a response to a request with an ID; empty for none. After a
// response that is not the request's, or a refusal without an ID, further ones may follow that nothing tells apart.
func (s *connSettings) endsConn(id string, response *http.Response) bool {
	if s.isLast != nil && s.isLast(response) {
		return true
	}
	if s.idHeader == "" {
		return false
	}
	got := response.Header.Get(s.idHeader)
	return got != id || got == "" && response.StatusCode >= http.StatusMultipleChoices
}

// trackConns has the connections of a transport be of type trackedConn.
func trackConns(base *http.Transport, settings *connSettings) {
	dial := base.DialContext
	if dial == nil {
		dial = (&net.Dialer{}).DialContext
	}
	base.DialContext = func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return &trackedConn{Conn: conn, settings: settings, start: time.Now()}, nil
	}
}

// trackedConn is a connection that knows the requests that were sent on it. The heads of their responses are bounded. While no head is
// awaited it reads without a bound: net/http itself closes a connection that delivers bytes before a request.
type trackedConn struct {
	net.Conn
	settings *connSettings
	start    time.Time

	mu sync.Mutex // protects all below
	// head is the head that is awaited, for the exchange owner; nil if there is none, or no bounds.
	head  *readlimit.Head
	owner *exchange
	// timed is set while the connection has a read deadline.
	timed bool
	// exceeded is the error of a connection that was closed because it exceeded a bound.
	exceeded error
	// ids are those of the requests that were sent. late filters the responses to them; nil for none. ready are received bytes
	// that it passed on and that were not read yet.
	ids   requestIDs
	late  *lateFilter
	ready []byte
	// sentHead is set once a HEAD request was sent: the responses to those have lengths, but no bodies.
	sentHead bool
	// used is set once a request was sent, wrote once something was written for the newest one.
	used, wrote bool
	upload      upload
	// retired is set on a connection that takes no further requests, refusing once nothing more is written.
	retired, refusing bool
}

func (c *trackedConn) now() time.Duration { return time.Since(c.start) }

// awaitHead begins the head of an exchange's response.
func (c *trackedConn) awaitHead(owner *exchange) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.owner = owner
	c.beginHead()
}

// beginHead begins a head. The lock is held.
func (c *trackedConn) beginHead() {
	if c.settings.limits != nil {
		c.head = readlimit.NewHead(*c.settings.limits)
	}
}

// endHead ends the bounds on the head of an exchange's response.
func (c *trackedConn) endHead(owner *exchange) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.owner != owner {
		return
	}
	c.head, c.owner = nil, nil
	if c.late != nil {
		c.ready = append(c.ready, c.late.release()...)
		c.late = nil
	}
	c.setTimed(false, 0)
}

// exceededBy returns the error of an exchange's response that exceeded its bounds.
func (c *trackedConn) exceededBy(owner *exchange) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.owner != owner {
		return nil
	}
	return c.exceeded
}

// endInterim records the end of an interim response. An error ends the exchange.
func (c *trackedConn) endInterim() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.head == nil {
		return nil
	}
	c.setTimed(false, 0)
	return c.cut(c.head.EndInterim(c.now()))
}

// Read implements net.Conn.
func (c *trackedConn) Read(p []byte) (int, error) {
	for {
		if n := c.readReady(p); n > 0 {
			return n, nil
		}
		if err := c.beforeRead(); err != nil {
			return 0, err
		}
		n, err := c.Conn.Read(p)
		if cut := c.afterRead(n, err); cut != nil {
			return 0, cut
		}
		n = c.filter(p, n, err)
		if err == io.EOF && n == 0 {
			return 0, c.endOfAnswer()
		}
		if err != nil && !errors.Is(err, os.ErrDeadlineExceeded) || n > 0 {
			return n, err
		}
	}
}

// readReady reads bytes that were passed on already.
func (c *trackedConn) readReady(p []byte) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	n := copy(p, c.ready)
	c.ready = c.ready[n:]
	return n
}

// filter drops late responses from the n bytes that were read into p, and returns how many bytes p has then. An error of the read ends
// the filter.
func (c *trackedConn) filter(p []byte, n int, readErr error) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.late == nil || n == 0 && readErr == nil {
		return n
	}
	dropped := c.late.dropped
	passed, ended := c.late.receive(p[:n])
	if c.late.dropped > dropped {
		metrics.GetOrRegisterCounter("transport.late_responses."+c.settings.peer, metrics.DefaultRegistry).Inc(int64(c.late.dropped - dropped))
		slog.Default().Info("transport: late response dropped", "peer", c.settings.peer, "address", c.Conn.RemoteAddr().String(), "request", c.late.own)
	}
	if ended && c.head != nil {
		c.beginHead()
		c.setTimed(false, 0)
		if len(c.late.held)+len(passed) > 0 {
			_ = c.head.Received(len(c.late.held)+len(passed), c.now()) // less than the bound, which a read was within
		}
	}
	if readErr != nil && !errors.Is(readErr, os.ErrDeadlineExceeded) {
		passed = append(passed, c.late.release()...)
	}
	n = copy(p, passed)
	c.ready = append(c.ready, passed[n:]...)
	return n
}

// beforeRead sets the deadline of a read if a part of a head was received. The first read of a head, which mostly is
// the only one, has none.
func (c *trackedConn) beforeRead() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.exceeded != nil || c.head == nil {
		return c.exceeded
	}
	if at, begun := c.head.Deadline(); begun {
		c.setTimed(true, at)
	}
	return nil
}

// afterRead records what was read. The error is that of a head over its bounds.
func (c *trackedConn) afterRead(n int, err error) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case c.exceeded != nil || c.head == nil:
		return c.exceeded
	case n > 0:
		return c.cut(c.head.Received(n, c.now()))
	case errors.Is(err, os.ErrDeadlineExceeded):
		return c.cut(c.head.Expired(c.now()))
	default:
		return nil
	}
}

// cut closes the connection because of an error, if there is one. The lock is held.
func (c *trackedConn) cut(exceeded error) error {
	if exceeded == nil {
		return nil
	}
	c.exceeded = exceeded
	_ = c.Conn.Close() // the connection is given up in any case
	RecordCutOff(c.settings.peer, c.Conn.RemoteAddr().String(), exceeded)
	return exceeded
}

// setTimed sets or removes the read deadline, a time on the connection's clock. The lock is held.
func (c *trackedConn) setTimed(timed bool, at time.Duration) {
	if !timed && !c.timed {
		return
	}
	c.timed = timed
	var until time.Time
	if timed {
		until = c.start.Add(at)
	}
	_ = c.Conn.SetReadDeadline(until) // fails only if the connection is closed, which the read reports
}
