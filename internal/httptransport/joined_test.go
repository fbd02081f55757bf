package httptransport

import (
	"net/http"
	"testing"
)

// TestJoinedHeadsAreFound guards against a head that is taken for one response though it is a part of one and the head of
// another, and against values that name a protocol and are taken for that.
func TestJoinedHeadsAreFound(t *testing.T) {
	for name, c := range map[string]struct {
		status, header, value string
		joined                bool
	}{
		"usual":              {"200 OK", "Server", "runner", false},
		"a protocol":         {"200 OK", "Via", "HTTP/1.1 gateway", false},
		"an upgrade":         {"426 Upgrade Required", "Upgrade", "HTTP/2.0", false},
		"in the status":      {"200 OHTTP/1.1 500 Internal Server Error", "Server", "runner", true},
		"in a value":         {"200 OK", "Server", "runHTTP/1.1 500 Internal Server Error", true},
		"in a name":          {"200 OK", "X-HTTP/1.1 500 Failed", "x", true},
		"without a reason":   {"200 ", "Server", "HTTP/1.1 204", true},
		"of another version": {"200 OK", "Server", "HTTP/1.0 200 OK", true},
	} {
		response := &http.Response{Status: c.status, Header: http.Header{c.header: {"x", c.value}}}
		if got := hasJoinedHeads(response); got != c.joined {
			t.Errorf("%s: %t", name, got)
		}
	}
}
