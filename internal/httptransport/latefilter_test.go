package httptransport

import (
	"net"
	"strings"
	"testing"
)

const filterHeader = "X-Request-Id"

func newTestFilter() *lateFilter {
	sent := &requestIDs{}
	for _, id := range []string{"r1", "r2", "r31", "r3"} {
		sent.add(id)
	}
	return &lateFilter{header: filterHeader, own: "r3", sent: sent}
}

func responseText(id, framing, body string) string {
	return "HTTP/1.1 503 Service Unavailable\r\n" + filterHeader + ": " + id + "\r\n" + framing + "\r\n" + body
}

// TestLateResponsesAreDropped guards against a request that is lost because a whole response to an earlier request of its connection
// arrives where its own is due, and against bytes that are dropped though it is not known that they are such a response.
func TestLateResponsesAreDropped(t *testing.T) {
	empty := "Content-Length: 0\r\n"
	own := responseText("r3", "Content-Length: 3\r\n", "own")
	late := responseText("r1", "Content-Length: 4\r\n", "late")
	for name, c := range map[string]struct {
		received, passed string
	}{
		"its own":                        {own, own},
		"a late one":                     {late + own, own},
		"a late one without a body":      {responseText("r2", empty, "") + own, own},
		"no content":                     {"HTTP/1.1 204 No Content\r\n" + filterHeader + ": r1\r\n\r\n" + own, own},
		"as many as are dropped":         {strings.Repeat(late, maxLateResponses) + own, own},
		"more":                           {strings.Repeat(late, maxLateResponses+1) + own, late + own},
		"after its own":                  {own + late, own + late},
		"of an unknown request":          {responseText("r9", empty, "") + own, responseText("r9", empty, "") + own},
		"without an ID":                  {"HTTP/1.1 503 x\r\n" + empty + "\r\n" + own, "HTTP/1.1 503 x\r\n" + empty + "\r\n" + own},
		"until the connection ends":      {responseText("r1", "", "late"), responseText("r1", "", "late")},
		"in chunks":                      {responseText("r1", "Transfer-Encoding: chunked\r\n", "0\r\n\r\n") + own, responseText("r1", "Transfer-Encoding: chunked\r\n", "0\r\n\r\n") + own},
		"a long one":                     {responseText("r1", "Content-Length: 100000\r\n", "late"), responseText("r1", "Content-Length: 100000\r\n", "late")},
		"a part of a head and its own":   {"HTTP/1.1 200 OK\r\n" + filterHeader + ": r1" + own, "HTTP/1.1 200 OK\r\n" + filterHeader + ": r1" + own},
		"an interim one":                 {"HTTP/1.1 103 Early Hints\r\n\r\n" + own, "HTTP/1.1 103 Early Hints\r\n\r\n" + own},
		"lines that end with \\n":        {strings.ReplaceAll(late+own, "\r\n", "\n"), strings.ReplaceAll(own, "\r\n", "\n")},
		"of an ID that contains its own": {responseText("r31", empty, "") + own, own},
		"no response":                    {"garbage", "garbage"},
		"a late one and no response":     {late + "garbage", "garbage"},
	} {
		for _, piece := range []int{1, 7, len(c.received)} {
			f, passed := newTestFilter(), ""
			for rest := c.received; rest != ""; {
				n := min(piece, len(rest))
				p, _ := f.receive([]byte(rest[:n]))
				passed, rest = passed+string(p), rest[n:]
			}
			if passed += string(f.release()); passed != c.passed {
				t.Errorf("%s, in pieces of %d: passed %q, want %q", name, piece, passed, c.passed)
			}
		}
	}
}

// TestConnectionTakesNoIDTwice guards against a connection that takes a request with an ID that it has carried, or may have carried.
func TestConnectionTakesNoIDTwice(t *testing.T) {
	conn := &trackedConn{Conn: pipeEnd(t), settings: &connSettings{idHeader: filterHeader}}
	for n := range maxRequestIDs {
		if !conn.admit(&exchange{id: strings.Repeat("x", n+1)}) {
			t.Fatalf("ID %d is not taken", n)
		}
	}
	if conn.admit(&exchange{id: "one more"}) {
		t.Error("took more than are kept")
	}
	again := &trackedConn{Conn: pipeEnd(t), settings: &connSettings{idHeader: filterHeader}}
	if !again.admit(&exchange{id: "r1"}) || !again.admit(&exchange{}) || again.admit(&exchange{id: "r1"}) {
		t.Error("took an ID twice, or not once")
	}
}

// pipeEnd returns a connection.
func pipeEnd(t *testing.T) net.Conn {
	local, remote := net.Pipe()
	t.Cleanup(func() { _, _ = local.Close(), remote.Close() })
	return local
}
