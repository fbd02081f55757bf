package httptransport

import (
	"net/http"
	"regexp"
	"strings"

	"github.com/pkg/errors"
)

// errJoinedHeads: a part of another head came before the head of the response, on the same connection.
var errJoinedHeads = errors.New("httptransport: the head contains the first line of another response")

// statusLine matches the first line of a response. Few heads contain its beginning, which is looked for first.
var statusLine = regexp.MustCompile(`HTTP/[0-9]\.[0-9] [0-9]{3}`)

const statusLineBegin = "HTTP/"

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
