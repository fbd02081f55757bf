package httptransport

import (
	"io"
	"net/http"
	"strings"
	"time"

	"sassafrasfield/internal/readlimit"
)

// streamType is the beginning of the content type of a stream of messages of the connect protocol.
const streamType = "application/connect+"

// BoundMessages returns a RoundTripper for calls of the connect protocol whose responses have messages of at most
// maxBytes. It closes a connection at once that announces or delivers more, and records that for the kind of peer.
func BoundMessages(base http.RoundTripper, peer string, maxBytes int64) http.RoundTripper {
	return messageTransport{base: base, peer: peer, maxBytes: maxBytes}
}

type messageTransport struct {
	base     http.RoundTripper
	peer     string
	maxBytes int64
}

// RoundTrip implements http.RoundTripper.
func (t messageTransport) RoundTrip(request *http.Request) (*http.Response, error) {
	response, err := t.base.RoundTrip(request)
	if err != nil {
		return nil, err
	}
	b := &messageBody{ReadCloser: response.Body, peer: t.peer, address: request.URL.Host, start: time.Now()}
	if strings.HasPrefix(response.Header.Get("Content-Type"), streamType) {
		b.received = readlimit.NewEnvelopes(t.maxBytes).Received
	} else {
		b.received = wholeMessage(t.maxBytes)
	}
	response.Body = b
	return response, nil
}

// wholeMessage returns the function that records what is received of a body with one message.
func wholeMessage(maxBytes int64) func([]byte, time.Duration) error {
	limits := readlimit.BodyLimits{MaxBytes: maxBytes} // the context of the call bounds the time
	whole, _ := readlimit.NewWhole(limits, -1, 0)      // no length is declared
	return func(p []byte, after time.Duration) error { return whole.Received(len(p), after) }
}

// messageBody is a body that is closed when a message of it is too large.
type messageBody struct {
	io.ReadCloser
	peer, address string
	start         time.Time
	received      func(p []byte, after time.Duration) error
	exceeded      error
}

// Read implements io.Reader.
func (b *messageBody) Read(p []byte) (int, error) {
	if b.exceeded != nil {
		return 0, b.exceeded
	}
	n, err := b.ReadCloser.Read(p)
	if b.exceeded = b.received(p[:n], time.Since(b.start)); b.exceeded != nil {
		_ = b.ReadCloser.Close() // the connection is given up in any case
		RecordCutOff(b.peer, b.address, b.exceeded)
		return 0, b.exceeded
	}
	return n, err
}
