// Package rawserver provides a server for tests that answers with given bytes.
package rawserver

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
)

// IDPlaceholder stands for the ID of the request in answers.
const IDPlaceholder = "$id$"

// Script is what a server does on each of its connections.
type Script struct {
	// First is the answer to the first request; the connection is kept after it. It is empty for none.
	First string
	// Answer is the answer to the request after that one. The connection ends with it.
	Answer string
	// IDHeader is the header with the ID of a request that replaces IDPlaceholder; empty for none.
	IDHeader string
	// Reset ends the connection by a reset instead of a FIN. What was sent before still arrives.
	Reset bool
	// FirstSent and AnswerSent count the answers of each kind, before they are sent; nil for no counts.
	FirstSent, AnswerSent *atomic.Int64
}

// Start starts a server that reads one request on each connection, answers with the given bytes and closes the connection
// by FIN, as the kernel does for a process that is killed. It returns the server's address.
func Start(t *testing.T, answer string) string {
	t.Helper()
	return StartScript(t, func() Script { return Script{Answer: answer} })
}

// StartScript starts a server that asks for the script of each connection, and returns its address.
func StartScript(t *testing.T, next func() Script) string {
	t.Helper()
	return StartConns(t, func(conn net.Conn) { next().serve(conn) })
}

// StartConns starts a server that has each connection served by a function, in a goroutine, and then closes it. It returns the server's
// address.
func StartConns(t *testing.T, serve func(net.Conn)) string {
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
			go func() {
				defer conn.Close()
				serve(conn)
			}()
		}
	}()
	return listener.Addr().String()
}

// serve answers the requests of a connection.
func (s Script) serve(conn net.Conn) {
	requests := bufio.NewReader(conn)
	if s.First != "" && !s.answer(conn, requests, s.First, s.FirstSent) {
		return
	}
	if !s.answer(conn, requests, s.Answer, s.AnswerSent) || !s.Reset {
		return
	}
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0) // fails only if the connection is closed
	}
}

// answer answers a request once it was read as a whole: a connection that is closed before that is reset. It reports false
// if there is no request.
func (s Script) answer(conn net.Conn, requests *bufio.Reader, text string, sent *atomic.Int64) bool {
	request, err := http.ReadRequest(requests)
	if err != nil {
		return false
	}
	_, _ = io.Copy(io.Discard, request.Body) // the answer does not depend on it
	if sent != nil {
		sent.Add(1)
	}
	if s.IDHeader != "" {
		text = strings.ReplaceAll(text, IDPlaceholder, request.Header.Get(s.IDHeader))
	}
	_, _ = io.WriteString(conn, text) // an error shows at the client
	return true
}
