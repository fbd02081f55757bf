package httpserver

import (
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"sassafrasfield/internal/connlimit"
	"sassafrasfield/internal/routes"
)

// Upper bounds, which also apply if the configuration sets no limits or there is no configuration.
const (
	// maxIdleTimeout is longer than callers keep idle connections.
	maxIdleTimeout = 10 * time.Minute
	// maxHeaderTimeout bounds the time to read a request's header.
	maxHeaderTimeout = 10 * time.Second
	// maxHeaderBytes bounds the size of a request's header; operators allow 16 KiB.
	maxHeaderBytes = 64 << 10
)

// limitedListener applies the limits of the configuration in force to the connections that it accepts.
type limitedListener struct {
	net.Listener
	limits func() routes.Limits
	// sendQueue is the size of the kernel's queue of each connection; 0 leaves it to the kernel.
	sendQueue int
}

// Accept implements net.Listener.
func (l limitedListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	if tcp, ok := conn.(*net.TCPConn); ok && l.sendQueue > 0 {
		_ = tcp.SetWriteBuffer(l.sendQueue) // fails only if the caller has disconnected
	}
	return &limitedConn{Conn: conn, limits: l.limits}, nil
}

// limitedConn shortens the read deadlines that the HTTP server sets, according to the limits in force at
// that moment. The limits of the HTTP server itself are fixed when it starts. The HTTP server sets a
// deadline when a connection becomes idle, after it has called connState, removes it at the first byte of
// the next request, and sets a deadline for reading each header.
type limitedConn struct {
	net.Conn
	limits func() routes.Limits
	idle   atomic.Bool
}

// NetConn returns the connection below.
func (c *limitedConn) NetConn() net.Conn { return c.Conn }

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

// SetWriteDeadline implements net.Conn. A response that is aborted has a deadline that has passed. Its connection is then
// reset when it is closed: otherwise the kernel keeps what a caller does not read for minutes.
func (c *limitedConn) SetWriteDeadline(t time.Time) error {
	if tcp, ok := c.Conn.(*net.TCPConn); ok && !t.IsZero() && t.Before(time.Now()) {
		_ = tcp.SetLinger(0) // fails only if the connection is closed already
	}
	return c.Conn.SetWriteDeadline(t)
}

// connState marks a connection as idle.
func connState(conn net.Conn, state http.ConnState) {
	if outer, ok := conn.(*connlimit.Conn); ok {
		conn = outer.NetConn()
	}
	if c, ok := conn.(*limitedConn); ok && state == http.StateIdle {
		c.idle.Store(true)
	}
}

// headerSize returns the size of a request's header in bytes.
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

// headerTooLarge reports whether a request's header exceeds the limit.
func (s *Server) headerTooLarge(r *http.Request) bool {
	limit := s.settings.Limits().MaxHeaderBytes
	return limit > 0 && headerSize(r) > limit
}
