package httptransport

import (
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"strings"
	"testing"
)

// TestResponseOnARefusingConnectionIsNoAnswer guards against a late response that answers a request which its connection did not take.
func TestResponseOnARefusingConnectionIsNoAnswer(t *testing.T) {
	local, remote := net.Pipe()
	defer local.Close()
	defer remote.Close()
	settings := connSettings{}
	conns := []*trackedConn{{Conn: local, settings: &settings, retired: true}, {Conn: local, settings: &settings}}
	base := roundTripFunc(func(request *http.Request) (*http.Response, error) {
		conn := conns[0]
		conns = conns[1:]
		httptrace.ContextClientTrace(request.Context()).GotConn(httptrace.GotConnInfo{Conn: conn})
		status := http.StatusOK
		if conn.retired {
			status = http.StatusServiceUnavailable
		}
		return &http.Response{StatusCode: status, Body: io.NopCloser(strings.NewReader("")), Request: request}, nil
	})
	request, err := http.NewRequest(http.MethodPost, "http://upstream", NewBody([]byte("{}")))
	if err != nil {
		t.Fatal(err)
	}
	response, err := (&transport{base: base}).RoundTrip(request)
	if err != nil {
		t.Fatal(err)
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		t.Errorf("status %d, which the refusing connection brought", response.StatusCode)
	}
}

// roundTripFunc is a function that is a http.RoundTripper.
type roundTripFunc func(*http.Request) (*http.Response, error)

// RoundTrip implements http.RoundTripper.
func (f roundTripFunc) RoundTrip(request *http.Request) (*http.Response, error) { return f(request) }
