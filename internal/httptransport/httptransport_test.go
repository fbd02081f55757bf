package httptransport

import (
	"context"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"

	"github.com/pkg/errors"
)

// TestCancelledRequestIsNotSent guards against a request that reaches an upstream although its caller had
// disconnected before.
func TestCancelledRequestIsNotSent(t *testing.T) {
	var received atomic.Int64
	server := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { received.Add(1) }))
	defer server.Close()
	transport := Isolate(&http.Transport{})
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	for range 100 {
		request, err := http.NewRequestWithContext(ctx, http.MethodGet, server.URL, nil)
		if err != nil {
			t.Fatal(err)
		}
		if _, err := transport.RoundTrip(request); !errors.Is(err, context.Canceled) {
			t.Fatalf("%v; want the caller's cancellation", err)
		}
	}
	if n := received.Load(); n > 0 {
		t.Errorf("%d cancelled requests were sent", n)
	}
}
