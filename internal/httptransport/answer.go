package httptransport

import (
	"io"
	"net/http"
	"regexp"
	"strings"

	"github.com/pkg/errors"
	"golang.org/x/net/http/httpguts"
)

// ErrNoAnswer: what a peer sent where a response was due is none in HTTP, though net/http takes it for one.
var ErrNoAnswer = errors.New("httptransport: no answer in the protocol")

// errJoinedHeads: a part of another head came before the head of the response, on the same connection.
var errJoinedHeads = errors.WithMessage(ErrNoAnswer, "the head contains the first line of another response")

// statusLine matches the first line of a response. Few heads contain its beginning, which is looked for first.
var statusLine = regexp.MustCompile(`HTTP/[0-9]\.[0-9] [0-9]{3}`)

const statusLineBegin = "HTTP/"

// highestStatus is the last status of HTTP. Source: RFC 9110, section 15.
const highestStatus = 599

// CheckAnswer returns an ErrNoAnswer for what is no final response: by its status, by the names of its header fields, or because its
// head contains a part of another one. It is for responses that are read without a RoundTripper of this package.
func CheckAnswer(response *http.Response) error {
	if response.StatusCode < http.StatusOK || response.StatusCode > highestStatus {
		return errors.WithMessagef(ErrNoAnswer, "the status %.16q is not that of an answer", response.Status)
	}
	if err := checkNames(response.Header); err != nil {
		return err
	}
	if hasJoinedHeads(response) {
		return errJoinedHeads
	}
	return nil
}

// checkNames checks the names of fields. net/http accepts blanks in them: a length with a blank after its name is none to it, but may
// be one to the peer.
func checkNames(fields map[string][]string) error {
	for name := range fields {
		if !httpguts.ValidHeaderFieldName(name) {
			return errors.WithMessagef(ErrNoAnswer, "%.64q is not the name of a field", name)
		}
	}
	return nil
}

// hasJoinedHeads reports whether the head of a response contains the first line of another response. A peer may send bytes
// after a whole response. If they arrive where the response to the next request is due, and are a head that breaks off within
// the reason of its status or within the value of a header, they give that response their status and their headers.
func hasJoinedHeads(response *http.Response) bool {
	if containsStatusLine(response.Status) {
		return true
	}
	for name, values := range response.Header {
		if containsStatusLine(name) {
			return true
		}
		for _, value := range values {
			if containsStatusLine(value) {
				return true
			}
		}
	}
	return false
}

func containsStatusLine(text string) bool {
	return strings.Contains(text, statusLineBegin) && statusLine.MatchString(text)
}

// withCheckedTrailer has the end of a body in chunks fail if its trailer is none in HTTP.
func withCheckedTrailer(response *http.Response) {
	if len(response.TransferEncoding) > 0 {
		response.Body = &trailerBody{response.Body, response}
	}
}

type trailerBody struct {
	io.ReadCloser
	response *http.Response
}

// Read implements io.Reader.
func (b *trailerBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if err != io.EOF {
		return n, err
	}
	if invalid := checkNames(b.response.Trailer); invalid != nil {
		return n, invalid
	}
	return n, io.EOF
}
