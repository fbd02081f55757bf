package httptransport

import (
	"io"
	"net/http/httptrace"
	"time"

	"github.com/pkg/errors"
)

// errCutInUpload: the connection ended while a request was being written on it.
var errCutInUpload = errors.WithMessage(io.ErrUnexpectedEOF, "httptransport: the connection ended before the request was written")

// uploadTimeout bounds the wait for the rest of a request after its peer has ended the connection. What fits into the
// kernel's queue is written at once.
const uploadTimeout = time.Second

// upload is what is known of the writing of the newest request of a connection.
//
// A socket tells an error once. If a write gets it, the read after it sees an ordinary end, in place of a reset.
type upload struct {
	// begun is set while a request is sent, written once net/http has written it.
	begun, written bool
	// writes are those in progress. failed is set once one has failed.
	writes int
	failed bool
	// changed is closed when one of these has changed while a read awaits it; nil if none does.
	changed chan struct{}
}

// notify has a read try again that awaits a change.
func (u *upload) notify() {
	if u.changed != nil {
		close(u.changed)
		u.changed = nil
	}
}

// isWhole reports whether a request was written completely; decided is false if it is still being written.
func (u *upload) isWhole() (whole, decided bool) {
	switch {
	case u.failed:
		return false, true
	case !u.begun, u.written && u.writes == 0:
		return true, true
	default:
		return false, false
	}
}

// withUpload has net/http report the end of the request to the connection.
func (x *exchange) withUpload() {
	x.ctx = httptrace.WithClientTrace(x.ctx, &httptrace.ClientTrace{WroteRequest: x.endUpload})
}

// endUpload records that net/http has written the request, but for what is in its buffer, or failed to.
func (x *exchange) endUpload(info httptrace.WroteRequestInfo) {
	x.mu.Lock()
	conn, ok := x.conn.(*trackedConn)
	x.mu.Unlock()
	if !ok {
		return
	}
	conn.mu.Lock()
	defer conn.mu.Unlock()
	conn.upload.written, conn.upload.failed = info.Err == nil, conn.upload.failed || info.Err != nil
	conn.upload.notify()
}

// endWrite records the result of a write.
func (c *trackedConn) endWrite(err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.upload.writes--
	c.upload.failed = c.upload.failed || err != nil
	c.upload.notify()
}

// endOfAnswer returns the error of a read at the end of the connection: io.EOF, or errCutInUpload if the newest request was not
// written completely by then.
func (c *trackedConn) endOfAnswer() error {
	timeout := time.NewTimer(uploadTimeout)
	defer timeout.Stop()
	for {
		whole, changed := c.awaitUpload()
		if changed == nil {
			if whole {
				return io.EOF
			}
			return errCutInUpload
		}
		select {
		case <-changed:
		case <-timeout.C:
			return errCutInUpload
		}
	}
}

// awaitUpload reports whether the newest request was written completely, or returns a channel that is closed when more may be
// known. Before the head of an answer was handed out, there is no answer that could be taken for whole.
func (c *trackedConn) awaitUpload() (whole bool, changed <-chan struct{}) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.owner != nil {
		return true, nil
	}
	whole, decided := c.upload.isWhole()
	if decided {
		return whole, nil
	}
	if c.upload.changed == nil {
		c.upload.changed = make(chan struct{})
	}
	return false, c.upload.changed
}
