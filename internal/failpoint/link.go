package failpoint

import (
	"context"
	"net"
	"os"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/pkg/errors"
)

// LinkVariable is the environment variable with the path of a file that sets the fault of the links of a
// process. The file may change while the process runs. Without the variable, links have no faults.
const LinkVariable = "SF_LINK_FAULT_FILE"

// LinkFault is the content of that file.
type LinkFault string

// The faults of links.
const (
	// LinkOK: no fault; the same as no file.
	LinkOK LinkFault = ""
	// LinkSilent drops all packets: connections are not established, and established ones hang. One of which a packet was dropped
	// hangs until it times out, even if the link has no fault by then.
	LinkSilent LinkFault = "silent"
	// LinkReset refuses new connections and resets established ones.
	LinkReset LinkFault = "reset"
	// LinkRefuseNew refuses new connections only.
	LinkRefuseNew LinkFault = "refuse new"
	// LinkOpenSilent drops all packets of the connections that were open when the fault was set, those of their close
	// included. New connections have no fault.
	LinkOpenSilent LinkFault = "open silent"
)

// LinkTimeouts are the timeouts of connections that a silent link must not outlast.
type LinkTimeouts struct {
	// Connect bounds the establishment of a connection, Unacknowledged the time that sent data may stay
	// unacknowledged.
	Connect, Unacknowledged time.Duration
}

// DialFunc opens a connection.
type DialFunc = func(ctx context.Context, network, address string) (net.Conn, error)

// WrapDial returns a dial function whose connections have the faults that the file sets. Unless LinkVariable
// is set, it returns dial itself.
func WrapDial(dial DialFunc, timeouts LinkTimeouts) DialFunc {
	path := os.Getenv(LinkVariable)
	if path == "" {
		return dial
	}
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		switch readLinkFault(path) {
		case LinkSilent:
			return nil, awaitTimeout(ctx, timeouts.Connect)
		case LinkReset, LinkRefuseNew:
			return nil, &net.OpError{Op: "dial", Net: network, Err: os.NewSyscallError("connect", syscall.ECONNREFUSED)}
		}
		conn, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return &faultyConn{Conn: conn, path: path, timeouts: timeouts, opened: time.Now(), closed: make(chan struct{})}, nil
	}
}

// fault returns the fault of the connection. One that dropped packets stays silent: what follows them must not arrive without them.
func (c *faultyConn) fault() LinkFault {
	fault := readLinkFault(c.path)
	if info, err := os.Stat(c.path); fault == LinkOpenSilent && (err != nil || !c.opened.Before(info.ModTime())) {
		fault = LinkOK
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case fault == LinkSilent || fault == LinkOpenSilent:
		c.dropped = fault
	case fault != LinkReset && c.dropped != LinkOK:
		return c.dropped
	}
	return fault
}

// readLinkFault reads the file. A file that cannot be read sets no fault.
func readLinkFault(path string) LinkFault {
	text, err := os.ReadFile(path)
	if err != nil {
		return LinkOK
	}
	return LinkFault(strings.TrimSpace(string(text)))
}

func awaitTimeout(ctx context.Context, d time.Duration) error {
	ctx, cancel := context.WithTimeout(ctx, d)
	defer cancel()
	<-ctx.Done()
	return &net.OpError{Op: "dial", Net: "tcp", Err: os.ErrDeadlineExceeded}
}

// faultyConn is a connection over a link with faults.
type faultyConn struct {
	net.Conn
	path     string
	timeouts LinkTimeouts
	opened   time.Time
	// closed is closed with the connection.
	closed    chan struct{}
	closeOnce sync.Once

	mu   sync.Mutex // protects all below
	lost error      // the error of a connection that has failed
	// dropped is the silent fault under which the connection was used; LinkOK for none.
	dropped LinkFault
}

// Read implements net.Conn. On a silent link it drops what arrives, the end of the connection included.
func (c *faultyConn) Read(p []byte) (int, error) {
	for {
		n, err := c.Conn.Read(p)
		if lost := c.failure(); lost != nil {
			return 0, lost
		}
		if errors.Is(err, os.ErrDeadlineExceeded) || errors.Is(err, net.ErrClosed) {
			return n, err
		}
		switch c.fault() {
		case LinkSilent:
			c.failLater()
		case LinkOpenSilent: // nothing was sent that could time out
		case LinkReset:
			return 0, c.fail(syscall.ECONNRESET)
		default:
			return n, err
		}
		if err != nil {
			<-c.closed
			return 0, c.closeError()
		}
	}
}

// closeError returns the error of a closed connection.
func (c *faultyConn) closeError() error {
	if lost := c.failure(); lost != nil {
		return lost
	}
	return net.ErrClosed
}

// Write implements net.Conn. On a silent link it drops the data.
func (c *faultyConn) Write(p []byte) (int, error) {
	if lost := c.failure(); lost != nil {
		return 0, lost
	}
	switch c.fault() {
	case LinkSilent, LinkOpenSilent:
		c.failLater()
		return len(p), nil
	case LinkReset:
		return 0, c.fail(syscall.ECONNRESET)
	default:
		return c.Conn.Write(p)
	}
}

func (c *faultyConn) failure() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.lost
}

// failLater has the connection time out, because data was dropped.
func (c *faultyConn) failLater() {
	time.AfterFunc(c.timeouts.Unacknowledged, func() { _ = c.fail(syscall.ETIMEDOUT) }) // later calls return it
}

// fail ends the connection with an error, which it returns.
func (c *faultyConn) fail(code syscall.Errno) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.lost == nil {
		c.lost = &net.OpError{Op: "read", Net: "tcp", Err: os.NewSyscallError("read", code)}
		_ = c.Conn.Close() // the error of the connection is the one above
		c.closeOnce.Do(func() { close(c.closed) })
	}
	return c.lost
}

// silentCloseAfter is when the peer of a connection that went silent notices that it was closed.
const silentCloseAfter = 15 * time.Second

// Close implements net.Conn. On a connection that went silent, the close does not arrive.
func (c *faultyConn) Close() error {
	defer c.closeOnce.Do(func() { close(c.closed) })
	if c.fault() != LinkOpenSilent {
		return c.Conn.Close()
	}
	c.mu.Lock()
	c.lost = net.ErrClosed
	c.mu.Unlock()
	time.AfterFunc(silentCloseAfter, func() { _ = c.Conn.Close() }) // nobody uses it any more
	return c.Conn.SetDeadline(time.Now())
}
