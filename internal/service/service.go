// Package service is the edge to plain services: one HTTP call passed on to
// one upstream. Client is the one adapter.
package service

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"net/http/httptrace"
	"time"

	"github.com/pkg/errors"
	"go.opentelemetry.io/otel"
	"go.opentelemetry.io/otel/propagation"
)

// Errors of a call. Compare with errors.Is.
var (
	// ErrNotRun: the call did not reach the service, or the service itself
	// said that it did not run it.
	ErrNotRun = errors.New("service: not run")
	// ErrRefused: the service itself said that it did not run the call. It is
	// an ErrNotRun too.
	ErrRefused = errors.WithMessage(ErrNotRun, "refused by the service")
	// ErrUnknown: bytes of the call left and no whole answer came.
	ErrUnknown = errors.New("service: outcome unknown")
)

// NotRunHeader is set by a service on a refusal, to say that it ran nothing.
const NotRunHeader = "X-Not-Run"

// maxAnswerBytes bounds an answer that is read whole.
const maxAnswerBytes = 16 << 20

// Call is one call of a caller.
type Call struct {
	Method string
	// Path with its query, as the caller sent it.
	Path   string
	Header http.Header
	Body   []byte
}

// Answer is a whole answer.
type Answer struct {
	Status int         `json:"status"`
	Header http.Header `json:"header"`
	Body   []byte      `json:"body"`
}

// Service is one plain service's upstream.
type Service interface {
	// Do runs the call once. Errors: ErrNotRun, ErrUnknown.
	Do(ctx context.Context, call Call) (Answer, error)
}

// Client calls one upstream over HTTP. It is safe for use by several
// goroutines.
type Client struct {
	base string
	http *http.Client
}

var _ Service = (*Client)(nil)

// NewClient returns a client for the upstream at address (host:port). Timeout
// bounds each call.
func NewClient(address string, timeout time.Duration) *Client {
	return &Client{
		base: "http://" + address,
		http: &http.Client{
			Timeout: timeout,
			// A connection for each call: a kept one can be closed by the peer
			// under a call that must not be sent twice.
			Transport:     &http.Transport{DisableKeepAlives: true},
			CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
		},
	}
}

// Do implements Service.
func (c *Client) Do(ctx context.Context, call Call) (Answer, error) {
	req, err := http.NewRequestWithContext(ctx, call.Method, c.base+call.Path, bytes.NewReader(call.Body))
	if err != nil {
		return Answer{}, errors.WithMessage(ErrNotRun, err.Error())
	}
	req.GetBody = nil // never sent twice by the library
	for name, values := range call.Header {
		req.Header[name] = values
	}
	otel.GetTextMapPropagator().Inject(ctx, propagation.HeaderCarrier(req.Header))
	connected := false
	res, err := c.http.Do(req.WithContext(httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { connected = true },
	})))
	if err != nil {
		return Answer{}, classify(err, connected)
	}
	defer res.Body.Close()
	return readAnswer(res)
}

// classify tells a call of which no byte left from one that may have run: a
// byte can leave only on a connection that was had.
func classify(err error, connected bool) error {
	if !connected {
		return errors.WithMessage(ErrNotRun, err.Error())
	}
	return errors.WithMessage(ErrUnknown, err.Error())
}

func readAnswer(res *http.Response) (Answer, error) {
	body, err := io.ReadAll(io.LimitReader(res.Body, maxAnswerBytes+1))
	if err != nil {
		return Answer{}, errors.WithMessage(ErrUnknown, err.Error())
	}
	if len(body) > maxAnswerBytes {
		return Answer{}, errors.WithMessage(ErrUnknown, "answer too large")
	}
	if res.Header.Get(NotRunHeader) != "" {
		return Answer{}, ErrRefused
	}
	return Answer{Status: res.StatusCode, Header: res.Header, Body: body}, nil
}
