package platform

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/url"
	"syscall"
	"time"

	"github.com/pkg/errors"
	"go.opentelemetry.io/otel"
	"go.opentelemetry.io/otel/codes"
	"go.opentelemetry.io/otel/propagation"
	"go.opentelemetry.io/otel/trace"

	"sassafrasfield/internal/httptransport"
)

// Paths of the platform's HTTP interface; see docs/INTERFACES.md.
const (
	PathGet       = "/table/get"
	PathList      = "/table/list"
	PathCommit    = "/table/commit"
	PathObjects   = "/objects/"
	PathInstances = "/instances"
	PathWeights   = "/weights"
)

// maxReplyBytes bounds how much of one reply is read.
const maxReplyBytes = 64 << 20

// KeyRequest requests one row.
type KeyRequest struct {
	Key string `json:"key"`
}

// ListRequest requests the rows whose key has a prefix.
type ListRequest struct {
	Prefix string `json:"prefix"`
}

// ListReply answers a ListRequest.
type ListReply struct {
	Rows []Row `json:"rows"`
}

// CommitReply answers a Txn with the revision of its writes.
type CommitReply struct {
	Revision int64 `json:"revision"`
}

// InstancesReply answers a request for the instance list.
type InstancesReply struct {
	Instances []Instance `json:"instances"`
}

// WeightsReply answers a request for the rate limit of the weight store.
type WeightsReply struct {
	BytesPerSecond float64 `json:"bytes_per_second"`
}

// Client calls the platform over its HTTP interface. It is safe for concurrent
// use.
type Client struct {
	base    string
	http    *http.Client
	timeout time.Duration
}

var _ Platform = (*Client)(nil)

// NewClient returns a client for the platform at address (host:port). The
// timeout bounds each call.
func NewClient(address string, timeout time.Duration) *Client {
	transport := &http.Transport{MaxIdleConnsPerHost: 16, IdleConnTimeout: time.Minute}
	return &Client{
		base:    "http://" + address,
		http:    &http.Client{Transport: httptransport.Isolate(transport, httptransport.WithLastResponse(isRefusal))},
		timeout: timeout,
	}
}

// Get implements Table.
func (c *Client) Get(ctx context.Context, key string) (Row, error) {
	var row Row
	err := c.call(ctx, http.MethodPost, PathGet, KeyRequest{Key: key}, &row)
	return row, err
}

// List implements Table.
func (c *Client) List(ctx context.Context, prefix string) ([]Row, error) {
	var reply ListReply
	err := c.call(ctx, http.MethodPost, PathList, ListRequest{Prefix: prefix}, &reply)
	return reply.Rows, err
}

// Commit implements Table.
func (c *Client) Commit(ctx context.Context, txn Txn) (int64, error) {
	var reply CommitReply
	err := c.call(ctx, http.MethodPost, PathCommit, txn, &reply)
	return reply.Revision, err
}

// PutObject implements Objects.
func (c *Client) PutObject(ctx context.Context, name string, data []byte) error {
	return c.call(ctx, http.MethodPut, PathObjects+url.PathEscape(name), json.RawMessage(data), nil)
}

// GetObject implements Objects. Objects are JSON documents.
func (c *Client) GetObject(ctx context.Context, name string) ([]byte, error) {
	var data json.RawMessage
	err := c.call(ctx, http.MethodGet, PathObjects+url.PathEscape(name), nil, &data)
	return data, err
}

// Instances implements InstanceList.
func (c *Client) Instances(ctx context.Context) ([]Instance, error) {
	var reply InstancesReply
	err := c.call(ctx, http.MethodGet, PathInstances, nil, &reply)
	return reply.Instances, err
}

// WeightRate implements WeightStore.
func (c *Client) WeightRate(ctx context.Context) (float64, error) {
	var reply WeightsReply
	err := c.call(ctx, http.MethodGet, PathWeights, nil, &reply)
	return reply.BytesPerSecond, err
}

func (c *Client) call(ctx context.Context, method, path string, body, reply any) error {
	ctx, span := otel.Tracer("platform").Start(ctx, "platform "+path, trace.WithSpanKind(trace.SpanKindClient))
	defer span.End()
	err := c.send(ctx, method, path, body, reply)
	if err != nil && !errors.Is(err, ErrNotFound) {
		span.SetStatus(codes.Error, err.Error())
	}
	return err
}

func (c *Client) send(ctx context.Context, method, path string, body, reply any) error {
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	var payload io.Reader
	if body != nil {
		data, err := json.Marshal(body)
		if err != nil {
			return errors.Wrap(err, "platform: encode")
		}
		payload = bytes.NewReader(data)
	}
	req, err := http.NewRequestWithContext(ctx, method, c.base+path, payload)
	if err != nil {
		return errors.Wrap(err, "platform: request")
	}
	otel.GetTextMapPropagator().Inject(ctx, propagation.HeaderCarrier(req.Header))
	res, err := c.http.Do(req)
	if err != nil {
		return classify(err)
	}
	defer res.Body.Close()
	return readReply(res, reply)
}

// classify maps a transport error to ErrUnavailable if the call cannot have had
// an effect, and to ErrUnknown otherwise.
func classify(err error) error {
	if errors.Is(err, syscall.ECONNREFUSED) {
		return errors.WithMessage(ErrUnavailable, err.Error())
	}
	return errors.WithMessage(ErrUnknown, err.Error())
}

// isRefusal reports whether a response tells that a call failed. A copy of it may
// follow, also later, and no response has the ID of its request.
func isRefusal(res *http.Response) bool { return res.StatusCode != http.StatusOK }

func readReply(res *http.Response, reply any) error {
	switch res.StatusCode {
	case http.StatusOK:
	case http.StatusConflict:
		return ErrConflict
	case http.StatusNotFound:
		return ErrNotFound
	case http.StatusServiceUnavailable, http.StatusTooManyRequests:
		return ErrUnavailable
	default:
		return errors.WithMessagef(ErrUnknown, "status %d", res.StatusCode)
	}
	if reply == nil {
		return nil
	}
	if err := json.NewDecoder(io.LimitReader(res.Body, maxReplyBytes)).Decode(reply); err != nil {
		return errors.WithMessage(ErrUnknown, err.Error())
	}
	return nil
}
