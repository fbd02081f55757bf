package testfleet

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"net/url"
	"strings"
	"testing"
)

// TestCancelledProxiedRequestsDoNotBreakPosts guards against calls of a test to its platform that end with
// "context canceled" although nobody cancelled them: net/http may break a request on a connection on which
// another one was cancelled just as its answer without a body arrived.
func TestCancelledProxiedRequestsDoNotBreakPosts(t *testing.T) {
	platform := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body) // the request is answered without a body in any case
	}))
	defer platform.Close()
	address := strings.TrimPrefix(platform.URL, "http://")
	proxy := newRewritingProxy(&url.URL{Scheme: "http", Host: address}, func(*http.Response) error { return nil })
	failures := FailuresBesideCancelled(
		func(ctx context.Context) {
			serveAborted(proxy, httptest.NewRequestWithContext(ctx, http.MethodGet, "/", nil))
		},
		func() error { return Post(context.Background(), address, "/", "body", nil) },
	)
	if len(failures) > 0 {
		t.Errorf("%d calls failed, the first one: %v", len(failures), failures[0])
	}
}

// serveAborted serves a request that the proxy may abort.
func serveAborted(proxy http.Handler, r *http.Request) {
	defer func() { _ = recover() }() // http.ErrAbortHandler
	proxy.ServeHTTP(httptest.NewRecorder(), r)
}
