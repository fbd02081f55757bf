package front

import (
	"bufio"
	"context"
	"io"
	"log/slog"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/pkg/errors"
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
func running(t *testing.T, notice time.Duration) (s Settings, release chan struct{}, stop func() error) {
	t.Helper()
	s = Settings{
		Address: address(t), ReadyAddress: address(t), ReadyPath: "/ready",
		Grace: 10 * time.Second, Notice: notice, HeaderTimeout: time.Second, IdleTimeout: time.Minute,
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
	s, release, stop := running(t, 50*time.Millisecond)
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
	s := Settings{Address: address(t), ReadyAddress: address(t), ReadyPath: "/ready", Grace: time.Second, HeaderTimeout: time.Second}
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
	s := Settings{Address: address(t), ReadyAddress: address(t), ReadyPath: "/ready", Grace: time.Second, HeaderTimeout: time.Second, IdleTimeout: time.Minute}
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
