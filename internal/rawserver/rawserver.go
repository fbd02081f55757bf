// Package rawserver provides a server for tests that answers with given bytes.
package rawserver

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"
)

// Start starts a server that reads one request on each connection, answers with the given bytes and closes the connection
// by FIN, as the kernel does for a process that is killed. It returns the server's address.
func Start(t *testing.T, answer string) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() }) // only stops the goroutine
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			answerOnce(conn, answer)
		}
	}()
	return listener.Addr().String()
}

// answerOnce answers a request once it was read as a whole: a connection that is closed before that is reset.
func answerOnce(conn net.Conn, answer string) {
	defer conn.Close()
	request, err := http.ReadRequest(bufio.NewReader(conn))
	if err != nil {
		return
	}
	_, _ = io.Copy(io.Discard, request.Body) // the answer does not depend on it
	_, _ = io.WriteString(conn, answer)      // an error shows at the client
}
