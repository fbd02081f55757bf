package httpserver

import (
	"io"
	"net/http"
	"os"
	"sync"
	"time"

	"github.com/pkg/errors"

	"sassafrasfield/internal/httptransport"
	"sassafrasfield/internal/readlimit"
)

const (
	// MaxBodyTime bounds the time to receive a caller's body. No request is served for longer, so that a response to
	// one that takes longer would be of no use.
	MaxBodyTime = time.Minute
	// unreadBodyTime is how long the rest of a body is received that the handler did not read. Without it, net/http
	// reads up to 256 KB of it without a deadline, so that a trickle holds the connection.
	unreadBodyTime = 2 * time.Second
)

// BoundBodies returns a handler whose requests' bodies have to be received within a time. A body that is not fails with
// an *readlimit.Exceeded, and its connection is closed after the response. Peer names the kind of sender in metrics and
// logs. The sizes of bodies are bounded by the handlers that read them.
func BoundBodies(next http.Handler, peer string, within time.Duration) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Body == nil || r.Body == http.NoBody {
			next.ServeHTTP(w, r)
			return
		}
		b := &timedBody{ReadCloser: r.Body, conn: http.NewResponseController(w), start: time.Now()}
		b.begin(within)
		defer func() { httptransport.RecordCutOff(peer, r.RemoteAddr, b.end()) }()
		timed := *r // net/http keeps its own body, by which it knows how much of it was not read
		timed.Body = b
		next.ServeHTTP(w, &timed)
	})
}

// timedBody is a request's body that has to be received within a time.
type timedBody struct {
	io.ReadCloser
	conn  *http.ResponseController
	start time.Time

	mu       sync.Mutex // protects all below
	whole    *readlimit.Whole
	timer    *time.Timer
	complete bool
	exceeded error
}

func (b *timedBody) begin(within time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	const unbounded = 1 << 62                                                                          // the handler bounds the bytes
	b.whole, _ = readlimit.NewWhole(readlimit.BodyLimits{MaxBytes: unbounded, MaxTime: within}, -1, 0) // no length is declared
	b.timer = time.AfterFunc(within, b.expire)
}

// Read implements io.Reader.
func (b *timedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	b.mu.Lock()
	defer b.mu.Unlock()
	_ = b.whole.Received(n, time.Since(b.start)) // counts only, the bytes are not bounded here
	if err == io.EOF {
		b.complete = true
		b.timer.Stop()
	}
	if b.exceeded != nil && errors.Is(err, os.ErrDeadlineExceeded) {
		return n, b.exceeded
	}
	return n, err
}

// expire ends the reads of a body whose time is over.
func (b *timedBody) expire() {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.complete {
		return
	}
	if b.exceeded = b.whole.Expired(time.Since(b.start)); b.exceeded == nil {
		b.timer.Reset(b.whole.Deadline() - time.Since(b.start))
		return
	}
	_ = b.conn.SetReadDeadline(time.Now()) // fails only if the connection is closed
}

// end is called when the handler has returned. It returns the error of a body that was not received in time.
func (b *timedBody) end() error {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.timer.Stop()
	if !b.complete && b.exceeded == nil {
		_ = b.conn.SetReadDeadline(time.Now().Add(unreadBodyTime)) // net/http sets another one for the next request
	}
	return b.exceeded
}
