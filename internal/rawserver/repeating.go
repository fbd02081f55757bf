package rawserver

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
)

// succeeded begins the responses that are not repeated.
const succeeded = "HTTP/1.1 200 "

// Respond returns the response to a request with this body.
type Respond func(request *http.Request, body []byte) (response string)

// StartRepeating starts a server that keeps its connections, and writes each response but those with status 200 once more on its
// connection: before the response to a later request, after the given number of others in between. It returns the server's address.
func StartRepeating(t *testing.T, between int, respond Respond) string {
	t.Helper()
	return StartConns(t, func(conn net.Conn) { serveRepeating(conn, between, respond) })
}

// serveRepeating answers the requests of a connection.
func serveRepeating(conn net.Conn, between int, respond Respond) {
	requests := bufio.NewReader(conn)
	repeated, since := "", 0
	for {
		request, err := http.ReadRequest(requests)
		if err != nil {
			return
		}
		body, err := io.ReadAll(request.Body)
		if err != nil {
			return
		}
		if repeated != "" && since >= between {
			_, _ = io.WriteString(conn, repeated) // an error shows at the client
			repeated = ""
		}
		since++
		response := respond(request, body)
		if !strings.HasPrefix(response, succeeded) {
			repeated, since = response, 0
		}
		_, _ = io.WriteString(conn, response) // as above
		if request.Close {
			return
		}
	}
}
