package httptransport

import (
	"log/slog"
	"net/http"

	"github.com/pkg/errors"
	"github.com/rcrowley/go-metrics"
)

// ErrNotSent: nothing of the request was written. The cause is wrapped as well.
var ErrNotSent = errors.New("httptransport: not sent")

// notSentError is an ErrNotSent with its cause.
type notSentError struct{ cause error }

// Error implements error.
func (e *notSentError) Error() string { return ErrNotSent.Error() + ": " + e.cause.Error() }

// Is reports whether the error is ErrNotSent.
func (e *notSentError) Is(target error) bool { return target == ErrNotSent }

// Unwrap returns the cause.
func (e *notSentError) Unwrap() error { return e.cause }

// Timeout implements net.Error's method, as url.Error does for its cause.
func (e *notSentError) Timeout() bool {
	timeout, ok := e.cause.(interface{ Timeout() bool })
	return ok && timeout.Timeout()
}

// errConnRefuses: a connection takes no request, or not this one.
var errConnRefuses = errors.New("httptransport: the connection does not take the request")

// maxRefusingConns bounds the connections that are tried for a request. Those that refuse it are closed, so the next one is mostly new.
const maxRefusingConns = 16

// admit records that a request is about to be sent, and reports whether the connection takes it. If not, the connection is closed before
// anything is written.
func (c *trackedConn) admit(x *exchange) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.wrote = false
	c.upload.begun, c.upload.written = true, false
	if c.retired || !c.addID(x.id) {
		c.refusing = true
		return false
	}
	c.late = nil
	if c.settings.idHeader != "" && c.used && !c.sentHead {
		c.late = &lateFilter{header: c.settings.idHeader, own: x.id, sent: &c.ids}
	}
	c.used = true
	c.sentHead = c.sentHead || x.method == http.MethodHead
	return true
}

// addID records the ID of a request, and reports whether the connection has not carried it. A connection of which no further ID is kept
// takes no further request. The lock is held.
func (c *trackedConn) addID(id string) bool {
	if id == "" {
		return true
	}
	if c.ids.has(id) {
		metrics.GetOrRegisterCounter("transport.sent_again."+c.settings.peer, metrics.DefaultRegistry).Inc(1)
		slog.Default().Info("transport: request changes its connection, which has carried its ID", "peer", c.settings.peer,
			"address", c.Conn.RemoteAddr().String(), "request", id)
		return false
	}
	c.ids.add(id)
	c.retired = c.ids.isFull()
	return true
}

// retire has the connection take no further request.
func (c *trackedConn) retire() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.retired = true
}

// abandon has nothing more written for an exchange that failed, and reports whether nothing was written.
func (c *trackedConn) abandon(x *exchange) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.owner != x || c.wrote {
		return false
	}
	c.refusing = true
	return true
}

// Write implements net.Conn. Without a byte written, net/http closes the connection.
func (c *trackedConn) Write(p []byte) (int, error) {
	wroteBefore, err := c.beginWrite()
	if err != nil {
		return 0, err
	}
	n, err := c.Conn.Write(p)
	c.endWrite(err)
	if n == 0 && !wroteBefore {
		c.mu.Lock()
		defer c.mu.Unlock()
		c.wrote = false
	}
	return n, err
}

// beginWrite records that something may be written from here on, and returns whether it was before.
func (c *trackedConn) beginWrite() (before bool, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.refusing {
		return false, errConnRefuses
	}
	before, c.wrote = c.wrote, true
	c.upload.writes++
	return before, nil
}
