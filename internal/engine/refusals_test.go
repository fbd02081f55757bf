package engine

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/pkg/errors"

	"sassafrasfield/internal/rawserver"
)

// refusingEngine refuses some requests and runs the others.
type refusingEngine struct {
	status  int
	refuses func(id string) bool

	mu  sync.Mutex     // protects ran
	ran map[string]int // generations by ID
}

// respond implements rawserver.Respond.
func (e *refusingEngine) respond(request *http.Request, body []byte) string {
	var stream StreamID
	_ = json.Unmarshal(body, &stream) // not all requests have a body
	if e.refuses(stream.ID) {
		return fmt.Sprintf("HTTP/1.1 %d %s\r\nContent-Length: 0\r\n\r\n", e.status, http.StatusText(e.status))
	}
	response := "{}"
	if request.URL.Path == PathGenerate {
		e.mu.Lock()
		e.ran[stream.ID]++
		e.mu.Unlock()
		response = `{"n":0,"finish":"stop"}`
	}
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(response), response)
}

func (e *refusingEngine) timesRan(id string) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.ran[id]
}

// startRefusing starts an engine that repeats its refusals after a number of other responses, and returns a client for it.
func startRefusing(t *testing.T, status, between int, refuses func(id string) bool) (*refusingEngine, *Client) {
	t.Helper()
	e := &refusingEngine{status: status, refuses: refuses, ran: map[string]int{}}
	return e, NewClient(rawserver.StartRepeating(t, between, e.respond), 5*time.Second)
}

// generate has an engine generate, and reads the answer to its end.
func generate(c *Client, id string) error {
	stream, err := c.Generate(context.Background(), Request{ID: id})
	if err != nil {
		return err
	}
	defer stream.Close()
	for err == nil {
		_, err = stream.Next()
	}
	if errors.Is(err, io.EOF) {
		return nil
	}
	return err
}

// calls are the calls of a client.
var calls = map[string]func(*Client) error{
	"generate":     func(c *Client) error { return generate(c, "r1") },
	"cancel":       func(c *Client) error { return c.Cancel(context.Background(), "r1") },
	"report":       func(c *Client) error { _, err := c.Report(context.Background()); return err },
	"cache events": func(c *Client) error { _, err := c.CacheEvents(context.Background(), 3); return err },
	"status":       func(c *Client) error { _, err := c.Status(context.Background()); return err },
	"order":        func(c *Client) error { _, err := c.Order(context.Background(), Order{ID: "o1"}); return err },
	"export":       func(c *Client) error { _, err := c.Export(context.Background(), "r1"); return err },
	"import":       func(c *Client) error { return c.Import(context.Background(), KVExport{Handle: "h1"}) },
}

// TestCopyOfARefusalAnswersNoOtherCall guards against calls that pass for refused though they run, because the copy of an earlier
// refusal was taken for their response.
func TestCopyOfARefusalAnswersNoOtherCall(t *testing.T) {
	for _, status := range []int{http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusNotFound, http.StatusPreconditionFailed} {
		for _, between := range []int{0, 1} {
			for name, call := range calls {
				_, client := startRefusing(t, status, between, func(id string) bool { return id == "refused" })
				if err := generate(client, "refused"); err == nil {
					t.Errorf("status %d: not refused", status)
				}
				for n := range between + 1 {
					if err := call(client); err != nil {
						t.Errorf("%s, call %d after the status %d, whose copy follows after %d responses: %v", name, n, status, between, err)
					}
				}
			}
		}
	}
}

// TestRefusedGenerationsDidNotRun guards against generations that run twice or are lost, because their connections are shared with
// generations that were refused.
func TestRefusedGenerationsDidNotRun(t *testing.T) {
	engine, client := startRefusing(t, http.StatusServiceUnavailable, 0, func(id string) bool { return strings.HasSuffix(id, "3") })
	const callers, callsEach = 16, 100
	var group sync.WaitGroup
	for caller := range callers {
		group.Go(func() {
			for n := range callsEach {
				id := fmt.Sprintf("r%d-%d", caller, n)
				err, ran := generate(client, id), engine.timesRan(id)
				if ran > 1 || (err == nil) != (ran == 1) || err != nil && !errors.Is(err, ErrNotRun) {
					t.Errorf("%s ran %d times: %v", id, ran, err)
				}
			}
		})
	}
	group.Wait()
}
