package forward

import (
	"context"
	"io"
	"net"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/pkg/errors"

	"sassafrasfield/internal/peers"
	"sassafrasfield/internal/rawserver"
	"sassafrasfield/internal/relay"
)

// startEndless starts an instance whose responses begin with a text and continue without end. It returns the number of
// bytes that were sent of them.
func startEndless(t *testing.T, first, repeated string, pause time.Duration) (peers.Peer, *atomic.Int64) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { listener.Close() })
	var sent atomic.Int64
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go sendEndless(conn, first, repeated, pause, &sent)
		}
	}()
	return peers.Peer{Name: "endless", Address: listener.Addr().String(), Zone: "a"}, &sent
}

// sendEndless reads a request's first bytes, and sends until the connection is closed.
func sendEndless(conn net.Conn, first, repeated string, pause time.Duration, sent *atomic.Int64) {
	defer conn.Close()
	_ = conn.(*net.TCPConn).SetWriteBuffer(16 << 10) // so that the bytes sent are about those received
	_ = conn.SetDeadline(time.Now().Add(20 * time.Second))
	if _, err := conn.Read(make([]byte, 1<<10)); err != nil {
		return
	}
	for text := first; ; text = repeated {
		n, err := io.WriteString(conn, text)
		sent.Add(int64(n))
		if err != nil {
			return
		}
		time.Sleep(pause)
	}
}

// TestEndlessResponseOfAnInstanceIsCutOff guards against an instance whose response to a forwarded request does not end:
// its header, a message that announces 3 GB, or a header that trickles. The request may have run there.
func TestEndlessResponseOfAnInstanceIsCutOff(t *testing.T) {
	const ok = "HTTP/1.1 200 OK\r\nContent-Type: application/connect+proto\r\n"
	filler := strings.Repeat("x", 1<<10)
	for name, c := range map[string]struct {
		first, repeated string
		pause           time.Duration
	}{
		"header":  {ok + "X-Padding: ", filler, 0},
		"message": {ok + "\r\n" + "\x00\xc0\x00\x00\x00", filler, 0},
		"trickle": {ok + "X-Padding: ", "x", 20 * time.Millisecond},
	} {
		t.Run(name, func(t *testing.T) {
			to, sent := startEndless(t, c.first, c.repeated, c.pause)
			f := request()
			f.Repeatable = false // so that its acceptance has no timeout
			ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
			defer cancel()
			start := time.Now()
			_, _, err := newClient(to).Forward(ctx, f, nil)
			if !errors.Is(err, relay.ErrNoValidAnswer) {
				t.Errorf("error %v", err)
			}
			if took := time.Since(start); took > 3*time.Second {
				t.Errorf("took %s", took)
			}
			time.Sleep(50 * time.Millisecond) // until the sender has noticed
			const bound = 2 << 20             // includes what the kernel buffers
			if n := sent.Load(); n > bound {
				t.Errorf("%d bytes accepted", n)
			}
		})
	}
}

// TestWhatIsNoAnswerOfAnInstanceIsNotTakenForOne guards against a response of an instance to a forwarded request that has a status or
// a field that HTTP does not have.
func TestWhatIsNoAnswerOfAnInstanceIsNotTakenForOne(t *testing.T) {
	const head = "Content-Type: application/connect+proto\r\n"
	for name, response := range map[string]string{
		"status":  "HTTP/1.1 000 None\r\n" + head + "\r\n",
		"name":    "HTTP/1.1 200 OK\r\nX-A b: c\r\n" + head + "\r\n",
		"length":  "HTTP/1.1 200 OK\r\nContent-Length : 0\r\n" + head + "\r\n",
		"refusal": "HTTP/1.1 200 OK\r\nContent-Type : application/connect+proto\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			to := peers.Peer{Name: "odd", Address: rawserver.Start(t, response), Zone: "a"}
			ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
			defer cancel()
			f := request()
			f.Repeatable = false // so that its acceptance has no timeout
			if _, _, err := newClient(to).Forward(ctx, f, nil); !errors.Is(err, relay.ErrNoValidAnswer) {
				t.Errorf("error %v", err)
			}
		})
	}
}
