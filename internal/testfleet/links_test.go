package testfleet

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"net/url"
	"strings"
	"sync"
	"testing"
	"time"
)

// TestCancelledProxiedRequestsDoNotBreakPosts guards against calls of a test to its platform that end with
// "context canceled" although nobody cancelled them: net/http may break a request on a connection on which
// another one was cancelled just as its answer without a body arrived.
func TestCancelledProxiedRequestsDoNotBreakPosts(t *testing.T) {
	const (
		callers  = 16
		duration = 2 * time.Second
		minLife  = 200 * time.Microsecond // about the time of a call
	)
	platform := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body) // the request is answered without a body in any case
	}))
	defer platform.Close()
	address := strings.TrimPrefix(platform.URL, "http://")
	proxy := newRewritingProxy(&url.URL{Scheme: "http", Host: address}, func(*http.Response) error { return nil })
	end := time.Now().Add(duration)
	var calls sync.WaitGroup
	for n := range callers {
		calls.Go(func() {
			for life := minLife; time.Now().Before(end); life = minLife + (life+time.Duration(n)*time.Microsecond)%minLife {
				ctx, cancel := context.WithCancel(context.Background())
				time.AfterFunc(life, cancel)
				serveAborted(proxy, httptest.NewRequestWithContext(ctx, http.MethodGet, "/", nil))
				cancel()
			}
		})
	}
	failed := 0
	for time.Now().Before(end) {
		if err := Post(context.Background(), address, "/", "body", nil); err != nil {
			failed++
			t.Log(err)
		}
	}
	calls.Wait()
	if failed > 0 {
		t.Errorf("%d calls failed", failed)
	}
}

// serveAborted serves a request that the proxy may abort.
func serveAborted(proxy http.Handler, r *http.Request) {
	defer func() { _ = recover() }() // http.ErrAbortHandler
	proxy.ServeHTTP(httptest.NewRecorder(), r)
}
