package connlimit

import (
	"io"
	"net"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

const (
	// fieldBytes is what a field of a head takes in memory beside its text, once it is parsed and copied: 26 to 105 bytes
	// a copy, and the garbage of parsing.
	fieldBytes = 256
	// headCopies is how often the text of a head is kept.
	headCopies = 2
	// headSlack is how much longer a head may be as received than its fields with their separators: its first line, and
	// spaces.
	headSlack = 1 << 10
	// queueBytes is what the kernel queues of requests that a client sends ahead.
	queueBytes = 64 << 10
)

// Bounds of the end of a refused connection. A client that is still sending would lose the response by a reset.
const (
	lingerTime  = 200 * time.Millisecond
	lingerBytes = 256 << 10
)

// Conn is the connection of a client. It passes the head of a request on once that is complete and its cost is reserved, so
// that an incomplete head costs no more than its bytes.
//
// net/http reads from a connection in one goroutine at a time: a head after ConnState with StateIdle, then a body if the
// handler reads it, and while the handler runs on, one byte of what comes next.
type Conn struct {
	net.Conn
	limiter *Limiter
	account *Account

	// inHead is set while the next bytes belong to a head.
	inHead bool
	// kept is set once a request was answered.
	kept    bool
	scanner headScanner
	// held are received bytes that were not passed on, of which the first scanned ones were scanned. The first ready ones
	// are a complete head.
	held           []byte
	scanned, ready int
	// framing is that of the body that is passed on. Nothing beyond its end is.
	framing framing
	// serving is set while a request that was received completely is being served. ahead is set if more was received.
	serving, ahead atomic.Bool

	writing sync.Mutex // held during each write; protects responded
	// responded is set once a part of the response to the present request was written.
	responded bool
}

// continueResponse is what net/http writes when it begins to read a body that the client announced. The response follows.
const continueResponse = "HTTP/1.1 100 Continue\r\n\r\n"

// NetConn returns the connection below.
func (c *Conn) NetConn() net.Conn { return c.Conn }

// Write implements net.Conn.
func (c *Conn) Write(p []byte) (int, error) {
	c.writing.Lock()
	defer c.writing.Unlock()
	if string(p) != continueResponse {
		c.responded = true
	}
	return c.Conn.Write(p)
}

// Close implements net.Conn.
func (c *Conn) Close() error {
	c.limiter.forget(c)
	return c.Conn.Close()
}

// CloseWrite closes the writing side of a TCP connection.
func (c *Conn) CloseWrite() error {
	if tcp := c.tcp(); tcp != nil {
		return tcp.CloseWrite()
	}
	return nil
}

// tcp returns the TCP connection below; nil if there is none.
func (c *Conn) tcp() *net.TCPConn {
	conn := c.Conn
	for {
		switch inner := conn.(type) {
		case *net.TCPConn:
			return inner
		case interface{ NetConn() net.Conn }:
			conn = inner.NetConn()
		default:
			return nil
		}
	}
}

// Read implements net.Conn.
func (c *Conn) Read(p []byte) (int, error) {
	if c.inHead {
		return c.readHead(p)
	}
	return c.pass(p)
}

// pass passes received bytes on.
func (c *Conn) pass(p []byte) (int, error) {
	if c.ready > 0 {
		n := c.take(p[:min(len(p), c.ready)])
		c.ready -= n
		return n, nil
	}
	n, err := c.take(p), error(nil)
	if n == 0 {
		n, err = c.Conn.Read(p)
	}
	if n == 0 {
		return 0, err
	}
	if c.framing.part != frameEnd {
		if end := c.framing.body(p[:n]); end < n {
			c.held = append(slices.Clone(p[end:n]), c.held...)
			n, err = end, nil // an error comes again
		}
	} else {
		c.noteAhead()
	}
	c.scanner.pass(p[:n])
	return n, err
}

// take moves held bytes.
func (c *Conn) take(p []byte) int {
	n := copy(p, c.held)
	if c.held = c.held[n:]; len(c.held) == 0 {
		c.held = nil // an idle connection keeps no buffer
	}
	return n
}

// noteAhead charges a connection for further requests that arrive while one is served, which the kernel queues.
func (c *Conn) noteAhead() {
	if c.serving.Load() && !c.ahead.Swap(true) {
		c.limiter.charge(c, queueBytes)
	}
}

// readHead waits until a head is complete.
func (c *Conn) readHead(p []byte) (int, error) {
	if len(c.held) == 0 {
		n, err := c.Conn.Read(p)
		if n == 0 {
			return 0, err
		}
		if !c.limiter.enter(c, Receiving) {
			return 0, net.ErrClosed
		}
		if end := c.scanner.scan(p[:n]); end >= 0 {
			if end < n {
				c.held = slices.Clone(p[end:n])
			}
			if err := c.endHead(); err != nil {
				return 0, err
			}
			return end, nil
		}
		if !c.hold(p[:n]) {
			return 0, c.refuse(http.StatusServiceUnavailable)
		}
		c.scanned = n
		c.boundTime()
	}
	if err := c.completeHead(); err != nil {
		return 0, err
	}
	return c.pass(p)
}

// completeHead reads until the held bytes contain a complete head, and reserves what it costs.
func (c *Conn) completeHead() error {
	for c.ready == 0 {
		if fresh := c.held[c.scanned:]; len(fresh) > 0 {
			end := c.scanner.scan(fresh)
			if end >= 0 {
				c.ready = c.scanned + end
				break
			}
			c.scanned = len(c.held)
		}
		if c.scanner.bytes > c.maxHead() {
			return c.refuse(http.StatusRequestHeaderFieldsTooLarge)
		}
		if err := c.readMore(); err != nil {
			return err
		}
	}
	c.scanned = 0
	return c.endHead()
}

// readMore reads further bytes of a head.
func (c *Conn) readMore() error {
	var piece [2 << 10]byte
	n, err := c.Conn.Read(piece[:])
	if n > 0 && !c.hold(piece[:n]) {
		return c.refuse(http.StatusServiceUnavailable)
	}
	if n > 0 {
		return nil // an error comes again
	}
	return err
}

// hold keeps bytes, or reports false if there is no room for them.
func (c *Conn) hold(p []byte) bool {
	const growth = 2 // of the buffer
	if !c.limiter.reserve(c, int64(growth*len(p))) {
		return false
	}
	c.held = append(c.held, p...)
	return true
}

// endHead reserves what a complete head costs once it is parsed.
func (c *Conn) endHead() error {
	if c.scanner.bytes > c.maxHead() {
		return c.refuse(http.StatusRequestHeaderFieldsTooLarge)
	}
	if !c.limiter.reserve(c, headCost(c.scanner.bytes, c.scanner.lines)) {
		return c.refuse(http.StatusServiceUnavailable)
	}
	c.inHead = false
	return nil
}

// headCost returns what a parsed head takes, given its size and the number of its lines.
func headCost(bytes, lines int) int64 { return int64(headCopies*bytes + fieldBytes*lines) }

func (c *Conn) maxHead() int { return c.limiter.options.MaxHeadBytes() + headSlack }

// boundTime sets the deadline of a head that has begun on a kept connection, whose deadline was that of an idle one.
func (c *Conn) boundTime() {
	if c.kept {
		_ = c.Conn.SetReadDeadline(time.Time{}) // ends the idle time; fails only if the connection is closed
		_ = c.Conn.SetReadDeadline(time.Now().Add(c.limiter.options.HeadTimeout))
	}
}

// refuse answers a request that is not parsed, and ends the connection. It returns the error of the read, after which
// net/http closes the connection without a response of its own.
func (c *Conn) refuse(status int) error {
	c.limiter.noteRefused(c, status, int64(c.scanner.bytes))
	c.held, c.ready = nil, 0
	_ = c.Conn.SetDeadline(time.Now().Add(lingerTime)) // fails only if the connection is closed, as all below
	if _, err := io.WriteString(c, c.limiter.message(status)); err == nil {
		_ = c.CloseWrite()
		_, _ = io.CopyN(io.Discard, c.Conn, lingerBytes)
	}
	return io.EOF
}

// tryRefuse tells the client that its request is not run, before the connection is closed. It does nothing if no byte of a request
// was received, or once a part of a response was written. It never blocks.
func (c *Conn) tryRefuse() {
	if !c.writing.TryLock() {
		return
	}
	defer c.writing.Unlock()
	tcp := c.tcp()
	if tcp == nil || c.responded {
		return
	}
	c.responded = true
	raw, err := tcp.SyscallConn()
	if err != nil {
		return
	}
	_ = raw.Write(func(fd uintptr) bool {
		if c.account.receives() || hasUnread(int(fd)) {
			_, _ = syscall.Write(int(fd), []byte(c.limiter.message(http.StatusServiceUnavailable))) // best effort, as the client may not read
		}
		return true
	})
}

// hasUnread reports whether the kernel has received bytes that were not read.
func hasUnread(fd int) bool {
	var first [1]byte
	n, _, err := syscall.Recvfrom(fd, first[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
	return err == nil && n > 0
}

// awaitNext begins to wait for the next request, after a response.
func (c *Conn) awaitNext() {
	c.inHead, c.kept, c.framing = true, true, framing{}
	c.scanned, c.ready = 0, 0
	c.scanner.next()
	c.writing.Lock()
	c.responded = false
	c.writing.Unlock()
	c.serving.Store(false)
	c.ahead.Store(false)
	c.limiter.endRequest(c)
	if len(c.held) > 0 {
		c.limiter.enter(c, Receiving)
		c.limiter.charge(c, int64(len(c.held)))
	}
}
