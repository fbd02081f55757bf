package httptransport

import (
	"bufio"
	"io"
	"net/http"
	"strings"
	"testing"

	"github.com/pkg/errors"

	"sassafrasfield/internal/rawserver"
)

// TestCheckAnswer guards against what is no answer in HTTP and passes for one, and against an answer that is taken for none.
func TestCheckAnswer(t *testing.T) {
	for text, want := range map[string]error{
		"HTTP/1.1 200 OK\r\n\r\n":                                   nil,
		"HTTP/1.1 200\r\n\r\n":                                      nil,
		"HTTP/1.0 599 Own\r\nx-a_b.c!#$%&'*+^`|~9: v\r\n\r\n":       nil,
		"HTTP/1.1 200 OK\r\nX-A: a\r\n folded\r\n\r\n":              nil,
		"HTTP/1.1 200 OK\r\nX-A: v\xe9\r\n\r\n":                     nil,
		"HTTP/1.1 503 Busy\r\nX-A:\r\n\r\n":                         nil,
		"HTTP/1.1 000 None\r\n\r\n":                                 ErrNoAnswer,
		"HTTP/1.1 199 Odd\r\n\r\n":                                  ErrNoAnswer,
		"HTTP/1.1 101 Switching Protocols\r\n\r\n":                  ErrNoAnswer,
		"HTTP/1.1 600 None\r\n\r\n":                                 ErrNoAnswer,
		"HTTP/1.1 200 OK\r\nX-A b: c\r\n\r\n":                       ErrNoAnswer,
		"HTTP/1.1 200 OK\r\nContent-Length : 3\r\n\r\nabc":          ErrNoAnswer,
		"HTTP/1.1 200 OK\r\nX-A: HTTP/1.1 500 Internal\r\n\r\n":     ErrNoAnswer,
		"HTTP/1.1 200 HTTP/1.1 204 No Content\r\nX-A: v\r\n\r\nabc": ErrNoAnswer,
	} {
		response, err := http.ReadResponse(bufio.NewReader(strings.NewReader(text)), nil)
		if err != nil {
			t.Errorf("%q: %v", text, err)
			continue
		}
		if got := CheckAnswer(response); !errors.Is(got, want) {
			t.Errorf("%q: %v, want %v", text, got, want)
		}
	}
}

// TestNoAnswerEndsItsConnection guards against bytes that follow on what is no answer, and are taken for the answer to the next
// request.
func TestNoAnswerEndsItsConnection(t *testing.T) {
	const next = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nother"
	for name, answer := range map[string]string{
		"status":           "HTTP/1.1 000 None\r\nContent-Length: 0\r\n\r\n" + next,
		"length":           "HTTP/1.1 200 OK\r\nContent-Length : 0\r\n\r\n" + next,
		"trailer":          "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\nX-A b: c\r\n\r\n" + next,
		"status, no body":  "HTTP/1.1 999 None\r\n\r\n",
		"name and no body": "HTTP/1.1 204 No Content\r\nX-A b: c\r\n\r\n" + next,
	} {
		t.Run(name, func(t *testing.T) {
			address := rawserver.StartScript(t, func() rawserver.Script { return rawserver.Script{First: answer, Answer: next} })
			client := &http.Client{Transport: Isolate(&http.Transport{MaxConnsPerHost: 1})}
			response, err := client.Get("http://" + address + "/")
			if err == nil {
				_, err = io.ReadAll(response.Body)
				response.Body.Close()
			}
			if !errors.Is(err, ErrNoAnswer) {
				t.Errorf("%v", err)
			}
		})
	}
}
