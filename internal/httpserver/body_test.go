package httpserver

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/pkg/errors"

	"sassafrasfield/internal/readlimit"
)

// startBounded serves requests whose bodies have to be received within a time. The handler reads the body unless the
// path is /unread, and answers with its length or with the status 408. Path /long answers after twice the time.
func startBounded(t *testing.T, within time.Duration) string {
	t.Helper()
	handler := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/unread" {
			w.WriteHeader(http.StatusOK)
			return
		}
		body, err := io.ReadAll(r.Body)
		var exceeded *readlimit.Exceeded
		if errors.As(err, &exceeded) {
			w.WriteHeader(http.StatusRequestTimeout)
			return
		}
		if r.URL.Path == "/long" {
			select {
			case <-time.After(2 * within):
			case <-r.Context().Done():
				return
			}
		}
		_, _ = io.WriteString(w, strings.Repeat("y", len(body))) // an error shows in the test's response
	})
	server := httptest.NewServer(BoundBodies(handler, "caller", within))
	t.Cleanup(server.Close)
	return server.Listener.Addr().String()
}

// sendSlowly sends a request with a body of a declared length, of which one byte is sent every pause. It returns the
// response's status and when it came; status 0 if there was none. The connection must be closed soon after it.
func sendSlowly(t *testing.T, address, path string, pause time.Duration) (status int, after time.Duration) {
	t.Helper()
	conn, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	if _, err := io.WriteString(conn, "POST "+path+" HTTP/1.1\r\nHost: h\r\nContent-Length: 100000\r\n\r\n"); err != nil {
		t.Fatal(err)
	}
	start := time.Now()
	go func() {
		for {
			if _, err := conn.Write([]byte("x")); err != nil {
				return
			}
			time.Sleep(pause)
		}
	}()
	_ = conn.SetReadDeadline(start.Add(10 * time.Second)) // fails only if the connection is closed
	reader := bufio.NewReader(conn)
	if response, err := http.ReadResponse(reader, nil); err == nil {
		status = response.StatusCode
		after = time.Since(start)
		response.Body.Close()
	}
	if _, err := io.Copy(io.Discard, reader); errors.Is(err, net.ErrClosed) || time.Since(start) > 9*time.Second {
		t.Errorf("%s: the connection was not closed: %v", path, err)
	}
	return status, after
}

// TestTricklingBodyIsCutOff guards against callers that hold a connection and its memory with a body that arrives byte by
// byte, whether the handler reads the body or answers without it.
func TestTricklingBodyIsCutOff(t *testing.T) {
	address := startBounded(t, 300*time.Millisecond)
	for path, want := range map[string]int{"/read": http.StatusRequestTimeout, "/unread": http.StatusOK} {
		status, after := sendSlowly(t, address, path, 5*time.Millisecond)
		if status != want || after > 5*time.Second {
			t.Errorf("%s: status %d after %s", path, status, after)
		}
	}
}

// TestRequestMayTakeLongerThanItsBody guards against a bound on the body that ends a request which takes longer, or the
// next request on the connection.
func TestRequestMayTakeLongerThanItsBody(t *testing.T) {
	address := startBounded(t, 200*time.Millisecond)
	client := &http.Client{Transport: &http.Transport{MaxConnsPerHost: 1}}
	defer client.CloseIdleConnections()
	for _, path := range []string{"/long", "/unread", "/long", "/read", "/unread", "/long"} {
		response, err := client.Post("http://"+address+path, "text/plain", strings.NewReader(strings.Repeat("x", 1000)))
		if err != nil {
			t.Fatalf("%s: %v", path, err)
		}
		body, err := io.ReadAll(response.Body)
		if response.Body.Close(); err != nil || response.StatusCode != http.StatusOK || path != "/unread" && len(body) != 1000 {
			t.Errorf("%s: status %d, %d bytes, %v", path, response.StatusCode, len(body), err)
		}
	}
}
