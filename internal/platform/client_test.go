package platform

import (
	"bytes"
	"context"
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/pkg/errors"

	"sassafrasfield/internal/rawserver"
)

func response(status int, body string) string {
	return fmt.Sprintf("HTTP/1.1 %d %s\r\nContent-Length: %d\r\n\r\n%s", status, http.StatusText(status), len(body), body)
}

// calls are the calls of a client, each with the response of a platform that performs it.
var calls = map[string]struct {
	response string
	call     func(context.Context, *Client) error
}{
	"get":         {`{"key":"k"}`, func(ctx context.Context, c *Client) error { _, err := c.Get(ctx, "k"); return err }},
	"list":        {`{}`, func(ctx context.Context, c *Client) error { _, err := c.List(ctx, "k"); return err }},
	"commit":      {`{"revision":7}`, func(ctx context.Context, c *Client) error { _, err := c.Commit(ctx, Txn{}); return err }},
	"put object":  {``, func(ctx context.Context, c *Client) error { return c.PutObject(ctx, "o", []byte("{}")) }},
	"get object":  {`{}`, func(ctx context.Context, c *Client) error { _, err := c.GetObject(ctx, "o"); return err }},
	"instances":   {`{}`, func(ctx context.Context, c *Client) error { _, err := c.Instances(ctx); return err }},
	"weight rate": {`{}`, func(ctx context.Context, c *Client) error { _, err := c.WeightRate(ctx); return err }},
}

// TestCopyOfARefusalAnswersNoOtherCall guards against a commit that counts as refused though it was done, because the copy of an
// earlier refusal was taken for its response.
func TestCopyOfARefusalAnswersNoOtherCall(t *testing.T) {
	const refused = "refused"
	for _, status := range []int{http.StatusConflict, http.StatusNotFound, http.StatusServiceUnavailable, http.StatusTooManyRequests} {
		for _, between := range []int{0, 1} {
			for name, c := range calls {
				client := NewClient(rawserver.StartRepeating(t, between, func(_ *http.Request, body []byte) string {
					if bytes.Contains(body, []byte(refused)) {
						return response(status, "")
					}
					return response(http.StatusOK, c.response)
				}), 5*time.Second)
				if _, err := client.Get(context.Background(), refused); err == nil {
					t.Errorf("status %d: not refused", status)
				}
				for n := range between + 1 {
					if err := c.call(context.Background(), client); err != nil {
						t.Errorf("%s, call %d after the status %d, whose copy follows after %d responses: %v", name, n, status, between, err)
					}
				}
			}
		}
	}
}

// TestRefusedCommitsDoNotPassForDone guards against a claim that two callers hold, because a commit that was refused got the response
// to another one, whose own response was taken from the copy of a refusal.
func TestRefusedCommitsDoNotPassForDone(t *testing.T) {
	var claimed sync.Map
	client := NewClient(rawserver.StartRepeating(t, 0, func(_ *http.Request, body []byte) string {
		if _, taken := claimed.LoadOrStore(string(body), true); taken {
			return response(http.StatusConflict, "")
		}
		return response(http.StatusOK, `{"revision":7}`)
	}), 5*time.Second)
	const callers, claimsEach = 16, 100
	var group sync.WaitGroup
	for caller := range callers {
		group.Go(func() {
			for n := range claimsEach {
				claim := Txn{Writes: []Write{{Key: fmt.Sprintf("%d-%d", caller, n)}}}
				if _, err := client.Commit(context.Background(), claim); err != nil {
					t.Errorf("first commit of %s: %v", claim.Writes[0].Key, err)
				}
				if _, err := client.Commit(context.Background(), claim); !errors.Is(err, ErrConflict) {
					t.Errorf("second commit of %s: %v, want %v", claim.Writes[0].Key, err, ErrConflict)
				}
			}
		})
	}
	group.Wait()
}
