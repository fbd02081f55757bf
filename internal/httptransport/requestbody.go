package httptransport

import (
	"bytes"
	"io"
	"net/http"
)

// Body is the body of a request. A request with it is sent again by a RoundTripper of this package if nothing of it was written, and
// never by net/http, which would send some requests again after the reset of a connection.
type Body struct {
	data   []byte
	reader *bytes.Reader
}

// NewBody returns a body with this content.
func NewBody(data []byte) *Body { return &Body{data: data, reader: bytes.NewReader(data)} }

// Read implements io.Reader.
func (b *Body) Read(p []byte) (int, error) { return b.reader.Read(p) }

// Close implements io.Closer.
func (b *Body) Close() error { return nil }

// again returns a request with a body that is unread, or false if the body cannot be read again.
func again(request *http.Request) (*http.Request, bool) {
	body, ok := unread(request)
	if !ok {
		return nil, false
	}
	next := request.Clone(request.Context())
	next.Body = body
	return next, true
}

func unread(request *http.Request) (io.ReadCloser, bool) {
	if request.Body == nil || request.Body == http.NoBody {
		return request.Body, true
	}
	if body, ok := request.Body.(*Body); ok {
		return NewBody(body.data), true
	}
	if request.GetBody == nil {
		return nil, false
	}
	body, err := request.GetBody()
	return body, err == nil
}
