// Package service is the interface to plain services. It forwards one HTTP call to one upstream and returns
// the complete answer, or an error that says whether the call may have run. Client implements it over HTTP.
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

	"sassafrasfield/internal/httptransport"
)

// Errors of a call. Compare with errors.Is.
var (
	// ErrNotRun means that the call did not reach the service, or that the service reported that it did not
	// run the call.
	ErrNotRun = errors.New("service: not run")
	// ErrRefused means that the service reported that it did not run the call. It wraps ErrNotRun.
	ErrRefused = errors.WithMessage(ErrNotRun, "refused by the service")
	// ErrUnknown means that bytes of the call may have been sent and that no complete answer was received.
	ErrUnknown = errors.New("service: outcome unknown")
	// ErrNoRoom means that the service answered and that there was no memory for its answer. It wraps ErrUnknown.
	ErrNoRoom = errors.WithMessage(ErrUnknown, "no room for the answer")
)

// NotRunHeader is the header that a service sets on a refusal, to report that it ran nothing.
const NotRunHeader = "X-Not-Run"

// maxAnswerBytes is the maximum size of the body of an answer.
const maxAnswerBytes = 16 << 20

// Call is a caller's call to a service.
type Call struct {
	Method string
	// Path is the path and query as the caller sent them.
	Path   string
	Header http.Header
	Body   []byte
	// Reserve is called before so many bytes of the answer are read into memory, and may wait; whole if they are all of it. An
	// error ends the call. It is nil if they are not accounted for.
	Reserve func(bytes int64, whole bool) error `json:"-"`
}

// Answer is a complete answer.
type Answer struct {
	Status int         `json:"status"`
	Header http.Header `json:"header"`
	Body   []byte      `json:"body"`
}

// Service is one upstream of a plain service.
type Service interface {
	// Do runs the call once. Errors: ErrNotRun, ErrUnknown.
	Do(ctx context.Context, call Call) (Answer, error)
}

// Client is a Service that calls one upstream over HTTP. It is safe for concurrent use.
type Client struct {
	base string
	http *http.Client
}

var _ Service = (*Client)(nil)

// NewClient returns a client for the upstream at address (host:port). The timeout bounds each call.
func NewClient(address string, timeout time.Duration) *Client {
	return &Client{
		base: "http://" + address,
		http: &http.Client{
			Timeout: timeout,
			// Each call uses a new connection, because the peer can close an idle connection while a call
			// that must not be sent twice is using it. An answer that is decoded on the way has no length any more.
			Transport:     httptransport.Isolate(&http.Transport{DisableKeepAlives: true, DisableCompression: true}),
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
	req.GetBody = nil // prevents net/http from sending the call a second time
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
	return readAnswer(res, call.Reserve)
}

// classify distinguishes a call of which no byte was sent from one that may have run. Bytes can be sent only
// if a connection was obtained.
func classify(err error, connected bool) error {
	if !connected {
		return errors.WithMessage(ErrNotRun, err.Error())
	}
	return errors.WithMessage(ErrUnknown, err.Error())
}

func readAnswer(res *http.Response, reserve func(int64, bool) error) (Answer, error) {
	if res.Header.Get(NotRunHeader) != "" {
		return Answer{}, ErrRefused
	}
	if !isFramed(res) {
		return Answer{}, errors.WithMessage(ErrUnknown, "the answer has neither a length nor chunks")
	}
	body, err := readBody(res, reserve)
	if errors.Is(err, ErrNoRoom) {
		return Answer{}, err
	}
	if err != nil {
		return Answer{}, errors.WithMessage(ErrUnknown, err.Error())
	}
	return Answer{Status: res.StatusCode, Header: res.Header, Body: body}, nil
}

// readBody reads a body, after the memory for it is reserved: for one with a length at once, for another one as it arrives.
func readBody(res *http.Response, reserve func(int64, bool) error) ([]byte, error) {
	if reserve == nil {
		reserve = func(int64, bool) error { return nil }
	}
	length := res.ContentLength
	if res.Request.Method == http.MethodHead {
		length = 0
	}
	if length > maxAnswerBytes {
		return nil, errTooLarge
	}
	body := io.Reader(&reservingReader{res.Body, reserve})
	if length >= 0 {
		if err := reserve(length, true); err != nil {
			return nil, errors.WithMessage(ErrNoRoom, err.Error())
		}
		body = res.Body
	}
	answer, err := httptransport.ReadSized(io.LimitReader(body, maxAnswerBytes+1), length)
	if err != nil {
		return nil, err
	}
	if len(answer) > maxAnswerBytes {
		return nil, errTooLarge
	}
	if length < 0 {
		return bytes.Clone(answer), nil // frees the rest of the buffer
	}
	return answer, nil
}

var errTooLarge = errors.New("answer too large")

// reservingReader reserves memory for what it reads.
type reservingReader struct {
	io.Reader
	reserve func(int64, bool) error
}

// Read implements io.Reader.
func (r *reservingReader) Read(p []byte) (int, error) {
	const growth = 2 // of the buffer that is read into
	n, err := r.Reader.Read(p)
	if refused := r.reserve(int64(growth*n), false); refused != nil {
		return 0, errors.WithMessage(ErrNoRoom, refused.Error())
	}
	return n, err
}

// isFramed reports whether an answer says where it ends. The end of the connection does not: the kernel of a process
// that was killed ends it in the same way.
func isFramed(res *http.Response) bool {
	return res.ContentLength >= 0 || len(res.TransferEncoding) > 0 || res.Request.Method == http.MethodHead
}
