package connlimit

import (
	"io"
	"net/http"
	"time"

	"github.com/pkg/errors"
)

// ErrNoRoom is the error of a body that there is no room for. Its request is to be refused as not run.
var ErrNoRoom = errors.New("connlimit: no room for the body")

// errClosed is the error of a body whose connection was closed for others.
var errClosed = errors.New("connlimit: the connection was closed")

// Handler returns a handler that accounts for the bodies of requests, and that is not called for a request without room, or
// whose connection was closed for others.
func (l *Limiter) Handler(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		c, ok := r.Context().Value(connKey{}).(*Conn)
		if !ok {
			next.ServeHTTP(w, r)
			return
		}
		if r.Body == nil || r.Body == http.NoBody {
			if !c.serve() {
				panic(http.ErrAbortHandler) // the connection is closed
			}
			next.ServeHTTP(w, r)
			return
		}
		b := c.beginBody(r)
		if !l.enter(c, Receiving) {
			panic(http.ErrAbortHandler)
		}
		if !l.reserve(c, b.reserved) {
			l.Refuse(w, r)
			return
		}
		next.ServeHTTP(w, withBody(r, b))
	})
}

// withBody returns a request with another body. net/http keeps its own, by which it knows how much of it was not read.
func withBody(r *http.Request, body io.ReadCloser) *http.Request {
	copied := *r
	copied.Body = body
	return &copied
}

// refusedBodyTime is how long the rest of the body of a refused request is received, so that its client gets the response.
const refusedBodyTime = 2 * time.Second

// Refuse answers a request that there is no room for, and of which nothing was run.
func (l *Limiter) Refuse(w http.ResponseWriter, r *http.Request) {
	if c, ok := r.Context().Value(connKey{}).(*Conn); ok {
		l.noteRefused(c, http.StatusServiceUnavailable, max(0, r.ContentLength))
	}
	_ = http.NewResponseController(w).SetReadDeadline(time.Now().Add(refusedBodyTime)) // fails only if the connection is closed
	refusal := l.refusal(http.StatusServiceUnavailable)
	for name, values := range refusal.Header {
		w.Header()[name] = values
	}
	w.WriteHeader(http.StatusServiceUnavailable)
	_, _ = io.WriteString(w, refusal.Body) // an error means that the client disconnected
}

// serve records that a request was received completely. It returns false if the connection was closed for others.
func (c *Conn) serve() bool {
	if !c.limiter.enter(c, Serving) {
		return false
	}
	c.serving.Store(true)
	return true
}

// beginBody begins the body of a request, of which nothing was read.
func (c *Conn) beginBody(r *http.Request) *body {
	c.framing = framingOf(r)
	b := &body{ReadCloser: r.Body, conn: c, declared: r.ContentLength >= 0}
	if r.ContentLength <= c.limiter.options.MaxBodyBytes() {
		b.reserved = max(0, r.ContentLength) // a longer one is not read
	}
	return b
}

// body is the body of a request that is accounted for.
type body struct {
	io.ReadCloser
	conn *Conn
	// declared reports whether the head has the length.
	declared bool
	// reserved is what is reserved before anything is read.
	reserved int64
	// failed is the result of further reads.
	failed error
}

// Read implements io.Reader.
func (b *body) Read(p []byte) (int, error) {
	if b.failed != nil {
		return 0, b.failed
	}
	n, err := b.ReadCloser.Read(p)
	const growth = 2 // of the buffer that a body of unknown length is read into
	if n > 0 && !b.declared && !b.conn.limiter.reserve(b.conn, int64(growth*n)) {
		b.failed = ErrNoRoom
		return 0, b.failed
	}
	if err == io.EOF && !b.conn.serve() {
		b.failed = errClosed
		return 0, b.failed
	}
	return n, err
}
