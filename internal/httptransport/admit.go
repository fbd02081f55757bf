package httptransport

import (
	"log/slog"
	"net/http"

	"github.com/pkg/errors"
	"github.com/rcrowley/go-metrics"
)

// ErrNotSent: nothing of the request was written, as no connection took it.
var ErrNotSent = errors.New("httptransport: no connection takes the request")

// maxRefusingConns bounds the connections that are tried for a request. Those that refuse it are closed, so the next one is mostly new.
const maxRefusingConns = 16

// admit records that a request is about to be sent, and reports whether the connection takes it. If not, the connection is closed before
// anything is written.
func (c *trackedConn) admit(x *exchange) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.sentHead = c.sentHead || x.method == http.MethodHead
	isFirst := len(c.ids.hashes) == 0
	if x.id != "" && !c.retired && !c.ids.add(x.id) {
		metrics.GetOrRegisterCounter("transport.sent_again."+c.settings.peer, metrics.DefaultRegistry).Inc(1)
		slog.Default().Info("transport: request changes its connection, which has carried its ID", "peer", c.settings.peer,
			"address", c.Conn.RemoteAddr().String(), "request", x.id, "requests", len(c.ids.hashes))
		c.retired = true
	}
	if c.retired {
		c.refusing = true
		return false
	}
	c.late = nil
	if x.id != "" && !isFirst && !c.sentHead {
		c.late = &lateFilter{header: c.settings.idHeader, own: x.id, sent: &c.ids}
	}
	return true
}

// retire has the connection take no further request.
func (c *trackedConn) retire() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.retired = true
}

// Write implements net.Conn. Without a byte written, net/http closes the connection.
func (c *trackedConn) Write(p []byte) (int, error) {
	c.mu.Lock()
	refusing := c.refusing
	c.mu.Unlock()
	if refusing {
		return 0, ErrNotSent
	}
	return c.Conn.Write(p)
}
