package httpserver

import (
	"bufio"
	"context"
	"io"
	"log/slog"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/pkg/errors"

	"sassafrasfield/internal/routes"
)

func address(t *testing.T) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	return listener.Addr().String()
}

// running starts a server whose requests wait for release.
func running(t *testing.T, notice time.Duration, limits routes.Limits) (s Settings, release chan struct{}, stop func() error) {
	t.Helper()
	s = Settings{
		Address: address(t), ReadyAddress: address(t), ReadyPath: "/ready",
		GracePeriod: 10 * time.Second, DrainDelay: notice, Limits: func() routes.Limits { return limits },
	}
	release = make(chan struct{})
	handler := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/wait" {
			<-release
		}
		_, _ = io.WriteString(w, "whole") // the caller is the test
	})
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	server := New(s, handler, func() bool { return true }, func() {}, slog.New(slog.NewTextHandler(io.Discard, nil)))
	go func() { ended <- server.Run(ctx) }()
	for status(s.ReadyAddress, "/ready") != http.StatusOK {
		time.Sleep(time.Millisecond)
	}
	return s, release, func() error {
		cancel()
		return <-ended
	}
}

func status(address, path string) int {
	response, err := http.Get("http://" + address + path)
	if err != nil {
		return 0
	}
	defer response.Body.Close()
	return response.StatusCode
}

func TestStopFinishesWhatIsUnderWay(t *testing.T) {
	s, release, stop := running(t, 50*time.Millisecond, routes.Limits{})
	got := make(chan string, 1)
	go func() {
		response, err := http.Get("http://" + s.Address + "/wait")
		if err != nil {
			got <- err.Error()
			return
		}
		defer response.Body.Close()
		body, _ := io.ReadAll(response.Body) // a cut body differs
		got <- string(body)
	}()
	time.Sleep(10 * time.Millisecond)
	ended := make(chan error, 1)
	go func() { ended <- stop() }()
	for status(s.ReadyAddress, "/ready") == http.StatusOK {
		time.Sleep(time.Millisecond)
	}
	if code := status(s.Address, "/"); code != http.StatusOK {
		t.Errorf("a new request before the balancer can know: status %d", code)
	}
	close(release)
	if text := <-got; text != "whole" {
		t.Errorf("got %q", text)
	}
	if err := <-ended; err != nil {
		t.Error(err)
	}
}

func TestAnInstanceThatCannotServeIsNotReady(t *testing.T) {
	s := Settings{Address: address(t), ReadyAddress: address(t), ReadyPath: "/ready", GracePeriod: time.Second, Limits: noLimits}
	server := New(s, http.NotFoundHandler(), func() bool { return false }, func() {}, slog.New(slog.NewTextHandler(io.Discard, nil)))
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- server.Run(ctx) }()
	for status(s.ReadyAddress, "/ready") == 0 {
		time.Sleep(time.Millisecond)
	}
	if code := status(s.ReadyAddress, "/ready"); code != http.StatusServiceUnavailable {
		t.Errorf("status %d", code)
	}
	cancel()
	if err := <-ended; err != nil {
		t.Error(err)
	}
}

// TestTheHandlerIsToldBeforeIdleConnectionsClose was found by a hunt: a request
// on a kept connection was read while the connection was being closed, and was
// run though its answer could not be delivered.
func TestTheHandlerIsToldBeforeIdleConnectionsClose(t *testing.T) {
	s := Settings{Address: address(t), ReadyAddress: address(t), ReadyPath: "/ready", GracePeriod: time.Second, Limits: noLimits}
	conn := make(chan net.Conn, 1)
	told := make(chan bool, 1)
	closing := func() {
		c := <-conn
		_ = c.SetReadDeadline(time.Now().Add(20 * time.Millisecond))
		_, err := c.Read(make([]byte, 1))
		var timeout net.Error
		told <- errors.As(err, &timeout) && timeout.Timeout() // the connection is still open
	}
	server := New(s, http.NotFoundHandler(), func() bool { return true }, closing, slog.New(slog.NewTextHandler(io.Discard, nil)))
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- server.Run(ctx) }()
	for status(s.ReadyAddress, "/ready") == 0 {
		time.Sleep(time.Millisecond)
	}
	c, err := net.Dial("tcp", s.Address)
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	if _, err := io.WriteString(c, "GET / HTTP/1.1\r\nHost: h\r\n\r\n"); err != nil {
		t.Fatal(err)
	}
	response, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		t.Fatal(err)
	}
	_, _ = io.Copy(io.Discard, response.Body) // short
	conn <- c
	cancel()
	if !<-told {
		t.Error("the idle connection was closed first")
	}
	<-ended
}

// dial opens a connection to the server and sends what is given.
func dial(t *testing.T, s Settings, sent string) (net.Conn, *bufio.Reader) {
	t.Helper()
	conn, err := net.Dial("tcp", s.Address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { conn.Close() })
	if _, err := io.WriteString(conn, sent); err != nil {
		t.Fatal(err)
	}
	return conn, bufio.NewReader(conn)
}

// TestTheConfiguredLimitsHoldOnConnections waits for the server to close an idle
// connection, and one whose header does not come, without any bound but the
// limits: without them the test would wait for minutes.
func TestTheConfiguredLimitsHoldOnConnections(t *testing.T) {
	s, _, _ := running(t, 0, routes.Limits{IdleTimeout: 50 * time.Millisecond, HeaderTimeout: 100 * time.Millisecond})
	const request = "GET / HTTP/1.1\r\nHost: h\r\n\r\n"
	_, idle := dial(t, s, request)
	response, err := http.ReadResponse(idle, nil)
	if err != nil {
		t.Fatal(err)
	}
	if body, err := io.ReadAll(response.Body); string(body) != "whole" {
		t.Errorf("%q, %v", body, err)
	}
	if _, err := idle.ReadByte(); err != io.EOF {
		t.Errorf("the idle connection ended with %v", err)
	}
	_, slow := dial(t, s, request[:10])
	if text, err := io.ReadAll(slow); err != nil || strings.Contains(string(text), "200") {
		t.Errorf("a header that does not come: %q, %v", text, err)
	}
}

// TestTheLimitsMayChangeWhileRunning changes the limits of one connection as a
// new configuration does.
func TestTheLimitsMayChangeWhileRunning(t *testing.T) {
	var limits atomic.Pointer[routes.Limits]
	limits.Store(&routes.Limits{})
	conn := &limitedConn{Conn: deadlines{}, limits: func() routes.Limits { return *limits.Load() }}
	far := time.Now().Add(time.Hour)
	if err := conn.SetReadDeadline(far); !errors.Is(err, deadline{far}) {
		t.Errorf("no limit: %v", err)
	}
	limits.Store(&routes.Limits{HeaderTimeout: time.Minute, IdleTimeout: 2 * time.Hour})
	var got deadline
	if err := conn.SetReadDeadline(far); !errors.As(err, &got) || !got.at.Before(far) {
		t.Errorf("header: %v", err)
	}
	connState(conn, http.StateIdle)
	if err := conn.SetReadDeadline(far); !errors.Is(err, deadline{far}) {
		t.Errorf("idle: %v", err)
	}
}

// deadlines is a connection that tells the deadlines set as errors.
type deadlines struct{ net.Conn }

type deadline struct{ at time.Time }

func (d deadline) Error() string { return d.at.String() }

// SetReadDeadline implements net.Conn.
func (deadlines) SetReadDeadline(t time.Time) error { return deadline{t} }

func TestAHeaderOverTheLimitIsRefused(t *testing.T) {
	s, _, _ := running(t, 0, routes.Limits{MaxHeaderBytes: 100})
	for size, want := range map[int]int{10: http.StatusOK, 200: http.StatusRequestHeaderFieldsTooLarge} {
		_, r := dial(t, s, "GET / HTTP/1.1\r\nHost: h\r\nX-Long: "+strings.Repeat("x", size)+"\r\n\r\n")
		response, err := http.ReadResponse(r, nil)
		if err != nil || response.StatusCode != want {
			t.Errorf("%d bytes: %v, %v", size, response, err)
		}
	}
}

func noLimits() routes.Limits { return routes.Limits{} }
