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
)

// Order implements Engine. It uses a connection of its own, which is gone when
// Order returns or when the process ends: bytes that were not acknowledged yet
// are dropped with it, and none is sent again after ctx has ended.
func (c *Client) Order(ctx context.Context, order Order) (Status, error) {
	ctx, span := startOrder(ctx, order)
	defer span.End()
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	req, err := c.orderRequest(ctx, order)
	if err != nil {
		return Status{}, err
	}
	conn, err := dialOnce(ctx, req.URL.Host)
	if err != nil {
		return Status{}, classify(err)
	}
	defer conn.Close()
	// The end of ctx closes the connection under a read or write.
	defer context.AfterFunc(ctx, func() { conn.Close() })()
	return exchange(conn, req)
}

func (c *Client) orderRequest(ctx context.Context, order Order) (*http.Request, error) {
	data, err := json.Marshal(order)
	if err != nil {
		return nil, errors.Wrap(err, "engine: encode")
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, c.base+PathOrder, bytes.NewReader(data))
	if err != nil {
		return nil, errors.Wrap(err, "engine: request")
	}
	req.Close = true
	otel.GetTextMapPropagator().Inject(ctx, propagation.HeaderCarrier(req.Header))
	return req, nil
}

// dialOnce opens a connection that is reset when it closes, by the program or
// by the process's end, and that gives up what is not acknowledged when ctx
// ends.
func dialOnce(ctx context.Context, address string) (net.Conn, error) {
	dialer := net.Dialer{Control: func(_, _ string, raw syscall.RawConn) error {
		var failed error
		err := raw.Control(func(fd uintptr) { failed = boundLife(int(fd), timeLeft(ctx)) })
		if err != nil {
			return errors.WithStack(err)
		}
		return failed
	}}
	return dialer.DialContext(ctx, "tcp", address)
}

// timeLeft until the deadline of ctx, a millisecond at least.
func timeLeft(ctx context.Context) time.Duration {
	deadline, ok := ctx.Deadline()
	if !ok {
		return 0
	}
	return max(time.Until(deadline), time.Millisecond)
}

// boundLife sets the options of an order's socket; life 0 sets no bound on
// retransmission.
func boundLife(fd int, life time.Duration) error {
	linger := unix.Linger{Onoff: 1, Linger: 0}
	if err := unix.SetsockoptLinger(fd, unix.SOL_SOCKET, unix.SO_LINGER, &linger); err != nil {
		return errors.Wrap(err, "engine: SO_LINGER")
	}
	err := unix.SetsockoptInt(fd, unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(life.Milliseconds()))
	return errors.Wrap(err, "engine: TCP_USER_TIMEOUT")
}

// exchange sends the request and reads its answer.
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
	if err := statusError(res); err != nil {
		return Status{}, err
	}
	var status Status
	if err := json.NewDecoder(io.LimitReader(res.Body, maxReplyBytes)).Decode(&status); err != nil {
		return Status{}, errors.WithMessage(ErrBroken, err.Error())
	}
	return status, nil
}
