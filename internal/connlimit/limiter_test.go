package connlimit

import (
	"bufio"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"pgregory.net/rapid"
)

const maxTestBody = 1 << 20

// testServer is a server with a limiter. Its handler reads the whole body and returns its length. At /early it begins the response
// before.
type testServer struct {
	address string
	limiter *Limiter
	// run counts the requests whose bodies were read completely.
	run atomic.Int64
	// proceed has the handlers return; it is closed unless a test holds them.
	proceed chan struct{}
}

func startServer(t testing.TB, bounds Bounds) *testServer {
	t.Helper()
	s := &testServer{proceed: make(chan struct{})}
	s.limiter = New(Options{
		Name: "test", Bounds: bounds, MaxHeadBytes: func() int { return 8 << 10 }, HeadTimeout: time.Minute,
		MaxBodyBytes: func() int64 { return maxTestBody },
		Refusal:      func(int) Refusal { return Refusal{Header: http.Header{"X-Outcome": {"not_run"}}, Body: "refused"} },
		Log:          slog.New(slog.NewTextHandler(io.Discard, nil)),
	})
	inner, err := Listen("127.0.0.1:0", 0)
	if err != nil {
		t.Fatal(err)
	}
	s.address = inner.Addr().String()
	server := &http.Server{
		Handler: s.limiter.Handler(http.HandlerFunc(s.serve)), ConnState: s.limiter.ConnState, ConnContext: s.limiter.ConnContext,
	}
	go func() { _ = server.Serve(s.limiter.Listener(inner)) }() // returns after Close
	t.Cleanup(func() { server.Close() })
	return s
}

func (s *testServer) serve(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/early" {
		_ = http.NewResponseController(w).EnableFullDuplex() // always possible with HTTP/1.1
		_ = http.NewResponseController(w).Flush()
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		s.limiter.Refuse(w, r)
		return
	}
	s.run.Add(1)
	if r.URL.Path == "/held" {
		<-s.proceed
	}
	fmt.Fprintf(w, "%d", len(body))
}

// dial opens a connection and sends text.
func (s *testServer) dial(t testing.TB, text string) (net.Conn, *bufio.Reader) {
	t.Helper()
	conn, err := net.Dial("tcp", s.address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { conn.Close() })
	if _, err := io.WriteString(conn, text); err != nil {
		t.Fatal(err)
	}
	return conn, bufio.NewReader(conn)
}

func post(path string, size int) string {
	return fmt.Sprintf("POST %s HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n%s", path, size, strings.Repeat("x", size))
}

// expect reads a response and requires its status and body.
func expect(t testing.TB, r *bufio.Reader, status int, body string) *http.Response {
	t.Helper()
	response, err := http.ReadResponse(r, nil)
	if err != nil {
		t.Fatalf("no response: %v", err)
	}
	got, err := io.ReadAll(response.Body)
	if err != nil || response.StatusCode != status || string(got) != body {
		t.Fatalf("status %d, body %q, %v; want %d, %q", response.StatusCode, got, err, status, body)
	}
	return response
}

// waitUntil waits until a condition holds.
func waitUntil(t testing.TB, what string, holds func() bool) {
	t.Helper()
	for range 2000 {
		if holds() {
			return
		}
		time.Sleep(5 * time.Millisecond)
	}
	t.Fatalf("condition never held: %s", what)
}

// TestRequestsInAnyPieces guards against requests that are answered wrongly, or not at all, because of how their bytes arrive:
// in any pieces, and ahead of the answers.
func TestRequestsInAnyPieces(t *testing.T) {
	s := startServer(t, Bounds{Conns: 100, Bytes: 64 << 20})
	rapid.Check(t, func(t *rapid.T) {
		var text strings.Builder
		var want []string
		for range rapid.IntRange(1, 6).Draw(t, "requests") {
			n := rapid.SampledFrom([]int{0, 1, 100, 5000, 70000}).Draw(t, "bytes")
			switch rapid.IntRange(0, 2).Draw(t, "kind") {
			case 0:
				text.WriteString("GET / HTTP/1.1\r\nHost: h\r\nX-Long: " + strings.Repeat("y", n%6000) + "\r\n\r\n")
				n = 0
			case 1:
				text.WriteString(post("/", n))
			default:
				text.WriteString("POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n")
				if n > 0 {
					fmt.Fprintf(&text, "%x\r\n%s\r\n", n, strings.Repeat("\n", n))
				}
				text.WriteString("0\r\n\r\n")
			}
			want = append(want, fmt.Sprint(n))
		}
		conn, err := net.Dial("tcp", s.address)
		if err != nil {
			t.Fatal(err)
		}
		defer conn.Close()
		rest := text.String()
		piece := rapid.SampledFrom([]int{3, 50, 1000, 5000, 1 << 20}).Draw(t, "piece")
		go func() {
			for len(rest) > 0 {
				n := min(len(rest), piece)
				if _, err := io.WriteString(conn, rest[:n]); err != nil {
					return
				}
				rest = rest[n:]
			}
		}()
		_ = conn.SetReadDeadline(time.Now().Add(20 * time.Second))
		r := bufio.NewReader(conn)
		for i, body := range want {
			response, err := http.ReadResponse(r, nil)
			if err != nil {
				t.Fatalf("response %d of %d: %v", i, len(want), err)
			}
			got, err := io.ReadAll(response.Body)
			if err != nil || response.StatusCode != http.StatusOK || string(got) != body {
				t.Fatalf("response %d of %d: status %d, %q, %v; want %q", i, len(want), response.StatusCode, got, err, body)
			}
		}
	})
	waitUntil(t, "nothing is held", func() bool { return s.limiter.heldBytes() == 0 })
}

// TestHeadOverTheLimitIsRefused guards against a head over the limit that is parsed.
func TestHeadOverTheLimitIsRefused(t *testing.T) {
	s := startServer(t, Bounds{Conns: 10, Bytes: 1 << 20})
	for name, text := range map[string]string{
		"complete":   "GET / HTTP/1.1\r\nHost: h\r\n" + strings.Repeat("a: b\r\n", 3000) + "\r\n",
		"incomplete": "GET / HTTP/1.1\r\nHost: h\r\n" + strings.Repeat("a: b\r\n", 3000),
		"no line":    strings.Repeat("x", 20000),
	} {
		t.Run(name, func(t *testing.T) {
			_, r := s.dial(t, text)
			if got := expect(t, r, http.StatusRequestHeaderFieldsTooLarge, "refused").Header.Get("X-Outcome"); got != "not_run" {
				t.Errorf("the outcome is %q", got)
			}
		})
	}
	if s.run.Load() != 0 {
		t.Error("a request ran")
	}
}

// TestIncompleteRequestsMakeRoom guards against requests that are refused because others, which are not completed, take the
// room, and against one that is refused or closed after it was received completely.
func TestIncompleteRequestsMakeRoom(t *testing.T) {
	s := startServer(t, Bounds{Conns: 50, Bytes: 100 << 10})
	_, held := s.dial(t, post("/held", 20<<10))
	waitUntil(t, "a request is served", func() bool { return s.run.Load() == 1 })
	for range 20 {
		s.dial(t, strings.TrimSuffix(post("/", 30<<10), "x"))
	}
	for range 5 {
		_, r := s.dial(t, post("/", 5<<10)) // holds less than the others, so that it is not the one that makes room
		expect(t, r, http.StatusOK, fmt.Sprint(5<<10))
	}
	close(s.proceed)
	expect(t, held, http.StatusOK, fmt.Sprint(20<<10))
	if got := s.run.Load(); got != 6 {
		t.Errorf("%d requests ran, 6 were completed", got)
	}
}

// TestRefusalsAreNotRun guards against a request that runs though it was refused, or that is refused without saying so.
func TestRefusalsAreNotRun(t *testing.T) {
	s := startServer(t, Bounds{Conns: 50, Bytes: 50 << 10})
	_, held := s.dial(t, post("/held", 40<<10))
	waitUntil(t, "a request is served", func() bool { return s.run.Load() == 1 })
	for name, text := range map[string]string{
		"a body":   post("/", 20<<10),
		"a head":   "GET / HTTP/1.1\r\nHost: h\r\n" + strings.Repeat("a:\r\n", 1500) + "\r\n",
		"a chunk":  fmt.Sprintf("POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", 20<<10, strings.Repeat("x", 20<<10)),
		"too much": post("/", 60<<10),
	} {
		t.Run(name, func(t *testing.T) {
			_, r := s.dial(t, text)
			expectNotRun(t, r)
		})
	}
	if got := s.run.Load(); got != 1 {
		t.Errorf("%d requests ran", got)
	}
	close(s.proceed)
	expect(t, held, http.StatusOK, fmt.Sprint(40<<10))
}

// TestRefusalReachesAClientThatIsStillSending guards against a client that does not learn that its request was not run, because its
// connection is reset while it sends the body.
func TestRefusalReachesAClientThatIsStillSending(t *testing.T) {
	const bodyBytes, pieceBytes = 200 << 10, 1 << 10
	s := startServer(t, Bounds{Conns: 50, Bytes: 50 << 10})
	for range 20 {
		conn, r := s.dial(t, fmt.Sprintf("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n", bodyBytes))
		for range bodyBytes / pieceBytes { // as a client does that reads the response once it has sent its request
			if _, err := io.WriteString(conn, strings.Repeat("x", pieceBytes)); err != nil {
				t.Fatalf("reset while the request is sent: %v", err)
			}
		}
		expect(t, r, http.StatusServiceUnavailable, "refused")
	}
}

// TestConnectionsMakeRoom guards against a new connection that waits because idle and silent ones take all places, and
// against the loss of one whose request is served.
func TestConnectionsMakeRoom(t *testing.T) {
	s := startServer(t, Bounds{Conns: 4, Bytes: 1 << 20})
	_, held := s.dial(t, post("/held", 10))
	waitUntil(t, "a request is served", func() bool { return s.run.Load() == 1 })
	for range 10 {
		s.dial(t, "")
		s.dial(t, "GET / HTTP/1.1\r\n")
		_, r := s.dial(t, post("/", 1))
		expect(t, r, http.StatusOK, "1")
	}
	close(s.proceed)
	expect(t, held, http.StatusOK, "10")
}

// TestConnectionWithoutAPlaceIsRefused guards against a client that waits, for longer than clients do, for a process whose
// connections are all being served, or that does not learn that its request has not run.
func TestConnectionWithoutAPlaceIsRefused(t *testing.T) {
	s := startServer(t, Bounds{Conns: 2, Bytes: 1 << 20})
	for i := range 2 {
		s.dial(t, post("/held", 10))
		waitUntil(t, "a request is served", func() bool { return s.run.Load() == int64(i+1) })
	}
	_, r := s.dial(t, post("/", 1))
	expectNotRun(t, r)
	close(s.proceed)
	_, r = s.dial(t, post("/", 2))
	expect(t, r, http.StatusOK, "2")
	if got := s.run.Load(); got != 3 {
		t.Errorf("%d requests ran", got)
	}
}

// TestRequestThatIsClosedForOthersIsRefused guards against a client that does not learn that its request has not run, because its
// connection is closed for others while the request is received.
func TestRequestThatIsClosedForOthersIsRefused(t *testing.T) {
	for name, test := range map[string]struct {
		bounds      Bounds
		first, then string
	}{
		"a head, for a connection":  {Bounds{Conns: 1, Bytes: 1 << 20}, "GET / HTTP/1.1\r\n", post("/", 1)},
		"a body, for a connection":  {Bounds{Conns: 1, Bytes: 1 << 20}, strings.TrimSuffix(post("/", 100), "x"), post("/", 1)},
		"a body that was announced": {Bounds{Conns: 1, Bytes: 1 << 20}, "POST / HTTP/1.1\r\nHost: h\r\nExpect: 100-continue\r\nContent-Length: 5\r\n\r\n", post("/", 1)},
		"a body, for its memory":    {Bounds{Conns: 9, Bytes: 50 << 10}, strings.TrimSuffix(post("/", 40<<10), "x"), post("/", 20<<10)},
	} {
		t.Run(name, func(t *testing.T) {
			s := startServer(t, test.bounds)
			_, first := s.dial(t, test.first)
			waitUntil(t, "a part of the request is held", func() bool { return s.limiter.heldBytes() > 0 })
			if strings.Contains(test.first, "100-continue") {
				if response, err := http.ReadResponse(first, nil); err != nil || response.StatusCode != http.StatusContinue {
					t.Fatalf("%v, %v", response, err)
				}
			}
			_, then := s.dial(t, test.then)
			if response, err := http.ReadResponse(then, nil); err != nil || response.StatusCode != http.StatusOK {
				t.Errorf("the request that it was closed for: %v, %v", response, err)
			}
			expectNotRun(t, first)
			if got := s.run.Load(); got != 1 {
				t.Errorf("%d requests ran", got)
			}
		})
	}
}

// TestClosedConnectionGetsOneResponse guards against a refusal after a part of a response.
func TestClosedConnectionGetsOneResponse(t *testing.T) {
	s := startServer(t, Bounds{Conns: 1, Bytes: 1 << 20})
	_, first := s.dial(t, strings.TrimSuffix(post("/early", 100), "x"))
	response, err := http.ReadResponse(first, nil)
	if err != nil || response.StatusCode != http.StatusOK {
		t.Fatalf("%v, %v", response, err)
	}
	_, then := s.dial(t, post("/", 1))
	expect(t, then, http.StatusOK, "1")
	if rest, _ := io.ReadAll(first); strings.Contains(string(rest), "refused") {
		t.Errorf("after the beginning of a response: %q", rest)
	}
}

// expectNotRun reads a response and requires that it says that the request has not run, and when to return.
func expectNotRun(t testing.TB, r *bufio.Reader) {
	t.Helper()
	response := expect(t, r, http.StatusServiceUnavailable, "refused")
	if response.Header.Get("X-Outcome") != "not_run" || response.Header.Get("Retry-After") == "" {
		t.Errorf("the header is %v", response.Header)
	}
}

// startAnswering starts a server that reserves memory for each answer by the given function and then writes as many bytes as that
// returns. It returns its address. Errors of reservations fail the test.
func startAnswering(t *testing.T, bound int64, reserve func(answer Answer, path string) (int64, error)) string {
	t.Helper()
	limiter := New(Options{
		Name: "answers", Bounds: Bounds{Conns: 100, Bytes: 1 << 20, AnswerBytes: bound},
		MaxHeadBytes: func() int { return 8 << 10 }, MaxBodyBytes: func() int64 { return 0 }, Log: slog.New(slog.NewTextHandler(io.Discard, nil)),
	})
	inner, err := Listen("127.0.0.1:0", 0)
	if err != nil {
		t.Fatal(err)
	}
	server := &http.Server{ConnState: limiter.ConnState, ConnContext: limiter.ConnContext}
	server.Handler = limiter.Handler(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		answer := AnswerOf(r.Context())
		answerBytes, err := reserve(answer, r.URL.Path)
		if err != nil {
			t.Errorf("%s: %v", r.URL.Path, err)
		}
		answer.Begin(answerBytes)
		const writtenBytes = 4 << 10
		for range answerBytes / writtenBytes {
			if _, err := w.Write(make([]byte, writtenBytes)); err != nil {
				return
			}
			answer.Wrote()
		}
	}))
	go func() { _ = server.Serve(limiter.Listener(inner)) }() // returns after Close
	t.Cleanup(func() { server.Close() })
	return inner.Addr().String()
}

// reserveInPieces reserves memory as for an answer without a length, while those of others arrive.
func reserveInPieces(answer Answer, bytes int64) error {
	const pieceBytes = 16 << 10
	for reserved := int64(0); reserved < bytes; reserved += pieceBytes {
		if err := answer.Reserve(pieceBytes, false); err != nil {
			return err
		}
		time.Sleep(time.Millisecond)
	}
	return nil
}

// expectAnswer requires an answer of the given size.
func expectAnswer(t *testing.T, address, path string, answerBytes int64) {
	t.Helper()
	response, err := http.Get("http://" + address + path)
	if err != nil {
		t.Error(err)
		return
	}
	defer response.Body.Close()
	if n, err := io.Copy(io.Discard, response.Body); err != nil || n != answerBytes {
		t.Errorf("%d bytes, %v", n, err)
	}
}

// TestAnswersThatAreNotReadMakeRoom guards against an answer that waits for others whose clients do not read, and against one
// that is given up although its client reads.
func TestAnswersThatAreNotReadMakeRoom(t *testing.T) {
	const answerBytes = 4 << 20
	address := startAnswering(t, answerBytes+answerBytes/2, func(answer Answer, _ string) (int64, error) {
		return answerBytes, answer.Reserve(answerBytes, true)
	})
	for range 3 {
		ignoring, err := net.Dial("tcp", address)
		if err != nil {
			t.Fatal(err)
		}
		defer ignoring.Close()
		if _, err := io.WriteString(ignoring, "GET / HTTP/1.1\r\nHost: h\r\n\r\n"); err != nil {
			t.Fatal(err)
		}
	}
	for range 3 {
		expectAnswer(t, address, "/", answerBytes)
	}
}

// TestAnswersInPiecesDoNotWaitForEachOther guards against answers of unknown length that take all of the room together, so that none
// of them can be completed.
func TestAnswersInPiecesDoNotWaitForEachOther(t *testing.T) {
	const answerBytes, clients = 256 << 10, 16
	address := startAnswering(t, 4*answerBytes, func(answer Answer, _ string) (int64, error) {
		return answerBytes, reserveInPieces(answer, answerBytes)
	})
	var all sync.WaitGroup
	for range clients {
		all.Go(func() { expectAnswer(t, address, "/", answerBytes) })
	}
	all.Wait()
}

// TestAnswerThatWaitsForOthersLetsThemGoFirst guards against an answer that is too large for what others leave, and that keeps them
// from being completed.
func TestAnswerThatWaitsForOthersLetsThemGoFirst(t *testing.T) {
	const bound, wholeBytes, pieceBytes, clients = 1 << 20, 768 << 10, 384 << 10, 4
	var begun sync.WaitGroup // until the answers in pieces hold more than the whole one leaves
	begun.Add(clients)
	address := startAnswering(t, bound, func(answer Answer, path string) (int64, error) {
		if path == "/whole" {
			return wholeBytes, answer.Reserve(wholeBytes, true)
		}
		const first = pieceBytes / 4
		if err := reserveInPieces(answer, first); err != nil {
			return 0, err
		}
		begun.Done()
		time.Sleep(50 * time.Millisecond) // the whole one waits by then
		return pieceBytes, reserveInPieces(answer, pieceBytes-first)
	})
	var all sync.WaitGroup
	for range clients {
		all.Go(func() { expectAnswer(t, address, "/pieces", pieceBytes) })
	}
	begun.Wait()
	expectAnswer(t, address, "/whole", wholeBytes)
	all.Wait()
}

// TestAnswerOfASlowUpstreamLetsOthersGoFirst guards against answers that fail because one whose upstream pauses has more than its
// share of the room.
func TestAnswerOfASlowUpstreamLetsOthersGoFirst(t *testing.T) {
	const bound, slowBytes, otherBytes = 1 << 20, 640 << 10, 256 << 10
	paused, proceed := make(chan struct{}), make(chan struct{})
	address := startAnswering(t, bound, func(answer Answer, path string) (int64, error) {
		if path == "/other" {
			return otherBytes, answer.Reserve(otherBytes, true)
		}
		if err := reserveInPieces(answer, slowBytes); err != nil {
			return 0, err
		}
		close(paused)
		<-proceed
		return slowBytes, reserveInPieces(answer, 64<<10)
	})
	var slow sync.WaitGroup
	slow.Go(func() { expectAnswer(t, address, "/slow", slowBytes) })
	<-paused
	expectAnswer(t, address, "/other", otherBytes)
	close(proceed)
	slow.Wait()
}
