package engine

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/pkg/errors"
	"go.opentelemetry.io/otel"
	"go.opentelemetry.io/otel/propagation"

	"sassafrasfield/internal/httptransport"
)

// Paths of an engine's HTTP interface; see docs/INTERFACES.md.
const (
	PathGenerate    = "/generate"
	PathCancel      = "/cancel"
	PathReport      = "/report"
	PathCacheEvents = "/cache-events"
	PathOrder       = "/order"
	PathStatus      = "/status"
	PathExport      = "/kv/export"
	PathImport      = "/kv/import"
)

// Headers of the response to a Generate call: the engine's boot id, and the value of its count
// Report.Accepted at this request.
const (
	HeaderBoot     = "X-Boot"
	HeaderAccepted = "X-Accepted"
)

// maxTrailerBytes is the maximum number of bytes read after the end of a reply.
const maxTrailerBytes = 4 << 10

// maxReplyBytes is the maximum number of bytes read of a reply that is not a stream.
const maxReplyBytes = 8 << 20

// StreamID is the body of a call that names a stream.
type StreamID struct {
	ID string `json:"id"`
}

// Client is an Engine that uses an engine's HTTP interface. It is safe for concurrent use.
type Client struct {
	base    string
	http    *http.Client
	timeout time.Duration
	// numbersRequests is true if the engine numbers the requests that it accepts, so that its reports need
	// not list them.
	numbersRequests atomic.Bool
}

var _ Engine = (*Client)(nil)

// NewClient returns a client for the engine at address (host:port). The timeout bounds each call except
// Generate, and the wait for the response headers of a Generate call.
func NewClient(address string, timeout time.Duration) *Client {
	return &Client{
		base: "http://" + address,
		http: &http.Client{Transport: httptransport.Isolate(&http.Transport{
			MaxIdleConnsPerHost:   64,
			IdleConnTimeout:       time.Minute,
			ResponseHeaderTimeout: timeout,
		}, httptransport.WithLastResponse(isRefusal))},
		timeout: timeout,
	}
}

// Generate implements Engine.
func (c *Client) Generate(ctx context.Context, req Request) (Stream, error) {
	res, err := c.post(ctx, PathGenerate, req)
	if err != nil {
		return nil, err
	}
	number, _ := strconv.ParseInt(res.Header.Get(HeaderAccepted), 10, 64) // the engine may send no number
	if number > 0 {
		c.numbersRequests.Store(true)
	}
	return &responseStream{
		body: res.Body, decoder: json.NewDecoder(res.Body),
		boot: res.Header.Get(HeaderBoot), number: number,
	}, nil
}

// Cancel implements Engine.
func (c *Client) Cancel(ctx context.Context, id string) error {
	return c.callJSON(ctx, PathCancel, StreamID{ID: id}, nil)
}

// Report implements Engine.
func (c *Client) Report(ctx context.Context) (Report, error) {
	var report Report
	path := PathReport
	if c.numbersRequests.Load() {
		path += "?recent=0"
	}
	err := c.callJSON(ctx, path, nil, &report)
	return report, err
}

// CacheEvents implements Engine.
func (c *Client) CacheEvents(ctx context.Context, after int64) (CacheEvents, error) {
	var events CacheEvents
	err := c.callJSON(ctx, PathCacheEvents+"?after="+strconv.FormatInt(after, 10), nil, &events)
	return events, err
}

// Status implements Engine.
func (c *Client) Status(ctx context.Context) (Status, error) {
	var status Status
	err := c.callJSON(ctx, PathStatus, nil, &status)
	return status, err
}

// Export implements Engine.
func (c *Client) Export(ctx context.Context, id string) (KVExport, error) {
	var kv KVExport
	err := c.callJSON(ctx, PathExport, StreamID{ID: id}, &kv)
	return kv, err
}

// Import implements Engine.
func (c *Client) Import(ctx context.Context, kv KVExport) error {
	return c.callJSON(ctx, PathImport, kv, nil)
}

func (c *Client) callJSON(ctx context.Context, path string, body, reply any) error {
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	res, err := c.post(ctx, path, body)
	if err != nil {
		return err
	}
	defer drain(res.Body)
	if reply == nil {
		return nil
	}
	if err := json.NewDecoder(io.LimitReader(res.Body, maxReplyBytes)).Decode(reply); err != nil {
		return errors.WithMessage(ErrBroken, err.Error())
	}
	return nil
}

// drain reads the rest of a body that is at its end and closes it, so that the connection can be reused.
func drain(body io.ReadCloser) {
	_, _ = io.CopyN(io.Discard, body, maxTrailerBytes) // an error only prevents reuse of the connection
	_ = body.Close()
}

// post sends a request and returns the response if its status is 200. The method is POST with a body and GET
// without one.
func (c *Client) post(ctx context.Context, path string, body any) (*http.Response, error) {
	method, payload := http.MethodGet, io.Reader(nil)
	if body != nil {
		data, err := json.Marshal(body)
		if err != nil {
			return nil, errors.Wrap(err, "engine: encode request")
		}
		method, payload = http.MethodPost, bytes.NewReader(data)
	}
	req, err := http.NewRequestWithContext(ctx, method, c.base+path, payload)
	if err != nil {
		return nil, errors.Wrap(err, "engine: create request")
	}
	otel.GetTextMapPropagator().Inject(ctx, propagation.HeaderCarrier(req.Header))
	res, err := c.http.Do(req)
	if err != nil {
		return nil, classify(err)
	}
	if err := statusError(res); err != nil {
		res.Body.Close()
		return nil, err
	}
	return res, nil
}

func classify(err error) error {
	if errors.Is(err, syscall.ECONNREFUSED) {
		return errors.WithMessage(ErrUnreachable, err.Error())
	}
	return errors.WithMessage(ErrBroken, err.Error())
}

// isRefusal reports whether a response tells that a call failed. An engine may write a copy of it after it, also later, and no response
// has the ID of its request.
func isRefusal(res *http.Response) bool { return statusError(res) != nil }

func statusError(res *http.Response) error {
	switch res.StatusCode {
	case http.StatusOK:
		return nil
	case http.StatusNotFound:
		return ErrNoStream
	case http.StatusServiceUnavailable, http.StatusTooManyRequests:
		return ErrNotRun
	case http.StatusPreconditionFailed:
		return ErrFenced
	default:
		return errors.WithMessagef(ErrBroken, "status %d", res.StatusCode)
	}
}

// responseStream is a Stream that reads one JSON object per line of a response.
type responseStream struct {
	body    io.ReadCloser
	decoder *json.Decoder
	done    bool
	boot    string
	number  int64
}

// Accepted implements NumberedStream.
func (s *responseStream) Accepted() (boot string, number int64) {
	return s.boot, s.number
}

func (s *responseStream) Next() (Piece, error) {
	if s.done {
		return Piece{}, io.EOF
	}
	var piece Piece
	if err := s.decoder.Decode(&piece); err != nil {
		return Piece{}, errors.WithMessage(ErrBroken, err.Error())
	}
	s.done = piece.Finish != ""
	return piece, nil
}

// Close implements Stream. The rest of a complete answer is read in the background, so that an engine that
// freezes at the end of an answer does not block the caller.
func (s *responseStream) Close() error {
	if s.done {
		go drain(s.body)
		return nil
	}
	return s.body.Close()
}
