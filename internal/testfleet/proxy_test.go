package testfleet

import (
	"context"
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
