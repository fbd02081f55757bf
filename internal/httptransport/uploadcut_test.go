package httptransport

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"sync"
	"testing"

	"sassafrasfield/internal/rawserver"
	"sassafrasfield/internal/readlimit"
)

// uploadBytes is longer than what the kernels queue for a peer that does not read.
const uploadBytes = 32 << 20

// errorOnceConn is a connection whose error is told to a write, before it is read from again. A socket tells an error once, so
// that the read sees an ordinary end.
type errorOnceConn struct {
	net.Conn
	reads  int
	failed chan struct{} // closed when a write has failed
	read   chan struct{} // closed when the read after that has returned
	once   sync.Once
}

// Write implements net.Conn. A failed write returns after the read.
func (c *errorOnceConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	if err != nil {
		c.once.Do(func() { close(c.failed) })
		<-c.read
	}
	return n, err
}

// Read implements net.Conn. All but the first read wait until a write has failed.
func (c *errorOnceConn) Read(p []byte) (int, error) {
	if c.reads++; c.reads == 1 {
		return c.Conn.Read(p)
	}
	<-c.failed
	n, err := c.Conn.Read(p)
	if c.reads == 2 {
		close(c.read)
	}
	return n, err
}

// dialErrorOnce opens an errorOnceConn.
func dialErrorOnce(ctx context.Context, network, address string) (net.Conn, error) {
	conn, err := (&net.Dialer{}).DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	return &errorOnceConn{Conn: conn, failed: make(chan struct{}), read: make(chan struct{})}, nil
}

// TestAnswerCutWhileItsRequestIsWrittenIsNotWhole guards against a part of an answer without a length that passes for a whole
// one, because its connection was reset while the request was still being written, and the error was told to the write.
func TestAnswerCutWhileItsRequestIsWrittenIsNotWhole(t *testing.T) {
	for name, transport := range map[string]func(*http.Transport) http.RoundTripper{
		"isolated": func(base *http.Transport) http.RoundTripper { return Isolate(base) },
		"bounded": func(base *http.Transport) http.RoundTripper {
			return Bounded(base, "test", readlimit.ResponseHead())
		},
	} {
		t.Run(name, func(t *testing.T) {
			begun := make(chan struct{})
			address := rawserver.StartConns(t, func(conn net.Conn) {
				_, _ = http.ReadRequest(bufio.NewReader(conn)) // its body is not read
				_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\n\r\na part")
				<-begun
				_ = conn.(*net.TCPConn).SetLinger(0) // closes with a reset
			})
			client := &http.Client{Transport: transport(&http.Transport{DialContext: dialErrorOnce})}
			response, err := client.Post("http://"+address+"/", "text/plain", bytes.NewReader(make([]byte, uploadBytes)))
			if err != nil {
				t.Fatal(err)
			}
			defer response.Body.Close()
			close(begun)
			if body, err := io.ReadAll(response.Body); err == nil {
				t.Errorf("%q is taken for the whole answer", body)
			}
		})
	}
}

// TestAnswerBeforeItsRequestIsReadIsWhole guards against an answer that is whole and taken for a part, because it began before its
// request was read.
func TestAnswerBeforeItsRequestIsReadIsWhole(t *testing.T) {
	const body = "the whole answer"
	for name, head := range map[string]string{
		"ends with its connection": "HTTP/1.1 200 OK\r\n\r\n", "has a length": "HTTP/1.1 200 OK\r\nContent-Length: 16\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			address := rawserver.StartConns(t, func(conn net.Conn) {
				requests := bufio.NewReader(conn)
				request, err := http.ReadRequest(requests)
				if err != nil {
					return
				}
				_, _ = io.WriteString(conn, head+body[:3])
				_, _ = io.Copy(io.Discard, request.Body)
				_, _ = io.WriteString(conn, body[3:])
			})
			client := &http.Client{Transport: Isolate(&http.Transport{DisableKeepAlives: true})} // the server closes each connection
			for range 20 {
				response, err := client.Post("http://"+address+"/", "text/plain", bytes.NewReader(make([]byte, uploadBytes/8)))
				if err != nil {
					t.Fatal(err)
				}
				got, err := io.ReadAll(response.Body)
				response.Body.Close()
				if err != nil || string(got) != body {
					t.Fatalf("%q, %v", got, err)
				}
			}
		})
	}
}
