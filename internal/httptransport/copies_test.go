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

// mixServer answers, refuses, repeats refusals late, answers before it has read a body, and counts IDs by connection.
type mixServer struct {
	mu       sync.Mutex // protects all below
	arrived  map[string]int
	ran      map[string]int
	repeated int
	copies   int
}

func (s *mixServer) serve(conn net.Conn) {
	seen := map[string]bool{}
	var pending [][]byte
	reader := bufio.NewReader(conn)
	for {
		q, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		id := q.Header.Get(filterHeader)
		early := q.Method == http.MethodPost && rand.IntN(8) == 0
		if !early {
			if _, err := io.Copy(io.Discard, q.Body); err != nil {
				return
			}
		}
		s.mu.Lock()
		s.arrived[id]++
		if seen[id] {
			s.repeated++
		}
		seen[id] = true
		copies := 0
		if rand.IntN(2) == 0 {
			copies = len(pending)
		}
		s.copies += copies
		s.mu.Unlock()
		for _, p := range pending[:copies] {
			half := rand.IntN(len(p))
			conn.Write(p[:half])
			time.Sleep(time.Duration(rand.IntN(300)) * time.Microsecond)
			conn.Write(p[half:])
		}
		pending = pending[copies:]
		if rand.IntN(10) == 0 {
			fmt.Fprintf(conn, "HTTP/1.1 103 Early Hints\r\n\r\n")
		}
		time.Sleep(time.Duration(rand.IntN(3000)) * time.Microsecond)
		if rand.IntN(3) == 0 {
			body := []string{"", "full"}[rand.IntN(2)]
			p := fmt.Sprintf("HTTP/1.1 503 x\r\n%s: %s\r\nX-Not-Executed: 1\r\nContent-Length: %d\r\n\r\n", filterHeader, id, len(body))
			if q.Method != http.MethodHead {
				p += body
			}
			conn.Write([]byte(p))
			pending = append(pending, []byte(p))
		} else {
			s.mu.Lock()
			s.ran[id]++
			s.mu.Unlock()
			if rand.IntN(3) == 0 {
				fmt.Fprintf(conn, "HTTP/1.1 204 x\r\n%s: %s\r\n\r\n", filterHeader, id)
			} else {
				body := "answer to " + id
				fmt.Fprintf(conn, "HTTP/1.1 200 x\r\n%s: %s\r\nContent-Length: %d\r\n\r\n", filterHeader, id, len(body))
				if q.Method != http.MethodHead {
					io.WriteString(conn, body)
				}
			}
		}
		if early {
			if _, err := io.Copy(io.Discard, q.Body); err != nil {
				return
			}
		}
	}
}

// TestMixOfCopiesAndCancellations guards against an ID that a connection carries twice, and against promises that do not hold, in a mix
// of copies of refusals, cancellations, early answers and IDs that are used again.
func TestMixOfCopiesAndCancellations(t *testing.T) {
	s := &mixServer{arrived: map[string]int{}, ran: map[string]int{}}
	address := rawserver.StartConns(t, s.serve)
	transport := Bounded(&http.Transport{MaxIdleConnsPerHost: 8, ReadBufferSize: 4 << 10}, "test", readlimit.ResponseHead(), WithRequestIDs(filterHeader))
	var ok, refused, otherID, failed, cancelled, notSent, falseRefusals, wrongBody atomic.Int64
	texts := sync.Map{}
	one := func(id string) {
		ranBefore := func() int { s.mu.Lock(); defer s.mu.Unlock(); return s.ran[id] }
		for range 4 { // sends of one request, one after the other, until one is not refused
			ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
			if rand.IntN(6) == 0 {
				ctx, cancel = context.WithTimeout(context.Background(), time.Duration(rand.IntN(4000))*time.Microsecond)
			}
			method := []string{"POST", "POST", "POST", "GET", "GET"}[rand.IntN(5)]
			request, _ := http.NewRequestWithContext(ctx, method, "http://"+address, nil)
			size := 0
			if method == "POST" {
				size = []int{0, 10, 3000, 40000, 400000}[rand.IntN(5)]
			}
			request.Body, request.ContentLength = NewBody(make([]byte, size)), int64(size)
			request.Header.Set(filterHeader, id)
			response, err := transport.RoundTrip(request)
			switch {
			case errors.Is(err, ErrNotSent):
				notSent.Add(1)
				cancel()
				continue
			case err != nil && ctx.Err() != nil:
				cancelled.Add(1)
				cancel()
				return
			case err != nil:
				failed.Add(1)
				n, _ := texts.LoadOrStore(err.Error(), new(atomic.Int64))
				n.(*atomic.Int64).Add(1)
				cancel()
				return
			}
			body, bodyErr := io.ReadAll(response.Body)
			response.Body.Close()
			cancel()
			switch got := response.Header.Get(filterHeader); {
			case got != id:
				otherID.Add(1)
				return
			case response.StatusCode == 503:
				refused.Add(1)
				time.Sleep(4 * time.Millisecond)
				if ranBefore() > 0 {
					falseRefusals.Add(1)
				}
				continue
			case response.StatusCode == 200 && method != "HEAD" && bodyErr == nil && string(body) != "answer to "+id:
				wrongBody.Add(1)
			}
			ok.Add(1)
			return
		}
	}
	var group sync.WaitGroup
	for w := range 12 {
		group.Go(func() {
			for n := range 400 {
				one(fmt.Sprintf("r-%d-%d", w, n))
			}
		})
	}
	group.Wait()
	s.mu.Lock()
	defer s.mu.Unlock()
	twice := 0
	for _, n := range s.ran {
		if n > 1 {
			twice++
		}
	}
	t.Logf("ok %d refused %d otherID %d failed %d cancelled %d notSent %d copies %d", ok.Load(), refused.Load(), otherID.Load(), failed.Load(), cancelled.Load(), notSent.Load(), s.copies)
	texts.Range(func(k, v any) bool { t.Log(v.(*atomic.Int64).Load(), k); return true })
	if s.repeated > 0 || twice > 0 || falseRefusals.Load() > 0 || wrongBody.Load() > 0 {
		t.Errorf("%d IDs twice on a connection, %d ran twice, %d false refusals, %d wrong bodies", s.repeated, twice, falseRefusals.Load(), wrongBody.Load())
	}
}
