package httptransport

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/pkg/errors"

	"sassafrasfield/internal/rawserver"
	"sassafrasfield/internal/readlimit"
)

// TestRequestThatMeetsACopyOnAnIdleConnection guards against a request that is reported as one that may have run, though it was never
// written: the copy of a refusal arrives just as its connection is taken from the idle ones.
func TestRequestThatMeetsACopyOnAnIdleConnection(t *testing.T) {
	var mu sync.Mutex // protects arrived
	arrived := map[string]int{}
	address := rawserver.StartConns(t, func(conn net.Conn) {
		reader := bufio.NewReader(conn)
		for {
			q, err := http.ReadRequest(reader)
			if err != nil {
				return
			}
			io.Copy(io.Discard, q.Body)
			id := q.Header.Get(filterHeader)
			mu.Lock()
			arrived[id]++
			mu.Unlock()
			p := fmt.Sprintf("HTTP/1.1 503 x\r\n%s: %s\r\nX-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n", filterHeader, id)
			io.WriteString(conn, p)
			if rand.IntN(3) == 0 {
				for end := time.Now().Add(time.Duration(rand.IntN(120)) * time.Microsecond); time.Now().Before(end); {
				}
				io.WriteString(conn, p)
			}
		}
	})
	transport := Bounded(&http.Transport{MaxIdleConnsPerHost: 8}, "test", readlimit.ResponseHead(), WithRequestIDs(filterHeader))
	var sent, lost, neverArrived atomic.Int64
	var group sync.WaitGroup
	for w := range 6 {
		group.Go(func() {
			for n := range 2000 {
				id := fmt.Sprintf("r-%d-%05d", w, n)
				request, _ := http.NewRequestWithContext(context.Background(), "POST", "http://"+address, nil)
				request.Body, request.ContentLength = NewBody([]byte("body")), 4
				request.Header.Set(filterHeader, id)
				sent.Add(1)
				response, err := transport.RoundTrip(request)
				if err == nil {
					response.Body.Close()
					continue
				}
				if errors.Is(err, ErrNotSent) {
					continue
				}
				lost.Add(1)
				time.Sleep(time.Millisecond)
				mu.Lock()
				if arrived[id] == 0 {
					neverArrived.Add(1)
				}
				mu.Unlock()
			}
		})
	}
	group.Wait()
	t.Logf("%d requests, %d lost, %d of these never arrived", sent.Load(), lost.Load(), neverArrived.Load())
	if neverArrived.Load() > 0 {
		t.Errorf("%d requests never arrived and are reported as lost", neverArrived.Load())
	}
}
