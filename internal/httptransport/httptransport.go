// Package httptransport keeps requests apart that use the same connection one after the other.
//
// net/http returns a connection to the idle pool before it hands out a response without a body. So for a moment
// two requests use it: the one whose response is about to be handed out, and the next one. If either is
// cancelled in that moment, net/http closes the connection, and the other one fails with the error of the first.
// Here a request is cancelled either before its response begins, and its connection is then never used again, or
// after the response was handed out. And it is sent on a connection only after the response of the request
// before it was handed out.
package httptransport

import (
	"context"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/textproto"
	"sync"
	"time"
)

// headerTimeout bounds the waits of a request: when it is cancelled, for the rest of the response's header, and
// before it is sent, for the response of the request before it. A header mostly arrives in one packet.
const headerTimeout = 100 * time.Millisecond

// transport is a http.RoundTripper whose cancelled requests do not affect others.
type transport struct {
	base     http.RoundTripper
	settings connSettings
	// users holds the exchange that uses a connection, by net.Conn, until it is finished.
	users sync.Map
}

// Isolate returns a RoundTripper that sends requests with base, and cancels each one without an effect on the
// others.
func Isolate(base *http.Transport, options ...Option) http.RoundTripper {
	return newTransport(base, connSettings{}, options)
}

func newTransport(base *http.Transport, settings connSettings, options []Option) *transport {
	t := &transport{base: base, settings: settings}
	for _, option := range options {
		option(t)
	}
	trackConns(base, &t.settings)
	return t
}

// RoundTrip implements http.RoundTripper. A request of which nothing was written on a connection is sent on another one, if its body can
// be read again.
func (t *transport) RoundTrip(request *http.Request) (*http.Response, error) {
	var lastErr error = errConnRefuses
	for range maxRefusingConns {
		if err := request.Context().Err(); err != nil {
			if request.Body != nil {
				_ = request.Body.Close() // nothing was sent
			}
			return nil, &notSentError{context.Cause(request.Context())}
		}
		response, sent, err := t.send(request)
		switch {
		case sent == sentOnConn:
			return response, err
		case sent == noConn:
			return nil, &notSentError{err}
		case err == nil:
			_ = response.Body.Close() // it answers an earlier request of the connection
		default:
			lastErr = err
		}
		next, ok := again(request)
		if !ok {
			break
		}
		request = next
	}
	return nil, &notSentError{lastErr}
}

// sendResult is what became of a request on a connection.
type sendResult int

const (
	// sentOnConn: something of it was written, for all that is known.
	sentOnConn sendResult = iota
	// notWritten: nothing of it was written.
	notWritten
	// noConn: there was no connection.
	noConn
)

// send sends a request on one connection.
func (t *transport) send(request *http.Request) (*http.Response, sendResult, error) {
	x := newExchange(request.Context(), &t.users)
	x.method = request.Method
	if t.settings.idHeader != "" {
		x.id = request.Header.Get(t.settings.idHeader)
	}
	x.withUpload()
	if t.settings.limits != nil {
		x.boundInterim()
	}
	response, err := t.base.RoundTrip(request.WithContext(x.ctx))
	if err != nil {
		err = x.exceededOr(err)
	} else if err = CheckAnswer(response); err != nil {
		x.closeConn()
		_ = response.Body.Close() // the connection is closed already
		response = nil
	} else {
		withCheckedTrailer(response)
		if t.settings.endsConn(x.id, response) {
			x.retireConn(response)
		}
	}
	result := x.result(err)
	x.finish(err)
	return response, result, err
}

// exchange is a request that is sent, and its response until that is handed out.
type exchange struct {
	ctx    context.Context // the caller's context, but for its cancellation
	cancel context.CancelCauseFunc
	// id and method are those of the request. The ID is empty if it has none.
	id, method string
	// unfollow ends the observation of the caller's context.
	unfollow func() bool
	users    *sync.Map
	// finished is closed when the response was handed out or the request failed.
	finished chan struct{}

	mu sync.Mutex // protects all below
	// conn is the connection that the request uses; nil before it has one.
	conn net.Conn
	// arriving is set from the first byte of the response until the response is handed out.
	arriving, cancelled bool
	// refused is set if the connection did not take the request.
	refused bool
}

// newExchange returns an exchange that is cancelled with the caller's context.
func newExchange(caller context.Context, users *sync.Map) *exchange {
	x := &exchange{users: users, finished: make(chan struct{})}
	detached, cancel := context.WithCancelCause(context.WithoutCancel(caller))
	x.cancel = cancel
	x.ctx = httptrace.WithClientTrace(detached, &httptrace.ClientTrace{
		GotConn: x.useConn, GotFirstResponseByte: x.beginResponse,
	})
	x.unfollow = context.AfterFunc(caller, func() { x.cancelSafely(context.Cause(caller)) })
	return x
}

// useConn records the connection on which the request is sent next, and waits until the response of the request
// before it was handed out.
func (x *exchange) useConn(info httptrace.GotConnInfo) {
	x.mu.Lock()
	x.leaveConn()
	x.conn, x.arriving = info.Conn, false
	x.mu.Unlock()
	isFinished := true
	if before, ok := x.users.Swap(info.Conn, x); ok {
		isFinished = before.(*exchange).awaitFinish()
	}
	conn, ok := info.Conn.(*trackedConn)
	if !ok {
		return
	}
	if !isFinished {
		conn.retire() // the response before may be the last one
	}
	conn.awaitHead(x)
	admitted := conn.admit(x)
	x.mu.Lock()
	x.refused = !admitted
	x.mu.Unlock()
}

// result returns what became of the request, given the error of its round trip. If nothing was written, nothing is from here on.
func (x *exchange) result(err error) sendResult {
	x.mu.Lock()
	defer x.mu.Unlock()
	conn, isTracked := x.conn.(*trackedConn)
	switch {
	case x.refused:
		return notWritten
	case err == nil:
		return sentOnConn
	case x.conn == nil:
		return noConn
	case isTracked && conn.abandon(x):
		return notWritten
	default:
		return sentOnConn
	}
}

// boundInterim has the interim responses counted. It is for bounded connections only: net/http bounds the bytes of all
// heads of an exchange together unless they are observed.
func (x *exchange) boundInterim() {
	x.ctx = httptrace.WithClientTrace(x.ctx, &httptrace.ClientTrace{Got1xxResponse: x.endInterim})
}

// exceededOr returns the error of a response that exceeded its bounds, and err for any other one. net/http reports the
// part of a header line before the cut as a malformed line.
func (x *exchange) exceededOr(err error) error {
	x.mu.Lock()
	defer x.mu.Unlock()
	if bounded, ok := x.conn.(*trackedConn); ok {
		if exceeded := bounded.exceededBy(x); exceeded != nil {
			return exceeded
		}
	}
	return err
}

// endInterim ends the exchange if it has too many interim responses, or one that is none.
func (x *exchange) endInterim(_ int, header textproto.MIMEHeader) error {
	if err := checkNames(header); err != nil {
		return err
	}
	x.mu.Lock()
	defer x.mu.Unlock()
	if bounded, ok := x.conn.(*trackedConn); ok {
		return bounded.endInterim()
	}
	return nil
}

// beginResponse records that the response begins. If the request was cancelled, the response is not read until
// net/http has closed the connection, so that the connection is not used again.
func (x *exchange) beginResponse() {
	x.mu.Lock()
	cancelled := x.cancelled
	x.arriving = !cancelled
	x.mu.Unlock()
	if cancelled {
		x.awaitFinish()
	}
}

// awaitFinish waits until the exchange is finished, and reports whether it is.
func (x *exchange) awaitFinish() bool {
	timer := time.NewTimer(headerTimeout)
	defer timer.Stop()
	select {
	case <-x.finished:
		return true
	case <-timer.C:
		return false
	}
}

// cancelSafely cancels the request, or waits until its response is handed out if that has begun.
func (x *exchange) cancelSafely(cause error) {
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.arriving {
		time.AfterFunc(headerTimeout, func() { x.cancel(cause) })
		return
	}
	x.cancelled = true
	x.cancel(cause)
}

// finish records that the response was handed out, or that the request failed. From here on the caller's
// context cancels the reading of the body, which affects no other request.
func (x *exchange) finish(err error) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.arriving = false
	x.leaveConn() // before the next request may use the connection
	close(x.finished)
	if err != nil {
		x.unfollow()
		x.cancel(err)
	}
}

// closeConn closes the connection. That of a response without a body may be idle again already.
func (x *exchange) closeConn() {
	x.mu.Lock()
	defer x.mu.Unlock()
	_ = x.conn.Close() // it is given up in any case
}

// retireConn has the connection take no further request after a response. Without a body to read it is closed.
func (x *exchange) retireConn(response *http.Response) {
	x.mu.Lock()
	defer x.mu.Unlock()
	conn, ok := x.conn.(*trackedConn)
	if !ok {
		return
	}
	conn.retire()
	if response.Body == http.NoBody {
		_ = conn.Close() // it is given up in any case
	}
}

// leaveConn removes the exchange from the users of its connection. The lock is held.
func (x *exchange) leaveConn() {
	if bounded, ok := x.conn.(*trackedConn); ok {
		bounded.endHead(x)
	}
	if x.conn != nil {
		x.users.CompareAndDelete(x.conn, x)
	}
}
