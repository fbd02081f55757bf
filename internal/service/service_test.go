package service

import (
	"context"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/pkg/errors"

	"sassafrasfield/internal/rawserver"
)

func do(t *testing.T, method, answer string) (Answer, error) {
	t.Helper()
	client := NewClient(rawserver.Start(t, answer), 5*time.Second)
	return client.Do(context.Background(), Call{Method: method, Path: "/", Header: http.Header{}})
}

// TestAnswerEndedByTheConnectionIsNotWhole guards against an answer that was cut off, as its process was killed, and passed
// on and kept as a whole one.
func TestAnswerEndedByTheConnectionIsNotWhole(t *testing.T) {
	for name, answer := range map[string]string{
		"HTTP/1.1":          "HTTP/1.1 200 OK\r\n\r\ncertificate of lot 44",
		"HTTP/1.0":          "HTTP/1.0 200 OK\r\n\r\ncertificate of lot 44",
		"without a body":    "HTTP/1.1 200 OK\r\n\r\n",
		"within its length": "HTTP/1.1 200 OK\r\nContent-Length: 23\r\n\r\ncertificate of lot 44",
		"within its chunks": "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n15\r\ncertificate of lot 44\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			if got, err := do(t, http.MethodPost, answer); !errors.Is(err, ErrUnknown) {
				t.Errorf("passed on as whole: %q, %v", got.Body, err)
			}
		})
	}
}

// TestStatusOfNoAnswerIsNotPassedOn guards against a status below 200 that is passed on, or ends the handler of its call with a
// panic.
func TestStatusOfNoAnswerIsNotPassedOn(t *testing.T) {
	for _, status := range []string{"101 Switching Protocols", "042 None", "000 None", "600 None"} {
		if got, err := do(t, http.MethodPost, "HTTP/1.1 "+status+"\r\nContent-Length: 2\r\n\r\nok"); !errors.Is(err, ErrUnknown) {
			t.Errorf("%s: passed on as status %d, %v", status, got.Status, err)
		}
	}
}

// TestFieldsOfNoAnswerAreNotPassedOn guards against an answer with a field that HTTP does not have, which is passed on, or whose body
// is not the service's.
func TestFieldsOfNoAnswerAreNotPassedOn(t *testing.T) {
	for _, line := range []string{"X-A b: c", "X-A : c", "Content-Length : 3", "X-A\x01: c", ": c"} {
		if got, err := do(t, http.MethodPost, "HTTP/1.1 200 OK\r\n"+line+"\r\nContent-Length: 2\r\n\r\nok"); !errors.Is(err, ErrUnknown) {
			t.Errorf("%q: passed on with %v, %q, %v", line, got.Header, got.Body, err)
		}
	}
}

// TestCutAnswerIsNotWhole guards against an answer that ends at any byte of its head or its body, and is passed on as whole.
func TestCutAnswerIsNotWhole(t *testing.T) {
	for _, whole := range []string{
		"HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\nContent-Length: 23\r\n\r\ncertificate of lot 4471",
		"HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n17\r\ncertificate of lot 4471\r\n0\r\n\r\n",
	} {
		for _, reset := range []bool{false, true} {
			for cut := range whole {
				script := rawserver.Script{Answer: whole[:cut], Reset: reset}
				client := NewClient(rawserver.StartScript(t, func() rawserver.Script { return script }), 5*time.Second)
				got, err := client.Do(context.Background(), Call{Method: http.MethodPost, Path: "/", Header: http.Header{}})
				if !errors.Is(err, ErrUnknown) {
					t.Errorf("after %q: status %d, %q, %v", whole[:cut], got.Status, got.Body, err)
				}
			}
		}
	}
}

func TestAnswerWithAnEndIsWhole(t *testing.T) {
	const body = "certificate of lot 4471"
	for name, c := range map[string]struct{ method, answer, body string }{
		"length":     {http.MethodPost, "HTTP/1.1 200 OK\r\nContent-Length: 23\r\n\r\n" + body, body},
		"chunks":     {http.MethodPost, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n17\r\n" + body + "\r\n0\r\n\r\n", body},
		"HTTP/1.0":   {http.MethodPost, "HTTP/1.0 200 OK\r\nContent-Length: 23\r\n\r\n" + body, body},
		"to HEAD":    {http.MethodHead, "HTTP/1.1 200 OK\r\n\r\n", ""},
		"no content": {http.MethodPost, "HTTP/1.1 204 No Content\r\n\r\n", ""},
		"failure":    {http.MethodPost, "HTTP/1.1 500 Oops\r\nContent-Length: 0\r\n\r\n", ""},
	} {
		t.Run(name, func(t *testing.T) {
			if got, err := do(t, c.method, c.answer); err != nil || string(got.Body) != c.body {
				t.Errorf("%q, %v", got.Body, err)
			}
		})
	}
}

// TestRefusalNeedsNoEnd guards against a call whose refusal is taken for an unknown outcome, as nothing but its header counts.
func TestRefusalNeedsNoEnd(t *testing.T) {
	if _, err := do(t, http.MethodPost, "HTTP/1.1 503 Busy\r\n"+NotRunHeader+": 1\r\n\r\nbusy"); !errors.Is(err, ErrRefused) {
		t.Error(err)
	}
}

// TestEncodedAnswerIsPassedOnUnchanged guards against an answer whose length is lost because it is decoded on the way.
func TestEncodedAnswerIsPassedOnUnchanged(t *testing.T) {
	answer, err := do(t, http.MethodPost, "HTTP/1.1 200 OK\r\nContent-Encoding: gzip\r\nContent-Length: 4\r\n\r\n\x1f\x8bxy")
	if err != nil || !strings.HasPrefix(string(answer.Body), "\x1f\x8b") || answer.Header.Get("Content-Encoding") != "gzip" {
		t.Errorf("%q %v %v", answer.Body, answer.Header, err)
	}
}
