package testfleet

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"
)

func TestProxyCutsAndHeals(t *testing.T) {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(http.StatusOK)
	}))
	defer server.Close()
	fleet := New("", t.TempDir())
	defer fleet.Stop()
	proxy, err := fleet.Proxy("p", strings.TrimPrefix(server.URL, "http://"))
	if err != nil {
		t.Fatal(err)
	}
	get := func(timeout time.Duration) error {
		ctx, cancel := context.WithTimeout(context.Background(), timeout)
		defer cancel()
		return Post(ctx, proxy.Address, "/", nil, nil)
	}
	if err := get(10 * time.Second); err != nil {
		t.Fatalf("before the cut: %v", err)
	}
	if err := proxy.Cut(FromUpstream); err != nil {
		t.Fatal(err)
	}
	if err := get(200 * time.Millisecond); err == nil {
		t.Fatal("an answer came through the cut")
	}
	proxy.Heal()
	if err := get(10 * time.Second); err != nil {
		t.Fatalf("after the cut: %v", err)
	}
}

// TestProxyHealsWhileConnectionsEnd guards against a proxy that stands still, because connections end while its faults are removed.
func TestProxyHealsWhileConnectionsEnd(t *testing.T) {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		for { // until the caller leaves
			if _, err := w.Write(make([]byte, 64<<10)); err != nil {
				return
			}
		}
	}))
	defer server.Close()
	fleet := New("", t.TempDir())
	defer fleet.Stop()
	proxy, err := fleet.Proxy("p", strings.TrimPrefix(server.URL, "http://"))
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
	defer cancel()
	for range 16 {
		go func() {
			for ctx.Err() == nil {
				conn, err := net.Dial("tcp", proxy.Address)
				if err != nil {
					continue
				}
				_, _ = conn.Write([]byte("GET / HTTP/1.1\r\nHost: h\r\n\r\n"))
				_ = conn.SetReadDeadline(time.Now().Add(5 * time.Millisecond))
				_, _ = io.CopyN(io.Discard, conn, 256<<10)
				_ = conn.Close() // within the answer
			}
		}()
	}
	healed := make(chan struct{})
	go func() {
		defer close(healed)
		for ctx.Err() == nil {
			_ = proxy.Slow(FromUpstream, 1)
			time.Sleep(time.Millisecond)
			proxy.Heal()
		}
	}()
	select {
	case <-healed:
	case <-time.After(10 * time.Second):
		t.Fatal("the proxy stands still")
	}
}
