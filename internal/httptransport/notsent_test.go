package httptransport

import (
	"context"
	"net/http"
	"net/http/httptest"
	"net/http/httptrace"
	"strings"
	"testing"
	"time"

	"github.com/pkg/errors"

	"sassafrasfield/internal/readlimit"
)

// TestExecutedRequestIsNotReportedAsNotSent guards against a request that ran, and is reported as ErrNotSent because the connection
// refuses the next request before the response without a body was handed out.
func TestExecutedRequestIsNotReportedAsNotSent(t *testing.T) {
	ran := make(chan string, 10)
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		ran <- r.Header.Get(filterHeader) + r.Header.Get("Call")
		w.Header().Set(filterHeader, r.Header.Get(filterHeader))
		w.WriteHeader(http.StatusNoContent)
	}))
	defer server.Close()
	transport := Bounded(&http.Transport{MaxIdleConnsPerHost: 8}, "test", readlimit.ResponseHead(), WithRequestIDs(filterHeader))
	send := func(ctx context.Context, call string) error {
		request, err := http.NewRequestWithContext(ctx, http.MethodPost, server.URL, nil)
		if err != nil {
			return err
		}
		request.Body, request.ContentLength = NewBody([]byte("x")), 1
		request.Header.Set(filterHeader, "r1")
		request.Header.Set("Call", call)
		response, err := transport.RoundTrip(request)
		if err == nil {
			response.Body.Close()
		}
		return err
	}
	idle := make(chan struct{})
	first := make(chan error, 1)
	go func() {
		ctx := httptrace.WithClientTrace(context.Background(), &httptrace.ClientTrace{PutIdleConn: func(error) {
			close(idle)
			time.Sleep(3 * headerTimeout) // the goroutine of the connection is not scheduled
		}})
		first <- send(ctx, "a")
	}()
	<-idle
	if err := send(context.Background(), "b"); err != nil {
		t.Error("second: ", err)
	}
	err := <-first
	t.Log("first: ", err)
	var got []string
	for len(ran) > 0 {
		got = append(got, <-ran)
	}
	t.Log("ran: ", strings.Join(got, " "))
	if errors.Is(err, ErrNotSent) {
		t.Errorf("the first request ran, and is reported as not sent: %v", err)
	}
}
