package peers

import (
	"context"
	"io"
	"net"
	"strings"
	"sync/atomic"
	"testing"
	"time"
)

// TestEndlessReplyToAPullIsCutOff guards against an instance whose reply to a pull does not end, in its header or its
// body: without bounds, 10 MB of a header and all that arrives of a body within half a second were received.
func TestEndlessReplyToAPullIsCutOff(t *testing.T) {
	const ok = "HTTP/1.1 200 OK\r\nContent-Type: application/proto\r\n"
	for name, c := range map[string]struct {
		first string
		bound int64
	}{
		"header": {ok + "X-Padding: ", 1 << 20},
		"body":   {ok + "\r\n", maxPullReplyBytes + 2<<20}, // includes what the kernel buffers
	} {
		t.Run(name, func(t *testing.T) {
			listener, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			defer listener.Close()
			var sent atomic.Int64
			go func() {
				for {
					conn, err := listener.Accept()
					if err != nil {
						return
					}
					go sendEndless(conn, c.first, &sent)
				}
			}()
			e := New(Peer{Name: "self", Address: "127.0.0.1:1", Zone: "a"}, []string{listener.Addr().String()}, noRows{new(bool)}, discardLogger())
			if err := e.Pull(context.Background()); err == nil {
				t.Error("no error")
			}
			time.Sleep(50 * time.Millisecond) // until the sender has noticed
			if n := sent.Load(); n > c.bound {
				t.Errorf("%d bytes accepted", n)
			}
		})
	}
}

// sendEndless reads a request's first bytes, and sends until the connection is closed.
func sendEndless(conn net.Conn, first string, sent *atomic.Int64) {
	defer conn.Close()
	_ = conn.(*net.TCPConn).SetWriteBuffer(16 << 10) // so that the bytes sent are about those received
	_ = conn.SetDeadline(time.Now().Add(20 * time.Second))
	if _, err := conn.Read(make([]byte, 1<<10)); err != nil {
		return
	}
	for text := first; ; text = strings.Repeat("x", 1<<10) {
		n, err := io.WriteString(conn, text)
		sent.Add(int64(n))
		if err != nil {
			return
		}
	}
}
