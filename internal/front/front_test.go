package front

import (
	"context"
	"io"
	"log/slog"
	"net"
	"net/http"
	"testing"
	"time"
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
	server := New(s, handler, func() bool { return true }, slog.New(slog.NewTextHandler(io.Discard, nil)))
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
	server := New(s, http.NotFoundHandler(), func() bool { return false }, slog.New(slog.NewTextHandler(io.Discard, nil)))
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
