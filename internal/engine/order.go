package engine

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"syscall"
	"time"

	"github.com/pkg/errors"
	"go.opentelemetry.io/otel"
	"go.opentelemetry.io/otel/propagation"
	"golang.org/x/sys/unix"

	"sassafrasfield/internal/failpoint"
	"sassafrasfield/internal/httptransport"
)

// Order implements Engine. It uses a separate connection that is reset when Order returns or the process
// exits. Bytes that are not acknowledged by then are dropped, and none is retransmitted after ctx has ended.
func (c *Client) Order(ctx context.Context, order Order) (Status, error) {
	ctx, span := startOrderSpan(ctx, order)
	defer span.End()
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	req, err := c.orderRequest(ctx, order)
	if err != nil {
		return Status{}, err
	}
	conn, err := dialOrder(ctx, req.URL.Host)
	if err != nil {
		return Status{}, classify(err)
	}
	defer conn.Close()
	// When ctx ends, the connection is closed, which aborts a pending read or write.
	defer context.AfterFunc(ctx, func() { conn.Close() })()
	return exchange(conn, req)
}

func (c *Client) orderRequest(ctx context.Context, order Order) (*http.Request, error) {
	data, err := json.Marshal(order)
	if err != nil {
		return nil, errors.Wrap(err, "engine: encode order")
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, c.base+PathOrder, bytes.NewReader(data))
	if err != nil {
		return nil, errors.Wrap(err, "engine: create order request")
	}
	req.Close = true
	otel.GetTextMapPropagator().Inject(ctx, propagation.HeaderCarrier(req.Header))
	return req, nil
}

// dialOrder opens a connection that is reset when it is closed, by the program or by the exit of the process.
// When ctx ends, the connection drops the data that is not acknowledged.
func dialOrder(ctx context.Context, address string) (net.Conn, error) {
	dialer := net.Dialer{Control: func(_, _ string, raw syscall.RawConn) error {
		var failed error
		err := raw.Control(func(fd uintptr) { failed = setOrderSocketOptions(int(fd), remainingTime(ctx)) })
		if err != nil {
			return errors.WithStack(err)
		}
		return failed
	}}
	return dialer.DialContext(ctx, "tcp", address)
}

// remainingTime returns the time until the deadline of ctx, at least 1 ms. It returns 0 if there is no
// deadline.
func remainingTime(ctx context.Context) time.Duration {
	deadline, ok := ctx.Deadline()
	if !ok {
		return 0
	}
	return max(time.Until(deadline), time.Millisecond)
}

// setOrderSocketOptions sets the options of an order's socket. The timeout bounds retransmission; 0 sets no
// such bound.
func setOrderSocketOptions(fd int, timeout time.Duration) error {
	linger := unix.Linger{Onoff: 1, Linger: 0}
	if err := unix.SetsockoptLinger(fd, unix.SOL_SOCKET, unix.SO_LINGER, &linger); err != nil {
		return errors.Wrap(err, "engine: SO_LINGER")
	}
	err := unix.SetsockoptInt(fd, unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(timeout.Milliseconds()))
	return errors.Wrap(err, "engine: TCP_USER_TIMEOUT")
}

// exchange sends the request and reads the response.
func exchange(conn net.Conn, req *http.Request) (Status, error) {
	failpoint.Hit("engine.order.before_write")
	if err := req.Write(conn); err != nil {
		return Status{}, errors.WithMessage(ErrBroken, err.Error())
	}
	res, err := http.ReadResponse(bufio.NewReader(conn), req)
	if err != nil {
		return Status{}, errors.WithMessage(ErrBroken, err.Error())
	}
	defer res.Body.Close()
	if err := httptransport.CheckAnswer(res); err != nil {
		return Status{}, errors.WithMessage(ErrBroken, err.Error())
	}
	if err := statusError(res); err != nil {
		return Status{}, err
	}
	var status Status
	if err := json.NewDecoder(io.LimitReader(res.Body, maxReplyBytes)).Decode(&status); err != nil {
		return Status{}, errors.WithMessage(ErrBroken, err.Error())
	}
	return status, nil
}
