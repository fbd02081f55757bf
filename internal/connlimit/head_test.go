package connlimit

import (
	"bufio"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"

	"pgregory.net/rapid"
)

// TestEndOfHead guards against a head whose end is found elsewhere than net/http finds it: its connection would stand still,
// or a part of the next request would not be accounted for.
func TestEndOfHead(t *testing.T) {
	for _, head := range []string{
		"GET / HTTP/1.1\r\nHost: h\r\n\r\n", "GET / HTTP/1.1\nHost: h\n\n", "GET / HTTP/1.1\nHost: h\r\n\n", "GET / HTTP/1.1\r\nHost: h\n\r\n",
		"GET / HTTP/1.0\r\n\r\n", "GET / HTTP/1.1\r\nHost: h\r\nX: a\r\n b\r\n\r\n", "\r\n", "\n", "\r\r\n\n",
	} {
		for split := range len(head) {
			var s headScanner
			text := head + "next"
			if end := s.scan([]byte(text[:split])); end >= 0 {
				t.Errorf("%q ends after %d bytes", head, end)
				continue
			}
			if end := s.scan([]byte(text[split:])); split+end != len(head) || s.bytes != len(head) {
				t.Errorf("%q, split at %d: ends after %d bytes, counted %d", head, split, split+end, s.bytes)
			}
		}
	}
}

// TestLineBeforeAHead guards against a head that begins in the middle of a line, because a part of it was passed on already,
// and whose first line end counts as an empty line.
func TestLineBeforeAHead(t *testing.T) {
	for passed, rest := range map[string]string{
		"body": "GET / HTTP/1.1\r\n\r\n", "body\n": "GET / HTTP/1.1\r\n\r\n", "G": "ET / HTTP/1.1\r\n\r\n",
		"GET / HTTP/1.1": "\r\nHost: h\r\n\r\n", "GET / HTTP/1.1\r": "\nHost: h\r\n\r\n", "GET / HTTP/1.1\r\n": "\r\n", "GET / HTTP/1.1\r\n\r": "\n",
	} {
		var s headScanner
		s.pass([]byte(passed))
		if end := s.scan([]byte(rest)); end != len(rest) {
			t.Errorf("after %q, %q ends after %d bytes", passed, rest, end)
		}
	}
}

// TestFramingAgreesWithNetHTTP guards against a body whose end is found elsewhere than net/http finds it.
func TestFramingAgreesWithNetHTTP(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		body := drawBody(t)
		const next = "GET /next HTTP/1.1\r\n"
		reader := bufio.NewReader(strings.NewReader(body.head + body.text + next))
		request, err := http.ReadRequest(reader)
		if err != nil {
			t.Fatal(err)
		}
		f := framingOf(request)
		if _, err := io.Copy(io.Discard, request.Body); err != nil {
			return // net/http closes the connection
		}
		rest, _ := io.ReadAll(reader)
		want := len(body.text) + len(next) - len(rest)
		text, got := []byte(body.text+next), 0
		for got < len(text) && f.part != frameEnd {
			n := min(len(text)-got, rapid.IntRange(1, 9).Draw(t, "piece"))
			got += f.body(text[got : got+n])
		}
		if got != want {
			t.Fatalf("%q ends after %d bytes, want %d", body.text, got, want)
		}
	})
}

// testBody is the body of a request, with the head before it.
type testBody struct{ head, text string }

// drawBody draws a body with a length, or in chunks with extensions, trailers and faults.
func drawBody(t *rapid.T) testBody {
	if rapid.Bool().Draw(t, "length") {
		n := rapid.IntRange(0, 40).Draw(t, "bytes")
		return testBody{fmt.Sprintf("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n", n), strings.Repeat("x", n)}
	}
	var text strings.Builder
	for range rapid.IntRange(0, 4).Draw(t, "chunks") {
		n := rapid.IntRange(1, 40).Draw(t, "size")
		size := rapid.SampledFrom([]string{"%x", "%X", "0%x", "000%x", "%x;a=b", "%x ;c", "%x ", "%x g", " %x", "-%x"}).Draw(t, "format")
		fmt.Fprintf(&text, size+"\r\n%s\r\n", n, strings.Repeat("\n", n))
	}
	text.WriteString(rapid.SampledFrom([]string{"0\r\n\r\n", "0\r\nT: v\r\n\r\n", "00;x\r\n\r\n", "0\r\nT: a\r\nU: b\r\n\r\n", "\r\n\r\n", "0\r\n\n"}).Draw(t, "end"))
	return testBody{"POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n", text.String()}
}
