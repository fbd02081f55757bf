package httpserver

import (
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"sassafrasfield/internal/routes"
)

// Bounds that hold while there is no configuration, and where it has none.
const (
	// idleAtMost is beyond the longest time that callers keep a connection.
	idleAtMost = 10 * time.Minute
	// headerAtMost bounds the reading of a request's header.
	headerAtMost = 10 * time.Second
	// headerBytesAtMost bounds a request's header; operators allow 16 KiB.
	headerBytesAtMost = 64 << 10
)

// limitedListener puts the limits of the configuration in force on the
// connections that it accepts.
type limitedListener struct {
	net.Listener
	limits func() routes.Limits
}

// Accept implements net.Listener.
func (l limitedListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &limitedConn{Conn: conn, limits: l.limits}, nil
}

// limitedConn shortens the read deadlines that the HTTP server sets to the
// limits in force at that moment. The server's own are fixed at its start. It
// sets one when a connection falls idle, after it has told connState, takes that
// one back with the first byte, and sets one for the reading of each header.
type limitedConn struct {
	net.Conn
	limits func() routes.Limits
	idle   atomic.Bool
}

// SetReadDeadline implements net.Conn.
func (c *limitedConn) SetReadDeadline(t time.Time) error {
	if t.IsZero() {
		c.idle.Store(false)
		return c.Conn.SetReadDeadline(t)
	}
	limit := c.limits().HeaderTimeout
	if c.idle.Load() {
		limit = c.limits().IdleTimeout
	}
	if latest := time.Now().Add(limit); limit > 0 && latest.Before(t) {
		t = latest
	}
	return c.Conn.SetReadDeadline(t)
}

// connState tells a connection that it falls idle.
func connState(conn net.Conn, state http.ConnState) {
	if c, ok := conn.(*limitedConn); ok && state == http.StateIdle {
		c.idle.Store(true)
	}
}

// headerSize is the size of a request's header in bytes.
func headerSize(r *http.Request) int {
	const separators = len(": ") + len("\r\n")
	size := len(r.Method) + len(r.RequestURI) + len(r.Host)
	for name, values := range r.Header {
		for _, value := range values {
			size += len(name) + len(value) + separators
		}
	}
	return size
}

// headerTooLarge tells whether a request's header is over the limit.
func (s *Server) headerTooLarge(r *http.Request) bool {
	limit := s.settings.Limits().MaxHeaderBytes
	return limit > 0 && headerSize(r) > limit
}
