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

	"sassafrasfield/internal/connlimit"
	"sassafrasfield/internal/routes"
)

func freeAddress(t *testing.T) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	return listener.Addr().String()
}

// startServer starts a server whose requests to /wait block until release is closed.
func startServer(t *testing.T, drainDelay time.Duration, limits routes.Limits) (s Settings, release chan struct{}, stop func() error) {
	t.Helper()
	s = Settings{
		Address: freeAddress(t), ReadyAddress: freeAddress(t), ReadyPath: "/ready",
		GracePeriod: 10 * time.Second, DrainDelay: drainDelay, Limits: func() routes.Limits { return limits },
	}
	release = make(chan struct{})
	handler := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/wait" {
			<-release
		}
		_, _ = io.WriteString(w, "whole") // an error shows in the test's response
	})
	ctx, cancel := context.WithCancel(context.Background())
	result := make(chan error, 1)
	server := New(s, handler, func() bool { return true }, func() {}, slog.New(slog.NewTextHandler(io.Discard, nil)))
	go func() { result <- server.Run(ctx) }()
	for status(s.ReadyAddress, "/ready") != http.StatusOK {
		time.Sleep(time.Millisecond)
	}
	return s, release, func() error {
		cancel()
		return <-result
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

func TestShutdownCompletesRequestsInFlight(t *testing.T) {
	s, release, stop := startServer(t, 50*time.Millisecond, routes.Limits{})
	got := make(chan string, 1)
	go func() {
		response, err := http.Get("http://" + s.Address + "/wait")
		if err != nil {
			got <- err.Error()
			return
		}
		defer response.Body.Close()
		body, _ := io.ReadAll(response.Body) // a truncated body differs
		got <- string(body)
	}()
	time.Sleep(10 * time.Millisecond)
	result := make(chan error, 1)
	go func() { result <- stop() }()
	for status(s.ReadyAddress, "/ready") == http.StatusOK {
		time.Sleep(time.Millisecond)
	}
	if code := status(s.Address, "/"); code != http.StatusOK {
		t.Errorf("a new request before the load balancer can notice: status %d", code)
	}
	close(release)
	if text := <-got; text != "whole" {
		t.Errorf("got %q", text)
	}
	if err := <-result; err != nil {
		t.Error(err)
	}
}

func TestInstanceThatCannotServeIsNotReady(t *testing.T) {
	s := Settings{Address: freeAddress(t), ReadyAddress: freeAddress(t), ReadyPath: "/ready", GracePeriod: time.Second, Limits: noLimits}
	server := New(s, http.NotFoundHandler(), func() bool { return false }, func() {}, slog.New(slog.NewTextHandler(io.Discard, nil)))
	ctx, cancel := context.WithCancel(context.Background())
	result := make(chan error, 1)
	go func() { result <- server.Run(ctx) }()
	for status(s.ReadyAddress, "/ready") == 0 {
		time.Sleep(time.Millisecond)
	}
	if code := status(s.ReadyAddress, "/ready"); code != http.StatusServiceUnavailable {
		t.Errorf("status %d", code)
	}
	cancel()
	if err := <-result; err != nil {
		t.Error(err)
	}
}

// TestClosingIsCalledBeforeIdleConnectionsClose guards against a request on a kept-alive connection that
// is read while the connection is being closed. Such a request ran although its response could not be
// delivered.
func TestClosingIsCalledBeforeIdleConnectionsClose(t *testing.T) {
	s := Settings{Address: freeAddress(t), ReadyAddress: freeAddress(t), ReadyPath: "/ready", GracePeriod: time.Second, Limits: noLimits}
	conn := make(chan net.Conn, 1)
	stillOpen := make(chan bool, 1)
	closing := func() {
		c := <-conn
		_ = c.SetReadDeadline(time.Now().Add(20 * time.Millisecond))
		_, err := c.Read(make([]byte, 1))
		var timeout net.Error
		stillOpen <- errors.As(err, &timeout) && timeout.Timeout() // on a timeout the connection is still open
	}
	server := New(s, http.NotFoundHandler(), func() bool { return true }, closing, slog.New(slog.NewTextHandler(io.Discard, nil)))
	ctx, cancel := context.WithCancel(context.Background())
	result := make(chan error, 1)
	go func() { result <- server.Run(ctx) }()
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
	_, _ = io.Copy(io.Discard, response.Body) // reads the short body so that the connection becomes idle
	conn <- c
	cancel()
	if !<-stillOpen {
		t.Error("the idle connection was closed first")
	}
	<-result
}

// dial opens a connection to the server and sends the text.
func dial(t *testing.T, s Settings, text string) (net.Conn, *bufio.Reader) {
	t.Helper()
	conn, err := net.Dial("tcp", s.Address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { conn.Close() })
	if _, err := io.WriteString(conn, text); err != nil {
		t.Fatal(err)
	}
	return conn, bufio.NewReader(conn)
}

// TestConfiguredLimitsApplyToConnections waits until the server closes an idle connection and one whose
// header is incomplete. The test has no other timeout: without the limits it would wait for minutes.
func TestConfiguredLimitsApplyToConnections(t *testing.T) {
	s, _, _ := startServer(t, 0, routes.Limits{IdleTimeout: 50 * time.Millisecond, HeaderTimeout: 100 * time.Millisecond})
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
		t.Errorf("an incomplete header: %q, %v", text, err)
	}
}

// TestHeaderTimeoutAppliesToKeptConnections guards against a head that begins on a kept connection and may take as long as the
// connection may be idle. The test has no other timeout.
func TestHeaderTimeoutAppliesToKeptConnections(t *testing.T) {
	s, _, _ := startServer(t, 0, routes.Limits{IdleTimeout: time.Minute, HeaderTimeout: 100 * time.Millisecond})
	const request = "GET / HTTP/1.1\r\nHost: h\r\n\r\n"
	conn, r := dial(t, s, request)
	response, err := http.ReadResponse(r, nil)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := io.Copy(io.Discard, response.Body); err != nil {
		t.Fatal(err)
	}
	if _, err := io.WriteString(conn, request[:10]); err != nil {
		t.Fatal(err)
	}
	began := time.Now()
	if text, err := io.ReadAll(r); err != nil || len(text) > 0 {
		t.Errorf("an incomplete header: %q, %v", text, err)
	}
	if took := time.Since(began); took > 30*time.Second {
		t.Errorf("the connection ended after %s, as an idle one", took)
	}
}

// TestLimitsMayChangeWhileRunning changes the limits of a connection as a new configuration does.
func TestLimitsMayChangeWhileRunning(t *testing.T) {
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

// deadlines is a connection that returns each deadline that is set as an error.
type deadlines struct{ net.Conn }

type deadline struct{ at time.Time }

func (d deadline) Error() string { return d.at.String() }

// SetReadDeadline implements net.Conn.
func (deadlines) SetReadDeadline(t time.Time) error { return deadline{t} }

func TestHeaderOverLimitIsRefused(t *testing.T) {
	s, _, _ := startServer(t, 0, routes.Limits{MaxHeaderBytes: 100})
	for size, want := range map[int]int{10: http.StatusOK, 200: http.StatusRequestHeaderFieldsTooLarge} {
		_, r := dial(t, s, "GET / HTTP/1.1\r\nHost: h\r\nX-Long: "+strings.Repeat("x", size)+"\r\n\r\n")
		response, err := http.ReadResponse(r, nil)
		if err != nil || response.StatusCode != want {
			t.Errorf("%d bytes: %v, %v", size, response, err)
		}
	}
}

// TestConnectionClosedForOthersGetsAResponse guards against a client that does not learn that its request was not run.
func TestConnectionClosedForOthersGetsAResponse(t *testing.T) {
	s, _, stop := startServer(t, 0, routes.Limits{})
	defer func() { _ = stop() }() // the result does not matter here
	_, first := dial(t, Settings{Address: s.ReadyAddress}, "GET /ready HTTP/1.1\r\n")
	for range 2 * connlimit.ProbeBounds().Conns {
		dial(t, Settings{Address: s.ReadyAddress}, "GET /ready HTTP/1.1\r\n")
	}
	response, err := http.ReadResponse(first, nil)
	if err != nil || response.StatusCode != http.StatusServiceUnavailable {
		t.Errorf("%v, %v", response, err)
	}
}

func noLimits() routes.Limits { return routes.Limits{} }

// TestReadyAnswersOnlyOnceCallersCanConnect guards against an instance that answers the balancer's probe before its public
// address listens, or although it cannot, so that callers who are sent there are refused.
func TestReadyAnswersOnlyOnceCallersCanConnect(t *testing.T) {
	taken, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer taken.Close()
	for range 20 {
		s := Settings{Address: taken.Addr().String(), ReadyAddress: freeAddress(t), ReadyPath: "/ready", GracePeriod: time.Second, Limits: func() routes.Limits { return routes.Limits{} }}
		server := New(s, http.NotFoundHandler(), func() bool { return true }, func() {}, slog.New(slog.NewTextHandler(io.Discard, nil)))
		if err := server.Run(context.Background()); err == nil {
			t.Fatal("runs although its public address is taken")
		}
		if got := status(s.ReadyAddress, "/ready"); got != 0 {
			t.Fatalf("the probe is answered with %d", got)
		}
	}
}
