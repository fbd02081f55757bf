package engine

import (
	"context"
	"fmt"
	"io"
	"strings"
	"testing"
	"time"

	"github.com/pkg/errors"

	"sassafrasfield/internal/rawserver"
)

// TestStreamEndsWithItsLastPieceAlone guards against an answer that passes for complete because its engine was killed
// between two pieces.
func TestStreamEndsWithItsLastPieceAlone(t *testing.T) {
	const head, pieces = "HTTP/1.1 200 OK\r\n\r\n", `{"n":0,"text":"a"}` + "\n" + `{"n":1,"text":"b"}` + "\n"
	for name, c := range map[string]struct {
		rest string
		want error
	}{
		"between two pieces": {"", ErrBroken},
		"inside a piece":     {`{"n":2,"te`, ErrBroken},
		"after the last one": {`{"n":2,"finish":"stop"}` + "\n", io.EOF},
	} {
		stream, err := NewClient(rawserver.Start(t, head+pieces+c.rest), 5*time.Second).Generate(context.Background(), Request{ID: "r1"})
		if err != nil {
			t.Fatal(name, err)
		}
		read := 0
		for ; err == nil; read++ {
			_, err = stream.Next()
		}
		if !errors.Is(err, c.want) || read < 3 {
			t.Errorf("%s: %v after %d reads, want %v", name, err, read, c.want)
		}
		stream.Close()
	}
}

// engineCall is a call of a Client, and the document of its answer.
type engineCall struct {
	document string
	call     func(context.Context, *Client) error
}

// engineCalls are all calls of a Client.
var engineCalls = map[string]engineCall{
	"generate": {`{"n":0,"text":"a"}` + "\n" + `{"n":1,"finish":"stop"}`, func(ctx context.Context, c *Client) error {
		stream, err := c.Generate(ctx, Request{ID: "r1"})
		if err != nil {
			return err
		}
		defer stream.Close()
		for err == nil {
			_, err = stream.Next()
		}
		if err == io.EOF {
			return nil
		}
		return err
	}},
	"report":       {`{"engine":"e1","boot":"b","seq":12,"running":3}`, func(ctx context.Context, c *Client) error { _, err := c.Report(ctx); return err }},
	"cache events": {`{"boot":"b","events":[]}`, func(ctx context.Context, c *Client) error { _, err := c.CacheEvents(ctx, 3); return err }},
	"status":       {`{"engine":"e1","boot":"b","running":12}`, func(ctx context.Context, c *Client) error { _, err := c.Status(ctx); return err }},
	"export":       {`{"handle":"h1","source":"127.0.0.1:1","tokens":1460}`, func(ctx context.Context, c *Client) error { _, err := c.Export(ctx, "r1"); return err }},
	"order":        {`{"engine":"e1","boot":"b","last_order":"o1"}`, func(ctx context.Context, c *Client) error { _, err := c.Order(ctx, Order{ID: "o1"}); return err }},
	"cancel":       {"", func(ctx context.Context, c *Client) error { return c.Cancel(ctx, "r1") }},
	"import":       {"", func(ctx context.Context, c *Client) error { return c.Import(ctx, KVExport{Handle: "h1"}) }},
}

// answer returns the whole answer to the call.
func (c engineCall) answer() string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nX-Boot: b\r\nX-Accepted: 12\r\nContent-Length: %d\r\n\r\n%s", len(c.document), c.document)
}

// TestWhatIsNoAnswerOfAnEngineIsNotTakenForOne guards against an answer of an engine with a status or a field that HTTP does not have.
func TestWhatIsNoAnswerOfAnEngineIsNotTakenForOne(t *testing.T) {
	for name, c := range engineCalls {
		whole := c.answer()
		for _, answer := range []string{
			strings.Replace(whole, "200 OK", "000 None", 1), strings.Replace(whole, "200 OK", "600 None", 1),
			strings.Replace(whole, "X-Boot:", "X-Boot b:", 1), strings.Replace(whole, "Content-Length:", "Content-Length :", 1),
			strings.Replace(whole, "X-Boot:", "X-Boot\x01:", 1),
		} {
			client := NewClient(rawserver.Start(t, answer), 5*time.Second)
			if err := c.call(context.Background(), client); !errors.Is(err, ErrBroken) {
				t.Errorf("%s, %q: %v", name, answer, err)
			}
		}
	}
}

// TestCutAnswersOfEnginesAreNotWhole guards against an answer of an engine that ends at any byte of its head or its document, and
// is taken for a whole one.
func TestCutAnswersOfEnginesAreNotWhole(t *testing.T) {
	for name, c := range engineCalls {
		whole := c.answer()
		for _, reset := range []bool{false, true} {
			for cut := range len(whole) + 1 {
				script := rawserver.Script{Answer: whole[:cut], Reset: reset}
				client := NewClient(rawserver.StartScript(t, func() rawserver.Script { return script }), 5*time.Second)
				err := c.call(context.Background(), client)
				if isWhole := cut == len(whole); isWhole && err != nil || !isWhole && !errors.Is(err, ErrBroken) {
					t.Errorf("%s, reset %t, after %q: %v", name, reset, whole[:cut], err)
				}
			}
		}
	}
}
